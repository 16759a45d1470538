//! Server of a daemon's control port.
//!
//! Each connection is one task that handles its calls sequentially. The server
//! closes a connection that does not complete `hello` in time, is idle for too
//! long, or does not read its responses.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    panic::AssertUnwindSafe,
    sync::Arc,
    time::{Duration, Instant},
};

use async_compat::Compat;
use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_telemetry::{Event, Port, emit, port::ConnectionSlot};
use futures_lite::{FutureExt as _, StreamExt as _};
use tarpc::server::{BaseChannel, Channel as _};

use crate::{
    message::{ExplainQuery, GenerationInfo, NodeInfo, NodeStatus},
    refusal::ControlRefusal,
    service::Control as _,
    transport::json_transport,
};
use calls::CallService;

mod calls;

/// Name of the port in events.
const PORT_NAME: &str = "control";

/// Implementation of the control calls by a daemon.
///
/// The methods must not block: they read in-memory state, and an order such as
/// a drain is only started.
pub trait ControlHandler: Send + Sync + 'static {
    /// Identity of this process; the server sets the protocol version.
    fn info(&self) -> NodeInfo;
    /// Status of this process.
    fn status(&self) -> NodeStatus;
    /// Drains a backend server, or all if none is given: new work is refused.
    ///
    /// # Errors
    ///
    /// The backend server is unknown, or the process is shutting down.
    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal>;
    /// Ends a drain: new work is accepted again.
    ///
    /// # Errors
    ///
    /// As for `drain`.
    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal>;
    /// Active manifest generation.
    fn generation(&self) -> GenerationInfo;
    /// Returns a part of a manifest by its digest.
    fn manifest_part(&self, digest: &[u8]) -> Option<Vec<u8>>;
    /// Explains the choice of a chain, as JSON.
    ///
    /// # Errors
    ///
    /// The request or the service of the query is unknown.
    fn explain(&self, query: &ExplainQuery) -> Result<String, ControlRefusal>;
}

/// Limits of a control port.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    hello_timeout: Duration,
    idle_timeout: Duration,
    max_connections: usize,
}

impl Default for ServeOptions {
    fn default() -> ServeOptions {
        ServeOptions {
            hello_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            max_connections: 256,
        }
    }
}

impl ServeOptions {
    /// Returns the default limits.
    pub fn new() -> ServeOptions {
        ServeOptions::default()
    }

    /// Sets the time within which a connection must complete `hello`.
    pub fn hello_timeout(mut self, timeout: Duration) -> ServeOptions {
        self.hello_timeout = timeout;
        self
    }

    /// Sets how long a connection may stay open without a call, and how long
    /// it may take to handle a call and to send its response.
    pub fn idle_timeout(mut self, timeout: Duration) -> ServeOptions {
        self.idle_timeout = timeout;
        self
    }

    /// Sets the maximum number of concurrent connections; additional
    /// connections are closed.
    pub fn max_connections(mut self, limit: usize) -> ServeOptions {
        self.max_connections = limit;
        self
    }
}

/// Serves the port with the default limits until the future is dropped.
pub async fn serve_control(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handler: Arc<dyn ControlHandler>,
) {
    let options = ServeOptions::new();
    serve_control_with(listener, executor, handler, options).await;
}

/// Serves the port until the future is dropped.
pub async fn serve_control_with(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handler: Arc<dyn ControlHandler>,
    options: ServeOptions,
) {
    let port = Port::new(listener, PORT_NAME, options.max_connections);
    loop {
        let accepted = port.accept().await;
        let connection = Connection {
            calls: CallService::new(handler.clone(), accepted.peer),
            options: options.clone(),
            peer: accepted.peer,
            _slot: accepted.slot,
        };
        executor.spawn(connection.run(accepted.socket)).detach();
    }
}

struct Connection {
    calls: CallService,
    options: ServeOptions,
    peer: SocketAddr,
    _slot: ConnectionSlot,
}

impl Connection {
    /// Serves the connection. A panic closes the connection but does not reach
    /// the thread: `tarpc` panics on a deadline that is out of range, and the
    /// client chooses the deadline.
    async fn run(self, socket: Async<TcpStream>) {
        let peer = self.peer;
        let serving = Compat::new(self.serve(socket));
        match AssertUnwindSafe(serving).catch_unwind().await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => emit(
                Event::ControlConnectionFailed,
                &[("peer_address", &peer), ("error", &e)],
            ),
            Err(_) => {
                emit(Event::ControlTaskPanicked, &[("peer_address", &peer)])
            }
        }
    }

    async fn serve(self, socket: Async<TcpStream>) -> io::Result<()> {
        let opened_at = Instant::now();
        let channel = BaseChannel::with_defaults(json_transport(socket)?);
        let mut requests = Box::pin(channel.requests());
        loop {
            let timeout = self.remaining_time(opened_at);
            let next = async { Ok(requests.next().await) };
            let request = match next.or(time_out_after(timeout)).await? {
                Some(Ok(request)) => request,
                Some(Err(e)) => return Err(io::Error::other(e)),
                None => return Ok(()),
            };
            let handling = async {
                request.execute(self.calls.clone().serve()).await;
                Ok(())
            };
            handling.or(time_out_after(self.options.idle_timeout)).await?;
        }
    }

    /// Timeout of the wait for the next call. Before `hello` succeeds, the
    /// timeout counts from the start of the connection.
    fn remaining_time(&self, opened_at: Instant) -> Duration {
        if self.calls.is_hello_done() {
            return self.options.idle_timeout;
        }
        self.options.hello_timeout.saturating_sub(opened_at.elapsed())
    }
}

async fn time_out_after<T>(timeout: Duration) -> io::Result<T> {
    Timer::after(timeout).await;
    Err(io::ErrorKind::TimedOut.into())
}
