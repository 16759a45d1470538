//! A connection as `tarpc` sees it.
//!
//! `tarpc` wants the I/O traits and the timer of `tokio`; `async-compat`
//! gives both on top of `async-io`. Whatever polls a transport or one of
//! `tarpc`'s futures must itself run inside `Compat`, or it panics for want
//! of a timer.

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

/// Longest frame; a longer one ends its connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Longest part of a manifest; base64 adds a third.
pub(crate) const MAX_PART_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Longest text; JSON writes a character with at most six bytes.
pub(crate) const MAX_TEXT_BYTES: usize = MAX_FRAME_BYTES / 8;

type Stream = Compat<Async<TcpStream>>;

/// Takes messages of one type and sends those of another.
pub(crate) type JsonTransport<In, Out> = Transport<Stream, In, Out, JsonCodec>;

pub(crate) fn transport<In, Out>(
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

/// Messages as JSON. The codec of `tokio-serde` reads a frame byte by byte
/// through a reader; this one reads the slice it has.
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
