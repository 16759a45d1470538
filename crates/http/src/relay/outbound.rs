//! A connection to a server.
//!
//! The body of a response is read piece by piece. An error means that the
//! response is incomplete. A response without a length is complete when the
//! connection closes without an error.

use std::{error, fmt, io, net::SocketAddr, time::Duration};

use async_io::Timer;
use futures_lite::{AsyncWriteExt as _, FutureExt as _};

use super::{Header, find_header, header_lines};
use crate::{
    head::{BodyFraming, MAX_HEADERS},
    message::{MessageError, MessageReader, READ_BYTES},
    stream::SharedStream,
};

/// Why a response is incomplete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundError {
    detail: String,
    cause: OutboundErrorCause,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OutboundErrorCause {
    /// The connection failed or ended.
    Connection,
    /// The server sent more than a limit allows.
    Excess,
    /// The response is malformed, or is not accepted for another reason.
    Content,
}

impl OutboundError {
    /// An error with this description.
    pub fn new(detail: &str) -> OutboundError {
        let cause = OutboundErrorCause::Content;
        OutboundError { detail: detail.to_owned(), cause }
    }

    /// An error of a server that sent more than a limit allows.
    pub fn excessive(detail: &str) -> OutboundError {
        let cause = OutboundErrorCause::Excess;
        OutboundError { detail: detail.to_owned(), cause }
    }

    /// Whether the server sent more than a limit allows.
    pub fn is_excessive(&self) -> bool {
        self.cause == OutboundErrorCause::Excess
    }

    /// Whether the connection failed or ended.
    pub fn is_connection_failure(&self) -> bool {
        self.cause == OutboundErrorCause::Connection
    }
}

impl fmt::Display for OutboundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl error::Error for OutboundError {}

impl From<io::Error> for OutboundError {
    fn from(e: io::Error) -> OutboundError {
        let cause = OutboundErrorCause::Connection;
        OutboundError { detail: e.to_string(), cause }
    }
}

impl From<MessageError> for OutboundError {
    fn from(e: MessageError) -> OutboundError {
        let cause = match e {
            MessageError::Io(_) | MessageError::Truncated(_) => {
                OutboundErrorCause::Connection
            }
            MessageError::HeadTooLong(_)
            | MessageError::BodyTooLong(_)
            | MessageError::NoMemory
            | MessageError::TooManyInterim(_) => OutboundErrorCause::Excess,
            MessageError::BadHead(_)
            | MessageError::BadChunk
            | MessageError::Stalled(_) => OutboundErrorCause::Content,
        };
        OutboundError { detail: e.message(), cause }
    }
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// The server closes the connection after the response.
    pub wants_close: bool,
    framing: Option<BodyFraming>,
}

impl ResponseHead {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// All values of a header, in the order received.
    pub fn values<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let headers = self.headers.iter();
        let named = headers.filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.as_str())
    }

    /// Whether the body ends with the connection. A process that exits also
    /// ends its connections in order.
    pub fn ends_with_connection(&self, method: &str) -> bool {
        self.body(method) == ResponseBody::UntilClosed
    }

    /// The body that follows; none for a `HEAD` request.
    pub fn body(&self, method: &str) -> ResponseBody {
        if method == "HEAD" || matches!(self.status, 204 | 304) {
            return ResponseBody::Complete;
        }
        match self.framing {
            Some(BodyFraming::None) => ResponseBody::Complete,
            Some(BodyFraming::Length(length)) => ResponseBody::Length(length),
            Some(BodyFraming::Chunked) => ResponseBody::Chunked,
            None => ResponseBody::UntilClosed,
        }
    }
}

/// The unread rest of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseBody {
    /// Nothing; the response is complete.
    Complete,
    /// This number of bytes.
    Length(u64),
    /// Chunks up to the last chunk.
    Chunked,
    /// This number of bytes of a chunk, and further chunks.
    InChunk(u64),
    /// All bytes until the connection closes.
    UntilClosed,
}

/// A connection to a server.
pub struct Outbound {
    stream: SharedStream,
    reader: MessageReader,
    is_usable: bool,
}

impl Outbound {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// The connection failed or timed out.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Outbound> {
        let connect = SharedStream::connect(address);
        let limit = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connect.or(limit).await?;
        let reader = MessageReader::new(stream.clone());
        Ok(Outbound { stream, reader, is_usable: true })
    }

    /// Waits until the server closes an idle connection or sends bytes on it,
    /// which belong to no response.
    pub async fn idle_ended(&self) {
        while self.stream.is_idle() {
            if self.stream.readable().await.is_err() {
                return;
            }
        }
    }

    /// Whether the server has closed the connection.
    pub fn has_ended(&self) -> bool {
        self.stream.is_closed_by_peer()
    }

    /// Whether another request may be sent: the last response was complete,
    /// and the server has neither closed the connection nor sent surplus
    /// bytes.
    pub fn is_reusable(&self) -> bool {
        self.is_usable && !self.reader.has_unread() && self.stream.is_idle()
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// The connection failed; the request may have arrived.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), OutboundError> {
        self.is_usable = false;
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads the head of the final response and skips interim responses.
    ///
    /// # Errors
    ///
    /// The connection failed or the head is malformed.
    pub async fn read_head(&mut self) -> Result<ResponseHead, OutboundError> {
        let (head, info) = self.reader.read_final_head().await?;
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        response
            .parse(&head)
            .map_err(|e| OutboundError::new(&e.to_string()))?;
        Ok(ResponseHead {
            status: info.status,
            headers: header_lines(response.headers),
            wants_close: info.wants_close,
            framing: info.framing,
        })
    }

    /// Reads the next bytes of a body. Returns None when the response is
    /// complete.
    ///
    /// # Errors
    ///
    /// The response is incomplete.
    pub async fn next_bytes(
        &mut self,
        body: &mut ResponseBody,
    ) -> Result<Option<Vec<u8>>, OutboundError> {
        match *body {
            ResponseBody::Complete => Ok(None),
            ResponseBody::Chunked => {
                match self.reader.read_chunk_start().await? {
                    None => {
                        *body = ResponseBody::Complete;
                        Ok(None)
                    }
                    Some(size) => self.next_of_chunk(body, size).await,
                }
            }
            ResponseBody::InChunk(remaining) => {
                self.next_of_chunk(body, remaining).await
            }
            ResponseBody::Length(remaining) => {
                let bytes = self.next_of(remaining).await?;
                *body = match remaining - bytes.len() as u64 {
                    0 => ResponseBody::Complete,
                    remaining => ResponseBody::Length(remaining),
                };
                Ok(Some(bytes))
            }
            ResponseBody::UntilClosed => {
                let bytes = self.reader.next_bytes(READ_BYTES).await?;
                if bytes.is_none() {
                    *body = ResponseBody::Complete;
                }
                Ok(bytes)
            }
        }
    }

    /// Reads bytes of a chunk of which `remaining` bytes are left.
    async fn next_of_chunk(
        &mut self,
        body: &mut ResponseBody,
        remaining: u64,
    ) -> Result<Option<Vec<u8>>, OutboundError> {
        let bytes = self.next_of(remaining).await?;
        *body = match remaining - bytes.len() as u64 {
            0 => {
                self.reader.read_chunk_end().await?;
                ResponseBody::Chunked
            }
            remaining => ResponseBody::InChunk(remaining),
        };
        Ok(Some(bytes))
    }

    /// Reads some of `remaining` bytes that must arrive.
    async fn next_of(
        &mut self,
        remaining: u64,
    ) -> Result<Vec<u8>, OutboundError> {
        let max = usize::try_from(remaining).unwrap_or(usize::MAX);
        let bytes = self.reader.next_bytes(max).await?;
        bytes.ok_or_else(|| {
            let what = format!("the body ended {remaining} bytes early");
            MessageError::Truncated(what).into()
        })
    }

    /// Reads the rest of a body, up to a limit in bytes.
    ///
    /// # Errors
    ///
    /// The response is incomplete or the body is longer than the limit.
    pub async fn read_body(
        &mut self,
        mut body: ResponseBody,
        limit: usize,
    ) -> Result<Vec<u8>, OutboundError> {
        let mut content = Vec::new();
        while let Some(bytes) = self.next_bytes(&mut body).await? {
            content.extend_from_slice(&bytes);
            if content.len() > limit {
                return Err(MessageError::BodyTooLong(limit).into());
            }
        }
        Ok(content)
    }

    /// Records that the response was complete, so that the connection may be
    /// reused.
    pub fn finish(&mut self, head: &ResponseHead) {
        self.is_usable = !head.wants_close && head.framing.is_some();
    }

    /// Closes the connection at once, so that the server stops its work.
    pub fn abort(&self) {
        self.stream.shut_down();
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        if !self.is_usable {
            self.stream.shut_down();
        }
    }
}
