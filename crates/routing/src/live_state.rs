//! Current state of the backend servers of a fleet, as this process sees it.
//!
//! The state is held in atomics, written by many threads and read by every
//! choice without locks. A snapshot combines the last load report with the
//! requests that this process has sent and completed since, so that a stale
//! report does not attract all requests to one server. A server without a
//! recent report is assumed to carry at least the mean load of the fleet.
//!
//! Each manifest generation has its own [`LiveState`], created by
//! [`LiveState::carry_over`]. Servers that remain share their state with the
//! previous generation, so a request may be sent under one generation and end
//! under another.

use std::sync::{
    Arc,
    atomic::{AtomicI64, Ordering::Relaxed},
};

pub use crate::load_report::{LoadReport, Presence};
use crate::{
    circuit_breaker::CircuitState,
    fleet::{BackendIndex, Fleet},
    recent_choices::RecentChoices,
    server_state::{ReportedLoad, ServerState},
};

/// Outcome of a request that was sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response was complete.
    Completed {
        /// Length of the prompt.
        prompt_tokens: u32,
        /// Length of the output.
        output_tokens: u32,
        /// Time from dispatch to the first token.
        first_token_ms: u32,
        /// Time from dispatch to the end of the response.
        total_ms: u32,
    },
    /// The side process had no capacity, and the request did not run.
    Refused,
    /// The server, the side process or the link to the side process failed.
    Failed,
    /// The caller cancelled the request, which says nothing about the server.
    Cancelled,
}

/// Current state of the backend servers of a fleet.
#[derive(Debug)]
pub struct LiveState {
    servers: Vec<Arc<ServerState>>,
    report_sums: Arc<ReportSums>,
    recent_choices: RecentChoices,
}

/// Sums over the last reports of all servers.
#[derive(Debug, Default)]
struct ReportSums {
    reports: AtomicI64,
    requests: AtomicI64,
    wait_ms: AtomicI64,
}

/// Mean load over the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanLoad {
    pub(crate) requests: f64,
    pub(crate) wait_ms: f64,
}

impl ReportSums {
    fn add(&self, reported: ReportedLoad) {
        self.reports.fetch_add(1, Relaxed);
        self.requests.fetch_add(i64::from(reported.requests), Relaxed);
        self.wait_ms.fetch_add(i64::from(reported.wait_ms), Relaxed);
    }

    fn subtract(&self, reported: Option<ReportedLoad>) {
        let Some(reported) = reported else { return };
        self.reports.fetch_sub(1, Relaxed);
        self.requests.fetch_sub(i64::from(reported.requests), Relaxed);
        self.wait_ms.fetch_sub(i64::from(reported.wait_ms), Relaxed);
    }

    fn mean(&self) -> MeanLoad {
        let count = self.reports.load(Relaxed).max(1) as f64;
        let mean = |sum: &AtomicI64| sum.load(Relaxed).max(0) as f64 / count;
        MeanLoad {
            requests: mean(&self.requests),
            wait_ms: mean(&self.wait_ms),
        }
    }
}

impl LiveState {
    /// State of `len` absent servers without any observations.
    pub fn new(len: usize) -> LiveState {
        LiveState {
            servers: (0..len).map(|_| Arc::new(ServerState::new())).collect(),
            report_sums: Arc::default(),
            recent_choices: RecentChoices::new(),
        }
    }

    /// Creates the state for a new manifest generation. Servers with the same
    /// name share their state with this one, and new servers are absent.
    /// Servers that were removed become absent in this state too.
    pub fn carry_over(&self, from: &Fleet, to: &Fleet) -> LiveState {
        self.carry_over_where(from, to, |_| true)
    }

    /// Creates the state as [`LiveState::carry_over`] does, but keeps the
    /// state of a server only if `is_same` returns true for its name. A server
    /// that was replaced under the same name counts as removed and new.
    pub fn carry_over_where(
        &self,
        from: &Fleet,
        to: &Fleet,
        is_same: impl Fn(&str) -> bool,
    ) -> LiveState {
        let carry = |name: &str| match from.find(name) {
            Some(old) if is_same(name) => {
                Arc::clone(&self.servers[old.as_usize()])
            }
            _ => Arc::new(ServerState::new()),
        };
        let servers =
            to.indices().map(|index| carry(&to.spec(index).name)).collect();
        for index in from.indices() {
            let name = &from.spec(index).name;
            if to.find(name).is_none() || !is_same(name) {
                self.report_sums.subtract(self.server(index).withdraw());
            }
        }
        let report_sums = Arc::clone(&self.report_sums);
        LiveState {
            servers,
            report_sums,
            recent_choices: RecentChoices::new(),
        }
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the fleet has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records a load report. Reports of removed servers are ignored.
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
        self.report_sums.add(ReportedLoad::new(report));
        self.report_sums.subtract(server.record_report(report, now_ms));
    }

    /// Sets the presence of a server.
    pub fn set_presence(&self, index: BackendIndex, presence: Presence) {
        self.server(index).set_presence(presence);
    }

    /// The presence of a server.
    pub fn presence(&self, index: BackendIndex) -> Presence {
        self.server(index).presence()
    }

    /// Records that a request was sent, with its expected token count.
    pub fn record_dispatch(
        &self,
        index: BackendIndex,
        tokens: u32,
        now_ms: u64,
    ) {
        self.server(index).record_sent(tokens, now_ms);
    }

    /// Records the outcome of a request, with the token count that was passed
    /// to [`LiveState::record_dispatch`].
    pub fn record_outcome(
        &self,
        index: BackendIndex,
        tokens: u32,
        outcome: &RequestOutcome,
        now_ms: u64,
    ) {
        let server = self.server(index);
        match outcome {
            RequestOutcome::Completed { total_ms, .. } => {
                server.record_ended(tokens);
                server.record_response_ms(*total_ms);
                server.circuit.record_success(now_ms);
            }
            RequestOutcome::Refused => {
                server.record_refused();
                server.circuit.record_neutral();
            }
            RequestOutcome::Failed => {
                server.record_ended(tokens);
                server.circuit.record_failure(now_ms);
            }
            RequestOutcome::Cancelled => {
                server.record_ended(tokens);
                server.circuit.record_neutral();
            }
        }
    }

    /// Records the result of a health probe.
    pub fn record_probe(
        &self,
        index: BackendIndex,
        is_alive: bool,
        now_ms: u64,
    ) {
        let circuit = &self.server(index).circuit;
        if is_alive {
            circuit.record_success(now_ms);
        } else {
            circuit.record_failure(now_ms);
        }
    }

    /// Whether a server is present and not suspect. A choice also takes
    /// suspect servers if a layer boundary has no others.
    pub fn is_eligible(&self, index: BackendIndex, now_ms: u64) -> bool {
        self.is_present(index) && !self.server(index).is_suspect(now_ms)
    }

    /// State of a server's circuit breaker.
    pub fn circuit_state(
        &self,
        index: BackendIndex,
        now_ms: u64,
    ) -> CircuitState {
        self.server(index).circuit.state(now_ms)
    }

    /// Number of requests of this process that are in flight at a server.
    pub fn in_flight(&self, index: BackendIndex) -> u32 {
        self.server(index).snapshot().in_flight
    }

    /// Records that a server's cache holds a prefix, either from a cache event
    /// of the server or because a request with this prefix completed there.
    pub fn record_prefix(&self, index: BackendIndex, prefix: u64) {
        self.server(index).record_prefix(splitmix64(prefix));
    }

    /// Whether a server's cache probably holds a prefix.
    pub fn has_prefix(&self, index: BackendIndex, prefix: u64) -> bool {
        self.server(index).has_prefix(splitmix64(prefix))
    }

    /// Clears the cached prefixes of a server, for example after a restart.
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

    /// Removes a server with a stale report from the fleet mean. If most
    /// reports are stale, the server stays: a mean over few servers is worse
    /// than a late mean.
    pub(crate) fn remove_stale_from_mean(&self, index: BackendIndex) {
        let server = self.server(index);
        let count = self.report_sums.reports.load(Relaxed).max(0) as usize;
        if server.is_in_mean() && count * 2 > self.servers.len() {
            self.report_sums.subtract(server.remove_from_mean());
        }
    }

    /// Servers that were chosen recently.
    pub(crate) fn recent_choices(&self) -> &RecentChoices {
        &self.recent_choices
    }

    pub(crate) fn mean_load(&self) -> MeanLoad {
        self.report_sums.mean()
    }

    pub(crate) fn server(&self, index: BackendIndex) -> &ServerState {
        &self.servers[index.as_usize()]
    }
}

/// Mixes the bits of a prefix key with the finalizer of SplitMix64.
pub(crate) fn splitmix64(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
