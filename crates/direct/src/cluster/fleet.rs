//! The set of backend servers known to an entry.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use arc_swap::ArcSwapOption;
use chestnutreach_membership::restored_row::{KnownServer, ServerRow};
use chestnutreach_protocol::peers::OpenMove;
use chestnutreach_routing::MemoryPool;
use chestnutreach_site::{Backend, BackendState, LayerRange, StoreVersion};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        backend_rows::RowLog,
        engine::{Engine, EngineState, StartOrder},
    },
};

/// How long a removed engine is remembered: longer than the age of the copies
/// from which the store is restored.
const DEPARTED_MEMORY_MS: u64 = 120_000;
/// More than the largest fleet has engines.
const MAX_DEPARTED: usize = 2_048;

/// All backend servers by id.
#[derive(Debug)]
pub(crate) struct Fleet {
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
    /// Last rows of engines that were removed, with the times of removal.
    departed: Mutex<BTreeMap<String, (ServerRow, u64)>>,
    /// Lock-free index for the request path. A change of the set clears the
    /// index; the next read rebuilds it.
    index: ArcSwapOption<FleetIndex>,
    /// Latest end of a cooldown that any engine requested.
    latest_cooldown_until_ms: AtomicU64,
    /// Memory that responses of the engines hold.
    pub(crate) response_memory: Arc<MemoryPool>,
    /// Memory that the bodies of callers' requests share.
    pub(crate) request_memory: Arc<MemoryPool>,
}

/// Backend servers by the keys used in look-ups.
#[derive(Debug, Default)]
pub(crate) struct FleetIndex {
    services: BTreeMap<String, Arc<ServiceEngines>>,
    /// By the hash of the incarnation.
    pub(crate) by_hash: BTreeMap<u32, Arc<Engine>>,
}

/// The backend servers of a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceEngines {
    pub(crate) all: Vec<Arc<Engine>>,
    pub(crate) by_data_centre: Vec<Vec<Arc<Engine>>>,
}

impl ServiceEngines {
    fn add(&mut self, engine: &Arc<Engine>) {
        let data_centre = engine.data_centre;
        let count = self.by_data_centre.len().max(data_centre + 1);
        self.by_data_centre.resize_with(count, Vec::new);
        self.by_data_centre[data_centre].push(engine.clone());
        self.all.push(engine.clone());
    }
}

/// Result of applying a row.
pub(crate) enum RowOutcome {
    /// The incarnation was known.
    Known,
    /// The incarnation is new; a process that had the same id has exited.
    New,
    /// The row belongs to an incarnation before the known incarnation, or
    /// lacks a start time although the start time is known.
    EarlierStart,
}

impl Fleet {
    /// An empty fleet on a machine with so much memory.
    pub(crate) fn new(memory_mb: u64) -> Fleet {
        Fleet {
            engines: Mutex::default(),
            departed: Mutex::default(),
            index: ArcSwapOption::empty(),
            latest_cooldown_until_ms: AtomicU64::new(0),
            response_memory: Arc::new(MemoryPool::of_responses(memory_mb)),
            request_memory: Arc::new(MemoryPool::of_requests(memory_mb)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Engine>>> {
        self.engines.lock().expect("no holder panics")
    }

    pub(crate) fn get(&self, id: &str) -> Option<Arc<Engine>> {
        self.lock().get(id).cloned()
    }

    pub(crate) fn all(&self) -> Vec<Arc<Engine>> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn of_service(&self, service: &str) -> Arc<ServiceEngines> {
        self.index().services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the current index, rebuilt if the set has changed.
    pub(crate) fn index(&self) -> Arc<FleetIndex> {
        match &*self.index.load() {
            Some(index) => index.clone(),
            None => self.rebuild_index(),
        }
    }

    fn rebuild_index(&self) -> Arc<FleetIndex> {
        let engines = self.lock();
        let mut services: BTreeMap<String, ServiceEngines> = BTreeMap::new();
        for engine in engines.values() {
            let service = engine.service.clone();
            services.entry(service).or_default().add(engine);
        }
        let shared = |(name, engines): (String, ServiceEngines)| {
            (name, Arc::new(engines))
        };
        let by_hash = engines.values().map(|e| (e.hash, e.clone()));
        let index = Arc::new(FleetIndex {
            services: services.into_iter().map(shared).collect(),
            by_hash: by_hash.collect(),
        });
        // Stored under the lock, so that a later change clears this index.
        self.index.store(Some(index.clone()));
        index
    }

    pub(crate) fn by_address(
        &self,
        address: SocketAddr,
    ) -> Option<Arc<Engine>> {
        let engines = self.lock();
        let mut matches = engines
            .values()
            .filter(|e| e.address == address && !e.lock().is_removed);
        matches.next().cloned()
    }

    pub(crate) fn by_incarnation(&self, name: &str) -> Option<Arc<Engine>> {
        let engines = self.lock();
        engines.values().find(|e| e.incarnation == name).cloned()
    }

    /// Applies a row and logs a change. Engines that are new in a read of the
    /// full list are not logged one by one.
    pub(crate) fn apply(
        &self,
        row: Backend,
        row_version: StoreVersion,
        data_centre: usize,
        is_full_read: bool,
        log: &mut RowLog,
    ) -> RowOutcome {
        let known = self.get(&row.id);
        let start_order = known.as_ref().map_or(StartOrder::Later, |known| {
            StartOrder::of(row.started_unix_ms, known.started_unix_ms)
        });
        if start_order == StartOrder::Earlier {
            return RowOutcome::EarlierStart;
        }
        if known.is_some() || !is_full_read {
            log_listed(&row, row_version, known.as_deref(), log);
        }
        if let Some(engine) = &known
            && start_order == StartOrder::Same
        {
            let mut state = engine.lock();
            state.earlier_starts.clear();
            if row_version >= state.row_version {
                state.apply_row(row, row_version);
            }
            return RowOutcome::Known;
        }
        // The process that had this id or this address before has exited.
        for old in known.into_iter().chain(self.by_address(row.address)) {
            let mut state = old.lock();
            state.is_removed = true;
            state.is_replaced = true;
        }
        let engine = Arc::new(Engine::new(row, row_version, data_centre));
        let mut engines = self.lock();
        engines.insert(engine.id.clone(), engine);
        self.index.store(None);
        RowOutcome::New
    }

    /// Records a row that states an earlier start than the known process, and
    /// returns how long it is to be ignored; `None` if it states no start or
    /// the process is not known.
    pub(crate) fn record_earlier_start(
        &self,
        id: &str,
        started_unix_ms: Option<u64>,
        heartbeat_ms: u64,
    ) -> Option<u64> {
        let (known, started_unix_ms) = (self.get(id)?, started_unix_ms?);
        let starts = &mut known.lock().earlier_starts;
        Some(starts.record(started_unix_ms, heartbeat_ms, now_ms()))
    }

    /// Records that the row under an id is not a valid backend row. Returns
    /// true if this stops new work to an engine.
    pub(crate) fn mark_row_unusable(&self, id: &str) -> bool {
        let Some(engine) = self.get(id) else { return false };
        let was_unusable =
            std::mem::replace(&mut engine.lock().is_row_unusable, true);
        !was_unusable
    }

    /// Applies the pending moves that the planner announced; returns true if
    /// one of them is new.
    pub(crate) fn apply_moves(&self, moves: &[OpenMove]) -> bool {
        let mut is_any_new = false;
        for engine in self.all() {
            let open = moves.iter().find(|open| open.engine == engine.hash);
            let to = open
                .map(|open| LayerRange::new(open.first_layer, open.end_layer));
            is_any_new |= engine.lock().set_planned_layers(to);
        }
        is_any_new
    }

    /// Records the end of a cooldown that a backend server requested.
    pub(crate) fn record_cooldown(&self, until_ms: u64) {
        self.latest_cooldown_until_ms.fetch_max(until_ms, Relaxed);
    }

    /// Time until the first cooldown ends among the backend servers that only
    /// a cooldown keeps from new requests. Returns `None` if one of them
    /// accepts requests now, or if there is none. Waiting requests call this
    /// often, so the engines are not searched while no cooldown is in force.
    pub(crate) fn cooldown_left_ms<'a>(
        &self,
        engines: impl Iterator<Item = &'a Arc<Engine>>,
        now_ms: u64,
    ) -> Option<u64> {
        if now_ms >= self.latest_cooldown_until_ms.load(Relaxed) {
            return None;
        }
        let left_ms = |engine: &Arc<Engine>| {
            let state = engine.lock();
            accepts_work(&state, now_ms)
                .then(|| state.cooldown_until_ms.saturating_sub(now_ms))
        };
        engines.filter_map(left_ms).min().filter(|left_ms| *left_ms > 0)
    }

    pub(crate) fn remove(&self, id: &str) -> Option<Arc<Engine>> {
        let engine = {
            let mut engines = self.lock();
            self.index.store(None);
            engines.remove(id)?
        };
        engine.lock().is_removed = true;
        self.record_departed(&engine);
        Some(engine)
    }

    fn record_departed(&self, engine: &Engine) {
        let row = engine.lock().server_row();
        let now_ms = now_ms();
        let mut departed = self.departed.lock().expect("no holder panics");
        departed.retain(|_, (_, at_ms)| *at_ms + DEPARTED_MEMORY_MS > now_ms);
        if departed.len() < MAX_DEPARTED {
            departed.insert(engine.id.clone(), (row, now_ms));
        }
    }

    /// What is known of a server: the row of the present engine with this id,
    /// or else of one that was removed.
    pub(crate) fn known_server(&self, id: &str) -> Option<KnownServer> {
        if let Some(engine) = self.get(id) {
            let row = engine.lock().server_row();
            return Some(KnownServer { row, is_gone: false });
        }
        let departed = self.departed.lock().expect("no holder panics");
        let (row, _) = departed.get(id)?;
        Some(KnownServer { row: *row, is_gone: true })
    }
}

/// Whether a backend server may get new work, from any sender.
pub(crate) fn accepts_work(state: &EngineState, now_ms: u64) -> bool {
    state.row.state == BackendState::Ready
        && !state.has_said_leaving
        && !state.is_removed
        && !state.is_row_unusable
        && state.suspicion.is_none()
        && state.backoff_until_ms <= now_ms
}

/// Whether this entry may send new requests to a backend server. A server in
/// cooldown still accepts work from other servers.
pub(crate) fn accepts_requests(state: &EngineState, now_ms: u64) -> bool {
    accepts_work(state, now_ms) && !state.is_in_cooldown(now_ms)
}

fn log_listed(
    row: &Backend,
    row_version: StoreVersion,
    known: Option<&Engine>,
    log: &mut RowLog,
) {
    let is_same = known.is_some_and(|engine| {
        let old = &engine.lock().row;
        old.state == row.state
            && old.held == row.held
            && old.started_unix_ms == row.started_unix_ms
    });
    if is_same || !log.is_next_logged() {
        return;
    }
    let layers = row.held.map_or_else(String::new, |held| held.to_string());
    let started = row.started_unix_ms;
    let started = started.map_or_else(String::new, |ms| ms.to_string());
    let state = match row.state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
    };
    emit(
        Event::BackendListed,
        &[
            ("backend", &row.id),
            ("address", &row.address),
            ("started_unix_ms", &started),
            ("state", &state),
            ("layers", &layers),
            ("row_version", &row_version.number()),
        ],
    );
}
