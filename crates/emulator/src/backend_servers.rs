//! State of the backend servers: their layers, runs and faults.
//!
//! All servers share one state, so that a stream at its first engine observes
//! immediately whether the other engines of its path respond and hold their
//! layers. An event that must never happen at a server is recorded as a
//! violation.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;
use chestnutreach_fleet::Relay;

use crate::{
    engines,
    site::{ACCOUNT, MODEL_SERVICE, PLAIN_SERVICE, Site},
    store::Store,
    unending::{UnendingBytes, UnendingIn},
};

mod layers;
mod observations;
mod rows;

pub use observations::{
    Arrival, CooldownRequest, CrashingArrival, ExpiredLimit, Observations,
    RunStart,
};
pub(crate) use rows::layers_json;

/// Base of the start times of servers; each server gets a greater one.
const FIRST_START_UNIX_MS: u64 = 1_796_000_000_000;
/// How long a stream waits for a failed engine before its connection closes.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Token prefix of requests that crash every server that starts to run them.
pub const CRASH_PREFIX: &str = "crash";
/// Prefix of the ids of parts of a prompt that crash every engine that starts
/// to answer a request with the part.
pub const CRASH_PART_PREFIX: &str = "dead";
/// Time from the point at which such a request crashes its server to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time from a crash to the restart of the server.
const CRASH_DOWNTIME: Duration = Duration::from_millis(900);

/// Point of a run at which a request crashes its server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashPoint {
    /// Before the head of the response.
    BeforeHead,
    /// After the head, before any event or byte of the body.
    #[default]
    AfterHead,
    /// After this many events of the run, or before its last event if the run
    /// has fewer; after half of the body of a plain response.
    AfterEvents(u64),
}

/// How servers crash, and how they come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashPlan {
    /// Point of a run at which a request crashes its server.
    pub point: CrashPoint,
    /// Whether another process keeps the port open until the server is back;
    /// connections wait there.
    pub holds_port: bool,
    /// Whether the server comes back under its id.
    pub keeps_id: bool,
    /// Time from a crash to the restart of the server.
    pub downtime: Duration,
}

impl Default for CrashPlan {
    fn default() -> CrashPlan {
        CrashPlan {
            point: CrashPoint::default(),
            holds_port: false,
            keeps_id: false,
            downtime: CRASH_DOWNTIME,
        }
    }
}

/// Whether a server accepts and runs requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerStatus {
    /// The server accepts and runs requests.
    Serving,
    /// The server accepts no new requests and will exit.
    Draining,
    /// The server accepts connections and never responds. This is as close to
    /// a machine without power as loopback allows.
    Unresponsive,
    /// The process has exited.
    Exited,
}

impl ServerStatus {
    /// Whether the process runs and responds.
    pub(crate) fn is_running(self) -> bool {
        matches!(self, ServerStatus::Serving | ServerStatus::Draining)
    }
}

/// Stage of a path: engine, first layer, and end of the layers, exclusive.
pub type PathStage = (SocketAddr, u32, u32);

/// A backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Id, which a restart may keep.
    pub id: String,
    /// Unix time of its start, in milliseconds.
    pub started_unix_ms: u64,
    /// Heartbeats that it has counted.
    pub heartbeats: u64,
    /// Service name.
    pub service: &'static str,
    /// Data centre name.
    pub data_centre: String,
    /// Whether the server accepts and runs requests.
    pub status: ServerStatus,
    /// Range of layers that the server holds.
    pub layers: Option<(u32, u32)>,
    /// Orders that the server has started to carry out.
    pub order_count: u64,
    /// Factor on the duration of every step.
    pub slowness: f64,
    /// Share of requests that run and whose response is lost.
    pub response_loss_rate: f64,
    /// Share of streams that run and get no response until the connection
    /// closes after the stall timeout.
    pub hang_rate: f64,
    /// Share of requests that fail with status 500.
    pub failure_rate: f64,
    /// Whether responses have neither a length nor chunks, and end with their
    /// connection.
    pub omits_framing: bool,
    /// Share of streams that end within an event, in order.
    pub partial_event_rate: f64,
    /// Share of requests that run and whose response ends within its head.
    pub head_cut_rate: f64,
    /// Whether the server exits after half of the body of a plain response.
    pub exits_within_response: bool,
    /// Whether the response to another request precedes each response.
    pub sends_foreign_response: bool,
    /// Whether the server has closed its port and goes on with the requests
    /// that it has.
    pub has_closed_port: bool,
    /// Whether another process keeps the port open when this one has exited.
    pub holds_port: bool,
    /// Whether the queue of the port is full, so that connection attempts get
    /// no answer; the server goes on with the requests that it has.
    pub has_full_port: bool,
    /// What the server sends without an end, and in which responses.
    pub unending: Option<(UnendingBytes, UnendingIn)>,
    /// Rate limit that responses announce in a header, if any.
    pub announced_limit: Option<String>,
    /// Cooldown that the server requests with `Retry-After` when it rejects
    /// requests; `None` if it accepts them.
    pub cooldown: Option<String>,
    /// Whether responses announce that the server is about to leave.
    pub announces_leaving: bool,
    /// Streams of which the server runs the first stage, by request id.
    pub streams: BTreeMap<String, StreamState>,
}

/// A stream as its first engine sees it.
#[derive(Clone, Debug)]
pub struct StreamState {
    /// Stages of the stream.
    pub path: Vec<PathStage>,
    /// Failed engine that the stream waits for.
    pub stalled_at: Option<SocketAddr>,
}

#[derive(Debug, Default)]
struct State {
    servers: BTreeMap<SocketAddr, ServerState>,
    /// Relays in front of running servers, if the site emulates links.
    relays: BTreeMap<SocketAddr, Arc<Relay>>,
    observations: Observations,
    next_id: u64,
    /// Whether parts of prompts crash no engine for now.
    are_parts_harmless: bool,
    crash_plan: CrashPlan,
}

/// All backend servers.
#[derive(Clone, Debug)]
pub struct BackendServers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    site: Site,
    store: Store,
    executor: Arc<Executor<'static>>,
}

impl BackendServers {
    /// Creates an empty set of servers.
    pub fn new(
        site: &Site,
        store: &Store,
        executor: &Arc<Executor<'static>>,
    ) -> BackendServers {
        let shared = Shared {
            state: Mutex::default(),
            site: site.clone(),
            store: store.clone(),
            executor: executor.clone(),
        };
        BackendServers { shared: Arc::new(shared) }
    }

    /// The emulated site.
    pub fn site(&self) -> &Site {
        &self.shared.site
    }

    pub(crate) fn executor(&self) -> &Arc<Executor<'static>> {
        &self.shared.executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Adds a server at an address, with its old id or a new one, and returns
    /// the id.
    pub(crate) fn add(
        &self,
        address: SocketAddr,
        service: &'static str,
        data_centre: &str,
        old_id: Option<&str>,
    ) -> String {
        let mut state = self.lock();
        state.next_id += 1;
        let new_id = || format!("i-{:04}", state.next_id);
        let id = old_id.map_or_else(new_id, str::to_owned);
        let server = ServerState {
            id: id.clone(),
            started_unix_ms: FIRST_START_UNIX_MS + state.next_id,
            heartbeats: 0,
            service,
            data_centre: data_centre.to_owned(),
            status: ServerStatus::Serving,
            layers: None,
            order_count: 0,
            slowness: 1.0,
            response_loss_rate: 0.0,
            hang_rate: 0.0,
            failure_rate: 0.0,
            omits_framing: false,
            partial_event_rate: 0.0,
            head_cut_rate: 0.0,
            exits_within_response: false,
            sends_foreign_response: false,
            has_closed_port: false,
            holds_port: false,
            has_full_port: false,
            unending: None,
            announced_limit: None,
            cooldown: None,
            announces_leaving: false,
            streams: BTreeMap::new(),
        };
        state.servers.insert(address, server);
        id
    }

    /// Makes a server announce a rate limit for some time.
    pub fn announce_limit(
        &self,
        address: SocketAddr,
        per_s: f64,
        duration: Duration,
    ) {
        let Some(server) = self.server(address) else { return };
        self.lock().observations.limit_announced_at.remove(&server.id);
        self.update_server(address, |server| {
            server.announced_limit = Some(per_s.to_string());
        });
        let backends = self.clone();
        let end_announcement = async move {
            Timer::after(duration).await;
            backends.update_server(address, |server| {
                server.announced_limit = None
            });
            let observations = &mut backends.lock().observations;
            let announced_at =
                observations.limit_announced_at.get(&server.id).copied();
            let Some(announced_at) = announced_at else { return };
            observations.expired_limits.push(ExpiredLimit {
                server: server.id,
                per_s,
                announced_at,
                ended_at: Instant::now(),
            });
        };
        self.shared.executor.spawn(end_announcement).detach();
    }

    /// Headers with which a server announces its rate limit and its leaving in
    /// the response to a request.
    pub(crate) fn notice_headers(
        &self,
        address: SocketAddr,
        request: &str,
    ) -> Vec<(&'static str, String)> {
        let mut state = self.lock();
        let Some(server) = state.servers.get(&address).cloned() else {
            return Vec::new();
        };
        let observations = &mut state.observations;
        let mut headers = Vec::new();
        if let Some(limit) = server.announced_limit {
            let announced_at =
                observations.limit_announced_at.entry(server.id.clone());
            announced_at.or_insert_with(Instant::now);
            headers.push(("server-limit", limit));
        }
        if server.announces_leaving {
            observations
                .leaving_notices
                .push(Arrival::now(&server.id, request));
            headers.push(("server-leaving", "1".to_owned()));
        }
        headers
    }

    /// The cooldown that a server requests when it rejects a request; `None`
    /// if it accepts requests.
    pub(crate) fn reject_for_cooldown(
        &self,
        address: SocketAddr,
        request: &str,
    ) -> Option<String> {
        let mut state = self.lock();
        let server = state.servers.get(&address)?.clone();
        let cooldown = server.cooldown?;
        if let Ok(cooldown_s) = cooldown.parse() {
            state.observations.cooldown_requests.push(CooldownRequest {
                rejected: Arrival::now(&server.id, request),
                duration: Duration::from_secs_f64(cooldown_s),
            });
        }
        Some(cooldown)
    }

    /// Copy of the current state of a server.
    pub fn server(&self, address: SocketAddr) -> Option<ServerState> {
        self.lock().servers.get(&address).cloned()
    }

    /// Whether the server at an address has the expected id; true if no id is
    /// expected.
    pub(crate) fn is_instance(
        &self,
        address: SocketAddr,
        expected: Option<&str>,
    ) -> bool {
        let state = self.lock();
        let server = state.servers.get(&address);
        let is = |expected| server.is_some_and(|s| s.id == expected);
        expected.is_none_or(is)
    }

    /// Addresses of the servers of a service that have not exited.
    pub fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        let state = self.lock();
        let runs = state.servers.iter().filter(|(_, s)| {
            s.service == service && s.status != ServerStatus::Exited
        });
        runs.map(|(address, _)| *address).collect()
    }

    /// Addresses of the engines that have not exited.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.addresses(MODEL_SERVICE)
    }

    /// Engines that run the first stage of streams, most streams first.
    pub fn first_stage_engines(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let with_streams =
            state.servers.iter().map(|(a, s)| (s.streams.len(), a));
        let mut first: Vec<_> = with_streams.filter(|f| f.0 > 0).collect();
        first.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        first.into_iter().map(|(_, address)| *address).collect()
    }

    /// Highest number of first engines that exited under one of the streams
    /// that now run at this engine.
    pub fn max_first_stage_exits(&self, engine: SocketAddr) -> u32 {
        let state = self.lock();
        let server = state.servers.get(&engine);
        let streams = server.into_iter().flat_map(|s| s.streams.keys());
        let met = streams
            .filter_map(|id| state.observations.first_stage_exits.get(id));
        met.copied().max().unwrap_or(0)
    }

    /// Addresses of the plain service's servers that have not exited.
    pub fn plain_servers(&self) -> Vec<SocketAddr> {
        self.addresses(PLAIN_SERVICE)
    }

    /// Updates the state of a server.
    pub fn update_server(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut ServerState),
    ) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            change(server);
        }
    }

    /// Keeps the relay in front of a server until the server exits.
    pub(crate) fn add_relay(&self, relay: Relay) {
        self.lock().relays.insert(relay.address(), Arc::new(relay));
    }

    /// The relay in front of a server, if the site emulates links.
    pub fn relay(&self, address: SocketAddr) -> Option<Arc<Relay>> {
        self.lock().relays.get(&address).cloned()
    }

    pub(crate) fn close_relay(&self, address: SocketAddr) {
        let relay = self.lock().relays.remove(&address);
        // Dropping the relay closes its connections, which must not happen
        // under the lock.
        drop(relay);
    }

    /// Copy of the observations so far.
    pub fn observations(&self) -> Observations {
        self.lock().observations.clone()
    }

    pub(crate) fn record_violation(&self, text: String) {
        self.lock().observations.violations.push(text);
    }

    /// Records the arrival of a request, with the time that the server is
    /// given.
    pub(crate) fn record_arrival(
        &self,
        request: &str,
        server: &str,
        deadline: Option<Duration>,
    ) {
        let mut state = self.lock();
        let arrival = Arrival { deadline, ..Arrival::now(server, request) };
        state.observations.arrival_log.push(arrival);
        let count =
            state.observations.arrival_counts.entry(request.to_owned());
        *count.or_default() += 1;
    }

    /// Makes parts of prompts that crash engines harmless, or harmful again.
    pub fn set_parts_harmless(&self, are_harmless: bool) {
        self.lock().are_parts_harmless = are_harmless;
    }

    /// Records the arrival of a request that crashes servers, with what they
    /// crash of, and returns its index; `None` for other requests.
    pub(crate) fn record_crashing(
        &self,
        cause: Option<&str>,
    ) -> Option<usize> {
        let token = cause?;
        let mut state = self.lock();
        if state.are_parts_harmless && token.starts_with(CRASH_PART_PREFIX) {
            return None;
        }
        let arrivals = &mut state.observations.crashing_arrivals;
        arrivals.push(CrashingArrival {
            token: token.to_owned(),
            at: Instant::now(),
            crashed_at: None,
        });
        Some(arrivals.len() - 1)
    }

    /// Sets how servers crash under requests that crash them.
    pub fn set_crash_plan(&self, plan: CrashPlan) {
        self.lock().crash_plan = plan;
    }

    /// How servers crash under requests that crash them.
    pub(crate) fn crash_plan(&self) -> CrashPlan {
        self.lock().crash_plan
    }

    /// Crashes a server under a request and starts an empty server at the same
    /// address later.
    pub(crate) async fn crash(&self, address: SocketAddr, arrival: usize) {
        let Some(server) = self.server(address) else { return };
        let plan = self.crash_plan();
        Timer::after(CRASH_DELAY).await;
        // Another request may have crashed the server meanwhile.
        let is_running = |s: ServerState| {
            s.started_unix_ms == server.started_unix_ms
                && s.status != ServerStatus::Exited
        };
        if !self.server(address).is_some_and(is_running) {
            return;
        }
        self.lock().observations.crashing_arrivals[arrival].crashed_at =
            Some(Instant::now());
        self.update_server(address, |s| s.holds_port = plan.holds_port);
        match plan.keeps_id {
            true => self.terminate_keeping_row(address),
            false => self.terminate(address),
        }
        let backends = self.clone();
        let restart = async move {
            Timer::after(plan.downtime).await;
            // If the address is still in use, the server stays down.
            let _ = match plan.keeps_id {
                true => engines::restart(&backends, address, &server)
                    .map(|()| address),
                false => engines::start(
                    &backends,
                    server.service,
                    &server.data_centre,
                    address.port(),
                ),
            };
        };
        self.shared.executor.spawn(restart).detach();
    }

    /// Records that a request starts to run at a server and returns its number
    /// of runs.
    pub(crate) fn record_run(&self, request: &str, server: &str) -> u32 {
        let mut state = self.lock();
        state.observations.run_log.push(RunStart {
            server: server.to_owned(),
            request: request.to_owned(),
            at: Instant::now(),
        });
        let count = state
            .observations
            .run_counts
            .entry(request.to_owned())
            .or_default();
        *count += 1;
        *count
    }

    /// Checks that a request names the client account and carries no key.
    pub(crate) fn check_request(
        &self,
        request: &str,
        account: Option<&str>,
        has_key: bool,
    ) {
        if has_key {
            self.record_violation(format!("{request}: a key was passed on"));
        }
        if account != Some(ACCOUNT) {
            let text = format!("{request}: client account {account:?}");
            self.record_violation(text);
        }
    }

    /// Waits until a condition holds; returns false on timeout.
    pub async fn wait_for(
        &self,
        timeout: Duration,
        condition: impl Fn(&BackendServers) -> bool,
    ) -> bool {
        let until = Instant::now() + timeout;
        while !condition(self) {
            if Instant::now() >= until {
                return false;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        true
    }
}
