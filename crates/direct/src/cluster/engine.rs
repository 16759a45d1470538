//! What an entry knows of one backend server.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

pub(crate) use chestnutreach_routing::Evidence;
use chestnutreach_routing::{Health, KnownUse};
use chestnutreach_site::{Backend, BackendState, LayerRange};

use crate::{clock::now_ms, cluster::notices::Notices, rate::Rate};

/// Progress so recent shows that an engine lives.
pub(crate) const RECENT_PROGRESS_MS: u64 = 60;

/// Units in which entries tell each other memory, in tokens times layers.
const REPORTED_UNIT_TOKEN_LAYERS: u64 = 1_000;
/// A connection made so recently need not be made again.
const MIN_RECONNECT_INTERVAL_MS: u64 = 125;
/// Most doublings of a time that grows with failures in a row.
const MAX_DOUBLINGS: u32 = 4;

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: String,
    /// Name of this start of it, under which it counts.
    pub(crate) incarnation: String,
    /// Unix time of that start, in milliseconds.
    pub(crate) started_unix_ms: Option<u64>,
    /// Short form of the incarnation among entries.
    pub(crate) hash: u32,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) data_centre: usize,
    /// Memory that requests of this entry use, in tokens times layers.
    own_token_layers: AtomicU64,
    /// Requests of this entry that were sent to it first.
    own_first_count: AtomicU64,
    /// Time that reading for own requests takes at its usual pace, in
    /// milliseconds.
    own_prefill: Rate,
    /// The same of all other entries.
    peer_token_layers: AtomicU64,
    peer_first_count: AtomicU64,
    peer_prefill_ms_per_s: AtomicU64,
    /// When a stream through it last made progress.
    progress_ms: AtomicU64,
    pub(crate) is_probing: AtomicBool,
    /// Whether this entry keeps an idle connection to it.
    pub(crate) is_watched: AtomicBool,
    /// How streams that were sent to it first were answered. An engine that
    /// fails at once looks idle, and would be chosen ever more often.
    pub(crate) circuit: Health,
    /// What it said of itself in answers.
    pub(crate) notices: Notices,
    state: Mutex<EngineState>,
}

/// What changes of a backend server.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) row: Backend,
    pub(crate) row_version: u64,
    /// It has left the list, or another one has its address.
    pub(crate) is_removed: bool,
    /// A later start has its id: its process has ended.
    pub(crate) is_replaced: bool,
    /// What the list has under its id is no row of an engine, so that it gets
    /// nothing new; what it runs goes on.
    pub(crate) is_row_unusable: bool,
    pub(crate) suspicion: Option<Suspicion>,
    /// Above 1 for one that is slow.
    pub(crate) slowness: f64,
    /// It refused for lack of room, or failed; no work until then.
    pub(crate) backoff_until_ms: u64,
    /// It asked this entry to send it nothing until then. It is still used
    /// for later parts of paths: those do not reach it from this entry.
    pub(crate) cooldown_until_ms: u64,
    /// When a connection was last made.
    pub(crate) connected_ms: u64,
    /// Dials that reached it since work last flowed through it.
    pub(crate) connects_without_progress: u32,
    /// When another entry last told of it in an alert.
    pub(crate) alerted_ms: u64,
    /// When it was last heard how slow it is.
    pub(crate) slowness_received_ms: u64,
    /// When its report was last asked for.
    pub(crate) report_requested_ms: u64,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Orders that it had begun when it last reported.
    pub(crate) orders_begun: u64,
    peer_usage: BTreeMap<u64, EngineUsage>,
    /// When it was first seen leaving.
    pub(crate) leaving_since_ms: Option<u64>,
    /// It said so itself in an answer, which holds as long as this start.
    pub(crate) has_said_leaving: bool,
    /// Layers to which the planner is moving it.
    pub(crate) planned_layers: Option<LayerRange>,
}

impl EngineState {
    /// How long it has been leaving; none if it isn't.
    pub(crate) fn leaving_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.leaving_since_ms?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Whether some of these layers are about to be given up.
    pub(crate) fn will_release(&self, layers: LayerRange) -> bool {
        self.planned_layers.is_some_and(|to| !to.contains(layers))
    }

    /// Layers that new requests may use: not those that an order is about to
    /// take away.
    pub(crate) fn retained_layers(&self) -> Option<LayerRange> {
        let held = self.row.held?;
        match self.planned_layers {
            Some(to) => held.shared(to),
            None => Some(held),
        }
    }

    /// Takes what the planner tells of its moves; true if that is new.
    pub(crate) fn set_planned_layers(
        &mut self,
        to: Option<LayerRange>,
    ) -> bool {
        let to = to.filter(|to| self.row.held != Some(*to));
        let is_new = to.is_some() && self.planned_layers != to;
        self.planned_layers = to;
        is_new
    }

    /// Whether a dial may show something new: not while work flows through
    /// it, and more rarely the more dials have reached it in vain, since
    /// all that wait for something else would dial it.
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

    /// Takes that it said in an answer that it leaves; false if that was
    /// known.
    pub(crate) fn mark_leaving(&mut self, now_ms: u64) -> bool {
        self.leaving_since_ms.get_or_insert(now_ms);
        !std::mem::replace(&mut self.has_said_leaving, true)
    }

    /// Whether it asked this entry to send it nothing now.
    pub(crate) fn is_in_cooldown(&self, now_ms: u64) -> bool {
        now_ms < self.cooldown_until_ms
    }

    /// Takes that it asked for rest; of several, the latest end counts.
    pub(crate) fn enter_cooldown(&mut self, rest_ms: u64, now_ms: u64) {
        self.cooldown_until_ms = self.cooldown_until_ms.max(now_ms + rest_ms);
    }

    /// Keeps work away, for longer with each refusal in a row: what the list
    /// says of it may be outdated for as long as the store is away.
    pub(crate) fn back_off(&mut self, now_ms: u64, least_ms: u64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.backoff_until_ms = now_ms + (least_ms << doublings);
    }

    /// Takes what the list says.
    pub(crate) fn apply_row(&mut self, row: Backend, version: u64) {
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

/// Of which start of a backend server something tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartOrder {
    /// Of one before, or of none where the start is known: it holds no more.
    Earlier,
    Same,
    /// The process that is known has ended.
    Later,
}

impl StartOrder {
    /// Compares the start that is told with the one that is known.
    pub(crate) fn of(told: Option<u64>, known: Option<u64>) -> StartOrder {
        match told.cmp(&known) {
            Ordering::Less => StartOrder::Earlier,
            Ordering::Equal => StartOrder::Same,
            Ordering::Greater => StartOrder::Later,
        }
    }
}

/// What an entry uses of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct EngineUsage {
    pub(crate) kilo_token_layers: u32,
    pub(crate) first_count: u32,
    pub(crate) work_ms_per_s: u32,
}

/// Why a backend server gets no work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Suspicion {
    pub(crate) since_ms: u64,
    /// Not cleared before.
    pub(crate) until_ms: u64,
    pub(crate) evidence: Evidence,
}

impl Engine {
    pub(crate) fn new(
        row: Backend,
        row_version: u64,
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
            circuit: Health::new(),
            notices: Notices::default(),
            state: Mutex::new(EngineState {
                row,
                row_version,
                is_removed: false,
                is_replaced: false,
                is_row_unusable: false,
                suspicion: None,
                slowness: 1.0,
                backoff_until_ms: 0,
                cooldown_until_ms: 0,
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

    /// Memory that requests use, where so many entries have not told.
    pub(crate) fn estimated_token_layers(&self, untold_entries: u64) -> u64 {
        let own = self.own_token_layers.load(Relaxed);
        let told = self.peer_token_layers.load(Relaxed);
        KnownUse { own, told, untold_entries }.planned()
    }

    pub(crate) fn first_count(&self) -> u64 {
        self.own_first_count.load(Relaxed)
            + self.peer_first_count.load(Relaxed)
    }

    /// What this entry uses, as it tells the others.
    pub(crate) fn own_usage(&self, now_ms: u64) -> EngineUsage {
        let used = self
            .own_token_layers
            .load(Relaxed)
            .div_ceil(REPORTED_UNIT_TOKEN_LAYERS);
        EngineUsage {
            kilo_token_layers: used as u32,
            first_count: self.own_first_count.load(Relaxed) as u32,
            work_ms_per_s: self.own_prefill.per_s(now_ms) as u32,
        }
    }

    /// Counts reading that a request brings, at the engine's usual pace.
    pub(crate) fn record_prefill(&self, work_ms: f64, now_ms: u64) {
        self.own_prefill.note(work_ms, now_ms);
    }

    /// Share of its time that reading takes at its usual pace.
    pub(crate) fn prefill_utilisation(&self, now_ms: u64) -> f64 {
        let others = self.peer_prefill_ms_per_s.load(Relaxed) as f64;
        (self.own_prefill.per_s(now_ms) + others) / 1e3
    }

    /// Takes what another entry uses; none once it has gone.
    pub(crate) fn set_peer_usage(
        &self,
        boot_id: u64,
        told: Option<EngineUsage>,
    ) {
        let mut state = self.lock();
        let old = match told {
            Some(told) => state.peer_usage.insert(boot_id, told),
            None => state.peer_usage.remove(&boot_id),
        };
        let (old, new) = (old.unwrap_or_default(), told.unwrap_or_default());
        // Under the lock: the sums are those of the map.
        let change =
            |sum: &AtomicU64, of: fn(&EngineUsage) -> u32, unit: u64| {
                let (old, new) = (u64::from(of(&old)), u64::from(of(&new)));
                let others = sum.load(Relaxed) - old * unit;
                sum.store(others + new * unit, Relaxed);
            };
        let memory = |told: &EngineUsage| told.kilo_token_layers;
        change(&self.peer_token_layers, memory, REPORTED_UNIT_TOKEN_LAYERS);
        change(&self.peer_first_count, |told| told.first_count, 1);
        change(&self.peer_prefill_ms_per_s, |told| told.work_ms_per_s, 1);
    }

    pub(crate) fn record_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Relaxed);
    }

    /// Whether work flowed through it or a dial reached it of late.
    pub(crate) fn is_alive(&self, now_ms: u64, within_ms: u64) -> bool {
        let reached_ms = self.lock().connected_ms;
        self.quiet_ms(now_ms) < within_ms
            || now_ms.saturating_sub(reached_ms) < within_ms
    }

    /// Time since a stream through it last made progress.
    pub(crate) fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.load(Relaxed))
    }

    /// Takes the permit for a request that is sent to it now, where it needs
    /// one; false if there is none, or if it is at rest.
    pub(crate) fn try_admit(&self, request: u64, now_ms: u64) -> bool {
        !self.lock().is_in_cooldown(now_ms)
            && self.notices.try_take_permit(request, now_ms)
    }

    pub(crate) fn is_suspect(&self) -> bool {
        let state = self.lock();
        state.is_removed || state.suspicion.is_some()
    }
}

/// Memory and a place that a request uses until it is dropped.
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
