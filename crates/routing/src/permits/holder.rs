//! Permits that an entry has for a server, and what it wants.

use std::collections::{BTreeMap, VecDeque};

use super::{PermitGrant, PermitRequest, REROUTABLE_WAIT_MS};

/// How long a permit is kept for the next request.
const KEPT_MS: u64 = 100;
/// How long a request that waits counts after it last looked.
const WAITING_WANT_MS: u64 = 250;
/// Time between asks.
const ASK_EVERY_MS: u64 = 100;
/// The same while what was used is not told, or an ask may be lost.
const TELL_EVERY_MS: u64 = 20;
/// The same for a new want: requests of a moment go together.
const ASK_SOON_MS: u64 = 3;
/// How long totals are told after they last changed.
const TELL_FOR_MS: u64 = 1_000;
/// Permits that are kept: more than any server takes in that time.
const MOST_KEPT: u64 = 4_096;
/// Wants that are counted.
const MOST_WANTS: usize = 256;
/// An issuer that left asks unanswered for so long is out of reach.
const UNANSWERED_MS: u64 = 400;
/// So many asks at least: one that is lost says nothing.
const UNANSWERED_ASKS: u32 = 3;
/// Grants that answer an older ask were held up, and may count as used.
const ANSWER_HOLDS_MS: u64 = 500;

/// A request that would be sent to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitDemand {
    /// Tells it from others.
    pub request: u64,
    /// Whether no other server takes it.
    pub is_waiting: bool,
    /// Its urgency, 0 first.
    pub urgency: u8,
}

/// Permits of one entry for one server.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    /// Who grants them.
    issuer: u64,
    /// Until when each may be used.
    kept_until_ms: VecDeque<u64>,
    granted: u64,
    /// The last ask, with the totals as they are now.
    totals: PermitRequest,
    /// The last ask that was answered.
    answered: u64,
    wants: BTreeMap<u64, (u64, PermitDemand)>,
    has_new_want: bool,
    changed_ms: u64,
    is_untold: bool,
    /// Since when asks are unanswered.
    unanswered_since_ms: Option<u64>,
    /// How many.
    unanswered: u32,
    /// What has another server wants nothing before.
    pause_until_ms: u64,
}

impl PermitHolder {
    /// None are there.
    pub fn new() -> PermitHolder {
        PermitHolder::default()
    }

    /// Notes a request that would be sent if there were a permit; whether it
    /// is worth its while to look again in a moment.
    pub fn add_demand(&mut self, want: PermitDemand, now_ms: u64) -> bool {
        let is_paused = !want.is_waiting && now_ms < self.pause_until_ms;
        if is_paused || self.wants.len() >= MOST_WANTS {
            return false;
        }
        let old = self.wants.insert(want.request, (now_ms, want));
        self.has_new_want |= old.is_none();
        true
    }

    /// Whether a request that passes has been told that there is none for it.
    pub fn is_denied(&self, request: u64) -> bool {
        let wanted = self.wants.get(&request);
        let is_answered = wanted.is_none_or(|(at, _)| *at <= self.answered);
        is_answered && self.kept_until_ms.is_empty()
    }

    /// Whether a request may be sent.
    pub fn has_permit(&mut self, now_ms: u64) -> bool {
        self.give_back(now_ms);
        !self.kept_until_ms.is_empty()
    }

    /// Takes a permit for a request; false if there is none.
    pub fn try_take(&mut self, request: u64, now_ms: u64) -> bool {
        self.give_back(now_ms);
        if self.kept_until_ms.pop_front().is_none() {
            return false;
        }
        self.wants.remove(&request);
        self.totals.used += 1;
        self.note_change(now_ms);
        true
    }

    /// Takes what an issuer grants; what it granted before holds no more
    /// where it is another one, or counts anew. Where that is nothing, what
    /// has another server does not ask again for the pause.
    pub fn apply_grant(
        &mut self,
        issuer: u64,
        grant: PermitGrant,
        pause_ms: u64,
        now_ms: u64,
    ) {
        let is_late = grant.answered_ms < self.answered
            || grant.answered_ms.saturating_add(ANSWER_HOLDS_MS) < now_ms;
        if is_late {
            return;
        }
        self.answered = grant.answered_ms;
        self.reset_issuer();
        let is_new =
            (issuer, grant.series) != (self.issuer, self.totals.series);
        if is_new {
            self.begin_series(issuer, grant.series);
        }
        let new = grant.granted.saturating_sub(self.granted);
        self.granted += new;
        for _ in 0..new.min(MOST_KEPT) {
            self.kept_until_ms.push_back(now_ms + KEPT_MS);
        }
        if self.totals.wanted > 0 && !self.has_permit(now_ms) {
            self.pause_until_ms = now_ms + pause_ms;
        }
    }

    fn begin_series(&mut self, issuer: u64, series: u32) {
        self.issuer = issuer;
        self.kept_until_ms.clear();
        self.granted = 0;
        self.totals =
            PermitRequest { series, used: 0, returned: 0, ..self.totals };
    }

    /// What is to be told now; none where nothing is wanted and all is told.
    pub fn next_request(&mut self, now_ms: u64) -> Option<PermitRequest> {
        self.give_back(now_ms);
        let is_fresh = |at_ms: u64, want: &PermitDemand| {
            let holds_ms = match want.is_waiting {
                true => WAITING_WANT_MS,
                false => REROUTABLE_WAIT_MS,
            };
            at_ms + holds_ms >= now_ms
        };
        self.wants.retain(|_, (at_ms, want)| is_fresh(*at_ms, want));
        if !self.is_due(now_ms) {
            return None;
        }
        self.has_new_want = false;
        self.is_untold = false;
        self.unanswered_since_ms.get_or_insert(now_ms);
        self.unanswered += 1;
        let waiting = self.wants.values().filter(|want| want.1.is_waiting);
        let urgency = waiting.map(|want| want.1.urgency).min();
        self.totals = PermitRequest {
            sent_ms: now_ms,
            wanted: self.wants.len() as u32,
            is_waiting: urgency.is_some(),
            urgency: urgency.unwrap_or_default(),
            ..self.totals
        };
        Some(self.totals)
    }

    fn is_due(&self, now_ms: u64) -> bool {
        let is_telling = now_ms.saturating_sub(self.changed_ms) < TELL_FOR_MS;
        let every_ms = match self.wants.is_empty() {
            false if self.has_new_want => ASK_SOON_MS,
            _ if self.is_untold || self.may_be_lost() => TELL_EVERY_MS,
            true if !is_telling => return false,
            _ => ASK_EVERY_MS,
        };
        now_ms.saturating_sub(self.totals.sent_ms) >= every_ms
    }

    fn may_be_lost(&self) -> bool {
        (1..UNANSWERED_ASKS).contains(&self.unanswered)
    }

    /// Whether the issuer does not answer.
    pub fn is_issuer_unresponsive(&self, now_ms: u64) -> bool {
        let is_long = |at| now_ms.saturating_sub(at) >= UNANSWERED_MS;
        self.unanswered >= UNANSWERED_ASKS
            && self.unanswered_since_ms.is_some_and(is_long)
    }

    /// Another issuer is asked from now on.
    pub fn reset_issuer(&mut self) {
        self.unanswered_since_ms = None;
        self.unanswered = 0;
    }

    /// Gives back what was kept for too long.
    fn give_back(&mut self, now_ms: u64) {
        while self.kept_until_ms.front().is_some_and(|at| *at <= now_ms) {
            self.kept_until_ms.pop_front();
            self.totals.returned += 1;
            self.note_change(now_ms);
        }
    }

    fn note_change(&mut self, now_ms: u64) {
        self.changed_ms = now_ms;
        self.is_untold = true;
    }
}
