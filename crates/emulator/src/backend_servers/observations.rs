//! What servers observed, and figures derived from it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What servers observed and ran.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Events that must never happen.
    pub violations: Vec<String>,
    /// Number of runs of each request, by request id.
    pub run_counts: BTreeMap<String, u32>,
    /// Number of arrivals of each request, by request id.
    pub arrival_counts: BTreeMap<String, u32>,
    /// Number of path changes carried out.
    pub path_changes: u64,
    /// Arrivals of requests that crash servers, in order.
    pub crashing_arrivals: Vec<CrashingArrival>,
    /// Arrivals of all requests at servers, in order.
    pub arrival_log: Vec<Arrival>,
    /// Starts of runs, in order.
    pub run_log: Vec<RunStart>,
    /// When servers exited or stopped responding, by id; the first time of
    /// each.
    pub server_ends: BTreeMap<String, Instant>,
    /// Requests that servers rejected with a cooldown.
    pub cooldown_requests: Vec<CooldownRequest>,
    /// Requests whose response announced that the server leaves.
    pub leaving_notices: Vec<Arrival>,
    /// Time of each server's first announcement of a limit, by server id.
    pub limit_announced_at: BTreeMap<String, Instant>,
    /// Limits that were announced for some time and are no longer.
    pub expired_limits: Vec<ExpiredLimit>,
    /// Number of first engines that exited under each stream, by request id.
    pub first_stage_exits: BTreeMap<String, u32>,
}

/// The arrival of a request at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Id of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Arrival time.
    pub at: Instant,
    /// Time that the server was given for the request, if it was told.
    pub deadline: Option<Duration>,
}

/// The start of a run of a request at a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunStart {
    /// Id of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Start time.
    pub at: Instant,
}

/// A request that a server rejected with a cooldown.
#[derive(Clone, Debug, PartialEq)]
pub struct CooldownRequest {
    /// The rejected request.
    pub rejected: Arrival,
    /// Requested cooldown.
    pub duration: Duration,
}

/// A limit that a server announced for some time.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiredLimit {
    /// Id of the server.
    pub server: String,
    /// Requests per second.
    pub per_s: f64,
    /// Time of the first response that announced the limit.
    pub announced_at: Instant,
    /// Time from which the limit is no longer announced.
    pub ended_at: Instant,
}

/// An arrival of a request that crashes servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashingArrival {
    /// What the server crashes of: the token of the request, the same for all
    /// its repetitions, or a part of its prompt.
    pub token: String,
    /// Arrival time.
    pub at: Instant,
    /// Time at which the server crashed under the request, if it did.
    pub crashed_at: Option<Instant>,
}

impl Observations {
    /// Records that a server exited or stopped responding.
    pub(super) fn record_end(&mut self, server: &str) {
        let end = self.server_ends.entry(server.to_owned());
        end.or_insert_with(Instant::now);
    }

    /// Highest number of requests that reached a server within any span of the
    /// given length; only arrivals between two times count.
    pub fn max_arrivals(
        &self,
        server: &str,
        span: Duration,
        (from, until): (Instant, Instant),
    ) -> usize {
        let is_counted = |arrival: &&Arrival| {
            arrival.server == server
                && from <= arrival.at
                && arrival.at < until
        };
        let counted = self.arrival_log.iter().filter(is_counted);
        let times: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
        let in_span = |(at, start): (usize, &Instant)| {
            let is_in = |time: &&Instant| **time < *start + span;
            times[at..].iter().take_while(is_in).count()
        };
        times.iter().enumerate().map(in_span).max().unwrap_or(0)
    }

    /// Times at which servers crashed under a request, in order.
    pub fn crashes_of(&self, token: &str) -> Vec<Instant> {
        let arrivals =
            self.crashing_arrivals.iter().filter(|c| c.token == token);
        let mut crashes: Vec<Instant> =
            arrivals.filter_map(|c| c.crashed_at).collect();
        crashes.sort();
        crashes
    }

    /// Number of arrivals of a request more than `later_than` after its crash
    /// number `crash`, counted from 1.
    pub fn arrivals_after_crash(
        &self,
        token: &str,
        crash: usize,
        later_than: Duration,
    ) -> usize {
        let crashes = self.crashes_of(token);
        let Some(crashed_at) = crashes.get(crash - 1) else { return 0 };
        let is_late = |c: &&CrashingArrival| {
            c.token == token && c.at > *crashed_at + later_than
        };
        self.crashing_arrivals.iter().filter(is_late).count()
    }
}

impl Arrival {
    /// An arrival at the present time.
    pub(super) fn now(server: &str, request: &str) -> Arrival {
        let (server, request) = (server.to_owned(), request.to_owned());
        Arrival { server, request, at: Instant::now(), deadline: None }
    }
}
