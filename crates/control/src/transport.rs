//! A connection as `tarpc` sees it.
//!
//! `tarpc` wants the I/O traits and the timer of `tokio`; `async-compat`
//! gives both on top of `async-io`. Whatever polls a transport or one of
//! `tarpc`'s futures must itself run inside `Compat`, or it panics for want
//! of a timer.

use std::{io, net::TcpStream};

use async_compat::Compat;
use async_io::Async;
use serde::{Serialize, de::DeserializeOwned};
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::formats::Json,
    tokio_util::codec::length_delimited::LengthDelimitedCodec,
};

/// Longest frame; a longer one ends its connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Longest part of a manifest; base64 adds a third.
pub(crate) const MAX_PART_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Longest text; JSON writes a character with at most six bytes.
pub(crate) const MAX_TEXT_BYTES: usize = MAX_FRAME_BYTES / 8;

type Stream = Compat<Async<TcpStream>>;

/// Takes messages of one type and sends those of another.
pub(crate) type JsonTransport<In, Out> =
    Transport<Stream, In, Out, Json<In, Out>>;

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
    Ok(serde_transport::new(framed, Json::default()))
}
