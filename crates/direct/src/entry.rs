//! Starting and stopping an entry.

use std::{
    error, fmt, io, iter,
    net::{SocketAddr, TcpListener},
    pin::pin,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, Timer};
use chestnutreach_http::{
    ReceivedRequest, Response, ServerOptions, serve_connection,
};
use chestnutreach_routing::Fingerprint;
use chestnutreach_site::NodeSettings;
use chestnutreach_telemetry::{Event, OpsState, emit, port::Port, serve_ops};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        engine_watcher, feed_follower, feed_server, peers, probe,
        suspect_rows, suspects,
    },
    core::{Core, IS_STOPPING},
    placement::{lease::Lease, orders},
    request::{callers, connection_control},
};

/// File descriptors reserved for engines, peers and files.
const RESERVED_DESCRIPTORS: usize = 600;
/// File descriptors per request: the caller's connection and the engine's.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// Time in which the final answers are sent and connections close.
const FINAL_ANSWERS_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between checks of the requests in flight during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time from the end of the accept period to the end of the process:
/// callers that connected just before the port closed still send their
/// requests.
const MIN_LAST_WAIT_MS: u64 = 100;
/// Concurrent connections of the load balancer.
const MAX_READY_CONNECTIONS: usize = 64;

/// A port that could not be opened when an entry started.
#[derive(Debug)]
pub struct StartError {
    what: &'static str,
    address: SocketAddr,
    source: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StartError { what, address, source } = self;
        write!(f, "failed to open the port for {what} at {address}: {source}")
    }
}

impl error::Error for StartError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(&self.source)
    }
}

/// An entry that forwards requests directly to backend servers.
pub struct DirectEntry {
    core: Arc<Core>,
    lease: Arc<Lease>,
}

impl DirectEntry {
    /// Opens the ports and starts the tasks of an entry. Metrics are served at
    /// the first internal port, and also at `metrics_port` if that is free:
    /// an entry without metrics there still serves requests.
    ///
    /// # Errors
    ///
    /// A port can't be opened.
    pub fn start(
        settings: NodeSettings,
        metrics_port: Option<u16>,
        executor: Arc<Executor<'static>>,
    ) -> Result<DirectEntry, StartError> {
        let core = Arc::new(Core::new(settings, executor));
        let settings = &core.settings;
        let callers = listen("clients", settings.clients_address)?;
        let ready = listen("readiness", settings.ready_address)?;
        let first_port = settings.internal_ports.0;
        let inner = SocketAddr::new(settings.ip, first_port);
        let socket = peers::open(&core).map_err(|source| StartError {
            what: "other entries",
            address: inner,
            source,
        })?;
        let ops = listen("metrics", inner)?;
        let extra_ops = metrics_port.and_then(|port| {
            let address = SocketAddr::new(settings.ip, port);
            let listener = listen("metrics", address);
            listener.map_err(|e| log_port_taken(port, &e)).ok()
        });
        let feeds = feed_server::open(&core).map_err(|source| StartError {
            what: "feeds for other entries",
            address: inner,
            source,
        })?;
        let feed_port = feeds.get_ref().local_addr().map_or(0, |a| a.port());
        core.feed_port.store(feed_port, Relaxed);
        let lease = Arc::new(Lease::new(&core));
        let executor = core.executor.clone();
        executor.spawn(serve_callers(core.clone(), callers)).detach();
        executor.spawn(serve_ready(core.clone(), ready)).detach();
        let state = ops_state(&core);
        for ops in iter::once(ops).chain(extra_ops) {
            let serve = serve_ops(ops, executor.clone(), state.clone());
            executor.spawn(serve).detach();
        }
        executor
            .spawn(feed_follower::follow_configuration(core.clone()))
            .detach();
        executor.spawn(feed_follower::follow_backends(core.clone())).detach();
        executor.spawn(feed_server::serve(core.clone(), feeds)).detach();
        executor.spawn(peers::run(core.clone(), socket)).detach();
        executor.spawn(connection_control::run(core.clone())).detach();
        executor.spawn(engine_watcher::run(core.clone())).detach();
        executor.spawn(probe::recheck(core.clone())).detach();
        executor.spawn(suspect_rows::run(core.clone())).detach();
        executor.spawn(orders::run(core.clone(), lease.clone())).detach();
        let run_lease = {
            let (core, lease) = (core.clone(), lease.clone());
            async move { lease.run(core).await }
        };
        executor.spawn(run_lease).detach();
        emit(
            Event::DaemonStarted,
            &[
                ("role", &"entry"),
                ("vm", &core.settings.vm),
                ("data_centre", &core.settings.data_centre),
                ("boot_id", &core.boot_id),
            ],
        );
        Ok(DirectEntry { core, lease })
    }

    /// Stops accepting requests, waits within the grace period for requests in
    /// progress, and gives the remaining ones their final answers. Returns how
    /// many these were.
    pub async fn stop(self, cause: &str) -> usize {
        let core = &self.core;
        core.stop.begin();
        core.readiness.block(IS_STOPPING, cause);
        core.metrics.is_draining.set(1);
        emit(
            Event::DaemonStopping,
            &[("cause", &cause), ("in_flight", &core.stop.in_flight())],
        );
        // The store may not answer; the stop does not wait for it.
        let release = {
            let (core, lease) = (core.clone(), self.lease.clone());
            async move { lease.release(&core).await }
        };
        let release = core.executor.spawn(release);
        let schedule = core.stop.schedule();
        let until_ms = schedule.accept_until_ms() + MIN_LAST_WAIT_MS;
        let end_ms = schedule.final_answers_ms();
        wait_until(core, |core, elapsed_ms| {
            let is_done = core.stop.is_idle() && elapsed_ms >= until_ms;
            (is_done && release.is_finished()) || elapsed_ms >= end_ms
        })
        .await;
        let cut = core.stop.in_flight();
        core.stop.end();
        let limit = async {
            Timer::after(FINAL_ANSWERS_TIMEOUT).await;
        };
        wait_until(core, |core, _| core.stop.is_idle()).or(limit).await;
        let elapsed_ms = core.stop.elapsed_ms().unwrap_or(0);
        emit(
            Event::DaemonStopped,
            &[("cut", &cut), ("elapsed_ms", &elapsed_ms)],
        );
        cut
    }
}

/// Waits until a condition on the entry and the time since the stop began
/// holds.
async fn wait_until(core: &Core, is_met: impl Fn(&Core, u64) -> bool) {
    while !is_met(core, core.stop.elapsed_ms().unwrap_or(0)) {
        Timer::after(POLL_INTERVAL).await;
    }
}

fn listen(
    what: &'static str,
    address: SocketAddr,
) -> Result<Async<TcpListener>, StartError> {
    Async::<TcpListener>::bind(address).map_err(|source| StartError {
        what,
        address,
        source,
    })
}

async fn serve_callers(core: Arc<Core>, listener: Async<TcpListener>) {
    let descriptors = core.settings.max_descriptors;
    let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let max_connections = (max_connections / DESCRIPTORS_PER_REQUEST).max(1);
    let port = Port::new(listener, "clients", max_connections);
    let mut is_closed = pin!(accept_period_ends(&core));
    loop {
        // Pending connections are accepted before the port closes: the kernel
        // would reset them, and their callers could not know whether their
        // requests ran.
        let next = async { Some(port.accept().await) };
        let closed = async {
            is_closed.as_mut().await;
            None
        };
        let Some(accepted) = next.or(closed).await else {
            return;
        };
        if !connection_control::try_accept(&core) {
            // Closed unread, so that the caller's next attempt meets another
            // entry.
            continue;
        }
        let core_here = core.clone();
        let serve = async move {
            let _slot = accepted.slot;
            callers::serve(core_here, accepted.socket).await;
        };
        core.executor.spawn(serve).detach();
    }
}

/// Waits until a stop has lasted so long that the load balancer no longer sends
/// callers.
async fn accept_period_ends(core: &Core) {
    core.stop.wait_for_begin().await;
    let elapsed_ms = core.stop.elapsed_ms().unwrap_or(0);
    let until_ms = core.stop.schedule().accept_until_ms();
    let remaining_ms = until_ms.saturating_sub(elapsed_ms);
    Timer::after(Duration::from_millis(remaining_ms)).await;
}

/// Reports to the load balancer whether this entry accepts callers.
async fn serve_ready(core: Arc<Core>, listener: Async<TcpListener>) {
    let port = Port::new(listener, "readiness", MAX_READY_CONNECTIONS);
    loop {
        let accepted = port.accept().await;
        let readiness = core.readiness.clone();
        let serve = async move {
            let _slot = accepted.slot;
            let options = ServerOptions::new();
            let respond = |_: ReceivedRequest| {
                let status = match readiness.is_ready() {
                    true => 200,
                    false => 503,
                };
                async move { Response::new(status) }
            };
            // The load balancer repeats its check, so an error is ignored.
            let _ = serve_connection(accepted.socket, &options, respond).await;
        };
        core.executor.spawn(serve).detach();
    }
}

fn log_port_taken(port: u16, error: &StartError) {
    emit(
        Event::MetricsPortTaken,
        &[("port", &port), ("error", &error.to_string())],
    );
}

fn ops_state(core: &Arc<Core>) -> Arc<OpsState> {
    let status = {
        let core = core.clone();
        move || status(&core)
    };
    let command = {
        let core = core.clone();
        move |path: &str| end_quarantine(&core, path)
    };
    Arc::new(OpsState {
        metrics: core.metrics.clone(),
        readiness: core.readiness.clone(),
        status: Box::new(status),
        command: Box::new(command),
    })
}

/// Ends the quarantine of a request at all entries.
fn end_quarantine(core: &Core, path: &str) -> Option<serde_json::Value> {
    let text = path.strip_prefix("/quarantine/")?.strip_suffix("/free")?;
    let fingerprint = text.parse::<Fingerprint>().ok()?;
    let is_freed = suspects::clear(core, fingerprint, "operator");
    Some(serde_json::json!({"is_freed": is_freed}))
}

/// Status document for operators.
fn status(core: &Core) -> serde_json::Value {
    let engine = |engine: Arc<crate::cluster::engine::Engine>| {
        let state = engine.lock();
        serde_json::json!({
            "id": engine.id,
            "hash": engine.hash,
            "service": engine.service,
            "address": engine.address.to_string(),
            "layers": state.row.held.map(|held| held.to_string()),
            "is_draining": state.row.state
                == chestnutreach_site::BackendState::Draining,
            "is_suspect": state.suspicion.is_some(),
            "slowness": state.slowness,
            "limit": engine.notices.status(now_ms()),
            "rest_left_ms": state.cooldown_until_ms.saturating_sub(now_ms()),
            "has_said_leaving": state.has_said_leaving,
            "leaving_ms": state.leaving_ms(now_ms()),
            "used_token_layers": engine.used_token_layers(),
        })
    };
    let is_watched =
        |e: &Arc<crate::cluster::engine::Engine>| e.is_watched.load(Relaxed);
    let watched = core.fleet.all().iter().filter(|e| is_watched(e)).count();
    let engines: Vec<_> = core.fleet.all().into_iter().map(engine).collect();
    let retries_left = |(service, left): (String, f64)| serde_json::json!({"service": service, "left": left.floor()});
    let retries: Vec<_> =
        core.remaining_retries().into_iter().map(retries_left).collect();
    serde_json::json!({
        "vm": core.settings.vm,
        "data_centre": core.settings.data_centre,
        "is_stopping": core.stop.has_begun(),
        "store_lost_ms": core.store_unavailable_ms(),
        "orders_waiting": core.pending_orders.load(Relaxed),
        "retries": retries,
        "boot_id": core.boot_id.to_string(),
        "configuration": core.configuration().map(|c| c.version),
        "configuration_age_ms": core.confirmed_age_ms(),
        "feeds": core.feeds.status(),
        "engines_watched": watched,
        "is_planner": core.is_planner.load(Relaxed),
        "entries": core.peers.entry_count(),
        "entries_sharing": core.peers.sharing_entries(),
        "oldest_report_ms": core.peers.oldest_report_ms(),
        "report_delay_ms": core.retry_limit().report_delay_ms,
        "suspects": core.suspects.status(),
        "permits": core.permits.status(),
        "shares": core.capacity.status(core),
        "in_flight": core.stop.in_flight(),
        "connection_limit": core.connections.limit(),
        "backends": engines,
    })
}
