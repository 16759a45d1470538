//! Reads complete messages from a connection.
//!
//! This module determines the ends of bodies instead of `async-h1`. The chunk
//! decoder of `async-h1` accepts an empty size line as the last chunk, accepts
//! a connection that closes before the final empty line as the end of the
//! body, and loses the bytes after the body.

use std::{io, time::Duration};

use async_io::Timer;
use futures_lite::{AsyncReadExt as _, FutureExt as _, future::yield_now};

use crate::{
    head::{self, MAX_HEAD_BYTES, RequestError, ResponseHeadInfo},
    stream::SharedStream,
};

/// Size of a read from a socket.
pub(crate) const READ_BYTES: usize = 16 * 1024;
/// Longest line with the size of a chunk and its extensions.
const MAX_SIZE_LINE_BYTES: usize = 1024;
/// Limit on trailers, which are discarded.
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;
/// Limit on the memory allocated for a body before the body arrives.
const MAX_RESERVED_BYTES: usize = 1 << 20;

/// Reads that fill the chunk, after which the reader lets other tasks and the
/// timers beside it run. A peer that sends faster than this process reads
/// would otherwise keep its thread, and no deadline would pass.
const MAX_FULL_READS: u32 = 4;
/// Lower statuses belong to interim responses.
const FIRST_FINAL_STATUS: u16 = 200;
/// Limit on interim responses before a final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum MessageError {
    /// The socket failed.
    Io(io::Error),
    /// The connection ended within the message.
    Truncated(String),
    /// The head is longer than its limit, in bytes.
    HeadTooLong(usize),
    /// The body is longer than its limit, in bytes.
    BodyTooLong(usize),
    /// The receiver has too little memory for the body.
    NoMemory,
    /// The head is malformed.
    BadHead(String),
    /// More interim responses than this limit precede the final one.
    TooManyInterim(u32),
    /// The chunks are malformed.
    BadChunk,
    /// No byte arrived within this time.
    Stalled(Duration),
}

impl From<io::Error> for MessageError {
    fn from(e: io::Error) -> MessageError {
        MessageError::Io(e)
    }
}

impl MessageError {
    /// The rejection of a request that could not be read.
    ///
    /// # Errors
    ///
    /// The socket failed, so that there is nobody to reject.
    pub(crate) fn into_rejection(self) -> Result<RequestError, io::Error> {
        let message = self.message();
        let status = match self {
            MessageError::Io(e) => return Err(e),
            MessageError::HeadTooLong(_) => 431,
            MessageError::BodyTooLong(_) => 413,
            MessageError::NoMemory => 503,
            MessageError::Truncated(_)
            | MessageError::BadHead(_)
            | MessageError::TooManyInterim(_)
            | MessageError::BadChunk => 400,
            MessageError::Stalled(_) => 408,
        };
        Ok(RequestError::new(status, &message))
    }

    /// Error message for the peer or for logs.
    pub(crate) fn message(&self) -> String {
        match self {
            MessageError::Io(e) => e.to_string(),
            MessageError::Truncated(what) => what.clone(),
            MessageError::HeadTooLong(limit) => {
                format!("the head is longer than {limit} bytes")
            }
            MessageError::BodyTooLong(limit) => {
                format!("the body is longer than {limit} bytes")
            }
            MessageError::NoMemory => {
                "too little memory is free for the body".to_owned()
            }
            MessageError::BadHead(what) => what.clone(),
            MessageError::TooManyInterim(limit) => {
                format!("more than {limit} interim responses")
            }
            MessageError::BadChunk => "the chunks are malformed".to_owned(),
            MessageError::Stalled(limit) => {
                format!("no byte arrived within {} ms", limit.as_millis())
            }
        }
    }
}

/// Reads messages one after another, and buffers bytes of the next message.
pub(crate) struct MessageReader {
    stream: SharedStream,
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were consumed.
    consumed: usize,
    chunk: Vec<u8>,
    /// Bytes that were read from the socket.
    received: u64,
    /// Whether the last read emptied the socket's receive buffer.
    is_drained: bool,
    /// Full reads since the reader last yielded.
    full_reads: u32,
    max_head_bytes: usize,
    stall_timeout: Option<Duration>,
}

impl MessageReader {
    pub(crate) fn new(stream: SharedStream) -> MessageReader {
        MessageReader {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            chunk: vec![0; READ_BYTES],
            received: 0,
            is_drained: false,
            full_reads: 0,
            max_head_bytes: MAX_HEAD_BYTES,
            stall_timeout: None,
        }
    }

    /// Sets the longest accepted head, in bytes.
    pub(crate) fn set_max_head_bytes(&mut self, limit: usize) {
        self.max_head_bytes = limit;
    }

    /// Sets how long a read from the socket may take within a message.
    pub(crate) fn set_stall_timeout(&mut self, limit: Option<Duration>) {
        self.stall_timeout = limit;
    }

    /// Bytes that were read from the socket.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// Whether the buffer holds bytes beyond the messages read so far.
    pub(crate) fn has_unread(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Reads once from the socket, within the stall timeout; 0 at the end of
    /// the stream.
    async fn fill_in_time(&mut self) -> Result<usize, MessageError> {
        let Some(limit) = self.stall_timeout else {
            return Ok(self.fill().await?);
        };
        let stalled = async {
            Timer::after(limit).await;
            Err(MessageError::Stalled(limit))
        };
        let read = async { Ok(self.fill().await?) };
        read.or(stalled).await
    }

    /// Reads once from the socket; 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.is_drained {
            // Saves a read that would block, once for each event of a stream.
            self.stream.readable().await?;
        } else if self.full_reads >= MAX_FULL_READS {
            self.full_reads = 0;
            yield_now().await;
        }
        let count = self.stream.read(&mut self.chunk).await?;
        self.received += count as u64;
        self.is_drained = count < self.chunk.len();
        self.full_reads = match self.is_drained {
            true => 0,
            false => self.full_reads + 1,
        };
        self.buffer.extend_from_slice(&self.chunk[..count]);
        Ok(count)
    }

    /// Reads the head, including its final empty line.
    pub(crate) async fn read_head(&mut self) -> Result<Vec<u8>, MessageError> {
        let mut searched: usize = 0;
        loop {
            let from = searched.saturating_sub(3);
            let unread = self.unread();
            if let Some(at) = find_head_end(&unread[from..]) {
                let length = from + at;
                if length > self.max_head_bytes {
                    let limit = self.max_head_bytes;
                    return Err(MessageError::HeadTooLong(limit));
                }
                return Ok(self.take(length));
            }
            searched = unread.len();
            if searched > self.max_head_bytes {
                let limit = self.max_head_bytes;
                return Err(MessageError::HeadTooLong(limit));
            }
            self.fill_or_truncated("the head was cut short").await?;
        }
    }

    /// Reads the head of the final response and skips interim responses.
    pub(crate) async fn read_final_head(
        &mut self,
    ) -> Result<(Vec<u8>, ResponseHeadInfo), MessageError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head().await?;
            let info = head::check_response(&head)
                .map_err(|e| MessageError::BadHead(e.message))?;
            if info.status >= FIRST_FINAL_STATUS {
                return Ok((head, info));
            }
        }
        Err(MessageError::TooManyInterim(MAX_INTERIM_RESPONSES))
    }

    /// Reads a body of `length` bytes.
    pub(crate) async fn read_length(
        &mut self,
        length: usize,
    ) -> Result<Vec<u8>, MessageError> {
        let mut body = Vec::with_capacity(length.min(MAX_RESERVED_BYTES));
        loop {
            let missing = length - body.len();
            self.take_into(&mut body, missing);
            let received = body.len();
            if received == length {
                return Ok(body);
            }
            if self.fill_in_time().await? == 0 {
                let what = format!(
                    "the body ended after {received} of {length} bytes"
                );
                return Err(MessageError::Truncated(what));
            }
        }
    }

    /// Reads a chunked body, including its last chunk and trailers.
    pub(crate) async fn read_chunked(
        &mut self,
        limit: usize,
    ) -> Result<Vec<u8>, MessageError> {
        self.read_chunked_within(limit, &mut |_| true).await
    }

    /// Reads a chunked body while `may_hold` allows its length so far with the
    /// next chunk.
    pub(crate) async fn read_chunked_within(
        &mut self,
        limit: usize,
        may_hold: &mut (dyn FnMut(usize) -> bool + Send),
    ) -> Result<Vec<u8>, MessageError> {
        let mut body = Vec::new();
        loop {
            let remaining = limit - body.len();
            let mut may_add = |bytes: usize| may_hold(body.len() + bytes);
            match self.next_chunk(remaining, &mut may_add).await {
                Ok(Some(mut chunk)) => body.append(&mut chunk),
                Ok(None) => return Ok(body),
                Err(MessageError::BodyTooLong(_)) => {
                    return Err(MessageError::BodyTooLong(limit));
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads the next chunk. Returns None after the last chunk and the
    /// trailers.
    async fn next_chunk(
        &mut self,
        limit: usize,
        may_hold: &mut (dyn FnMut(usize) -> bool + Send),
    ) -> Result<Option<Vec<u8>>, MessageError> {
        let Some(size) = self.read_chunk_start().await? else {
            return Ok(None);
        };
        if size > limit as u64 {
            return Err(MessageError::BodyTooLong(limit));
        }
        if !may_hold(size as usize) {
            return Err(MessageError::NoMemory);
        }
        let chunk = self.read_length(size as usize).await?;
        self.read_chunk_end().await?;
        Ok(Some(chunk))
    }

    /// Returns the bytes that have arrived, up to `max` bytes, or None at the
    /// end of the connection. Waits if there are none yet.
    pub(crate) async fn next_bytes(
        &mut self,
        max: usize,
    ) -> io::Result<Option<Vec<u8>>> {
        if !self.has_unread() && self.fill().await? == 0 {
            return Ok(None);
        }
        let count = self.unread().len().min(max);
        Ok(Some(self.take(count)))
    }

    /// Reads the size of the next chunk, in bytes. Returns None after the last
    /// chunk and the trailers.
    pub(crate) async fn read_chunk_start(
        &mut self,
    ) -> Result<Option<u64>, MessageError> {
        let size = self.read_chunk_size().await?;
        if size == 0 {
            self.skip_trailers().await?;
            return Ok(None);
        }
        Ok(Some(size))
    }

    async fn read_chunk_size(&mut self) -> Result<u64, MessageError> {
        let line = self.read_line(MAX_SIZE_LINE_BYTES).await?;
        // The parser reads a line without digits as size 0.
        let has_digit = line.first().is_some_and(u8::is_ascii_hexdigit);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((read, size)))
                if has_digit && read == line.len() =>
            {
                Ok(size)
            }
            _ => Err(MessageError::BadChunk),
        }
    }

    /// Reads the line end after the bytes of a chunk.
    pub(crate) async fn read_chunk_end(&mut self) -> Result<(), MessageError> {
        let line = self.read_line(2).await?;
        (line == b"\r\n").then_some(()).ok_or(MessageError::BadChunk)
    }

    async fn skip_trailers(&mut self) -> Result<(), MessageError> {
        let mut remaining = MAX_TRAILER_BYTES;
        loop {
            let line = self.read_line(remaining).await?;
            if line == b"\r\n" {
                return Ok(());
            }
            remaining -= line.len();
        }
    }

    /// Reads a line, including its line feed.
    async fn read_line(
        &mut self,
        limit: usize,
    ) -> Result<Vec<u8>, MessageError> {
        loop {
            let unread = self.unread();
            let searched = &unread[..unread.len().min(limit)];
            if let Some(at) = searched.iter().position(|b| *b == b'\n') {
                return Ok(self.take(at + 1));
            }
            if unread.len() >= limit {
                return Err(MessageError::BadChunk);
            }
            self.fill_or_truncated("the chunked body was cut short").await?;
        }
    }

    async fn fill_or_truncated(
        &mut self,
        what: &str,
    ) -> Result<(), MessageError> {
        match self.fill_in_time().await? {
            0 => Err(MessageError::Truncated(what.to_owned())),
            _ => Ok(()),
        }
    }

    fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let bytes = self.unread()[..count].to_vec();
        self.consumed += count;
        bytes
    }

    fn take_into(&mut self, body: &mut Vec<u8>, max: usize) {
        let count = self.unread().len().min(max);
        body.extend_from_slice(&self.unread()[..count]);
        self.consumed += count;
    }
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let end = b"\r\n\r\n";
    bytes.windows(end.len()).position(|w| w == end).map(|at| at + end.len())
}
