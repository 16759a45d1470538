//! Which requests a side process has seen, so that none runs twice.
//!
//! The table is the only place that can tell "not run" as a fact: whatever
//! reaches a backend server passes it first. An attempt number fences every
//! older attempt of its request, and a query fences too: once the table has
//! answered "never seen", an attempt that was still on its way is refused.
//!
//! The table is bounded, and what it may forget depends on the harm:
//!
//! | ended record | kept |
//! |---|---|
//! | non-idempotent that has begun | for the retention time |
//! | any that a query was answered from | for the retention time |
//! | refused and never asked for | until its place is needed |
//! | idempotent that has begun | until its place is needed |
//!
//! The retention time must be longer than any request's deadline and than a
//! connection can hold a frame back. Forgetting an idempotent run does not
//! make it run twice, but the table can no longer tell it from one never
//! seen. Until the retention time of the last one forgotten has passed, a
//! query for an unknown request is answered [`RunState::CannotTell`]; a
//! capacity of the peak rate times the retention time avoids it. When
//! nothing may be forgotten, new requests are refused: a refusal is harmless,
//! a forgotten run is not.
//!
//! An early refusal that nobody asked for needs no fence: an entry sends an
//! attempt once, on one connection. Keeping such records would let a burst
//! of refusals fill the table for the whole retention time.
//!
//! Every operation takes time logarithmic in the number of records.

mod record;

use std::collections::{BTreeMap, BTreeSet};

use self::record::Record;

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

/// What the table knows of a request, by its newest attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Nothing, and it has been fenced by the question.
    NeverSeen,
    /// It was refused here and no attempt of it has run.
    Refused,
    /// It holds a place; the attempt has not begun, and may yet begin or be
    /// refused.
    Admitted,
    /// It has begun.
    Running,
    /// It ran to its end.
    Finished,
    /// It began and failed; also when a later attempt was refused.
    Failed,
    /// It may have run and been forgotten, or there is no room for the
    /// fence. Nothing has been fenced; ask again later.
    CannotTell,
}

/// Requests seen at one side process, by request number.
#[derive(Debug)]
pub struct RunOnceTable {
    capacity: usize,
    retention_ms: u64,
    records: BTreeMap<u128, Record>,
    /// Ended records that are kept for the retention time, oldest first.
    retained: BTreeSet<(u64, u128)>,
    /// Other ended records, first those that have not begun.
    forgettable: BTreeSet<(bool, u64, u128)>,
    /// Until when an unknown request may be one forgotten early.
    blind_until_ms: u64,
}

impl RunOnceTable {
    /// A table for `capacity` requests that remembers ended non-idempotent
    /// ones for `retention_ms`.
    pub fn new(capacity: usize, retention_ms: u64) -> RunOnceTable {
        RunOnceTable {
            capacity,
            retention_ms,
            records: BTreeMap::new(),
            retained: BTreeSet::new(),
            forgettable: BTreeSet::new(),
            blind_until_ms: 0,
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
        if self.records.contains_key(&request) {
            return self.admit_known(request, attempt, is_idempotent);
        }
        if !self.make_room(now_ms) {
            return Admission::TableFull;
        }
        let is_blind = is_idempotent && now_ms < self.blind_until_ms;
        let record = Record {
            is_idempotent,
            is_blind,
            ..Record::new(attempt, RunState::Admitted, now_ms)
        };
        self.put(request, record);
        Admission::Run { superseded: None }
    }

    /// Notes that an admitted attempt begins; from now on it counts as run.
    /// False when the attempt is no longer the admitted one.
    pub fn begin(&mut self, request: u128, attempt: u32) -> bool {
        match self.records.get_mut(&request) {
            Some(record) => record.begin(attempt),
            None => false,
        }
    }

    /// Notes that an admitted attempt was refused after all, unrun. One that
    /// has begun counts as failed.
    pub fn refuse(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, false, now_ms);
    }

    /// Notes that an attempt ran to its end.
    pub fn finish(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, true, now_ms);
    }

    /// Notes that an attempt ended early: failed if the request had begun,
    /// refused otherwise.
    pub fn fail(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, false, now_ms);
    }

    /// What is known of a request. Attempts up to `attempt` that arrive
    /// later are refused, so that the answer stays true. An open attempt is
    /// not stopped: the caller asks again or takes its result.
    pub fn query(
        &mut self,
        request: u128,
        attempt: u32,
        now_ms: u64,
    ) -> RunState {
        if let Some(mut record) = self.take(request) {
            let answer = record.ask(attempt, now_ms);
            self.put(request, record);
            return answer;
        }
        if now_ms < self.blind_until_ms || !self.make_room(now_ms) {
            return RunState::CannotTell;
        }
        let fence = Record {
            is_asked: true,
            ..Record::new(attempt, RunState::Refused, now_ms)
        };
        self.put(request, fence);
        RunState::NeverSeen
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

    fn admit_known(
        &mut self,
        request: u128,
        attempt: u32,
        is_idempotent: bool,
    ) -> Admission {
        let record = &self.records[&request];
        if attempt <= record.fence {
            return Admission::Fenced;
        }
        let is_repeatable = is_idempotent && record.is_idempotent;
        if record.has_begun && !is_repeatable {
            return Admission::AlreadyRun;
        }
        let superseded = record.is_open().then_some(record.attempt);
        if let Some(mut record) = self.take(request) {
            record.supersede(attempt, is_idempotent);
            self.put(request, record);
        }
        Admission::Run { superseded }
    }

    /// Ends an open attempt; any other is left alone.
    fn end(
        &mut self,
        request: u128,
        attempt: u32,
        is_whole: bool,
        now_ms: u64,
    ) {
        let is_current = self
            .records
            .get(&request)
            .is_some_and(|r| r.attempt == attempt && r.is_open());
        if !is_current {
            return;
        }
        if let Some(mut record) = self.take(request) {
            record.end(is_whole, now_ms);
            self.put(request, record);
        }
    }

    /// Takes a record out, with its entry in the queues.
    fn take(&mut self, request: u128) -> Option<Record> {
        let record = self.records.remove(&request)?;
        self.retained.remove(&(record.ended_ms, request));
        self.forgettable.remove(&(record.has_begun, record.ended_ms, request));
        Some(record)
    }

    /// Puts a record in, queued to be forgotten if it has ended.
    fn put(&mut self, request: u128, record: Record) {
        let ended_ms = record.ended_ms;
        if record.is_open() {
            // It stays as long as it is open.
        } else if record.must_be_kept() {
            self.retained.insert((ended_ms, request));
        } else {
            let entry = (record.has_begun, ended_ms, request);
            self.forgettable.insert(entry);
        }
        self.records.insert(request, record);
    }

    /// Frees a place if the table is full; false when none can be freed.
    fn make_room(&mut self, now_ms: u64) -> bool {
        while self.records.len() >= self.capacity {
            let is_freed =
                self.forget_expired(now_ms) || self.forget_early(now_ms);
            if !is_freed {
                return false;
            }
        }
        true
    }

    /// Forgets the oldest retained record if its time has passed.
    fn forget_expired(&mut self, now_ms: u64) -> bool {
        match self.retained.first() {
            Some(&(ended_ms, request))
                if now_ms.saturating_sub(ended_ms) >= self.retention_ms =>
            {
                self.take(request).is_some()
            }
            _ => false,
        }
    }

    /// Forgets the record that does the least harm before its time.
    fn forget_early(&mut self, now_ms: u64) -> bool {
        let Some(&(has_begun, ended_ms, request)) = self.forgettable.first()
        else {
            return false;
        };
        let known_until_ms = ended_ms.saturating_add(self.retention_ms);
        if has_begun && known_until_ms > now_ms {
            self.blind_until_ms = self.blind_until_ms.max(known_until_ms);
        }
        self.take(request).is_some()
    }
}
