//! HTTP client for one server, with a pool of idle connections.
//!
//! A response is complete only if its body ends as the server stated, by its
//! length or by its last chunk; `async-h1` alone accepts a shorter body
//! without an error. A response whose body ends only when the connection
//! closes is an error. Errors tell whether the server may have received the
//! request, which decides whether a non-idempotent call may be retried.

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
    head::{BodyFraming, ResponseHeadInfo},
    message::{MessageError, MessageReader},
    stream::SharedStream,
};

/// Usual limit on a pause in a response: a packet that is lost twice in a row
/// is sent again after 0.6 s.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections that the pool keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a call has no complete response.
#[derive(Debug)]
#[non_exhaustive]
pub enum ClientError {
    /// The connection failed, so the server did not receive the request.
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection attempt.
        source: io::Error,
    },
    /// The connection or the response failed after the request was sent; the
    /// request may have run.
    Lost {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the failure.
        detail: String,
    },
    /// No complete response arrived before the timeout; the request may have
    /// run.
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Timeout of the call, or of a pause in the body, in milliseconds.
        limit_ms: u64,
        /// Bytes of the response that had arrived.
        received_bytes: u64,
    },
    /// The response body is longer than the limit.
    TooLong {
        /// Address of the server.
        address: SocketAddr,
        /// Longest accepted body, in bytes.
        limit_bytes: usize,
    },
}

impl ClientError {
    /// Whether the server may have received the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, ClientError::NotSent { .. })
    }

    /// Adds to a timeout how much of the response had arrived.
    fn with_received(mut self, bytes: u64) -> ClientError {
        if let ClientError::Timeout { received_bytes, .. } = &mut self {
            *received_bytes = bytes;
        }
        self
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
            ClientError::Timeout { address, limit_ms, received_bytes: 0 } => {
                write!(f, "{address} gave no answer within {limit_ms} ms")
            }
            ClientError::Timeout { address, limit_ms, received_bytes } => {
                write!(
                    f,
                    "{address} sent only {received_bytes} bytes of its answer \
                     before the limit of {limit_ms} ms"
                )
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
    stall_timeout: Option<Duration>,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            connect_timeout: Duration::from_millis(500),
            max_response_bytes: 64 << 20,
            idle_timeout: Duration::from_secs(30),
            stall_timeout: None,
        }
    }
}

impl ClientOptions {
    /// The default limits.
    pub fn new() -> ClientOptions {
        ClientOptions::default()
    }

    /// How long connecting may take.
    pub fn connect_timeout(mut self, timeout: Duration) -> ClientOptions {
        self.connect_timeout = timeout;
        self
    }

    /// Longest accepted response body, in bytes.
    pub fn max_response_bytes(mut self, limit: usize) -> ClientOptions {
        self.max_response_bytes = limit;
        self
    }

    /// How long an idle connection stays in the pool.
    pub fn idle_timeout(mut self, timeout: Duration) -> ClientOptions {
        self.idle_timeout = timeout;
        self
    }

    /// How long a body may pause. With this limit, the timeout of a call holds
    /// for the head only, so that a body of any length can cross a slow link;
    /// else for head and body together.
    pub fn stall_timeout(mut self, timeout: Duration) -> ClientOptions {
        self.stall_timeout = Some(timeout);
        self
    }
}

/// HTTP client for one server.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    options: ClientOptions,
    idle: Mutex<Vec<(SharedStream, Instant)>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, options: ClientOptions) -> Client {
        Client { address, options, idle: Mutex::default() }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Builds a GET request for a target ("/path?query").
    ///
    /// # Errors
    ///
    /// The target is not an absolute path.
    pub fn get(&self, target: &str) -> Result<Request, String> {
        let url = self.url(target).map_err(|e| e.to_string())?;
        Ok(Request::new(Method::Get, url))
    }

    /// Builds a POST request with a JSON body for a target ("/path?query").
    ///
    /// # Errors
    ///
    /// The target is not an absolute path.
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

    /// Sends a request and returns the complete response: its head, and the
    /// body. Build the request with [`Client::url`].
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; a response of any HTTP status is not an error.
    pub async fn send(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let deadline = Instant::now() + timeout;
        let stream = match self.take_idle() {
            Some(stream) => stream,
            None => self.connect(timeout).await?,
        };
        let method = request.method();
        let began = self.begin(stream.clone(), request);
        let began = began.or(self.time_limit(deadline, timeout));
        let began = began.await.inspect_err(|e| self.drop_idle_after(e));
        let (mut reader, head, info) = began?;
        reader.set_stall_timeout(self.options.stall_timeout);
        let body = self.read_body(&mut reader, method, &info);
        let body = match self.options.stall_timeout {
            Some(_) => body.await,
            None => body.or(self.time_limit(deadline, timeout)).await,
        };
        let body = body.inspect_err(|e| self.drop_idle_after(e));
        let body = body.map_err(|e| e.with_received(reader.received()))?;
        let response = self.decode_head(head).await?;
        // Surplus bytes would be read as the response to the next request.
        if !info.wants_close && !reader.has_unread() {
            self.keep_idle(stream);
        }
        Ok((response, body))
    }

    /// Fails at the deadline.
    async fn time_limit<T>(
        &self,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<T, ClientError> {
        Timer::at(deadline).await;
        let limit_ms = timeout.as_millis() as u64;
        let (address, received_bytes) = (self.address, 0);
        Err(ClientError::Timeout { address, limit_ms, received_bytes })
    }

    /// The URL of a target ("/path?query") on the server.
    ///
    /// # Errors
    ///
    /// The target is not an absolute path.
    pub fn url(&self, target: &str) -> Result<http_types::Url, url::Error> {
        url::parse(self.address, target)
    }

    /// Sends a request and reads the head of its response.
    async fn begin(
        &self,
        mut stream: SharedStream,
        request: Request,
    ) -> Result<(MessageReader, Vec<u8>, ResponseHeadInfo), ClientError> {
        futures_lite::io::copy(Encoder::new(request), &mut stream)
            .await
            .map_err(|e| self.lost(&e.to_string()))?;
        let mut reader = MessageReader::new(stream);
        let read = reader.read_final_head().await;
        let (head, info) = read.map_err(|e| self.read_error(e))?;
        Ok((reader, head, info))
    }

    async fn decode_head(
        &self,
        head: Vec<u8>,
    ) -> Result<Response, ClientError> {
        let head = futures_lite::io::Cursor::new(head);
        let mut response = async_h1::client::decode(head)
            .await
            .map_err(|e| self.lost(&e.to_string()))?;
        response.take_body();
        Ok(response)
    }

    async fn read_body(
        &self,
        reader: &mut MessageReader,
        method: Method,
        info: &ResponseHeadInfo,
    ) -> Result<Vec<u8>, ClientError> {
        if method == Method::Head || matches!(info.status, 204 | 304) {
            return Ok(Vec::new());
        }
        let limit = self.options.max_response_bytes;
        let body = match info.framing {
            None => {
                return Err(self.lost("the answer states no length"));
            }
            Some(BodyFraming::None) => Ok(Vec::new()),
            Some(BodyFraming::Length(length)) if length > limit as u64 => {
                Err(MessageError::BodyTooLong(limit))
            }
            Some(BodyFraming::Length(length)) => {
                reader.read_length(length as usize).await
            }
            Some(BodyFraming::Chunked) => reader.read_chunked(limit).await,
        };
        body.map_err(|e| self.read_error(e))
    }

    async fn connect(
        &self,
        timeout: Duration,
    ) -> Result<SharedStream, ClientError> {
        let connect = SharedStream::connect(self.address);
        let limit = async {
            Timer::after(self.options.connect_timeout.min(timeout)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        connect.or(limit).await.map_err(|source| ClientError::NotSent {
            address: self.address,
            source,
        })
    }

    /// Takes an idle connection that still looks open from the pool.
    fn take_idle(&self) -> Option<SharedStream> {
        let mut idle = self.idle.lock().expect("no holder panics");
        while let Some((stream, idle_since)) = idle.pop() {
            let is_fresh = idle_since.elapsed() < self.options.idle_timeout;
            if is_fresh && stream.is_idle() {
                return Some(stream);
            }
        }
        None
    }

    /// Drops the idle connections after a timeout: what made one connection
    /// go silent may have done so to all that were open.
    fn drop_idle_after(&self, error: &ClientError) {
        if let ClientError::Timeout { .. } = error {
            self.idle.lock().expect("no holder panics").clear();
        }
    }

    fn keep_idle(&self, stream: SharedStream) {
        let mut idle = self.idle.lock().expect("no holder panics");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((stream, Instant::now()));
        }
    }

    fn read_error(&self, e: MessageError) -> ClientError {
        match e {
            MessageError::BodyTooLong(limit_bytes) => {
                ClientError::TooLong { address: self.address, limit_bytes }
            }
            MessageError::Stalled(limit) => ClientError::Timeout {
                address: self.address,
                limit_ms: limit.as_millis() as u64,
                received_bytes: 0,
            },
            _ => self.lost(&e.message()),
        }
    }

    fn lost(&self, detail: &str) -> ClientError {
        let detail = detail.to_owned();
        ClientError::Lost { address: self.address, detail }
    }
}

mod url {
    //! URLs of targets on a server.

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
        // `Url::join` would interpret "//name" as another host.
        Url::parse(&format!("http://{address}{target}"))
    }
}
