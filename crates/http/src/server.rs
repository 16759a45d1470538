//! Serving one accepted connection.
//!
//! The body of a request is read whole, within a limit, before the handler
//! sees it: a request that is cut short must not run, and that is only known
//! at its end. Answers may be streamed.

mod head_stream;

use std::{future::Future, io, net::TcpStream, time::Duration};

use async_h1::server::Encoder;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use http_types::{Method, Request, Response, StatusCode};

use self::head_stream::decode_head;
use crate::{
    head::{self, BodyFraming, RequestError, RequestHeadInfo},
    message::{MessageError, MessageReader, READ_BYTES},
    stream::SharedStream,
};

/// Answer to a caller that waits before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long a new connection may wait for its first request while the
/// server closes.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// How long the caller's bytes are read on after the last answer.
const LINGER: Duration = Duration::from_millis(500);

/// Limits of a server, set by chained methods.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    max_body_bytes: usize,
    idle_timeout: Duration,
    read_timeout: Duration,
    error_response: fn(&RequestError) -> Response,
    closing: Option<async_channel::Receiver<()>>,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            max_body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(75),
            read_timeout: Duration::from_secs(10),
            error_response: plain_error,
            closing: None,
        }
    }
}

impl ServerOptions {
    /// The shipped settings.
    pub fn new() -> ServerOptions {
        ServerOptions::default()
    }

    /// Longest body taken; a longer one is answered 413.
    pub fn max_body_bytes(mut self, limit: usize) -> ServerOptions {
        self.max_body_bytes = limit;
        self
    }

    /// How long a connection may stay open without a request.
    pub fn idle_timeout(mut self, timeout: Duration) -> ServerOptions {
        self.idle_timeout = timeout;
        self
    }

    /// How long the rest of a request may take once it has begun.
    pub fn read_timeout(mut self, timeout: Duration) -> ServerOptions {
        self.read_timeout = timeout;
        self
    }

    /// Makes the answer to a request that is refused unhandled.
    pub fn error_response(
        mut self,
        make: fn(&RequestError) -> Response,
    ) -> ServerOptions {
        self.error_response = make;
        self
    }

    /// Closes connections without a request once this channel has closed.
    /// One that has just been opened is given a moment for its first.
    pub fn shutdown(
        mut self,
        closing: async_channel::Receiver<()>,
    ) -> ServerOptions {
        self.closing = Some(closing);
        self
    }

    /// Waits until a connection without a request is to be closed.
    async fn closed(&self, has_served: bool) -> io::Result<usize> {
        let Some(closing) = &self.closing else {
            return std::future::pending().await;
        };
        // Nothing is ever sent over it.
        let _ = closing.recv().await;
        let wait = if has_served { Duration::ZERO } else { FIRST_REQUEST };
        after(wait).await
    }
}

/// A whole request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Method, target and headers; its body is empty.
    pub request: Request,
    /// The whole body.
    pub body: Vec<u8>,
    /// The caller's connection, to notice that it hangs up.
    pub connection: SharedStream,
}

/// Serves requests one after another until the caller closes, an answer
/// breaks, or the idle timeout passes.
///
/// # Errors
///
/// The socket failed. A request that is refused is no error.
pub async fn serve_connection<H, F>(
    socket: Async<TcpStream>,
    options: &ServerOptions,
    handler: H,
) -> io::Result<()>
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Response>,
{
    let stream = SharedStream::new(socket)?;
    let reader = MessageReader::new(stream.clone());
    let mut connection = Connection { stream, reader, has_served: false };
    let outcome = connection.serve(options, handler).await;
    // The handler's tasks may still hold the stream: without this the caller
    // of a broken answer would wait for its end.
    connection.stream.shut_down();
    outcome
}

enum ReceiveError {
    Io(io::Error),
    Refused(RequestError),
}

impl From<io::Error> for ReceiveError {
    fn from(e: io::Error) -> ReceiveError {
        ReceiveError::Io(e)
    }
}

impl From<RequestError> for ReceiveError {
    fn from(e: RequestError) -> ReceiveError {
        ReceiveError::Refused(e)
    }
}

impl From<MessageError> for ReceiveError {
    fn from(e: MessageError) -> ReceiveError {
        let status = match e {
            MessageError::Io(e) => return ReceiveError::Io(e),
            MessageError::HeadTooLong(_) => 431,
            MessageError::BodyTooLong(_) => 413,
            MessageError::CutShort(_) | MessageError::BadChunk => 400,
        };
        refused(status, &e.message())
    }
}

fn refused(status: u16, message: &str) -> ReceiveError {
    ReceiveError::Refused(RequestError::new(status, message))
}

struct Connection {
    stream: SharedStream,
    reader: MessageReader,
    has_served: bool,
}

impl Connection {
    async fn serve<H, F>(
        &mut self,
        options: &ServerOptions,
        handler: H,
    ) -> io::Result<()>
    where
        H: Fn(ReceivedRequest) -> F,
        F: Future<Output = Response>,
    {
        loop {
            let (received, caller_wants_close) =
                match self.receive(options).await {
                    Ok(Some(next)) => next,
                    Ok(None) => return Ok(()),
                    Err(ReceiveError::Io(e)) => return Err(e),
                    Err(ReceiveError::Refused(why)) => {
                        let mut response = (options.error_response)(&why);
                        response.insert_header("connection", "close");
                        self.respond(response, Method::Get).await?;
                        return self.linger().await;
                    }
                };
            self.has_served = true;
            let method = received.request.method();
            let mut response = handler(received).await;
            if caller_wants_close {
                response.insert_header("connection", "close");
            }
            let wants_close = response
                .header("connection")
                .is_some_and(|v| head::has_token(v.as_str(), "close"));
            self.respond(response, method).await?;
            if wants_close {
                return self.linger().await;
            }
        }
    }

    /// The next request and whether the connection ends after it.
    async fn receive(
        &mut self,
        options: &ServerOptions,
    ) -> Result<Option<(ReceivedRequest, bool)>, ReceiveError> {
        if !self.reader.has_unread() {
            let idle = after(options.idle_timeout);
            let closed = options.closed(self.has_served);
            // A request that has come goes before the close.
            let first = self.reader.fill().or(idle).or(closed);
            match first.await {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return Ok(None);
                }
                Err(e) => return Err(e.into()),
            }
        }
        let rest = self.receive_rest(options);
        let timeout = async {
            Timer::after(options.read_timeout).await;
            Err(refused(408, "the request did not arrive in its time"))
        };
        rest.or(timeout).await.map(Some)
    }

    async fn receive_rest(
        &mut self,
        options: &ServerOptions,
    ) -> Result<(ReceivedRequest, bool), ReceiveError> {
        let limit = options.max_body_bytes;
        let mut head = self.reader.read_head().await?;
        let facts = head::check_request(&head)?;
        check_length(&facts, limit)?;
        head::blank_expect(&mut head);
        let request =
            decode_head(head).await.map_err(|why| refused(400, &why))?;
        if facts.expects_continue {
            self.stream.write_all(CONTINUE).await?;
        }
        let body = match facts.framing {
            BodyFraming::None => Vec::new(),
            BodyFraming::Length(length) => {
                self.reader.read_length(length as usize).await?
            }
            BodyFraming::Chunked => self.reader.read_chunked(limit).await?,
        };
        let connection = self.stream.clone();
        Ok((ReceivedRequest { request, body, connection }, facts.wants_close))
    }

    async fn respond(
        &mut self,
        response: Response,
        method: Method,
    ) -> io::Result<()> {
        let mut encoder = Encoder::new(response, method);
        let mut chunk = vec![0; READ_BYTES];
        loop {
            let count = encoder.read(&mut chunk).await?;
            if count == 0 {
                return self.stream.flush().await;
            }
            self.stream.write_all(&chunk[..count]).await?;
        }
    }

    /// Closes after the last answer, reading on for a moment: closing with
    /// unread bytes would reset the connection and lose the answer.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.close().await?;
        let drain = async {
            let mut chunk = vec![0; READ_BYTES];
            while self.stream.read(&mut chunk).await? > 0 {}
            Ok(())
        };
        let limit = async {
            Timer::after(LINGER).await;
            Ok(())
        };
        drain.or(limit).await
    }
}

fn check_length(
    facts: &RequestHeadInfo,
    limit: usize,
) -> Result<(), ReceiveError> {
    match facts.framing {
        BodyFraming::Length(length) if length > limit as u64 => {
            Err(MessageError::BodyTooLong(limit).into())
        }
        _ => Ok(()),
    }
}

async fn after(timeout: Duration) -> io::Result<usize> {
    Timer::after(timeout).await;
    Err(io::ErrorKind::TimedOut.into())
}

fn plain_error(error: &RequestError) -> Response {
    let status =
        StatusCode::try_from(error.status).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.set_body(error.message.as_str());
    response
}
