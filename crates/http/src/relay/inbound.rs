//! The connection of a caller.

use std::{
    fmt, io,
    net::TcpStream,
    time::{Duration, Instant},
};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};

use super::{RelayRequest, header_lines};
use crate::{
    head::{self, BodyFraming, MAX_HEADERS, RequestError},
    message::{MessageError, MessageReader, READ_BYTES},
    stream::SharedStream,
};

/// Interim response to a caller that waits before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long the server drains the connection after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits on the size and duration of a caller's requests.
#[derive(Clone, Copy, Debug)]
pub struct InboundLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head after its first byte.
    pub head_timeout: Duration,
    /// Longest time for a body.
    pub body_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
}

/// Why no request was received.
#[derive(Debug)]
pub enum InboundError {
    /// The caller closed the connection or was idle too long, or the socket
    /// failed.
    Closed,
    /// The request is rejected before it is handled, and the connection closes.
    Refused(RequestError),
}

impl fmt::Display for InboundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InboundError::Closed => f.write_str("the connection was closed"),
            InboundError::Refused(why) => why.fmt(f),
        }
    }
}

impl From<io::Error> for InboundError {
    fn from(_: io::Error) -> InboundError {
        InboundError::Closed
    }
}

impl From<RequestError> for InboundError {
    fn from(e: RequestError) -> InboundError {
        InboundError::Refused(e)
    }
}

impl From<MessageError> for InboundError {
    fn from(e: MessageError) -> InboundError {
        match e.into_rejection() {
            Ok(why) => InboundError::Refused(why),
            Err(_) => InboundError::Closed,
        }
    }
}

/// The connection of a caller.
pub struct Inbound {
    stream: SharedStream,
    reader: MessageReader,
    write_count: u64,
}

impl Inbound {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// The socket options cannot be set.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Inbound> {
        let stream = SharedStream::new(socket)?;
        let reader = MessageReader::new(stream.clone());
        Ok(Inbound { stream, reader, write_count: 0 })
    }

    /// The socket, which shows when the caller disconnects.
    pub fn stream(&self) -> &SharedStream {
        &self.stream
    }

    /// Waits for the first bytes of the next request.
    ///
    /// # Errors
    ///
    /// The caller closed the connection.
    pub async fn wait_for_bytes(&mut self) -> Result<(), InboundError> {
        if self.reader.has_unread() {
            return Ok(());
        }
        match self.reader.fill().await? {
            0 => Err(InboundError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads a request whose first bytes have arrived.
    ///
    /// # Errors
    ///
    /// See [`InboundError`].
    pub async fn receive(
        &mut self,
        limits: &InboundLimits,
    ) -> Result<RelayRequest, InboundError> {
        self.receive_within(limits, &mut |_| true).await
    }

    /// Reads a request whose first bytes have arrived. Before a part of the
    /// body is read, `may_hold` decides whether the receiver has memory for the
    /// body up to its end, in bytes; else the request is refused unread.
    ///
    /// # Errors
    ///
    /// See [`InboundError`].
    pub async fn receive_within(
        &mut self,
        limits: &InboundLimits,
        may_hold: &mut (dyn FnMut(usize) -> bool + Send),
    ) -> Result<RelayRequest, InboundError> {
        self.reader.set_max_head_bytes(limits.max_head_bytes);
        let deadline = Instant::now() + limits.head_timeout;
        let head = async { Ok(self.reader.read_head().await?) };
        let head = head.or(timeout_at(deadline)).await?;
        let info = head::check_request(&head)?;
        let length = match info.framing {
            BodyFraming::Length(length) => length,
            BodyFraming::None | BodyFraming::Chunked => 0,
        };
        if length > limits.max_body_bytes as u64 {
            return Err(
                MessageError::BodyTooLong(limits.max_body_bytes).into()
            );
        }
        if length > 0 && !may_hold(length as usize) {
            return Err(MessageError::NoMemory.into());
        }
        let mut request = parse_head(&head)?;
        request.wants_close = info.wants_close;
        if info.expects_continue {
            self.stream.write_all(CONTINUE).await?;
        }
        let deadline = Instant::now() + limits.body_timeout;
        let limit = limits.max_body_bytes;
        let body = self.read_body(info.framing, limit, may_hold);
        request.body = body.or(timeout_at(deadline)).await?;
        Ok(request)
    }

    async fn read_body(
        &mut self,
        framing: BodyFraming,
        limit: usize,
        may_hold: &mut (dyn FnMut(usize) -> bool + Send),
    ) -> Result<Vec<u8>, InboundError> {
        Ok(match framing {
            BodyFraming::None => Vec::new(),
            BodyFraming::Length(length) => {
                self.reader.read_length(length as usize).await?
            }
            BodyFraming::Chunked => {
                self.reader.read_chunked_within(limit, may_hold).await?
            }
        })
    }

    /// Sends bytes of a response.
    ///
    /// # Errors
    ///
    /// The caller has disconnected.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_count += 1;
        self.stream.write_all(bytes).await
    }

    /// Number of writes that have begun.
    pub fn write_count(&self) -> u64 {
        self.write_count
    }

    /// Closes the connection at once, even within a body.
    pub fn abort(&self) {
        self.stream.shut_down();
    }

    /// Closes the connection after the last response and drains it briefly.
    /// Closing with unread bytes would reset the connection and could lose
    /// the response.
    pub async fn close(&mut self) {
        if self.stream.close().await.is_err() {
            return;
        }
        let drain = async {
            let mut chunk = vec![0; READ_BYTES];
            while matches!(self.stream.read(&mut chunk).await, Ok(1..)) {}
        };
        let limit = async {
            Timer::after(LINGER_TIMEOUT).await;
        };
        drain.or(limit).await;
    }
}

async fn timeout_at<T>(deadline: Instant) -> Result<T, InboundError> {
    Timer::at(deadline).await;
    let message = "the request did not arrive in its time";
    Err(RequestError::new(408, message).into())
}

fn parse_head(head: &[u8]) -> Result<RelayRequest, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(head);
    let target = request.path.unwrap_or_default();
    if parsed.is_err() || !target.starts_with('/') {
        return Err(RequestError::new(400, "the target is no path"));
    }
    Ok(RelayRequest {
        method: request.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        headers: header_lines(request.headers),
        body: Vec::new(),
        wants_close: false,
    })
}
