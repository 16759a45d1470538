//! The transport of a connection, for `tarpc`.
//!
//! `tarpc` requires the I/O traits and the timer of `tokio`; `async-compat`
//! provides both on top of `async-io`. Transports and futures of `tarpc` must
//! be polled inside `Compat`, otherwise they panic because there is no timer.

use std::{io, net::TcpStream, pin::Pin};

use async_compat::Compat;
use async_io::Async;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::{Deserializer, Serializer},
    tokio_util::{
        bytes::{Bytes, BytesMut},
        codec::length_delimited::LengthDelimitedCodec,
    },
};

/// Maximum length of a frame; a longer frame closes its connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Maximum length of a manifest part; base64 adds a third.
pub(crate) const MAX_PART_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Maximum length of a text; JSON encodes a byte of it in at most six bytes.
pub(crate) const MAX_TEXT_BYTES: usize = MAX_FRAME_BYTES / 8;

type Stream = Compat<Async<TcpStream>>;

/// Transport that receives messages of type `In` and sends messages of type
/// `Out`.
pub(crate) type JsonTransport<In, Out> = Transport<Stream, In, Out, JsonCodec>;

/// Sets up the transport over a connected socket.
pub(crate) fn json_transport<In, Out>(
    socket: Async<TcpStream>,
) -> io::Result<JsonTransport<In, Out>>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    socket.get_ref().set_nodelay(true)?;
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(Compat::new(socket));
    Ok(serde_transport::new(framed, JsonCodec))
}

/// JSON codec. The codec of `tokio-serde` parses a frame byte by byte through
/// a reader; this codec parses the frame as a slice.
pub(crate) struct JsonCodec;

impl<T: DeserializeOwned> Deserializer<T> for JsonCodec {
    type Error = serde_json::Error;

    fn deserialize(
        self: Pin<&mut Self>,
        frame: &BytesMut,
    ) -> Result<T, serde_json::Error> {
        serde_json::from_slice(frame)
    }
}

impl<T: Serialize> Serializer<T> for JsonCodec {
    type Error = serde_json::Error;

    fn serialize(
        self: Pin<&mut Self>,
        message: &T,
    ) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(message).map(Bytes::from)
    }
}
