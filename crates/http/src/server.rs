//! Serving one accepted connection.
//!
//! The body of a request is read whole, within a limit, before the handler
//! sees it: a request that is cut short must not run, and that is only known
//! at its end. Answers may be streamed.

use std::{
    future::Future,
    io,
    net::TcpStream,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use async_h1::server::Encoder;
use async_io::{Async, Timer};
use futures_lite::{
    AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _,
    FutureExt as _,
};
use http_types::{Method, Request, Response, StatusCode};

use crate::{
    head::{self, BodyFraming, HeadFacts, MAX_HEAD_BYTES, RequestError},
    stream::SharedStream,
};

/// Bytes read from a socket at once.
const READ_BYTES: usize = 16 * 1024;
/// Answer to a caller that waits before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits of a server, set by chained methods.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    max_body_bytes: usize,
    idle_timeout: Duration,
    read_timeout: Duration,
    error_response: fn(&RequestError) -> Response,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            max_body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(75),
            read_timeout: Duration::from_secs(10),
            error_response: plain_error,
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
}

/// A whole request.
#[derive(Debug)]
pub struct Received {
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
    H: Fn(Received) -> F,
    F: Future<Output = Response>,
{
    let mut connection =
        Connection { stream: SharedStream::new(socket)?, unread: Vec::new() };
    loop {
        let (received, is_last) = match connection.receive(options).await {
            Ok(Some(next)) => next,
            Ok(None) => return Ok(()),
            Err(ReceiveError::Io(e)) => return Err(e),
            Err(ReceiveError::Refused(why)) => {
                let response = (options.error_response)(&why);
                connection.respond(response, Method::Get).await?;
                return connection.linger().await;
            }
        };
        let method = received.request.method();
        let mut response = handler(received).await;
        if is_last {
            response.insert_header("connection", "close");
        }
        let wants_close = response
            .header("connection")
            .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
        connection.respond(response, method).await?;
        if wants_close {
            return connection.stream.close().await;
        }
    }
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

fn refused(status: u16, message: &str) -> ReceiveError {
    ReceiveError::Refused(RequestError::new(status, message))
}

struct Connection {
    stream: SharedStream,
    /// Bytes received beyond the last request.
    unread: Vec<u8>,
}

impl Connection {
    /// The next request and whether the connection ends after it.
    async fn receive(
        &mut self,
        options: &ServerOptions,
    ) -> Result<Option<(Received, bool)>, ReceiveError> {
        if self.unread.is_empty() {
            let first = self.fill().or(after(options.idle_timeout)).await;
            match first {
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
    ) -> Result<(Received, bool), ReceiveError> {
        let mut head = self.read_head().await?;
        let facts = head::check(&head)?;
        check_length(&facts, options.max_body_bytes)?;
        if facts.expects_continue {
            head::blank_expect(&mut head);
            self.stream.write_all(CONTINUE).await?;
        }
        let mut is_last = facts.is_last;
        let limit = options.max_body_bytes;
        let (request, body) = match facts.framing {
            BodyFraming::None => (self.decode(head, false).await?, vec![]),
            BodyFraming::Length(length) => {
                let request = self.decode(head, false).await?;
                (request, self.read_body(length as usize).await?)
            }
            BodyFraming::Chunked => {
                // The decoder may read past the body, so the connection is
                // not used again.
                is_last = true;
                let mut request = self.decode(head, true).await?;
                let body = read_chunked(&mut request, limit).await?;
                (request, body)
            }
        };
        let connection = self.stream.clone();
        Ok((Received { request, body, connection }, is_last))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let old_length = self.unread.len();
        self.unread.resize(old_length + READ_BYTES, 0);
        let count = self.stream.read(&mut self.unread[old_length..]).await;
        let read = *count.as_ref().unwrap_or(&0);
        self.unread.truncate(old_length + read);
        count
    }

    /// Takes the bytes up to and with the empty line.
    async fn read_head(&mut self) -> Result<Vec<u8>, ReceiveError> {
        let mut searched: usize = 0;
        loop {
            let from = searched.saturating_sub(3);
            if let Some(at) = find_head_end(&self.unread[from..]) {
                let rest = self.unread.split_off(from + at);
                let head = std::mem::replace(&mut self.unread, rest);
                return if head.len() > MAX_HEAD_BYTES {
                    Err(head_too_long())
                } else {
                    Ok(head)
                };
            }
            if self.unread.len() > MAX_HEAD_BYTES {
                return Err(head_too_long());
            }
            searched = self.unread.len();
            if self.fill().await? == 0 {
                return Err(refused(400, "the head was cut short"));
            }
        }
    }

    async fn read_body(
        &mut self,
        length: usize,
    ) -> Result<Vec<u8>, ReceiveError> {
        while self.unread.len() < length {
            if self.fill().await? == 0 {
                let message = format!(
                    "the body ended after {} of {length} bytes",
                    self.unread.len()
                );
                return Err(refused(400, &message));
            }
        }
        let rest = self.unread.split_off(length);
        Ok(std::mem::replace(&mut self.unread, rest))
    }

    /// Has `async-h1` read the head; with `is_live`, the body's bytes follow
    /// from the connection.
    async fn decode(
        &mut self,
        mut head: Vec<u8>,
        is_live: bool,
    ) -> Result<Request, ReceiveError> {
        let rest = is_live.then(|| {
            head.append(&mut self.unread);
            self.stream.clone()
        });
        let bytes = Arc::new(Mutex::new(io::Cursor::new(head)));
        let replay = Replay { bytes, rest };
        match async_h1::server::decode(replay).await {
            Ok(Some((request, _))) => Ok(request),
            Ok(None) => Err(refused(400, "the head is not complete")),
            Err(e) => Err(refused(400, &e.to_string())),
        }
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

    /// Closes after a refusal, reading on for a moment: closing with unread
    /// bytes would reset the connection and lose the answer.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.close().await?;
        let drain = async {
            let mut chunk = vec![0; READ_BYTES];
            while self.stream.read(&mut chunk).await? > 0 {}
            Ok(())
        };
        let limit = async {
            Timer::after(Duration::from_millis(500)).await;
            Ok(())
        };
        drain.or(limit).await
    }
}

fn head_too_long() -> ReceiveError {
    let message = format!("the head is longer than {MAX_HEAD_BYTES} bytes");
    refused(431, &message)
}

fn check_length(facts: &HeadFacts, limit: usize) -> Result<(), ReceiveError> {
    match facts.framing {
        BodyFraming::Length(length) if length > limit as u64 => {
            Err(body_too_long(limit))
        }
        _ => Ok(()),
    }
}

fn body_too_long(limit: usize) -> ReceiveError {
    refused(413, &format!("the body is longer than {limit} bytes"))
}

async fn read_chunked(
    request: &mut Request,
    limit: usize,
) -> Result<Vec<u8>, ReceiveError> {
    let mut body = Vec::new();
    let reader = request.take_body();
    // One byte more than the limit tells a body that is too long.
    let mut limited = reader.take(limit as u64 + 1);
    if limited.read_to_end(&mut body).await.is_err() {
        return Err(refused(400, "the chunked body was cut short"));
    }
    if body.len() > limit {
        return Err(body_too_long(limit));
    }
    Ok(body)
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let end = b"\r\n\r\n";
    bytes.windows(end.len()).position(|w| w == end).map(|at| at + end.len())
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
    response.insert_header("connection", "close");
    response
}

/// A request's head as a stream, and after it the connection's bytes if the
/// body is still to be read.
#[derive(Clone)]
struct Replay {
    bytes: Arc<Mutex<io::Cursor<Vec<u8>>>>,
    rest: Option<SharedStream>,
}

impl AsyncRead for Replay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let replayed = {
            let mut bytes = self.bytes.lock().expect("no holder panics");
            io::Read::read(&mut *bytes, buf)?
        };
        match &mut self.rest {
            Some(rest) if replayed == 0 => Pin::new(rest).poll_read(cx, buf),
            _ => Poll::Ready(Ok(replayed)),
        }
    }
}

/// The decoder writes only to answer `Expect`, which was answered before.
impl AsyncWrite for Replay {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
