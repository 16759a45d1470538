//! Client of a daemon's control port.
//!
//! A client has a single connection and runs its calls sequentially. The
//! connection is only driven during a call, so the client needs neither a
//! background task nor an executor. A call that fails for any reason other
//! than a refusal closes the client, since a connection that has stopped
//! responding may never recover; the caller has to connect again.

use std::{
    error::Error,
    future::Future,
    io,
    net::{SocketAddr, TcpStream},
    pin::Pin,
    time::{Duration, Instant},
};

use async_compat::Compat;
use async_io::{Async, Timer};
use async_lock::Mutex;
use futures_lite::FutureExt as _;
use tarpc::{
    client::{Config, NewClient, RpcError},
    context::{self, Context},
};

use crate::{
    PROTOCOL_VERSION,
    message::{Blob, ExplainQuery, GenerationInfo, NodeInfo, NodeStatus},
    refusal::ControlRefusal,
    service::ControlClient as Stub,
    transport::json_transport,
};

mod error;

pub use error::ControlError;

/// Timeout of a call that reads the state of the process.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call that changes the state of the process.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call with a large response.
const BULK_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection to a daemon.
pub struct ControlClient {
    address: SocketAddr,
    info: NodeInfo,
    call_timeout: Option<Duration>,
    connection: Mutex<Option<Connection>>,
}

impl ControlClient {
    /// Connects to a daemon and checks the protocol version, both within the
    /// timeout.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached or does not support the version.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ControlClient, ControlError> {
        ControlClient::connect_with_version(address, timeout, PROTOCOL_VERSION)
            .await
    }

    /// As [`ControlClient::connect`], with a given protocol version, to check
    /// how a daemon responds to it.
    ///
    /// # Errors
    ///
    /// As for [`ControlClient::connect`].
    pub async fn connect_with_version(
        address: SocketAddr,
        timeout: Duration,
        protocol_version: u32,
    ) -> Result<ControlClient, ControlError> {
        let deadline = Instant::now() + timeout;
        let mut connection = Connection::open(address, timeout).await?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let hello = Call { address, name: "hello", timeout: remaining };
        let info = hello
            .run(&mut connection, |stub, context| async move {
                stub.hello(context, protocol_version).await
            })
            .await?;
        Ok(ControlClient {
            address,
            info,
            call_timeout: None,
            connection: Mutex::new(Some(connection)),
        })
    }

    /// Sets one timeout for all calls, instead of the default of each call.
    pub fn call_timeout(mut self, timeout: Duration) -> ControlClient {
        self.call_timeout = Some(timeout);
        self
    }

    /// Identity of the process, as stated when the client connected.
    pub fn info(&self) -> &NodeInfo {
        &self.info
    }

    /// Returns the status of the process.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn status(&self) -> Result<NodeStatus, ControlError> {
        self.call("status", READ_TIMEOUT, |stub, context| async move {
            stub.status(context).await
        })
        .await
    }

    /// Drains a backend server, or all if none is given: new work is refused.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn drain(
        &self,
        backend: Option<&str>,
    ) -> Result<(), ControlError> {
        let backend = backend.map(str::to_owned);
        self.call("drain", ORDER_TIMEOUT, |stub, context| async move {
            stub.drain(context, backend).await
        })
        .await
    }

    /// Ends a drain: new work is accepted again.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn undrain(
        &self,
        backend: Option<&str>,
    ) -> Result<(), ControlError> {
        let backend = backend.map(str::to_owned);
        self.call("undrain", ORDER_TIMEOUT, |stub, context| async move {
            stub.undrain(context, backend).await
        })
        .await
    }

    /// Returns the active manifest generation.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn generation(&self) -> Result<GenerationInfo, ControlError> {
        self.call("generation", READ_TIMEOUT, |stub, context| async move {
            stub.generation(context).await
        })
        .await
    }

    /// Returns a part of a manifest by its digest, if the process has it.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn manifest_part(
        &self,
        digest: &[u8],
    ) -> Result<Option<Vec<u8>>, ControlError> {
        let digest = Blob(digest.to_vec());
        let part = self
            .call("manifest_part", BULK_TIMEOUT, |stub, context| async move {
                stub.manifest_part(context, digest).await
            })
            .await?;
        Ok(part.map(|blob| blob.0))
    }

    /// Explains the choice of a chain, as JSON.
    ///
    /// # Errors
    ///
    /// See [`ControlError`].
    pub async fn explain(
        &self,
        query: &ExplainQuery,
    ) -> Result<String, ControlError> {
        let query = query.clone();
        self.call("explain", BULK_TIMEOUT, |stub, context| async move {
            stub.explain(context, query).await
        })
        .await
    }

    async fn call<T, F>(
        &self,
        name: &'static str,
        timeout: Duration,
        send: impl FnOnce(Stub, Context) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = CallResult<T>>,
    {
        let address = self.address;
        let mut slot = self.connection.lock().await;
        // The connection is out of its slot during the call, so that a call
        // whose future is dropped closes the client too.
        let Some(mut connection) = slot.take() else {
            return Err(ControlError::Closed { address });
        };
        let timeout = self.call_timeout.unwrap_or(timeout);
        let call = Call { address, name, timeout };
        let result = call.run(&mut connection, send).await;
        if matches!(result, Ok(_) | Err(ControlError::Refused(_))) {
            *slot = Some(connection);
        }
        result
    }
}

/// Result of a call from `tarpc`.
type CallResult<T> = Result<Result<T, ControlRefusal>, RpcError>;

/// Future that sends and receives for the stub. The output is the reason for
/// which the connection closed.
type Dispatch = Pin<Box<dyn Future<Output = String> + Send>>;

struct Connection {
    stub: Stub,
    dispatch: Dispatch,
}

impl Connection {
    async fn open(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, ControlError> {
        let connecting = Async::<TcpStream>::connect(address);
        let expiry = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = connecting.or(expiry).await.and_then(json_transport);
        let transport = opened
            .map_err(|source| ControlError::Unreachable { address, source })?;
        // `Stub::new` sets up a timer, so it must run inside `Compat`.
        let created = async { Stub::new(Config::default(), transport) };
        let NewClient { client, dispatch } = Compat::new(created).await;
        let dispatch = async move {
            match dispatch.await {
                Ok(()) => "the peer closed the connection".to_owned(),
                Err(e) => error_chain(&e),
            }
        };
        Ok(Connection { stub: client, dispatch: Box::pin(dispatch) })
    }
}

/// A call and its timeout.
struct Call {
    address: SocketAddr,
    name: &'static str,
    timeout: Duration,
}

impl Call {
    async fn run<T, F>(
        &self,
        connection: &mut Connection,
        send: impl FnOnce(Stub, Context) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = CallResult<T>>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + self.timeout;
        let response = send(connection.stub.clone(), context);
        let completed = async { self.map_result(response.await) };
        let disconnected = async {
            Err(self.connection_lost((&mut connection.dispatch).await))
        };
        let expiry = async {
            Timer::after(self.timeout).await;
            Err(self.timed_out())
        };
        // The response is polled first, so that it is not lost if the
        // connection closes directly after it.
        Compat::new(completed.or(disconnected).or(expiry)).await
    }

    fn map_result<T>(&self, result: CallResult<T>) -> Result<T, ControlError> {
        match result {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(refusal)) => Err(ControlError::Refused(refusal)),
            Err(RpcError::DeadlineExceeded) => Err(self.timed_out()),
            Err(e) => Err(self.connection_lost(error_chain(&e))),
        }
    }

    fn timed_out(&self) -> ControlError {
        ControlError::Timeout {
            address: self.address,
            call: self.name,
            limit_ms: self.timeout.as_millis() as u64,
        }
    }

    fn connection_lost(&self, detail: String) -> ControlError {
        ControlError::ConnectionLost {
            address: self.address,
            call: self.name,
            detail,
        }
    }
}

/// Formats an error with its causes: the text of a `tarpc` error names only
/// the step that failed.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}
