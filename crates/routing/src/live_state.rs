//! What this process knows of each backend server now.
//!
//! Written by many threads with atomics and read by every choice; no locks.
//! A reading joins the last load report with what this process sent and saw
//! ended since, so that a stale report does not draw all requests to one
//! server. A server without a recent report counts as loaded as the fleet is
//! on average, never as idle.
//!
//! A new manifest generation has its own [`LiveState`], made by
//! [`LiveState::carry_over`]. Servers that stay share their state with the old one,
//! so a request that was sent under one generation may end under another.

use std::sync::{
    Arc,
    atomic::{AtomicI64, Ordering::Relaxed},
};

pub use crate::load_report::{LoadReport, Presence};
use crate::{
    circuit_breaker::CircuitState,
    fleet::{BackendIndex, Fleet},
    memory::Memory,
    server::{Server, Told},
};

/// How a request that was sent to a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// Answered whole.
    Completed {
        /// Length of the prompt.
        prompt_tokens: u32,
        /// Length of the answer.
        output_tokens: u32,
        /// From dispatch to the first token.
        first_token_ms: u32,
        /// From dispatch to the end.
        total_ms: u32,
    },
    /// Not run: the side process had no room.
    Refused,
    /// The server, its side process or the link to it failed.
    Failed,
    /// Given up by the caller; tells nothing of the server.
    Cancelled,
}

/// What this process knows of each backend server of a fleet.
#[derive(Debug)]
pub struct LiveState {
    servers: Vec<Arc<Server>>,
    typical: Arc<Typical>,
    memory: Memory,
}

/// Sums over the last reports of the servers.
#[derive(Debug, Default)]
struct Typical {
    reports: AtomicI64,
    requests: AtomicI64,
    wait_ms: AtomicI64,
}

/// Means over the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TypicalLoad {
    pub(crate) requests: f64,
    pub(crate) wait_ms: f64,
}

impl Typical {
    fn add(&self, told: Told) {
        self.reports.fetch_add(1, Relaxed);
        self.requests.fetch_add(i64::from(told.requests), Relaxed);
        self.wait_ms.fetch_add(i64::from(told.wait_ms), Relaxed);
    }

    fn take(&self, told: Option<Told>) {
        let Some(told) = told else { return };
        self.reports.fetch_sub(1, Relaxed);
        self.requests.fetch_sub(i64::from(told.requests), Relaxed);
        self.wait_ms.fetch_sub(i64::from(told.wait_ms), Relaxed);
    }

    fn load(&self) -> TypicalLoad {
        let count = self.reports.load(Relaxed).max(1) as f64;
        let mean = |sum: &AtomicI64| sum.load(Relaxed).max(0) as f64 / count;
        TypicalLoad {
            requests: mean(&self.requests),
            wait_ms: mean(&self.wait_ms),
        }
    }
}

impl LiveState {
    /// `len` absent servers of which nothing is known.
    pub fn new(len: usize) -> LiveState {
        LiveState {
            servers: (0..len).map(|_| Arc::new(Server::new())).collect(),
            typical: Arc::default(),
            memory: Memory::new(),
        }
    }

    /// The state for a new generation: servers of the same name share theirs
    /// with this one, new ones are absent, and those that went are absent
    /// here too.
    pub fn carry_over(&self, from: &Fleet, to: &Fleet) -> LiveState {
        self.carry_over_where(from, to, |_| true)
    }

    /// As [`LiveState::carry_over`], but a server is only carried where `is_same`
    /// holds of its name: one that was replaced under its name counts as
    /// gone and as new.
    pub fn carry_over_where(
        &self,
        from: &Fleet,
        to: &Fleet,
        is_same: impl Fn(&str) -> bool,
    ) -> LiveState {
        let carry = |name: &str| match from.find(name) {
            Some(old) if is_same(name) => Arc::clone(&self.servers[old.at()]),
            _ => Arc::new(Server::new()),
        };
        let servers =
            to.indices().map(|index| carry(&to.spec(index).name)).collect();
        for index in from.indices() {
            let name = &from.spec(index).name;
            if to.find(name).is_none() || !is_same(name) {
                self.typical.take(self.server(index).withdraw());
            }
        }
        let typical = Arc::clone(&self.typical);
        LiveState { servers, typical, memory: Memory::new() }
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes a load report.
    pub fn record_report(
        &self,
        index: BackendIndex,
        report: &LoadReport,
        now_ms: u64,
    ) {
        let server = self.server(index);
        if server.is_withdrawn.load(Relaxed) {
            return;
        }
        self.typical.add(Told::new(report));
        self.typical.take(server.report(report, now_ms));
    }

    /// Sets whether a server is there.
    pub fn set_presence(&self, index: BackendIndex, presence: Presence) {
        self.server(index).set_presence(presence);
    }

    /// Whether a server is there.
    pub fn presence(&self, index: BackendIndex) -> Presence {
        self.server(index).presence()
    }

    /// Notes that a request was sent, with the tokens it is expected to take.
    pub fn record_dispatch(
        &self,
        index: BackendIndex,
        tokens: u32,
        now_ms: u64,
    ) {
        self.server(index).note_sent(tokens, now_ms);
    }

    /// Notes how a request ended, with the tokens given to
    /// [`LiveState::record_dispatch`].
    pub fn record_outcome(
        &self,
        index: BackendIndex,
        tokens: u32,
        ended: &RequestOutcome,
        now_ms: u64,
    ) {
        let server = self.server(index);
        match ended {
            RequestOutcome::Completed { total_ms, .. } => {
                server.note_ended(tokens);
                server.note_answer_ms(*total_ms);
                server.health.record_success(now_ms);
            }
            RequestOutcome::Refused => {
                server.note_refused();
                server.health.record_neutral();
            }
            RequestOutcome::Failed => {
                server.note_ended(tokens);
                server.health.record_failure(now_ms);
            }
            RequestOutcome::Cancelled => {
                server.note_ended(tokens);
                server.health.record_neutral();
            }
        }
    }

    /// Notes the answer of a health probe.
    pub fn record_probe(
        &self,
        index: BackendIndex,
        is_alive: bool,
        now_ms: u64,
    ) {
        let health = &self.server(index).health;
        if is_alive {
            health.record_success(now_ms);
        } else {
            health.record_failure(now_ms);
        }
    }

    /// Whether a server may be sent a request: there, and not suspect. A
    /// choice takes suspect ones too where a boundary has no others.
    pub fn is_eligible(&self, index: BackendIndex, now_ms: u64) -> bool {
        self.is_present(index) && !self.server(index).is_suspect(now_ms)
    }

    /// State of a server's circuit.
    pub fn circuit_state(
        &self,
        index: BackendIndex,
        now_ms: u64,
    ) -> CircuitState {
        self.server(index).health.state(now_ms)
    }

    /// Requests that this process has in flight at a server.
    pub fn in_flight(&self, index: BackendIndex) -> u32 {
        self.server(index).read().in_flight
    }

    /// Notes that a server's cache holds a prefix, from its own cache events
    /// or because a request with the prefix completed there.
    pub fn record_prefix(&self, index: BackendIndex, prefix: u64) {
        self.server(index).record_prefix(mix(prefix));
    }

    /// Whether a server's cache is believed to hold a prefix.
    pub fn has_prefix(&self, index: BackendIndex, prefix: u64) -> bool {
        self.server(index).has_prefix(mix(prefix))
    }

    /// Forgets the prefixes of a server, which has started anew.
    pub fn forget_prefixes(&self, index: BackendIndex) {
        self.server(index).forget_prefixes();
    }

    pub(crate) fn is_present(&self, index: BackendIndex) -> bool {
        match self.presence(index) {
            Presence::Joining { .. } | Presence::Serving => true,
            Presence::Absent | Presence::Leaving => false,
        }
    }

    pub(crate) fn is_suspect(&self, index: BackendIndex, now: u64) -> bool {
        self.server(index).is_suspect(now)
    }

    /// Takes a server whose report is old out of the mean. While most reports
    /// are old they stay: a mean over few is worse than one that is late.
    pub(crate) fn leave_mean(&self, index: BackendIndex) {
        let server = self.server(index);
        let count = self.typical.reports.load(Relaxed).max(0) as usize;
        if server.is_in_mean() && count * 2 > self.servers.len() {
            self.typical.take(server.leave_mean());
        }
    }

    /// The servers that were chosen last.
    pub(crate) fn memory(&self) -> &Memory {
        &self.memory
    }

    pub(crate) fn typical(&self) -> TypicalLoad {
        self.typical.load()
    }

    pub(crate) fn server(&self, index: BackendIndex) -> &Server {
        &self.servers[index.at()]
    }
}

/// Spreads the bits of a prefix's key (the finalizer of SplitMix64).
pub(crate) fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
