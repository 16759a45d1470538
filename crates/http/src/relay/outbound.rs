//! A connection to a server.
//!
//! The answer is taken in parts. An error says that the answer is not whole;
//! an answer without a length is whole when its connection ends in order.

use std::{error, fmt, io, net::SocketAddr, time::Duration};

use async_io::Timer;
use futures_lite::{AsyncWriteExt as _, FutureExt as _};

use super::{Header, find_header, header_lines};
use crate::{
    head::{self, BodyFraming, MAX_HEADERS},
    message::{MessageError, MessageReader, READ_BYTES},
    stream::SharedStream,
};

/// Statuses below it are interim answers.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why an answer is not whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundError {
    detail: String,
}

impl fmt::Display for OutboundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl error::Error for OutboundError {}

impl From<io::Error> for OutboundError {
    fn from(e: io::Error) -> OutboundError {
        OutboundError { detail: e.to_string() }
    }
}

impl From<MessageError> for OutboundError {
    fn from(e: MessageError) -> OutboundError {
        OutboundError { detail: e.message() }
    }
}

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its headers, in their order.
    pub headers: Vec<Header>,
    /// The server closes the connection after it.
    pub wants_close: bool,
    framing: Option<BodyFraming>,
}

impl ResponseHead {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// All values of a header, in their order.
    pub fn values<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let headers = self.headers.iter();
        let named = headers.filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.as_str())
    }

    /// The body that follows; a request of `HEAD` has none.
    pub fn body(&self, method: &str) -> ResponseBody {
        if method == "HEAD" || matches!(self.status, 204 | 304) {
            return ResponseBody::Complete;
        }
        match self.framing {
            Some(BodyFraming::None) => ResponseBody::Complete,
            Some(BodyFraming::Length(left)) => ResponseBody::Length(left),
            Some(BodyFraming::Chunked) => ResponseBody::Chunked,
            None => ResponseBody::UntilClosed,
        }
    }
}

/// What is left of an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseBody {
    /// Nothing: the answer is whole.
    Complete,
    /// So many bytes.
    Length(u64),
    /// Chunks up to the last.
    Chunked,
    /// All bytes until the connection ends.
    UntilClosed,
}

/// A connection to a server.
pub struct Outbound {
    stream: SharedStream,
    reader: MessageReader,
    is_usable: bool,
}

impl Outbound {
    /// Dials a server.
    ///
    /// # Errors
    ///
    /// The server was not reached in time.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Outbound> {
        let dial = SharedStream::connect(address);
        let limit = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = dial.or(limit).await?;
        let reader = MessageReader::new(stream.clone());
        Ok(Outbound { stream, reader, is_usable: true })
    }

    /// Waits until the server closes or sends something unasked.
    pub async fn closed(&self) {
        self.stream.peer_closed().await;
    }

    /// Whether another request may be sent: the last answer was whole, and
    /// the server has neither closed nor sent more than it.
    pub fn is_reusable(&self) -> bool {
        self.is_usable && !self.reader.has_unread() && self.stream.is_idle()
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// The connection broke; the request may have arrived.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), OutboundError> {
        self.is_usable = false;
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Takes the head of the final answer; interim ones are passed over.
    ///
    /// # Errors
    ///
    /// The connection broke or what came is no answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, OutboundError> {
        loop {
            let head = self.reader.read_head().await?;
            let facts = head::check_response(&head)
                .map_err(|e| OutboundError { detail: e.message })?;
            if facts.status < FIRST_FINAL_STATUS {
                continue;
            }
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            answer
                .parse(&head)
                .map_err(|e| OutboundError { detail: e.to_string() })?;
            return Ok(ResponseHead {
                status: facts.status,
                headers: header_lines(answer.headers),
                wants_close: facts.wants_close,
                framing: facts.framing,
            });
        }
    }

    /// Takes the next part of a body; none once the answer is whole.
    ///
    /// # Errors
    ///
    /// The answer is not whole.
    pub async fn next_bytes(
        &mut self,
        body: &mut ResponseBody,
    ) -> Result<Option<Vec<u8>>, OutboundError> {
        match *body {
            ResponseBody::Complete => Ok(None),
            ResponseBody::Chunked => {
                let chunk = self.reader.next_chunk(usize::MAX).await?;
                if chunk.is_none() {
                    *body = ResponseBody::Complete;
                }
                Ok(chunk)
            }
            ResponseBody::Length(left) => {
                let most = usize::try_from(left).unwrap_or(usize::MAX);
                let part = self.reader.next_bytes(most).await?;
                let part = part.ok_or_else(|| OutboundError {
                    detail: format!("the body lacks {left} bytes"),
                })?;
                *body = match left - part.len() as u64 {
                    0 => ResponseBody::Complete,
                    left => ResponseBody::Length(left),
                };
                Ok(Some(part))
            }
            ResponseBody::UntilClosed => {
                let part = self.reader.next_bytes(READ_BYTES).await?;
                if part.is_none() {
                    *body = ResponseBody::Complete;
                }
                Ok(part)
            }
        }
    }

    /// Takes the rest of a body, up to a limit.
    ///
    /// # Errors
    ///
    /// The answer is not whole, or longer.
    pub async fn read_body(
        &mut self,
        mut body: ResponseBody,
        limit: usize,
    ) -> Result<Vec<u8>, OutboundError> {
        let mut all = Vec::new();
        while let Some(part) = self.next_bytes(&mut body).await? {
            all.extend_from_slice(&part);
            if all.len() > limit {
                return Err(MessageError::BodyTooLong(limit).into());
            }
        }
        Ok(all)
    }

    /// Notes that an answer was whole, so that the connection may be kept.
    pub fn finish(&mut self, head: &ResponseHead) {
        self.is_usable = !head.wants_close && head.framing.is_some();
    }

    /// Ends the connection at once, so that the server stops its work.
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
