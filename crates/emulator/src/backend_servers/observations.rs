//! What servers saw, and what follows from it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What engines saw that must not happen, and what they ran.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// What must not happen.
    pub violations: Vec<String>,
    /// Runs of each request, by its id.
    pub run_counts: BTreeMap<String, u32>,
    /// Arrivals of each request, by its id.
    pub arrival_counts: BTreeMap<String, u32>,
    /// Orders to change a path that were carried out.
    pub path_changes: u64,
    /// Arrivals of requests that crash servers, in their order.
    pub crashing_arrivals: Vec<CrashingArrival>,
    /// Requests that arrived at servers, in order.
    pub arrival_log: Vec<Arrival>,
    /// Requests that servers turned away and asked for rest.
    pub cooldown_requests: Vec<CooldownRequest>,
    /// Requests whose answer said that its server leaves.
    pub leaving_notices: Vec<Arrival>,
    /// When each server first named a limit, by its id.
    pub limit_announced_at: BTreeMap<String, Instant>,
    /// Limits that were named for a time and have ended.
    pub expired_limits: Vec<ExpiredLimit>,
    /// Ends of its first engine that each stream met, by its id.
    pub first_stage_exits: BTreeMap<String, u32>,
}

/// A request at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Id of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// When it was there.
    pub at: Instant,
}

/// A request that a server turned away, asking for rest.
#[derive(Clone, Debug, PartialEq)]
pub struct CooldownRequest {
    /// Which request, where and when.
    pub rejected: Arrival,
    /// For how long.
    pub duration: Duration,
}

/// A limit that a server named for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiredLimit {
    /// Id of the server.
    pub server: String,
    /// Requests a second.
    pub per_s: f64,
    /// When an answer first named it.
    pub announced_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
}

/// An arrival of a request that crashes servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashingArrival {
    /// What the request is about; the same for all copies of it.
    pub token: String,
    /// When it arrived.
    pub at: Instant,
    /// When the server crashed under it; none where it did not.
    pub crashed_at: Option<Instant>,
}

impl Observations {
    /// Most requests that reached a server in any span of that length that
    /// lies between two times.
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

    /// When servers crashed under a request, in order.
    pub fn crashes_of(&self, token: &str) -> Vec<Instant> {
        let own = self.crashing_arrivals.iter().filter(|c| c.token == token);
        let mut crashes: Vec<Instant> =
            own.filter_map(|c| c.crashed_at).collect();
        crashes.sort();
        crashes
    }

    /// Arrivals of a request later than this after its crash of this number,
    /// counted from 1.
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
    /// One that is there now.
    pub(super) fn now(server: &str, request: &str) -> Arrival {
        let (server, request) = (server.to_owned(), request.to_owned());
        Arrival { server, request, at: Instant::now() }
    }
}
