//! Engines, their layers, runs and faults.
//!
//! All engines share one state, so that a stream at its first engine sees at
//! once whether the others of its path live and hold their layers. What must
//! never happen at an engine is noted as a violation when it does.

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
};

mod layers;
mod observations;
mod rows;

pub use observations::{
    Arrival, CooldownRequest, CrashingArrival, ExpiredLimit, Observations,
};
pub(crate) use rows::layers_json;

/// Start of the first server, in Unix milliseconds; each later one is greater.
const FIRST_START_UNIX_MS: u64 = 1_796_000_000_000;
/// How long work waits for a dead engine before it is cut.
pub(crate) const STALL: Duration = Duration::from_millis(3_000);

/// Requests whose token begins so crash each server that begins to run them.
pub const CRASH_PREFIX: &str = "crash";
/// How long a server runs such a request until it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(40);
/// How long a server that crashed is away.
const CRASH_LASTS: Duration = Duration::from_millis(900);

/// Whether a server runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerStatus {
    /// It serves.
    Serving,
    /// It takes nothing new and will end.
    Draining,
    /// It takes connections and does nothing: on loopback a machine without
    /// power can't be imitated further.
    Unresponsive,
    /// Its process has ended.
    Exited,
}

/// One part of a path.
pub type PathStage = (SocketAddr, u32, u32);

/// A backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Its name; a restart may keep it.
    pub id: String,
    /// Unix time of its start, in milliseconds.
    pub started_unix_ms: u64,
    /// Its service.
    pub service: &'static str,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it runs.
    pub status: ServerStatus,
    /// Layers that it holds.
    pub layers: Option<(u32, u32)>,
    /// Orders begun.
    pub order_count: u64,
    /// Factor on its times.
    pub slowness: f64,
    /// Share of requests whose answer is lost after they ran.
    pub response_loss_rate: f64,
    /// Share of streams that run and whose answer never comes, without a
    /// sign.
    pub hang_rate: f64,
    /// Share of requests that fail with 500.
    pub failure_rate: f64,
    /// Whether an answer of another request comes first.
    pub sends_foreign_response: bool,
    /// Value of the limit that its answers name, if they name one.
    pub announced_limit: Option<String>,
    /// Value of the rest for which it asks, if it turns requests away.
    pub cooldown: Option<String>,
    /// Whether its answers say that it leaves.
    pub announces_leaving: bool,
    /// Streams of which it is the first engine, by request id.
    pub streams: BTreeMap<String, StreamState>,
}

/// A stream at its first engine.
#[derive(Clone, Debug)]
pub struct StreamState {
    /// Engines that it passes.
    pub path: Vec<PathStage>,
    /// Engine that it waits for.
    pub stalled_at: Option<SocketAddr>,
}

#[derive(Debug, Default)]
struct State {
    servers: BTreeMap<SocketAddr, ServerState>,
    /// Relays before servers that run, where the site has links.
    relays: BTreeMap<SocketAddr, Arc<Relay>>,
    observations: Observations,
    next_id: u64,
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
    /// No servers yet.
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

    /// What is emulated.
    pub fn site(&self) -> &Site {
        &self.shared.site
    }

    pub(crate) fn executor(&self) -> &Arc<Executor<'static>> {
        &self.shared.executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Starts a server at an address, under the id that it had or a new one;
    /// its id.
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
            service,
            data_centre: data_centre.to_owned(),
            status: ServerStatus::Serving,
            layers: None,
            order_count: 0,
            slowness: 1.0,
            response_loss_rate: 0.0,
            hang_rate: 0.0,
            failure_rate: 0.0,
            sends_foreign_response: false,
            announced_limit: None,
            cooldown: None,
            announces_leaving: false,
            streams: BTreeMap::new(),
        };
        state.servers.insert(address, server);
        id
    }

    /// Has a server name a limit for a time.
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
        let later = async move {
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
        self.shared.executor.spawn(later).detach();
    }

    /// What a server says of itself in the head of an answer to a request.
    pub(crate) fn notices(
        &self,
        address: SocketAddr,
        request: &str,
    ) -> Vec<(&'static str, String)> {
        let mut state = self.lock();
        let Some(server) = state.servers.get(&address).cloned() else {
            return Vec::new();
        };
        let observations = &mut state.observations;
        let mut said = Vec::new();
        if let Some(limit) = server.announced_limit {
            let announced_at =
                observations.limit_announced_at.entry(server.id.clone());
            announced_at.or_insert_with(Instant::now);
            said.push(("server-limit", limit));
        }
        if server.announces_leaving {
            observations
                .leaving_notices
                .push(Arrival::now(&server.id, request));
            said.push(("server-leaving", "1".to_owned()));
        }
        said
    }

    /// The rest for which a server asks as it turns a request away; none
    /// where it takes requests.
    pub(crate) fn reject_for_cooldown(
        &self,
        address: SocketAddr,
        request: &str,
    ) -> Option<String> {
        let mut state = self.lock();
        let server = state.servers.get(&address)?.clone();
        let rest = server.cooldown?;
        if let Ok(rest_s) = rest.parse() {
            state.observations.cooldown_requests.push(CooldownRequest {
                rejected: Arrival::now(&server.id, request),
                duration: Duration::from_secs_f64(rest_s),
            });
        }
        Some(rest)
    }

    /// A server as it stands.
    pub fn server(&self, address: SocketAddr) -> Option<ServerState> {
        self.lock().servers.get(&address).cloned()
    }

    /// Whether the server at an address is the expected one, if one is.
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

    /// Addresses of a service's servers that run.
    pub fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        let state = self.lock();
        let runs = state.servers.iter().filter(|(_, s)| {
            s.service == service && s.status != ServerStatus::Exited
        });
        runs.map(|(address, _)| *address).collect()
    }

    /// Addresses of engines that run.
    pub fn engines(&self) -> Vec<SocketAddr> {
        self.addresses(MODEL_SERVICE)
    }

    /// Engines that are first of streams, most streams first.
    pub fn first_stage_engines(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let with_streams =
            state.servers.iter().map(|(a, s)| (s.streams.len(), a));
        let mut first: Vec<_> = with_streams.filter(|f| f.0 > 0).collect();
        first.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        first.into_iter().map(|(_, address)| *address).collect()
    }

    /// Most ends of first engines that a stream met which runs at this one.
    pub fn max_first_stage_exits(&self, engine: SocketAddr) -> u32 {
        let state = self.lock();
        let server = state.servers.get(&engine);
        let streams = server.into_iter().flat_map(|s| s.streams.keys());
        let met = streams
            .filter_map(|id| state.observations.first_stage_exits.get(id));
        met.copied().max().unwrap_or(0)
    }

    /// Addresses of servers of the plain service.
    pub fn plain_servers(&self) -> Vec<SocketAddr> {
        self.addresses(PLAIN_SERVICE)
    }

    /// Changes a server.
    pub fn update_server(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut ServerState),
    ) {
        if let Some(server) = self.lock().servers.get_mut(&address) {
            change(server);
        }
    }

    /// Keeps the relay before a server until it ends.
    pub(crate) fn add_relay(&self, relay: Relay) {
        self.lock().relays.insert(relay.address(), Arc::new(relay));
    }

    /// The relay before a server, where the site has links.
    pub fn relay(&self, address: SocketAddr) -> Option<Arc<Relay>> {
        self.lock().relays.get(&address).cloned()
    }

    pub(crate) fn end_relay(&self, address: SocketAddr) {
        let relay = self.lock().relays.remove(&address);
        // It closes its connections, outside the lock.
        drop(relay);
    }

    /// What was seen so far.
    pub fn observations(&self) -> Observations {
        self.lock().observations.clone()
    }

    pub(crate) fn record_violation(&self, text: String) {
        self.lock().observations.violations.push(text);
    }

    pub(crate) fn record_arrival(&self, request: &str, server: &str) {
        let mut state = self.lock();
        state.observations.arrival_log.push(Arrival::now(server, request));
        let count =
            state.observations.arrival_counts.entry(request.to_owned());
        *count.or_default() += 1;
    }

    /// Notes the arrival of a request if it crashes servers; which arrival.
    pub(crate) fn record_crashing(&self, token: &str) -> Option<usize> {
        if !token.starts_with(CRASH_PREFIX) {
            return None;
        }
        let mut state = self.lock();
        let arrivals = &mut state.observations.crashing_arrivals;
        arrivals.push(CrashingArrival {
            token: token.to_owned(),
            at: Instant::now(),
            crashed_at: None,
        });
        Some(arrivals.len() - 1)
    }

    /// Crashes a server under a request; an empty one is back later.
    pub(crate) async fn crash(&self, address: SocketAddr, arrival: usize) {
        let Some(server) = self.server(address) else { return };
        Timer::after(CRASHES_AFTER).await;
        // Another request may have crashed it meanwhile.
        let runs = |s: ServerState| {
            s.id == server.id && s.status != ServerStatus::Exited
        };
        if !self.server(address).is_some_and(runs) {
            return;
        }
        self.lock().observations.crashing_arrivals[arrival].crashed_at =
            Some(Instant::now());
        self.terminate(address);
        let backends = self.clone();
        let later = async move {
            Timer::after(CRASH_LASTS).await;
            // An address that is still held is reused by nobody.
            let _ = engines::start(
                &backends,
                server.service,
                &server.data_centre,
                address.port(),
            );
        };
        self.shared.executor.spawn(later).detach();
    }

    /// Notes that a request runs; how often it has begun to.
    pub(crate) fn record_run(&self, request: &str) -> u32 {
        let mut state = self.lock();
        let count = state
            .observations
            .run_counts
            .entry(request.to_owned())
            .or_default();
        *count += 1;
        *count
    }

    /// Checks what any request to a server must carry.
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

    /// Waits until something is as wished; false after the time.
    pub async fn wait_for(
        &self,
        limit: Duration,
        is_so: impl Fn(&BackendServers) -> bool,
    ) -> bool {
        let until = Instant::now() + limit;
        while !is_so(self) {
            if Instant::now() >= until {
                return false;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        true
    }
}
