//! Serves one accepted connection.
//!
//! The server reads the complete body of a request, within a limit, before it
//! calls the handler: a truncated request must not run, and truncation shows
//! only at the end of the body. Responses may be streamed.

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

/// Interim response to a caller that waits before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// How long a new connection may wait for its first request during a
/// shutdown.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the server drains the connection after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of a server, set by chained methods.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    max_body_bytes: usize,
    idle_timeout: Duration,
    read_timeout: Duration,
    error_response: fn(&RequestError) -> Response,
    shutdown: Option<async_channel::Receiver<()>>,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            max_body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(75),
            read_timeout: Duration::from_secs(10),
            error_response: plain_text_error,
            shutdown: None,
        }
    }
}

impl ServerOptions {
    /// The default limits.
    pub fn new() -> ServerOptions {
        ServerOptions::default()
    }

    /// Longest accepted body, in bytes; a longer body gets status 413.
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

    /// Sets the function that builds the response to a rejected request.
    pub fn error_response(
        mut self,
        make: fn(&RequestError) -> Response,
    ) -> ServerOptions {
        self.error_response = make;
        self
    }

    /// Closes idle connections once this channel is closed. A new connection
    /// gets a short time for its first request.
    pub fn shutdown(
        mut self,
        shutdown: async_channel::Receiver<()>,
    ) -> ServerOptions {
        self.shutdown = Some(shutdown);
        self
    }

    /// Waits until the shutdown closes an idle connection, then times out.
    async fn idle_shutdown(&self, has_served: bool) -> io::Result<usize> {
        let Some(shutdown) = &self.shutdown else {
            return std::future::pending().await;
        };
        // The channel carries no messages; it only closes.
        let _ = shutdown.recv().await;
        let wait =
            if has_served { Duration::ZERO } else { FIRST_REQUEST_TIMEOUT };
        time_out_after(wait).await
    }
}

/// A complete request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Method, target and headers; its body is empty.
    pub request: Request,
    /// The complete body.
    pub body: Vec<u8>,
    /// The caller's connection, which shows when the caller disconnects.
    pub connection: SharedStream,
}

/// Serves requests one after another until the caller closes the connection,
/// a response body fails, or the idle timeout passes.
///
/// # Errors
///
/// The socket or a response body failed. A rejected request is not an error.
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
    // Tasks of the handler may still hold the stream. Without the shutdown the
    // caller would wait for the rest of an aborted response.
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
        match e.into_rejection() {
            Ok(why) => ReceiveError::Refused(why),
            Err(e) => ReceiveError::Io(e),
        }
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

    /// Receives the next request, and whether the caller wants to close the
    /// connection after it.
    async fn receive(
        &mut self,
        options: &ServerOptions,
    ) -> Result<Option<(ReceivedRequest, bool)>, ReceiveError> {
        if !self.reader.has_unread() {
            let idle = time_out_after(options.idle_timeout);
            let shutdown = options.idle_shutdown(self.has_served);
            // A request that has arrived takes precedence over the shutdown.
            let first = self.reader.fill().or(idle).or(shutdown);
            match first.await {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    return Ok(None);
                }
                Err(e) => return Err(e.into()),
            }
        }
        let request = self.read_request(options);
        let timeout = async {
            Timer::after(options.read_timeout).await;
            Err(refused(408, "the request did not arrive in its time"))
        };
        request.or(timeout).await.map(Some)
    }

    async fn read_request(
        &mut self,
        options: &ServerOptions,
    ) -> Result<(ReceivedRequest, bool), ReceiveError> {
        let limit = options.max_body_bytes;
        let mut head = self.reader.read_head().await?;
        let info = head::check_request(&head)?;
        check_length(&info, limit)?;
        head::blank_expect(&mut head);
        let request =
            decode_head(head).await.map_err(|why| refused(400, &why))?;
        if info.expects_continue {
            self.stream.write_all(CONTINUE).await?;
        }
        let body = match info.framing {
            BodyFraming::None => Vec::new(),
            BodyFraming::Length(length) => {
                self.reader.read_length(length as usize).await?
            }
            BodyFraming::Chunked => self.reader.read_chunked(limit).await?,
        };
        let connection = self.stream.clone();
        Ok((ReceivedRequest { request, body, connection }, info.wants_close))
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

    /// Closes the connection after the last response and drains it briefly.
    /// Closing with unread bytes would reset the connection and could lose
    /// the response.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.close().await?;
        let drain = async {
            let mut chunk = vec![0; READ_BYTES];
            while self.stream.read(&mut chunk).await? > 0 {}
            Ok(())
        };
        let limit = async {
            Timer::after(LINGER_TIMEOUT).await;
            Ok(())
        };
        drain.or(limit).await
    }
}

fn check_length(
    info: &RequestHeadInfo,
    limit: usize,
) -> Result<(), ReceiveError> {
    match info.framing {
        BodyFraming::Length(length) if length > limit as u64 => {
            Err(MessageError::BodyTooLong(limit).into())
        }
        _ => Ok(()),
    }
}

async fn time_out_after(timeout: Duration) -> io::Result<usize> {
    Timer::after(timeout).await;
    Err(io::ErrorKind::TimedOut.into())
}

fn plain_text_error(error: &RequestError) -> Response {
    let status =
        StatusCode::try_from(error.status).unwrap_or(StatusCode::BadRequest);
    let mut response = Response::new(status);
    response.set_body(error.message.as_str());
    response
}
