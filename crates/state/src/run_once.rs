//! Which requests a side process has seen, so that none runs twice.
//!
//! The table is the only place that can tell "not run" as a fact: whatever
//! reaches a backend server passes it first. An attempt number fences every
//! older attempt of its request, and a query fences too: once the table has
//! answered "never seen", an attempt that was still on its way is refused.
//!
//! The table is bounded. Ended idempotent requests may be forgotten at once,
//! since running them again does no harm; ended non-idempotent ones are kept
//! for the retention time, which must be longer than any request's deadline.
//! When nothing may be forgotten, new requests are refused: a refusal is
//! harmless, a forgotten run is not.

use std::collections::{BTreeMap, VecDeque};

/// Answer to a request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run; a running older attempt is to be stopped first.
    Run {
        /// The older attempt that still runs.
        superseded: Option<u32>,
    },
    /// A newer attempt, the same one, or a query has fenced it.
    Fenced,
    /// It is non-idempotent and has begun before.
    AlreadyRun,
    /// The table is full of requests that must be remembered.
    TableFull,
}

/// What the table knows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Nothing, and it has been fenced by the question.
    NeverSeen,
    /// It was refused here and has not run.
    Refused,
    /// It holds a place; nothing has run yet.
    Admitted,
    /// It has begun.
    Running,
    /// It ran to its end.
    Finished,
    /// It began and failed.
    Failed,
}

impl RunState {
    fn has_begun(self) -> bool {
        matches!(
            self,
            RunState::Running | RunState::Finished | RunState::Failed
        )
    }

    fn is_open(self) -> bool {
        matches!(self, RunState::Admitted | RunState::Running)
    }
}

#[derive(Debug)]
struct Record {
    attempt: u32,
    state: RunState,
    is_idempotent: bool,
    /// When the record ended; none while it is open.
    ended_ms: Option<u64>,
}

/// Requests seen at one side process, by request number.
#[derive(Debug)]
pub struct RunOnceTable {
    capacity: usize,
    retention_ms: u64,
    records: BTreeMap<u128, Record>,
    /// Ended records in the order they ended; may hold outdated entries.
    ended: VecDeque<(u64, u128)>,
}

impl RunOnceTable {
    /// A table for `capacity` requests that remembers ended non-idempotent
    /// ones for `retention_ms`.
    pub fn new(capacity: usize, retention_ms: u64) -> RunOnceTable {
        RunOnceTable {
            capacity,
            retention_ms,
            records: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Asks for an attempt to run.
    pub fn admit(
        &mut self,
        request: u128,
        attempt: u32,
        is_idempotent: bool,
        now_ms: u64,
    ) -> Admission {
        let mut superseded = None;
        if let Some(record) = self.records.get(&request) {
            if attempt <= record.attempt {
                return Admission::Fenced;
            }
            let is_repeatable = is_idempotent && record.is_idempotent;
            if record.state.has_begun() && !is_repeatable {
                return Admission::AlreadyRun;
            }
            superseded = record.state.is_open().then_some(record.attempt);
        } else if !self.make_room(now_ms) {
            return Admission::TableFull;
        }
        let state = RunState::Admitted;
        let record = Record { attempt, state, is_idempotent, ended_ms: None };
        self.records.insert(request, record);
        Admission::Run { superseded }
    }

    /// Notes that an admitted attempt begins; from now on it counts as run.
    /// False when the attempt is no longer the admitted one.
    pub fn begin(&mut self, request: u128, attempt: u32) -> bool {
        self.change(request, attempt, |record| {
            let is_admitted = record.state == RunState::Admitted;
            if is_admitted {
                record.state = RunState::Running;
            }
            is_admitted
        })
    }

    /// Notes that an admitted attempt was refused after all, unrun.
    pub fn refuse(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, RunState::Refused, now_ms);
    }

    /// Notes that an attempt ran to its end.
    pub fn finish(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, RunState::Finished, now_ms);
    }

    /// Notes that an attempt ended early: failed if it had begun, refused
    /// otherwise.
    pub fn fail(&mut self, request: u128, attempt: u32, now_ms: u64) {
        let state = match self.records.get(&request) {
            Some(r) if r.state == RunState::Admitted => RunState::Refused,
            _ => RunState::Failed,
        };
        self.end(request, attempt, state, now_ms);
    }

    /// What is known of a request. Attempts up to `attempt` that arrive
    /// later are refused, so that the answer stays true. An admitted attempt
    /// is not stopped: the caller asks again or takes its result.
    pub fn query(
        &mut self,
        request: u128,
        attempt: u32,
        now_ms: u64,
    ) -> RunState {
        if let Some(record) = self.records.get_mut(&request) {
            if !record.state.is_open() {
                record.attempt = record.attempt.max(attempt);
            }
            return record.state;
        }
        // The fence must outlive the attempt it stops, so it is kept like a
        // non-idempotent request; without room for it nothing can be said.
        let state = if self.make_room(now_ms) {
            let ended_ms = Some(now_ms);
            let state = RunState::Refused;
            let record =
                Record { attempt, state, is_idempotent: false, ended_ms };
            self.records.insert(request, record);
            self.ended.push_back((now_ms, request));
            RunState::NeverSeen
        } else {
            RunState::Running
        };
        debug_assert!(self.records.len() <= self.capacity);
        state
    }

    /// State of a request without fencing it.
    pub fn peek(&self, request: u128) -> Option<RunState> {
        self.records.get(&request).map(|record| record.state)
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn change(
        &mut self,
        request: u128,
        attempt: u32,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> bool {
        match self.records.get_mut(&request) {
            Some(record) if record.attempt == attempt => change(record),
            _ => false,
        }
    }

    fn end(
        &mut self,
        request: u128,
        attempt: u32,
        state: RunState,
        now_ms: u64,
    ) {
        let has_ended = self.change(request, attempt, |record| {
            let is_open = record.state.is_open();
            if is_open {
                record.state = state;
                record.ended_ms = Some(now_ms);
            }
            is_open
        });
        if has_ended {
            self.ended.push_back((now_ms, request));
        }
    }

    /// Frees a place if the table is full; false when none can be freed.
    fn make_room(&mut self, now_ms: u64) -> bool {
        // Entries that may not be forgotten yet go back to the end; one
        // round over them is enough.
        for _ in 0..self.ended.len() {
            if self.records.len() < self.capacity {
                break;
            }
            let Some((ended_ms, request)) = self.ended.pop_front() else {
                break;
            };
            match self.may_forget(ended_ms, request, now_ms) {
                Some(true) => {
                    self.records.remove(&request);
                }
                Some(false) => self.ended.push_back((ended_ms, request)),
                None => {}
            }
        }
        self.records.len() < self.capacity
    }

    /// Whether an ended record may go; none when the entry is outdated.
    fn may_forget(
        &self,
        ended_ms: u64,
        request: u128,
        now_ms: u64,
    ) -> Option<bool> {
        let record = self.records.get(&request)?;
        if record.ended_ms != Some(ended_ms) {
            return None;
        }
        let age_ms = now_ms.saturating_sub(ended_ms);
        Some(record.is_idempotent || age_ms >= self.retention_ms)
    }
}
