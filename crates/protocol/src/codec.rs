//! Frames to bytes and back.
//!
//! A frame is its length as a 32-bit little-endian number and then the
//! message. The length is checked against a limit before anything is kept,
//! so that a stray connection cannot make a process allocate.

use std::{error, fmt};

use prost::Message as _;

use crate::wire::{Frame, frame::Body};

/// Bytes of the length that goes before each message.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Consumed bytes that a decoder keeps before it moves the rest down.
const COMPACT_BYTES: usize = 64 * 1024;

/// Appends one frame to `out`.
pub fn encode(body: Body, out: &mut Vec<u8>) {
    let frame = Frame { body: Some(body) };
    let length = frame.encoded_len();
    out.reserve(LENGTH_BYTES + length);
    out.extend_from_slice(&(length as u32).to_le_bytes());
    frame.encode_raw(out);
}

/// Why bytes are no frame.
#[derive(Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum DecodeError {
    /// The frame is longer than the limit, both in bytes.
    TooLong {
        /// Length that the frame states.
        length: usize,
        /// Longest frame taken.
        limit: usize,
    },
    /// The message cannot be read.
    Malformed(String),
    /// The message has no body, or one of a later version.
    Empty,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::TooLong { length, limit } => write!(
                f,
                "frame of {length} bytes is longer than {limit} bytes"
            ),
            DecodeError::Malformed(why) => {
                write!(f, "frame cannot be read: {why}")
            }
            DecodeError::Empty => write!(f, "frame has no known body"),
        }
    }
}

impl error::Error for DecodeError {}

/// Collects received bytes and takes whole frames from them.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    last_frame_bytes: usize,
    max_frame_bytes: usize,
}

impl Decoder {
    /// A decoder that refuses frames longer than `max_frame_bytes`.
    pub fn new(max_frame_bytes: usize) -> Decoder {
        Decoder {
            buffer: Vec::new(),
            consumed: 0,
            last_frame_bytes: 0,
            max_frame_bytes,
        }
    }

    /// Length of the last whole frame, with the bytes of its own length.
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Adds received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, or none until more bytes arrive.
    ///
    /// # Errors
    ///
    /// The bytes are no frame; the connection is of no further use.
    pub fn next_body(&mut self) -> Result<Option<Body>, DecodeError> {
        let unread = &self.buffer[self.consumed..];
        let Some(length_bytes) = unread.first_chunk::<LENGTH_BYTES>() else {
            self.compact();
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length_bytes) as usize;
        if length > self.max_frame_bytes {
            let limit = self.max_frame_bytes;
            return Err(DecodeError::TooLong { length, limit });
        }
        let end = LENGTH_BYTES + length;
        if unread.len() < end {
            self.compact();
            return Ok(None);
        }
        let frame = Frame::decode(&unread[LENGTH_BYTES..end])
            .map_err(|e| DecodeError::Malformed(e.to_string()))?;
        self.consumed += end;
        self.last_frame_bytes = end;
        frame.body.map(Some).ok_or(DecodeError::Empty)
    }

    /// Drops consumed bytes; a move of the rest is put off until it pays.
    fn compact(&mut self) {
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        } else if self.consumed > COMPACT_BYTES {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
    }
}
