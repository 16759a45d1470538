//! The record of one request.

use super::RunState;

#[derive(Debug)]
pub(super) struct Record {
    pub(super) attempt: u32,
    /// Attempts up to this number are refused.
    pub(super) fence: u32,
    pub(super) state: RunState,
    /// Whether all attempts so far were idempotent.
    pub(super) is_idempotent: bool,
    /// Whether any attempt has begun.
    pub(super) has_begun: bool,
    /// Whether an earlier attempt may have begun and been evicted.
    pub(super) may_have_run: bool,
    /// Whether a query was answered from this record.
    pub(super) is_queried: bool,
    /// When the request ended or, if later, was last queried.
    pub(super) ended_ms: u64,
}

impl Record {
    /// The record of an idempotent request that has not begun.
    pub(super) fn new(attempt: u32, state: RunState, now_ms: u64) -> Record {
        Record {
            attempt,
            fence: attempt,
            state,
            is_idempotent: true,
            has_begun: false,
            may_have_run: false,
            is_queried: false,
            ended_ms: now_ms,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, RunState::Admitted | RunState::Running)
    }

    pub(super) fn must_be_retained(&self) -> bool {
        self.is_queried || (self.has_begun && !self.is_idempotent)
    }

    pub(super) fn begin(&mut self, attempt: u32) -> bool {
        let is_admitted =
            self.attempt == attempt && self.state == RunState::Admitted;
        if is_admitted {
            self.state = RunState::Running;
            self.has_begun = true;
        }
        is_admitted
    }

    pub(super) fn supersede(&mut self, attempt: u32, is_idempotent: bool) {
        self.attempt = attempt;
        self.fence = attempt;
        self.state = RunState::Admitted;
        self.is_idempotent &= is_idempotent;
    }

    /// Ends the attempt, completely or early. A request that began in an
    /// earlier attempt is not "refused", because a part of it has run.
    pub(super) fn end(&mut self, is_complete: bool, now_ms: u64) {
        self.has_begun |= is_complete;
        self.state = match (is_complete, self.has_begun) {
            (true, _) => RunState::Finished,
            (false, true) => RunState::Failed,
            (false, false) => RunState::Refused,
        };
        self.ended_ms = self.ended_ms.max(now_ms);
    }

    /// The state for a query, which fences attempts up to `attempt`.
    pub(super) fn query(&mut self, attempt: u32, now_ms: u64) -> RunState {
        self.fence = self.fence.max(attempt);
        self.is_queried = true;
        self.ended_ms = self.ended_ms.max(now_ms);
        match self.state {
            RunState::Refused if self.may_have_run => RunState::CannotTell,
            state => state,
        }
    }
}
