//! Making calls.
//!
//! A client is one connection. Its calls run one after another, and the
//! connection is driven only while one does: no task is left behind, and no
//! executor is needed. A call that fails for another reason than a refusal
//! closes the client, since a connection that has gone silent may stay so for
//! good; the caller dials again.

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
    transport::transport,
};

mod error;

pub use error::ControlError;

/// Time for a call that reads the memory of the other process.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a call that changes what the other process does.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a call with a long answer.
const BULK_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection to a daemon.
pub struct ControlClient {
    address: SocketAddr,
    info: NodeInfo,
    call_timeout: Option<Duration>,
    connection: Mutex<Option<Connection>>,
}

impl ControlClient {
    /// Dials a daemon and agrees on the protocol, both within the timeout.
    ///
    /// # Errors
    ///
    /// The daemon is not reached or speaks another version.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ControlClient, ControlError> {
        ControlClient::connect_with_version(address, timeout, PROTOCOL_VERSION)
            .await
    }

    /// As [`ControlClient::connect`], with another version of the protocol:
    /// to see what a daemon answers to it.
    ///
    /// # Errors
    ///
    /// As there.
    pub async fn connect_with_version(
        address: SocketAddr,
        timeout: Duration,
        protocol_version: u32,
    ) -> Result<ControlClient, ControlError> {
        let deadline = Instant::now() + timeout;
        let mut connection = Connection::dial(address, timeout).await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let hello = Call { address, name: "hello", timeout: left };
        let info = hello
            .make(&mut connection, |stub, context| async move {
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

    /// Gives each call this time in place of its own.
    pub fn call_timeout(mut self, timeout: Duration) -> ControlClient {
        self.call_timeout = Some(timeout);
        self
    }

    /// Who answers.
    pub fn info(&self) -> &NodeInfo {
        &self.info
    }

    /// What the process knows of itself.
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

    /// Refuses new work for a backend server, or with none for all.
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

    /// Takes new work again.
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

    /// The generation in force.
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

    /// A part of a manifest by its digest, if the process has it.
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

    /// Why a chain is chosen, as JSON.
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
        run: impl FnOnce(Stub, Context) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = Answer<T>>,
    {
        let address = self.address;
        let mut slot = self.connection.lock().await;
        // Out of its slot while the call runs: a call that is dropped in the
        // middle closes the client too.
        let Some(mut connection) = slot.take() else {
            return Err(ControlError::Closed { address });
        };
        let timeout = self.call_timeout.unwrap_or(timeout);
        let call = Call { address, name, timeout };
        let answer = call.make(&mut connection, run).await;
        if matches!(answer, Ok(_) | Err(ControlError::Refused(_))) {
            *slot = Some(connection);
        }
        answer
    }
}

/// What `tarpc` gives for a call.
type Answer<T> = Result<Result<T, ControlRefusal>, RpcError>;

/// Sends and receives for the stub; ends when the connection does, with the
/// reason.
type Dispatch = Pin<Box<dyn Future<Output = String> + Send>>;

struct Connection {
    stub: Stub,
    dispatch: Dispatch,
}

impl Connection {
    async fn dial(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, ControlError> {
        let dialling = Async::<TcpStream>::connect(address);
        let limit = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = dialling.or(limit).await.and_then(transport);
        let transport = opened
            .map_err(|source| ControlError::Unreachable { address, source })?;
        // Made inside the adapter: it sets up a timer.
        let made = async { Stub::new(Config::default(), transport) };
        let NewClient { client, dispatch } = Compat::new(made).await;
        let dispatch = async move {
            match dispatch.await {
                Ok(()) => "the other end closed the connection".to_owned(),
                Err(e) => error_chain(&e),
            }
        };
        Ok(Connection { stub: client, dispatch: Box::pin(dispatch) })
    }
}

/// One call and its bound.
struct Call {
    address: SocketAddr,
    name: &'static str,
    timeout: Duration,
}

impl Call {
    async fn make<T, F>(
        &self,
        connection: &mut Connection,
        run: impl FnOnce(Stub, Context) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = Answer<T>>,
    {
        let mut context = context::current();
        context.deadline = Instant::now() + self.timeout;
        let calling = run(connection.stub.clone(), context);
        let answered = async { self.settle(calling.await) };
        let broken =
            async { Err(self.lost((&mut connection.dispatch).await)) };
        let limit = async {
            Timer::after(self.timeout).await;
            Err(self.timed_out())
        };
        // The answer is looked for before the connection's end: an end that
        // comes with the answer does not lose it.
        Compat::new(answered.or(broken).or(limit)).await
    }

    fn settle<T>(&self, answer: Answer<T>) -> Result<T, ControlError> {
        match answer {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(refusal)) => Err(ControlError::Refused(refusal)),
            Err(RpcError::DeadlineExceeded) => Err(self.timed_out()),
            Err(e) => Err(self.lost(error_chain(&e))),
        }
    }

    fn timed_out(&self) -> ControlError {
        ControlError::Timeout {
            address: self.address,
            call: self.name,
            limit_ms: self.timeout.as_millis() as u64,
        }
    }

    fn lost(&self, detail: String) -> ControlError {
        ControlError::ConnectionLost {
            address: self.address,
            call: self.name,
            detail,
        }
    }
}

/// An error with what caused it: `tarpc` names only the step that failed.
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
