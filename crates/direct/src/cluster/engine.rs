//! State that an entry keeps for one backend server.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use chestnutreach_membership::{
    earlier_starts::EarlierStarts, restored_row::ServerRow,
};
pub(crate) use chestnutreach_routing::FailureEvidence;
use chestnutreach_routing::{AnswerTimes, CircuitBreaker, UsageEstimate};
use chestnutreach_site::{Backend, BackendState, LayerRange, StoreVersion};

use crate::{
    by_name::ByName,
    clock::now_ms,
    cluster::{lost_runs::LostRuns, notices::Notices},
    rate::Rate,
};

/// An engine with progress this recent counts as responding without a connect.
pub(crate) const RECENT_PROGRESS_MS: u64 = 60;

/// Unit in which entries report memory to each other, in tokens times layers.
const REPORTED_UNIT_TOKEN_LAYERS: u64 = 1_000;
/// Minimum time between two connects that probe an engine.
const MIN_RECONNECT_INTERVAL_MS: u64 = 125;
/// Maximum number of times that a backoff is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: String,
    /// Id of this process lifetime, to which the state belongs.
    pub(crate) incarnation: String,
    /// Unix time at which the process started, in milliseconds.
    pub(crate) started_unix_ms: Option<u64>,
    /// Hash of the incarnation that entries use in messages to each other.
    pub(crate) hash: u32,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) data_centre: usize,
    /// Memory used by requests of this entry, in tokens times layers.
    own_token_layers: AtomicU64,
    /// Requests of this entry for which the engine is the first stage.
    own_first_count: AtomicU64,
    /// Prefill time of this entry's requests at the engine's typical speed,
    /// in milliseconds.
    own_prefill: Rate,
    /// The same three amounts, summed over all other entries.
    peer_token_layers: AtomicU64,
    peer_first_count: AtomicU64,
    peer_prefill_ms_per_s: AtomicU64,
    /// When a stream through the engine last made progress.
    progress_ms: AtomicU64,
    pub(crate) is_probing: AtomicBool,
    /// Whether this entry keeps an idle connection to the engine.
    pub(crate) is_watched: AtomicBool,
    /// Circuit breaker over the outcomes of streams for which the engine is
    /// the first stage. Without the breaker, an engine that fails immediately
    /// looks idle and is chosen more and more often.
    pub(crate) circuit: CircuitBreaker,
    /// Limits and drain notices from the engine's response headers.
    pub(crate) notices: Notices,
    /// Runs whose connections the engine ended.
    pub(crate) lost_runs: LostRuns,
    /// What its answers to plain requests take, by route.
    pub(crate) answer_times: ByName<AnswerTimes>,
    state: Mutex<EngineState>,
}

/// Mutable state of a backend server.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) row: Backend,
    pub(crate) row_version: StoreVersion,
    /// The engine is no longer listed, or another engine has its address.
    pub(crate) is_removed: bool,
    /// A later incarnation has the engine's id or its address, so this process
    /// has exited.
    pub(crate) is_replaced: bool,
    /// The row under the engine's id is not a valid backend row. The engine
    /// gets no new requests; running requests continue.
    pub(crate) is_row_unusable: bool,
    pub(crate) earlier_starts: EarlierStarts,
    pub(crate) suspicion: Option<Suspicion>,
    /// Reported time relative to the typical time; above 1 for a slow engine.
    pub(crate) slowness: f64,
    /// End of the backoff after a refusal for lack of capacity or a failure.
    pub(crate) backoff_until_ms: u64,
    /// End of the cooldown that the engine requested from this entry. During
    /// a cooldown the engine still serves as a later stage of paths, because
    /// other engines send those requests.
    pub(crate) cooldown_until_ms: u64,
    /// The last probe of this entry.
    pub(crate) last_probe: Option<Probe>,
    /// When this entry last connected to the engine.
    pub(crate) connected_ms: u64,
    /// Successful connects since the last progress of a stream.
    pub(crate) connects_without_progress: u32,
    /// When an alert of another entry last named the engine.
    pub(crate) alerted_ms: u64,
    /// When the slowness was last reported.
    pub(crate) slowness_received_ms: u64,
    /// When this entry last requested a report from the engine.
    pub(crate) report_requested_ms: u64,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Orders that the engine had begun, by its last report.
    pub(crate) orders_begun: u64,
    /// Usage that other entries reported, by boot id.
    peer_usage: BTreeMap<u64, EngineUsage>,
    /// When the engine was first known to be draining.
    pub(crate) leaving_since_ms: Option<u64>,
    /// A response of the engine announced that the engine is draining. The
    /// notice holds for the rest of the process lifetime.
    pub(crate) has_said_leaving: bool,
    /// Layers that the engine is to hold after a pending move.
    pub(crate) planned_layers: Option<LayerRange>,
}

impl EngineState {
    /// Time since the engine began to drain, or `None` if the engine serves.
    pub(crate) fn leaving_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.leaving_since_ms?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Whether a pending move releases some of these layers.
    pub(crate) fn will_release(&self, layers: LayerRange) -> bool {
        self.planned_layers.is_some_and(|to| !to.contains(layers))
    }

    /// Layers that new requests may use: the held layers without those that a
    /// pending move releases.
    pub(crate) fn retained_layers(&self) -> Option<LayerRange> {
        let held = self.row.held?;
        match self.planned_layers {
            Some(to) => held.intersection(to),
            None => Some(held),
        }
    }

    /// Sets the target of a pending move; returns true if the move is new.
    pub(crate) fn set_planned_layers(
        &mut self,
        to: Option<LayerRange>,
    ) -> bool {
        let to = to.filter(|to| self.row.held != Some(*to));
        let is_new = to.is_some() && self.planned_layers != to;
        self.planned_layers = to;
        is_new
    }

    /// Whether a connect is worthwhile. No connect is due while streams
    /// through the engine make progress. The interval doubles with each
    /// successful connect that no progress follows: otherwise every stream
    /// that waits for another engine of its path would connect to this engine
    /// again and again.
    pub(crate) fn is_connect_due(
        &mut self,
        now_ms: u64,
        quiet_ms: u64,
    ) -> bool {
        if quiet_ms < RECENT_PROGRESS_MS {
            self.connects_without_progress = 0;
            return false;
        }
        let doublings = self.connects_without_progress.min(MAX_DOUBLINGS);
        let pause_ms = MIN_RECONNECT_INTERVAL_MS << doublings;
        now_ms.saturating_sub(self.connected_ms) >= pause_ms
    }

    /// Records a drain notice from a response; returns false if one was
    /// recorded before.
    pub(crate) fn mark_draining(&mut self, now_ms: u64) -> bool {
        self.leaving_since_ms.get_or_insert(now_ms);
        !std::mem::replace(&mut self.has_said_leaving, true)
    }

    /// Whether the engine requested a cooldown that has not ended.
    pub(crate) fn is_in_cooldown(&self, now_ms: u64) -> bool {
        now_ms < self.cooldown_until_ms
    }

    /// Records a requested cooldown. Cooldowns may overlap; the latest end
    /// applies.
    pub(crate) fn enter_cooldown(&mut self, duration_ms: u64, now_ms: u64) {
        self.cooldown_until_ms =
            self.cooldown_until_ms.max(now_ms + duration_ms);
    }

    /// Sends no new work for a time that doubles with each consecutive
    /// failure. The backend list may be outdated for as long as the store is
    /// unavailable.
    pub(crate) fn back_off(&mut self, now_ms: u64, min_ms: u64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.backoff_until_ms = now_ms + (min_ms << doublings);
    }

    /// What the last row said, with drain notices from responses.
    pub(crate) fn server_row(&self) -> ServerRow {
        let is_draining = self.row.state == BackendState::Draining;
        ServerRow {
            started_unix_ms: self.row.started_unix_ms,
            heartbeats: self.row.heartbeats,
            is_draining: is_draining || self.has_said_leaving,
            version: self.row_version,
        }
    }

    /// Applies a newer row of the backend list.
    pub(crate) fn apply_row(&mut self, row: Backend, version: StoreVersion) {
        let is_leaving =
            row.state == BackendState::Draining || self.has_said_leaving;
        self.leaving_since_ms = match (is_leaving, self.leaving_since_ms) {
            (false, _) => None,
            (true, None) => Some(now_ms()),
            (true, since_ms) => since_ms,
        };
        if self.row.held != row.held {
            self.failures = 0;
            self.backoff_until_ms = 0;
            self.planned_layers = None;
        }
        self.row = row;
        self.row_version = version;
        self.is_removed = false;
        self.is_row_unusable = false;
    }
}

/// Order of the incarnation in a row or report relative to the known
/// incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartOrder {
    /// An earlier incarnation, or no start time although one is known: the
    /// information is obsolete.
    Earlier,
    Same,
    /// A later incarnation, so the known process has exited.
    Later,
}

impl StartOrder {
    /// Compares the start time in a row or report with the known start time.
    pub(crate) fn of(reported: Option<u64>, known: Option<u64>) -> StartOrder {
        match reported.cmp(&known) {
            Ordering::Less => StartOrder::Earlier,
            Ordering::Equal => StartOrder::Same,
            Ordering::Greater => StartOrder::Later,
        }
    }
}

/// Load that one entry puts on a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct EngineUsage {
    pub(crate) kilo_token_layers: u32,
    pub(crate) first_count: u32,
    pub(crate) prefill_ms_per_s: u32,
}

/// A connect that showed whether a backend server responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Probe {
    pub(crate) began_ms: u64,
    pub(crate) result: Result<(), io::ErrorKind>,
}

/// Why a backend server gets no work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Suspicion {
    pub(crate) since_ms: u64,
    /// Earliest time at which the suspicion may be cleared.
    pub(crate) until_ms: u64,
    pub(crate) evidence: FailureEvidence,
}

impl Engine {
    pub(crate) fn new(
        row: Backend,
        row_version: StoreVersion,
        data_centre: usize,
    ) -> Engine {
        let mut hasher = DefaultHasher::new();
        let incarnation = row.incarnation();
        incarnation.hash(&mut hasher);
        Engine {
            id: row.id.clone(),
            incarnation,
            started_unix_ms: row.started_unix_ms,
            hash: hasher.finish() as u32,
            address: row.address,
            service: row.service.clone(),
            data_centre,
            own_token_layers: AtomicU64::new(0),
            own_first_count: AtomicU64::new(0),
            peer_token_layers: AtomicU64::new(0),
            peer_first_count: AtomicU64::new(0),
            peer_prefill_ms_per_s: AtomicU64::new(0),
            own_prefill: Rate::default(),
            progress_ms: AtomicU64::new(0),
            is_probing: AtomicBool::new(false),
            is_watched: AtomicBool::new(false),
            circuit: CircuitBreaker::new(),
            notices: Notices::default(),
            lost_runs: LostRuns::default(),
            answer_times: ByName::default(),
            state: Mutex::new(EngineState {
                row,
                row_version,
                is_removed: false,
                is_replaced: false,
                is_row_unusable: false,
                earlier_starts: EarlierStarts::default(),
                suspicion: None,
                slowness: 1.0,
                backoff_until_ms: 0,
                cooldown_until_ms: 0,
                last_probe: None,
                connected_ms: 0,
                connects_without_progress: 0,
                alerted_ms: 0,
                slowness_received_ms: 0,
                report_requested_ms: 0,
                failures: 0,
                orders_begun: 0,
                peer_usage: BTreeMap::new(),
                leaving_since_ms: None,
                has_said_leaving: false,
                planned_layers: None,
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }

    pub(crate) fn used_token_layers(&self) -> u64 {
        let others = self.peer_token_layers.load(Relaxed);
        self.own_token_layers.load(Relaxed) + others
    }

    /// Memory in use, with an estimate for entries that have not reported.
    pub(crate) fn estimated_token_layers(
        &self,
        entries_without_report: u64,
    ) -> u64 {
        let own = self.own_token_layers.load(Relaxed);
        let reported = self.peer_token_layers.load(Relaxed);
        UsageEstimate { own, reported, entries_without_report }.total()
    }

    pub(crate) fn first_count(&self) -> u64 {
        self.own_first_count.load(Relaxed)
            + self.peer_first_count.load(Relaxed)
    }

    /// This entry's load on the engine, in the units of state messages.
    pub(crate) fn own_usage(&self, now_ms: u64) -> EngineUsage {
        let used = self
            .own_token_layers
            .load(Relaxed)
            .div_ceil(REPORTED_UNIT_TOKEN_LAYERS);
        EngineUsage {
            kilo_token_layers: used as u32,
            first_count: self.own_first_count.load(Relaxed) as u32,
            prefill_ms_per_s: self.own_prefill.per_s(now_ms) as u32,
        }
    }

    /// Records the prefill time of a request at the engine's typical speed.
    pub(crate) fn record_prefill(&self, prefill_ms: f64, now_ms: u64) {
        self.own_prefill.record(prefill_ms, now_ms);
    }

    /// Share of the engine's time that prefill takes at its typical speed.
    pub(crate) fn prefill_utilisation(&self, now_ms: u64) -> f64 {
        let others = self.peer_prefill_ms_per_s.load(Relaxed) as f64;
        (self.own_prefill.per_s(now_ms) + others) / 1e3
    }

    /// Replaces the load that another entry reported; `None` removes it.
    pub(crate) fn set_peer_usage(
        &self,
        boot_id: u64,
        usage: Option<EngineUsage>,
    ) {
        let mut state = self.lock();
        let old = match usage {
            Some(usage) => state.peer_usage.insert(boot_id, usage),
            None => state.peer_usage.remove(&boot_id),
        };
        let (old, new) = (old.unwrap_or_default(), usage.unwrap_or_default());
        // The lock on the state keeps the sums consistent with the map.
        let update = |sum: &AtomicU64,
                      field: fn(&EngineUsage) -> u32,
                      unit: u64| {
            let (old, new) = (u64::from(field(&old)), u64::from(field(&new)));
            let others = sum.load(Relaxed) - old * unit;
            sum.store(others + new * unit, Relaxed);
        };
        let memory = |usage: &EngineUsage| usage.kilo_token_layers;
        update(&self.peer_token_layers, memory, REPORTED_UNIT_TOKEN_LAYERS);
        update(&self.peer_first_count, |usage| usage.first_count, 1);
        update(&self.peer_prefill_ms_per_s, |usage| usage.prefill_ms_per_s, 1);
    }

    pub(crate) fn record_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Relaxed);
    }

    /// Whether a stream made progress or a connect succeeded recently.
    pub(crate) fn is_alive(&self, now_ms: u64, within_ms: u64) -> bool {
        let connected_ms = self.lock().connected_ms;
        self.quiet_ms(now_ms) < within_ms
            || now_ms.saturating_sub(connected_ms) < within_ms
    }

    /// Time since a stream through the engine last made progress.
    pub(crate) fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.load(Relaxed))
    }

    /// Takes a permit for a request if the engine requires one. Returns false
    /// if none is available or the engine is in cooldown.
    pub(crate) fn try_admit(&self, request: u64, now_ms: u64) -> bool {
        !self.lock().is_in_cooldown(now_ms)
            && self.notices.try_take_permit(request, now_ms)
    }

    /// What answers to requests of a route usually take.
    pub(crate) fn usual_answer_ms(&self, route: &str) -> Option<u64> {
        self.answer_times.read(route, AnswerTimes::usual_ms).flatten()
    }

    pub(crate) fn is_suspect(&self) -> bool {
        let state = self.lock();
        state.is_removed || state.suspicion.is_some()
    }
}

/// Memory and a slot that a request occupies until this value is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    engine: Arc<Engine>,
    token_layers: u64,
    is_first: bool,
}

impl Reservation {
    pub(crate) fn new(
        engine: &Arc<Engine>,
        token_layers: u64,
        is_first: bool,
    ) -> Reservation {
        engine.own_token_layers.fetch_add(token_layers, Relaxed);
        engine.own_first_count.fetch_add(is_first.into(), Relaxed);
        Reservation { engine: engine.clone(), token_layers, is_first }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let engine = &self.engine;
        engine.own_token_layers.fetch_sub(self.token_layers, Relaxed);
        engine.own_first_count.fetch_sub(self.is_first.into(), Relaxed);
    }
}
