//! What the table holds of one request.

use super::RunState;

#[derive(Debug)]
pub(super) struct Record {
    pub(super) attempt: u32,
    /// Highest attempt that is not admitted any more.
    pub(super) fence: u32,
    pub(super) state: RunState,
    /// False once any attempt was non-idempotent.
    pub(super) is_idempotent: bool,
    /// Whether any attempt has begun.
    pub(super) has_begun: bool,
    /// Whether an earlier attempt may have begun and been forgotten.
    pub(super) is_blind: bool,
    /// Whether a query was answered from it.
    pub(super) is_asked: bool,
    /// When it ended or, if later, was asked for last.
    pub(super) ended_ms: u64,
}

impl Record {
    /// A record of an idempotent request that has not begun.
    pub(super) fn new(attempt: u32, state: RunState, now_ms: u64) -> Record {
        Record {
            attempt,
            fence: attempt,
            state,
            is_idempotent: true,
            has_begun: false,
            is_blind: false,
            is_asked: false,
            ended_ms: now_ms,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, RunState::Admitted | RunState::Running)
    }

    pub(super) fn must_be_kept(&self) -> bool {
        self.is_asked || (self.has_begun && !self.is_idempotent)
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

    /// Ends the attempt, whole or early. A request that began in an earlier
    /// attempt is not "refused": part of it has run.
    pub(super) fn end(&mut self, is_whole: bool, now_ms: u64) {
        self.has_begun |= is_whole;
        self.state = match (is_whole, self.has_begun) {
            (true, _) => RunState::Finished,
            (false, true) => RunState::Failed,
            (false, false) => RunState::Refused,
        };
        self.ended_ms = self.ended_ms.max(now_ms);
    }

    /// The answer to a query, which fences attempts up to `attempt`.
    pub(super) fn ask(&mut self, attempt: u32, now_ms: u64) -> RunState {
        self.fence = self.fence.max(attempt);
        self.is_asked = true;
        self.ended_ms = self.ended_ms.max(now_ms);
        match self.state {
            RunState::Refused if self.is_blind => RunState::CannotTell,
            state => state,
        }
    }
}
