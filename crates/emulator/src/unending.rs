//! Responses that never end.
//!
//! A server in this kind of trouble sends bytes that are no response until
//! the caller closes the connection, as fast as the caller reads them.

use std::io::Write as _;

use chestnutreach_http::relay::{Inbound, push_chunk, push_header};
use futures_lite::future::yield_now;

use crate::engines::signature;

/// Size of a write, about.
const WRITE_BYTES: usize = 16 << 10;
/// Size of a chunk in [`UnendingBytes::Chunks`], in bytes.
const CHUNK_BYTES: usize = 16;
/// A length that no response reaches, in bytes.
const HUGE_LENGTH: u64 = 1_000_000_000_000;

/// What a server sends without an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnendingBytes {
    /// Bytes that are no head.
    Garbage,
    /// Header lines of one head.
    HeaderLines,
    /// Interim responses.
    InterimResponses,
    /// Whole responses to another request.
    OtherResponses,
    /// A body without a length and without a line feed.
    Body,
    /// A body of lines, of which none is empty.
    Lines,
    /// A body with a huge length.
    LongBody,
    /// The digits of the size of a chunk.
    ChunkSize,
    /// A chunk with a huge size.
    LongChunk,
    /// Small chunks without a line feed.
    Chunks,
    /// Trailers after the last chunk.
    Trailers,
    /// Events without an id.
    Events,
    /// The body of a response with status 500.
    FailureBody,
}

/// In which responses a server sends bytes without an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnendingIn {
    /// In all responses.
    AllResponses,
    /// In responses to requests of the entries themselves.
    Calls,
    /// In streams, after so many events.
    AfterEvents(u64),
}

impl UnendingBytes {
    /// All forms.
    pub const ALL: [UnendingBytes; 13] = [
        UnendingBytes::Garbage,
        UnendingBytes::HeaderLines,
        UnendingBytes::InterimResponses,
        UnendingBytes::OtherResponses,
        UnendingBytes::Body,
        UnendingBytes::Lines,
        UnendingBytes::LongBody,
        UnendingBytes::ChunkSize,
        UnendingBytes::LongChunk,
        UnendingBytes::Chunks,
        UnendingBytes::Trailers,
        UnendingBytes::Events,
        UnendingBytes::FailureBody,
    ];

    /// What precedes the bytes that repeat.
    fn begin(self, id: &str) -> Vec<u8> {
        let length = HUGE_LENGTH.to_string();
        let chunked = [("transfer-encoding", "chunked")];
        let mut out = match self {
            UnendingBytes::Garbage
            | UnendingBytes::InterimResponses
            | UnendingBytes::OtherResponses => return Vec::new(),
            UnendingBytes::HeaderLines => {
                return b"HTTP/1.1 200 OK\r\n".to_vec();
            }
            UnendingBytes::Body
            | UnendingBytes::Lines
            | UnendingBytes::Events => head(200, id, &[]),
            UnendingBytes::LongBody => {
                head(200, id, &[("content-length", &length)])
            }
            UnendingBytes::FailureBody => {
                head(500, id, &[("content-length", &length)])
            }
            UnendingBytes::ChunkSize
            | UnendingBytes::LongChunk
            | UnendingBytes::Chunks
            | UnendingBytes::Trailers => head(200, id, &chunked),
        };
        match self {
            UnendingBytes::LongChunk => {
                out.extend_from_slice(
                    format!("{HUGE_LENGTH:x}\r\n").as_bytes(),
                );
            }
            UnendingBytes::Trailers => out.extend_from_slice(b"0\r\n"),
            _ => {}
        }
        out
    }

    /// The bytes that repeat.
    fn repeated(self) -> Vec<u8> {
        let unit = match self {
            UnendingBytes::Garbage
            | UnendingBytes::Body
            | UnendingBytes::LongBody
            | UnendingBytes::LongChunk
            | UnendingBytes::FailureBody => b"a".to_vec(),
            UnendingBytes::HeaderLines | UnendingBytes::Trailers => {
                b"x-filler: 1\r\n".to_vec()
            }
            UnendingBytes::InterimResponses => {
                b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()
            }
            UnendingBytes::OtherResponses => {
                let mut out = head(200, "other", &[("content-length", "1")]);
                out.push(b'a');
                out
            }
            UnendingBytes::Lines => b"data: a\n".to_vec(),
            UnendingBytes::ChunkSize => b"0".to_vec(),
            UnendingBytes::Chunks => {
                let mut out = Vec::new();
                push_chunk(&mut out, &[b'a'; CHUNK_BYTES]);
                out
            }
            UnendingBytes::Events => b"data: a\n\n".to_vec(),
        };
        unit.repeat(WRITE_BYTES / unit.len())
    }
}

fn head(status: u16, id: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    write!(out, "HTTP/1.1 {status} x\r\n").expect("a vector grows");
    push_header(&mut out, "x-request-id", id);
    push_header(&mut out, "x-response-signature", &signature(id));
    push_header(&mut out, "content-type", "text/event-stream");
    for (name, value) in headers {
        push_header(&mut out, name, value);
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Goes on with a stream in chunks, until the caller closes the connection.
pub(crate) async fn go_on(inbound: &mut Inbound, form: UnendingBytes) {
    let (begin, repeated) = match form {
        UnendingBytes::LongChunk => {
            (format!("{HUGE_LENGTH:x}\r\n").into_bytes(), form.repeated())
        }
        UnendingBytes::Events => {
            let mut chunk = Vec::new();
            push_chunk(&mut chunk, &form.repeated());
            (Vec::new(), chunk)
        }
        _ => (Vec::new(), form.repeated()),
    };
    send(inbound, &begin, &repeated).await;
}

/// Responds to the request with this id until the caller closes the
/// connection.
pub(crate) async fn respond(
    inbound: &mut Inbound,
    form: UnendingBytes,
    id: &str,
) {
    send(inbound, &form.begin(id), &form.repeated()).await;
}

async fn send(inbound: &mut Inbound, begin: &[u8], repeated: &[u8]) {
    let mut is_open = inbound.write(begin).await.is_ok();
    while is_open {
        is_open = inbound.write(repeated).await.is_ok();
        yield_now().await;
    }
}
