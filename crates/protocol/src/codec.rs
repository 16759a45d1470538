//! Encoding and decoding of frames.
//!
//! A frame is the length of a message as a 32-bit little-endian number,
//! followed by the message. The decoder checks the length against a limit
//! first, so that a stray connection cannot make a process allocate memory.

use std::{error, fmt};

use prost::Message as _;

use crate::wire::{Frame, frame::Body};

/// Size of the length prefix of each message.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Consumed bytes above which a decoder compacts its buffer.
const COMPACT_THRESHOLD_BYTES: usize = 64 * 1024;

/// Appends one frame to `out`.
pub fn encode(body: Body, out: &mut Vec<u8>) {
    let frame = Frame { body: Some(body) };
    let length = frame.encoded_len();
    out.reserve(LENGTH_BYTES + length);
    out.extend_from_slice(&(length as u32).to_le_bytes());
    frame.encode_raw(out);
}

/// Why bytes cannot be decoded as a frame.
#[derive(Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum DecodeError {
    /// The frame is longer than the limit.
    TooLong {
        /// Length stated by the frame, in bytes.
        length: usize,
        /// Longest accepted frame, in bytes.
        limit: usize,
    },
    /// The message cannot be decoded.
    Malformed(String),
    /// The message has no body, or a body of a later protocol version.
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

/// Buffers received bytes and decodes complete frames.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    last_frame_bytes: usize,
    max_frame_bytes: usize,
}

impl Decoder {
    /// Creates a decoder that rejects frames longer than `max_frame_bytes`.
    pub fn new(max_frame_bytes: usize) -> Decoder {
        Decoder {
            buffer: Vec::new(),
            consumed: 0,
            last_frame_bytes: 0,
            max_frame_bytes,
        }
    }

    /// Size of the last decoded frame, including its length prefix.
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the body of the next frame. Returns None if the frame is still
    /// incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame. The decoder cannot continue after an
    /// error, so the connection must be closed.
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

    /// Discards consumed bytes. Moves the remaining bytes only after many were
    /// consumed, to limit copying.
    fn compact(&mut self) {
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        } else if self.consumed > COMPACT_THRESHOLD_BYTES {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
    }
}
