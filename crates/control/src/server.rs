//! Answering calls.
//!
//! Each connection is one task that answers its calls one after another. A
//! connection that does not agree on the protocol in time, or sends nothing
//! for long, or does not take its answers, is dropped.

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
    transport::transport,
};
use calls::Calls;

mod calls;

/// Name of the port in events.
const PORT: &str = "control";

/// What a daemon does for its operators and peers.
///
/// The methods answer from memory: they must not block, and an order such as
/// a drain is begun, not waited for.
pub trait ControlHandler: Send + Sync + 'static {
    /// Who this process is; the version of the protocol is filled in.
    fn info(&self) -> NodeInfo;
    /// What it knows of itself.
    fn status(&self) -> NodeStatus;
    /// Refuses new work for a backend server, or with none for all.
    ///
    /// # Errors
    ///
    /// The backend server is not known, or the process stops.
    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal>;
    /// Takes new work again.
    ///
    /// # Errors
    ///
    /// As for `drain`.
    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal>;
    /// The generation in force.
    fn generation(&self) -> GenerationInfo;
    /// A part of a manifest by its digest.
    fn manifest_part(&self, digest: &[u8]) -> Option<Vec<u8>>;
    /// Why a chain is chosen, as JSON.
    ///
    /// # Errors
    ///
    /// What was asked for is not known.
    fn explain(&self, query: &ExplainQuery) -> Result<String, ControlRefusal>;
}

/// Bounds of a port, set by chained methods.
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
    /// The shipped bounds.
    pub fn new() -> ServeOptions {
        ServeOptions::default()
    }

    /// Time given to a connection to agree on the protocol.
    pub fn hello_timeout(mut self, timeout: Duration) -> ServeOptions {
        self.hello_timeout = timeout;
        self
    }

    /// How long a connection may stay open without a call, and how long an
    /// answer may wait to be taken.
    pub fn idle_timeout(mut self, timeout: Duration) -> ServeOptions {
        self.idle_timeout = timeout;
        self
    }

    /// Connections at once; further ones are closed.
    pub fn max_connections(mut self, limit: usize) -> ServeOptions {
        self.max_connections = limit;
        self
    }
}

/// Serves the port with the shipped bounds until the future is dropped.
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
    let port = Port::new(listener, PORT, options.max_connections);
    loop {
        let accepted = port.accept().await;
        let connection = Connection {
            calls: Calls::new(handler.clone(), accepted.peer),
            options: options.clone(),
            peer: accepted.peer,
            _slot: accepted.slot,
        };
        executor.spawn(connection.run(accepted.socket)).detach();
    }
}

struct Connection {
    calls: Calls,
    options: ServeOptions,
    peer: SocketAddr,
    _slot: ConnectionSlot,
}

impl Connection {
    /// Serves the connection. A panic ends the connection and not the thread:
    /// `tarpc` panics on a deadline that is out of range, and a peer chooses
    /// the deadline.
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
        let opened = Instant::now();
        let channel = BaseChannel::with_defaults(transport(socket)?);
        let mut requests = Box::pin(channel.requests());
        loop {
            let limit = self.time_left(opened);
            let next = async { Ok(requests.next().await) };
            let request = match next.or(after(limit)).await? {
                Some(Ok(request)) => request,
                Some(Err(e)) => return Err(io::Error::other(e)),
                None => return Ok(()),
            };
            let answering = async {
                request.execute(self.calls.clone().serve()).await;
                Ok(())
            };
            answering.or(after(self.options.idle_timeout)).await?;
        }
    }

    /// Time given to the next call. Until the protocol is agreed on, it is
    /// what the whole connection has.
    fn time_left(&self, opened: Instant) -> Duration {
        if self.calls.is_greeted() {
            return self.options.idle_timeout;
        }
        self.options.hello_timeout.saturating_sub(opened.elapsed())
    }
}

async fn after<T>(limit: Duration) -> io::Result<T> {
    Timer::after(limit).await;
    Err(io::ErrorKind::TimedOut.into())
}
