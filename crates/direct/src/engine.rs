//! What an entry knows of one backend server.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use chestnutreach_site::{Backend, BackendState};

use crate::clock::now_ms;

/// Units in which entries tell each other memory, in tokens times layers.
const TOLD_UNIT: u64 = 1_000;

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: String,
    /// Short form of the id among entries.
    pub(crate) hash: u32,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) data_centre: usize,
    /// Memory that requests of this entry use, in tokens times layers.
    own_token_layers: AtomicU64,
    /// Requests of this entry that were sent to it first.
    own_first: AtomicU64,
    /// The same of all other entries.
    others_token_layers: AtomicU64,
    others_first: AtomicU64,
    /// When a stream through it last made progress.
    progress_ms: AtomicU64,
    pub(crate) is_probing: AtomicBool,
    state: Mutex<EngineState>,
}

/// What changes of a backend server.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) row: Backend,
    pub(crate) row_version: u64,
    /// It has left the list, or another one has its address.
    pub(crate) is_gone: bool,
    pub(crate) suspicion: Option<Suspicion>,
    /// Above 1 for one that is slow.
    pub(crate) slowness: f64,
    /// It refused for lack of room, or failed; no work until then.
    pub(crate) avoided_until_ms: u64,
    /// When a connection was last made.
    pub(crate) reached_ms: u64,
    /// When its report was last asked for.
    pub(crate) asked_ms: u64,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Orders that it had begun when it last reported.
    pub(crate) orders_begun: u64,
    others: BTreeMap<u64, (u64, u64)>,
    /// When it was first seen leaving.
    pub(crate) leaving_since_ms: Option<u64>,
}

impl EngineState {
    /// How long it has been leaving; none if it isn't.
    pub(crate) fn leaving_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.leaving_since_ms?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Takes what the list says.
    pub(crate) fn take_row(&mut self, row: Backend, version: u64) {
        let is_leaving = row.state == BackendState::Draining;
        self.leaving_since_ms = match (is_leaving, self.leaving_since_ms) {
            (false, _) => None,
            (true, None) => Some(now_ms()),
            (true, since_ms) => since_ms,
        };
        self.row = row;
        self.row_version = version;
        self.is_gone = false;
    }
}

/// Why a backend server gets no work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Suspicion {
    pub(crate) since_ms: u64,
    /// Not cleared before.
    pub(crate) until_ms: u64,
    pub(crate) evidence: Evidence,
}

/// What speaks for a backend server being dead or out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// It refuses connections: its process has ended.
    Refused,
    /// It does not answer at all.
    Silent,
    /// Another engine waits for it.
    Stalled,
}

impl Evidence {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Silent => "silent",
            Evidence::Stalled => "stalled",
        }
    }
}

impl Engine {
    pub(crate) fn new(
        row: Backend,
        row_version: u64,
        data_centre: usize,
    ) -> Engine {
        let mut hasher = DefaultHasher::new();
        row.id.hash(&mut hasher);
        Engine {
            id: row.id.clone(),
            hash: hasher.finish() as u32,
            address: row.address,
            service: row.service.clone(),
            data_centre,
            own_token_layers: AtomicU64::new(0),
            own_first: AtomicU64::new(0),
            others_token_layers: AtomicU64::new(0),
            others_first: AtomicU64::new(0),
            progress_ms: AtomicU64::new(0),
            is_probing: AtomicBool::new(false),
            state: Mutex::new(EngineState {
                row,
                row_version,
                is_gone: false,
                suspicion: None,
                slowness: 1.0,
                avoided_until_ms: 0,
                reached_ms: 0,
                asked_ms: 0,
                failures: 0,
                orders_begun: 0,
                others: BTreeMap::new(),
                leaving_since_ms: None,
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder panics")
    }

    pub(crate) fn used_token_layers(&self) -> u64 {
        let others = self.others_token_layers.load(Relaxed);
        self.own_token_layers.load(Relaxed) + others
    }

    pub(crate) fn first_count(&self) -> u64 {
        self.own_first.load(Relaxed) + self.others_first.load(Relaxed)
    }

    /// What this entry uses, as it tells the others.
    pub(crate) fn own_use(&self) -> (u32, u32) {
        let used = self.own_token_layers.load(Relaxed).div_ceil(TOLD_UNIT);
        (used as u32, self.own_first.load(Relaxed) as u32)
    }

    /// Takes what another entry uses; none once it has gone.
    pub(crate) fn set_other(&self, boot_id: u64, told: Option<(u32, u32)>) {
        let mut state = self.lock();
        match told {
            Some((used, first)) => {
                let used = u64::from(used) * TOLD_UNIT;
                state.others.insert(boot_id, (used, first.into()));
            }
            None => {
                state.others.remove(&boot_id);
            }
        }
        let used = state.others.values().map(|o| o.0).sum();
        let first = state.others.values().map(|o| o.1).sum();
        self.others_token_layers.store(used, Relaxed);
        self.others_first.store(first, Relaxed);
    }

    pub(crate) fn note_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Relaxed);
    }

    /// Time since a stream through it last made progress.
    pub(crate) fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.load(Relaxed))
    }

    pub(crate) fn is_suspect(&self) -> bool {
        let state = self.lock();
        state.is_gone || state.suspicion.is_some()
    }
}

/// Memory and a place that a request uses until it is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    engine: Arc<Engine>,
    token_layers: u64,
    is_first: bool,
}

impl Hold {
    pub(crate) fn new(
        engine: &Arc<Engine>,
        token_layers: u64,
        is_first: bool,
    ) -> Hold {
        engine.own_token_layers.fetch_add(token_layers, Relaxed);
        engine.own_first.fetch_add(is_first.into(), Relaxed);
        Hold { engine: engine.clone(), token_layers, is_first }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let engine = &self.engine;
        engine.own_token_layers.fetch_sub(self.token_layers, Relaxed);
        engine.own_first.fetch_sub(self.is_first.into(), Relaxed);
    }
}
