//! Calls to one server over kept connections.
//!
//! An answer is whole only when it ends as the server stated, by its length
//! or its last chunk; `async-h1` alone takes a shorter one without an error.
//! An answer that only the closed connection would end is never whole. An
//! error says whether the server may have got the request, which decides
//! whether a non-idempotent call may be made again.

use std::{
    error, fmt, io,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use async_h1::client::Encoder;
use async_io::Timer;
use futures_lite::FutureExt as _;
use http_types::{Method, Request, Response};

use crate::{
    head::{self, BodyFraming, ResponseHeadInfo},
    message::{MessageError, MessageReader},
    stream::SharedStream,
};

/// Idle connections kept to one server.
const MAX_IDLE: usize = 64;
/// Statuses below it are interim answers.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a call has no answer.
#[derive(Debug)]
#[non_exhaustive]
pub enum ClientError {
    /// The server was not reached: it did not get the request.
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// The connection broke after the request was sent: it may have run.
    Lost {
        /// Address of the server.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// No whole answer came in time; the request may have run.
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Time given, in milliseconds.
        limit_ms: u64,
    },
    /// The answer is longer than the limit.
    TooLong {
        /// Address of the server.
        address: SocketAddr,
        /// Longest answer taken, in bytes.
        limit_bytes: usize,
    },
}

impl ClientError {
    /// Whether the server may have got the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, ClientError::NotSent { .. })
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NotSent { address, source } => {
                write!(f, "{address} was not reached: {source}")
            }
            ClientError::Lost { address, detail } => {
                write!(f, "{address} gave no whole answer: {detail}")
            }
            ClientError::Timeout { address, limit_ms } => {
                write!(f, "{address} gave no answer within {limit_ms} ms")
            }
            ClientError::TooLong { address, limit_bytes } => write!(
                f,
                "the answer of {address} is longer than {limit_bytes} bytes"
            ),
        }
    }
}

impl error::Error for ClientError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            ClientError::NotSent { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// Limits of a client, set by chained methods.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    connect_timeout: Duration,
    max_response_bytes: usize,
    idle_timeout: Duration,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            connect_timeout: Duration::from_millis(500),
            max_response_bytes: 64 << 20,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl ClientOptions {
    /// The shipped settings.
    pub fn new() -> ClientOptions {
        ClientOptions::default()
    }

    /// How long dialling may take.
    pub fn connect_timeout(mut self, timeout: Duration) -> ClientOptions {
        self.connect_timeout = timeout;
        self
    }

    /// Longest answer taken.
    pub fn max_response_bytes(mut self, limit: usize) -> ClientOptions {
        self.max_response_bytes = limit;
        self
    }

    /// How long an idle connection is kept.
    pub fn idle_timeout(mut self, timeout: Duration) -> ClientOptions {
        self.idle_timeout = timeout;
        self
    }
}

/// A client of one server.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    options: ClientOptions,
    idle: Mutex<Vec<(SharedStream, Instant)>>,
}

impl Client {
    /// A client without connections.
    pub fn new(address: SocketAddr, options: ClientOptions) -> Client {
        Client { address, options, idle: Mutex::default() }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A request that reads a target ("/path?query").
    ///
    /// # Errors
    ///
    /// The target is no path.
    pub fn get(&self, target: &str) -> Result<Request, String> {
        let url = self.url(target).map_err(|e| e.to_string())?;
        Ok(Request::new(Method::Get, url))
    }

    /// A request that posts JSON to a target.
    ///
    /// # Errors
    ///
    /// The target is no path.
    pub fn post_json(
        &self,
        target: &str,
        body: Vec<u8>,
    ) -> Result<Request, String> {
        let url = self.url(target).map_err(|e| e.to_string())?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        Ok(request)
    }

    /// Sends a request and takes the whole answer. Build the request with
    /// [`Client::url`].
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; any HTTP status is an answer, not an error.
    pub async fn send(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let deadline = Instant::now() + timeout;
        let stream = match self.take_idle() {
            Some(stream) => stream,
            None => self.dial(timeout).await?,
        };
        let call = self.exchange(stream, request);
        let limit = async {
            Timer::at(deadline).await;
            let limit_ms = timeout.as_millis() as u64;
            Err(ClientError::Timeout { address: self.address, limit_ms })
        };
        call.or(limit).await
    }

    /// The URL of a target ("/path?query") at the server.
    ///
    /// # Errors
    ///
    /// The target is no path.
    pub fn url(&self, target: &str) -> Result<http_types::Url, url::Error> {
        url::parse(self.address, target)
    }

    async fn exchange(
        &self,
        mut stream: SharedStream,
        request: Request,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let method = request.method();
        futures_lite::io::copy(Encoder::new(request), &mut stream)
            .await
            .map_err(|e| self.lost(&e.to_string()))?;
        let mut reader = MessageReader::new(stream.clone());
        let (head, facts) = self.read_head(&mut reader).await?;
        let body = self.read_body(&mut reader, method, &facts).await?;
        let head = futures_lite::io::Cursor::new(head);
        let mut response = async_h1::client::decode(head)
            .await
            .map_err(|e| self.lost(&e.to_string()))?;
        response.take_body();
        // Bytes that nobody asked for could pass for the next answer.
        if !facts.wants_close && !reader.has_unread() {
            self.keep(stream);
        }
        Ok((response, body))
    }

    /// The head of the final answer; interim ones are passed over.
    async fn read_head(
        &self,
        reader: &mut MessageReader,
    ) -> Result<(Vec<u8>, ResponseHeadInfo), ClientError> {
        loop {
            let head = reader.read_head().await;
            let head = head.map_err(|e| self.broken(e))?;
            let facts = head::check_response(&head);
            let facts = facts.map_err(|e| self.lost(&e.message))?;
            if facts.status >= FIRST_FINAL_STATUS {
                return Ok((head, facts));
            }
        }
    }

    async fn read_body(
        &self,
        reader: &mut MessageReader,
        method: Method,
        facts: &ResponseHeadInfo,
    ) -> Result<Vec<u8>, ClientError> {
        if method == Method::Head || matches!(facts.status, 204 | 304) {
            return Ok(Vec::new());
        }
        let limit = self.options.max_response_bytes;
        let body = match facts.framing {
            None => return Err(self.lost("the answer states no length")),
            Some(BodyFraming::None) => Ok(Vec::new()),
            Some(BodyFraming::Length(length)) if length > limit as u64 => {
                Err(MessageError::BodyTooLong(limit))
            }
            Some(BodyFraming::Length(length)) => {
                reader.read_length(length as usize).await
            }
            Some(BodyFraming::Chunked) => reader.read_chunked(limit).await,
        };
        body.map_err(|e| self.broken(e))
    }

    async fn dial(
        &self,
        timeout: Duration,
    ) -> Result<SharedStream, ClientError> {
        let dial = SharedStream::connect(self.address);
        let limit = async {
            Timer::after(self.options.connect_timeout.min(timeout)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        dial.or(limit).await.map_err(|source| ClientError::NotSent {
            address: self.address,
            source,
        })
    }

    /// A kept connection that still looks open.
    fn take_idle(&self) -> Option<SharedStream> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some((stream, since)) = idle.pop() {
            let is_fresh = since.elapsed() < self.options.idle_timeout;
            if is_fresh && stream.is_idle() {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, stream: SharedStream) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE {
            idle.push((stream, Instant::now()));
        }
    }

    fn broken(&self, e: MessageError) -> ClientError {
        match e {
            MessageError::BodyTooLong(limit_bytes) => {
                ClientError::TooLong { address: self.address, limit_bytes }
            }
            _ => self.lost(&e.message()),
        }
    }

    fn lost(&self, detail: &str) -> ClientError {
        let detail = detail.to_owned();
        ClientError::Lost { address: self.address, detail }
    }
}

mod url {
    //! Targets at a server.

    use std::net::SocketAddr;

    use http_types::Url;

    pub use http_types::url::ParseError as Error;

    pub(super) fn parse(
        address: SocketAddr,
        target: &str,
    ) -> Result<Url, Error> {
        if !target.starts_with('/') {
            return Err(Error::RelativeUrlWithoutBase);
        }
        // Joining would take "//name" for another server.
        Url::parse(&format!("http://{address}{target}"))
    }
}
