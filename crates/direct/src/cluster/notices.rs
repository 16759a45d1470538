//! Notices that a backend server sends in its responses, and the permits for
//! the server.
//!
//! An entry reports the absence of a limit only from its own responses, but
//! repeats a limit in force that any entry received. A message's delay makes
//! the reported event appear later than it was. This may keep a limit in force
//! for longer, but must not end a limit.
//!
//! `apply` holds the functions that change this state.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
};

use chestnutreach_protocol::peers::EngineNotice;
use chestnutreach_routing::{
    AnnouncedLimit, PermitDemand, PermitGrant, PermitHolder, PermitRequest,
    ServerRateLimit,
};

mod apply;

pub(crate) use apply::{ResponseContext, apply_peer_notice, apply_response};

/// Window over which sent requests are counted for logs and status.
const SENT_WINDOW_MS: u64 = 4_000;
/// Minimum time between two log lines or alerts about the same limit.
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;
/// Relative change of a limit that is reported without this delay.
const MIN_REPORTED_CHANGE: f64 = 0.1;
/// How long the end of a limit is reported to other entries.
const LIMIT_END_REPORT_MS: u64 = 3_000;

/// How long an issuer that did not respond is excluded.
const ISSUER_BACKOFF_MS: u64 = 1_000;

/// Notices of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    /// Whether a limit is in force; read without the lock.
    is_limited: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: ServerRateLimit,
    /// When the request was sent whose response to this entry last announced
    /// no limit.
    own_absent_sent_ms: Option<u64>,
    /// When a limit last ended.
    ended_ms: Option<u64>,
    /// Time and value of the limit as last logged and alerted.
    last_reported: Option<(u64, f64)>,
    /// Times at which this entry sent requests, within the window.
    sent: VecDeque<u64>,
    permits: PermitHolder,
    issuer: Issuer,
    /// The server announced that it is draining; reported to other entries for
    /// as long as the server is listed.
    has_said_leaving: bool,
}

/// Entry that this entry requests permits from.
#[derive(Clone, Copy, Debug, Default)]
struct Issuer {
    boot_id: u64,
    /// Boot id of an issuer that did not respond, and the end of the backoff.
    backoff: Option<(u64, u64)>,
}

/// Effect of an update on the limit in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    None,
    Announced,
    /// The limit ended; holds the time at which it was last received.
    Ended(u64),
}

impl Notices {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Records that this entry sends a request to the server.
    pub(crate) fn record_sent(&self, now_ms: u64) {
        self.lock().recent_sent(now_ms).push_back(now_ms);
    }

    /// The limit in force.
    pub(crate) fn limit(&self) -> Option<AnnouncedLimit> {
        if !self.is_limited.load(Relaxed) {
            return None;
        }
        self.lock().limit.current()
    }

    /// Whether a request may be sent now.
    pub(crate) fn may_send(&self, now_ms: u64) -> bool {
        !self.is_limited.load(Relaxed)
            || self.lock().permits.has_permit(now_ms)
    }

    /// Takes a permit for a request if a limit is in force; returns false if
    /// none is available.
    pub(crate) fn try_take_permit(&self, request: u64, now_ms: u64) -> bool {
        !self.is_limited.load(Relaxed)
            || self.lock().permits.try_take(request, now_ms)
    }

    /// Registers a request that waits for a permit; returns whether one may be
    /// granted soon.
    pub(crate) fn request_permit(
        &self,
        demand: PermitDemand,
        now_ms: u64,
    ) -> bool {
        self.is_limited.load(Relaxed)
            && self.lock().permits.add_demand(demand, now_ms)
    }

    /// Whether the permit for a request was denied.
    pub(crate) fn is_denied(&self, request: u64) -> bool {
        self.lock().permits.is_denied(request)
    }

    /// The message that is due to the issuer, if any.
    pub(crate) fn next_permit_request(
        &self,
        now_ms: u64,
    ) -> Option<PermitRequest> {
        self.lock().permits.next_request(now_ms)
    }

    /// Applies a grant, unless another issuer was chosen since.
    pub(crate) fn apply_grant(
        &self,
        from: u64,
        grant: PermitGrant,
        pause_ms: u64,
        now_ms: u64,
    ) {
        let mut state = self.lock();
        if state.issuer.boot_id == from {
            state.permits.apply_grant(from, grant, pause_ms, now_ms);
        }
    }

    /// Boot id of the entry that this entry requests permits from.
    pub(crate) fn issuer(&self) -> u64 {
        self.lock().issuer.boot_id
    }

    /// Chooses the issuer. `choose` returns an entry that is not among the
    /// excluded entries.
    pub(crate) fn choose_issuer(
        &self,
        choose: impl Fn(&[u64]) -> u64,
        now_ms: u64,
    ) -> u64 {
        let mut state = self.lock();
        if state.permits.is_issuer_unresponsive(now_ms) {
            let unresponsive = state.issuer.boot_id;
            state.issuer.backoff =
                Some((unresponsive, now_ms + ISSUER_BACKOFF_MS));
            state.permits.reset_issuer();
        }
        let excluded = state.issuer.backoff;
        let excluded = excluded.filter(|(_, until_ms)| *until_ms > now_ms);
        let excluded: Vec<u64> = excluded.map(|a| a.0).into_iter().collect();
        state.issuer.boot_id = choose(&excluded);
        state.issuer.boot_id
    }

    /// Notice for other entries, if a limit is in force or ended recently, or
    /// the server is draining.
    pub(crate) fn peer_notice(&self, now_ms: u64) -> Option<EngineNotice> {
        let state = self.lock();
        let limit = state.limit.current();
        let has_ended_recently = state
            .ended_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < LIMIT_END_REPORT_MS);
        let has_content =
            limit.is_some() || has_ended_recently || state.has_said_leaving;
        if !has_content {
            return None;
        }
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        Some(EngineNotice {
            engine: 0,
            limit_per_s: limit.map_or(0.0, |limit| limit.per_s),
            named_age_ms: limit.map_or(0, |n| age_ms(n.received_ms)),
            unnamed_age_ms: state.own_absent_sent_ms.map(age_ms),
            issuer: state.issuer.boot_id,
            is_leaving: state.has_said_leaving,
        })
    }

    /// Status document of a limit in force, for operators.
    pub(crate) fn status(&self, now_ms: u64) -> serde_json::Value {
        let Some(limit) = self.limit() else { return serde_json::Value::Null };
        let mut state = self.lock();
        serde_json::json!({
            "per_s": limit.per_s,
            "named_age_ms": now_ms.saturating_sub(limit.received_ms),
            "issuer": state.issuer.boot_id.to_string(),
            "sent_4s": state.recent_sent(now_ms).len(),
        })
    }
}

impl State {
    /// Requests of this entry within the window.
    fn recent_sent(&mut self, now_ms: u64) -> &mut VecDeque<u64> {
        let is_old = |at: &u64| at + SENT_WINDOW_MS < now_ms;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        &mut self.sent
    }

    /// Updates the limit; returns the effect on the limit in force.
    fn update_limit(
        &mut self,
        change: impl FnOnce(&mut ServerRateLimit),
        now_ms: u64,
    ) -> Change {
        let before = self.limit.current();
        change(&mut self.limit);
        match (before, self.limit.current()) {
            (Some(ended), None) => {
                self.ended_ms = Some(now_ms);
                Change::Ended(ended.received_ms)
            }
            (None, Some(_)) => Change::Announced,
            _ => Change::None,
        }
    }

    /// Whether the limit is to be logged and alerted now; marks it as reported
    /// if so.
    fn should_report(&mut self, per_s: f64, now_ms: u64) -> bool {
        let is_known =
            self.last_reported.is_some_and(|(at_ms, last_per_s)| {
                let is_same = (per_s - last_per_s).abs()
                    <= MIN_REPORTED_CHANGE * last_per_s;
                now_ms.saturating_sub(at_ms) < MIN_REPORT_INTERVAL_MS
                    && is_same
            });
        if !is_known {
            self.last_reported = Some((now_ms, per_s));
        }
        !is_known
    }
}
