//! Permits that an entry holds for a server, and its requests for more.

use std::collections::{BTreeMap, VecDeque};

use super::{PermitGrant, PermitRequest, REROUTABLE_WAIT_MS};

/// How long a permit is kept for the next request.
const PERMIT_LIFETIME_MS: u64 = 100;
/// How long the demand of a waiting request counts after its last update.
const WAITING_DEMAND_MS: u64 = 250;
/// Interval between permit requests.
const REQUEST_INTERVAL_MS: u64 = 100;
/// Interval while totals are unreported, or a permit request may be lost.
const UNCONFIRMED_INTERVAL_MS: u64 = 20;
/// Interval for a new demand, so that simultaneous demands share a message.
const BATCHING_MS: u64 = 3;
/// How long totals are reported after their last change.
const REPORT_CHANGES_FOR_MS: u64 = 1_000;
/// Limit on permits held: more than any server takes within their lifetime.
const MAX_PERMITS: u64 = 4_096;
/// Limit on demands that are counted.
const MAX_DEMANDS: usize = 256;
/// Time without a response after which the issuer counts as unreachable.
const ISSUER_TIMEOUT_MS: u64 = 400;
/// Minimum number of unanswered permit requests after which the issuer counts
/// as unreachable, because a single request may be lost.
const MIN_UNANSWERED_REQUESTS: u32 = 3;
/// Age of a permit request after which its grant is ignored: the grant was
/// delayed, and the issuer may already count its permits as used.
const MAX_RESPONSE_AGE_MS: u64 = 500;

/// A request that would be sent to the server if there were a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitDemand {
    /// Identifies the request.
    pub request: u64,
    /// Whether no other server takes the request.
    pub is_waiting: bool,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u8,
}

/// Permits of one entry for one server.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    /// The entry that granted the permits.
    issuer: u64,
    /// When each permit expires.
    expiries_ms: VecDeque<u64>,
    granted: u64,
    /// The last permit request, with current totals.
    totals: PermitRequest,
    /// Send time of the last permit request that was answered.
    last_answered_ms: u64,
    demands: BTreeMap<u64, (u64, PermitDemand)>,
    has_new_demand: bool,
    changed_ms: u64,
    has_unreported_change: bool,
    /// Since when permit requests are unanswered.
    unanswered_since_ms: Option<u64>,
    /// Number of unanswered permit requests.
    unanswered_count: u32,
    /// End of the pause in which requests that another server could take add
    /// no demand.
    pause_until_ms: u64,
}

impl PermitHolder {
    /// Starts without permits.
    pub fn new() -> PermitHolder {
        PermitHolder::default()
    }

    /// Adds the demand of a request. Returns whether the caller should check
    /// again for a permit shortly.
    pub fn add_demand(&mut self, demand: PermitDemand, now_ms: u64) -> bool {
        let is_paused = !demand.is_waiting && now_ms < self.pause_until_ms;
        if is_paused || self.demands.len() >= MAX_DEMANDS {
            return false;
        }
        let old = self.demands.insert(demand.request, (now_ms, demand));
        self.has_new_demand |= old.is_none();
        true
    }

    /// Whether a request that another server could take was refused a permit.
    pub fn is_denied(&self, request: u64) -> bool {
        let demand = self.demands.get(&request);
        let is_answered =
            demand.is_none_or(|(at, _)| *at <= self.last_answered_ms);
        is_answered && self.expiries_ms.is_empty()
    }

    /// Whether a permit is available.
    pub fn has_permit(&mut self, now_ms: u64) -> bool {
        self.return_expired(now_ms);
        !self.expiries_ms.is_empty()
    }

    /// Takes a permit for a request; false if there is none.
    pub fn try_take(&mut self, request: u64, now_ms: u64) -> bool {
        self.return_expired(now_ms);
        if self.expiries_ms.pop_front().is_none() {
            return false;
        }
        self.demands.remove(&request);
        self.totals.used += 1;
        self.record_change(now_ms);
        true
    }

    /// Applies a grant. Earlier permits are void if another issuer granted
    /// them or the series is a new one. If no permit is available after that,
    /// requests that another server could take add no demand for `pause_ms`.
    pub fn apply_grant(
        &mut self,
        issuer: u64,
        grant: PermitGrant,
        pause_ms: u64,
        now_ms: u64,
    ) {
        let is_outdated = grant.answered_ms < self.last_answered_ms
            || grant.answered_ms.saturating_add(MAX_RESPONSE_AGE_MS) < now_ms;
        if is_outdated {
            return;
        }
        self.last_answered_ms = grant.answered_ms;
        self.reset_issuer();
        let is_new =
            (issuer, grant.series) != (self.issuer, self.totals.series);
        if is_new {
            self.begin_series(issuer, grant.series);
        }
        let new = grant.granted.saturating_sub(self.granted);
        self.granted += new;
        for _ in 0..new.min(MAX_PERMITS) {
            self.expiries_ms.push_back(now_ms + PERMIT_LIFETIME_MS);
        }
        if self.totals.wanted > 0 && !self.has_permit(now_ms) {
            self.pause_until_ms = now_ms + pause_ms;
        }
    }

    fn begin_series(&mut self, issuer: u64, series: u32) {
        self.issuer = issuer;
        self.expiries_ms.clear();
        self.granted = 0;
        self.totals =
            PermitRequest { series, used: 0, returned: 0, ..self.totals };
    }

    /// The permit request to send now, if any: none without demand once all
    /// totals are reported.
    pub fn next_request(&mut self, now_ms: u64) -> Option<PermitRequest> {
        self.return_expired(now_ms);
        let is_fresh = |at_ms: u64, demand: &PermitDemand| {
            let valid_ms = match demand.is_waiting {
                true => WAITING_DEMAND_MS,
                false => REROUTABLE_WAIT_MS,
            };
            at_ms + valid_ms >= now_ms
        };
        self.demands.retain(|_, (at_ms, demand)| is_fresh(*at_ms, demand));
        if !self.is_due(now_ms) {
            return None;
        }
        self.has_new_demand = false;
        self.has_unreported_change = false;
        self.unanswered_since_ms.get_or_insert(now_ms);
        self.unanswered_count += 1;
        let waiting =
            self.demands.values().filter(|demand| demand.1.is_waiting);
        let urgency = waiting.map(|demand| demand.1.urgency).min();
        self.totals = PermitRequest {
            sent_ms: now_ms,
            wanted: self.demands.len() as u32,
            is_waiting: urgency.is_some(),
            urgency: urgency.unwrap_or_default(),
            ..self.totals
        };
        Some(self.totals)
    }

    fn is_due(&self, now_ms: u64) -> bool {
        let reports_changes =
            now_ms.saturating_sub(self.changed_ms) < REPORT_CHANGES_FOR_MS;
        let interval_ms = match self.demands.is_empty() {
            false if self.has_new_demand => BATCHING_MS,
            _ if self.has_unreported_change || self.may_be_lost() => {
                UNCONFIRMED_INTERVAL_MS
            }
            true if !reports_changes => return false,
            _ => REQUEST_INTERVAL_MS,
        };
        now_ms.saturating_sub(self.totals.sent_ms) >= interval_ms
    }

    fn may_be_lost(&self) -> bool {
        (1..MIN_UNANSWERED_REQUESTS).contains(&self.unanswered_count)
    }

    /// Whether the issuer does not respond.
    pub fn is_issuer_unresponsive(&self, now_ms: u64) -> bool {
        let is_long = |at| now_ms.saturating_sub(at) >= ISSUER_TIMEOUT_MS;
        self.unanswered_count >= MIN_UNANSWERED_REQUESTS
            && self.unanswered_since_ms.is_some_and(is_long)
    }

    /// Forgets unanswered requests, after a response or a change of issuer.
    pub fn reset_issuer(&mut self) {
        self.unanswered_since_ms = None;
        self.unanswered_count = 0;
    }

    /// Returns permits that have expired.
    fn return_expired(&mut self, now_ms: u64) {
        while self.expiries_ms.front().is_some_and(|at| *at <= now_ms) {
            self.expiries_ms.pop_front();
            self.totals.returned += 1;
            self.record_change(now_ms);
        }
    }

    fn record_change(&mut self, now_ms: u64) {
        self.changed_ms = now_ms;
        self.has_unreported_change = true;
    }
}
