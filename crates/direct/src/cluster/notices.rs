//! What a backend server said of itself, and the permits for it.
//!
//! Each entry tells what it read itself of answers without a limit, and
//! repeats a limit that holds whoever read it: a time that is told grows by
//! the way of its message, and may only do so where that keeps the limit up.
//! `apply` is what changes it.

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

/// Time over which requests of this entry are counted for the logs.
const SENT_WINDOW_MS: u64 = 4_000;
/// Shortest time between two lines, or alerts, that tell of the same limit.
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;
/// Change of a limit that others are told of at once.
const MIN_REPORTED_CHANGE: f64 = 0.1;
/// How long others are told of an answer that ended a limit.
const LIMIT_END_REPORT_MS: u64 = 3_000;

/// How long an issuer that does not answer is not asked.
const ISSUER_BACKOFF_MS: u64 = 1_000;

/// What one backend server said of itself.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    /// Whether a limit holds, for a look without the lock.
    is_limited: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: ServerRateLimit,
    /// When the request of the last answer to this entry that named none was
    /// sent.
    own_absent_sent_ms: Option<u64>,
    /// When a limit last ended.
    ended_ms: Option<u64>,
    /// When the logs and the others were last told of the limit, and which.
    last_reported: Option<(u64, f64)>,
    /// When requests of this entry were sent.
    sent: VecDeque<u64>,
    permits: PermitHolder,
    issuer: Issuer,
    /// It said that it leaves, which others are told as long as it is listed.
    has_said_leaving: bool,
}

/// Whom this entry asks for permits.
#[derive(Clone, Copy, Debug, Default)]
struct Issuer {
    boot_id: u64,
    /// One that did not answer, and until when it is not asked.
    backoff: Option<(u64, u64)>,
}

/// What a change of what is known came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    None,
    Announced,
    Ended(u64),
}

impl Notices {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// A request of this entry goes to the server.
    pub(crate) fn record_sent(&self, now_ms: u64) {
        self.lock().recent_sent(now_ms).push_back(now_ms);
    }

    /// The limit that holds.
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

    /// Takes the permit for a request, where it needs one; false if there is
    /// none.
    pub(crate) fn try_take_permit(&self, request: u64, now_ms: u64) -> bool {
        !self.is_limited.load(Relaxed)
            || self.lock().permits.try_take(request, now_ms)
    }

    /// Notes a request that would be sent if there were a permit; whether one
    /// may come in a moment.
    pub(crate) fn request_permit(
        &self,
        want: PermitDemand,
        now_ms: u64,
    ) -> bool {
        self.is_limited.load(Relaxed)
            && self.lock().permits.add_demand(want, now_ms)
    }

    /// Whether a request was told that there is no permit for it now.
    pub(crate) fn is_denied(&self, request: u64) -> bool {
        self.lock().permits.is_denied(request)
    }

    /// What the issuer is to be told now.
    pub(crate) fn next_permit_request(
        &self,
        now_ms: u64,
    ) -> Option<PermitRequest> {
        self.lock().permits.next_request(now_ms)
    }

    /// Takes what the issuer grants.
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

    /// Whom this entry asks for permits.
    pub(crate) fn issuer(&self) -> u64 {
        self.lock().issuer.boot_id
    }

    /// Chooses whom to ask; `choose` names an entry outside of some.
    pub(crate) fn choose_issuer(
        &self,
        choose: impl Fn(&[u64]) -> u64,
        now_ms: u64,
    ) -> u64 {
        let mut state = self.lock();
        if state.permits.is_issuer_unresponsive(now_ms) {
            let silent = state.issuer.boot_id;
            state.issuer.backoff = Some((silent, now_ms + ISSUER_BACKOFF_MS));
            state.permits.reset_issuer();
        }
        let avoided = state.issuer.backoff;
        let avoided = avoided.filter(|(_, until_ms)| *until_ms > now_ms);
        let avoided: Vec<u64> = avoided.map(|a| a.0).into_iter().collect();
        state.issuer.boot_id = choose(&avoided);
        state.issuer.boot_id
    }

    /// What other entries are told: a limit that holds, or that ended of
    /// late.
    pub(crate) fn peer_notice(&self, now_ms: u64) -> Option<EngineNotice> {
        let state = self.lock();
        let in_force = state.limit.current();
        let is_ended_of_late = state
            .ended_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < LIMIT_END_REPORT_MS);
        let is_any =
            in_force.is_some() || is_ended_of_late || state.has_said_leaving;
        if !is_any {
            return None;
        }
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        Some(EngineNotice {
            engine: 0,
            limit_per_s: in_force.map_or(0.0, |named| named.per_s),
            named_age_ms: in_force.map_or(0, |n| age_ms(n.received_ms)),
            unnamed_age_ms: state.own_absent_sent_ms.map(age_ms),
            issuer: state.issuer.boot_id,
            is_leaving: state.has_said_leaving,
        })
    }

    /// What operators see of a limit that holds.
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

    /// Changes what is known of the limit; what came of it.
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

    /// Whether the logs and the others are to be told of the limit now.
    fn should_report(&mut self, per_s: f64, now_ms: u64) -> bool {
        let is_known = self.last_reported.is_some_and(|(at_ms, told)| {
            let is_same = (per_s - told).abs() <= MIN_REPORTED_CHANGE * told;
            now_ms.saturating_sub(at_ms) < MIN_REPORT_INTERVAL_MS && is_same
        });
        if !is_known {
            self.last_reported = Some((now_ms, per_s));
        }
        !is_known
    }
}
