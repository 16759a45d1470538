//! Tracks the requests that a side process has seen, so that none runs twice.
//!
//! Only this table can state as a fact that a request has not run, because
//! every attempt passes the table before it reaches a backend server. An
//! attempt fences all older attempts of its request, and so does a query: once
//! the table has responded "never seen", an attempt that is still in transit
//! is refused.
//!
//! The table is bounded, and evicts records by the harm of losing them:
//!
//! | ended record | kept |
//! |---|---|
//! | non-idempotent and begun | for the retention time |
//! | used to answer a query | for the retention time |
//! | refused and never queried | until the space is needed |
//! | idempotent and begun | until the space is needed |
//!
//! The retention time must be longer than the deadline of any request and
//! longer than a connection can delay a frame. The eviction of an idempotent
//! run does not make the request run twice, but the table can then not tell
//! the request from a request that it has never seen. Until the retention time
//! of the last evicted record has passed, a query for an unknown request
//! returns [`RunState::CannotTell`]; a capacity of the peak rate times the
//! retention time avoids this. If no record may be evicted, the table refuses
//! new requests: a refusal is harmless, a forgotten run is not.
//!
//! A refused request that was never queried needs no fence: an entry sends
//! each attempt once, on one connection. If its record were retained, a burst
//! of refusals would fill the table for the whole retention time.
//!
//! Every operation takes time logarithmic in the number of records.

mod record;

use std::collections::{BTreeMap, BTreeSet};

use self::record::Record;

/// Whether an attempt may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The attempt may run, after an older attempt that still runs is stopped.
    Run {
        /// The older attempt that still runs.
        superseded: Option<u32>,
    },
    /// A newer attempt, the same attempt or a query has fenced this attempt.
    Fenced,
    /// The request is non-idempotent and has already begun.
    AlreadyRun,
    /// The table is full of records that may not be evicted.
    TableFull,
}

/// State of a request, by its newest attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// The request is unknown, and the query has fenced it.
    NeverSeen,
    /// The request was refused here, and no attempt has run.
    Refused,
    /// The attempt is admitted and has not begun; it may still begin or be
    /// refused.
    Admitted,
    /// The attempt has begun.
    Running,
    /// The attempt ran to completion.
    Finished,
    /// The request began and failed, even if a later attempt was refused.
    Failed,
    /// The request may have run and been evicted, or the table has no space
    /// for a fence. Nothing has been fenced; query again later.
    CannotTell,
}

/// The requests that a side process has seen, by request number.
#[derive(Debug)]
pub struct RunOnceTable {
    capacity: usize,
    retention_ms: u64,
    records: BTreeMap<u128, Record>,
    /// Ended records that are kept for the retention time, by end time.
    retained: BTreeSet<(u64, u128)>,
    /// Other ended records, in the order of eviction: those that have not
    /// begun come first.
    evictable: BTreeSet<(bool, u64, u128)>,
    /// Until when an unknown request may have run and been evicted.
    uncertain_until_ms: u64,
}

impl RunOnceTable {
    /// A table for `capacity` requests that keeps ended non-idempotent ones
    /// for `retention_ms`.
    pub fn new(capacity: usize, retention_ms: u64) -> RunOnceTable {
        RunOnceTable {
            capacity,
            retention_ms,
            records: BTreeMap::new(),
            retained: BTreeSet::new(),
            evictable: BTreeSet::new(),
            uncertain_until_ms: 0,
        }
    }

    /// Decides whether an attempt may run, and admits it if so.
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
        if !self.ensure_space(now_ms) {
            return Admission::TableFull;
        }
        let may_have_run = is_idempotent && now_ms < self.uncertain_until_ms;
        let record = Record {
            is_idempotent,
            may_have_run,
            ..Record::new(attempt, RunState::Admitted, now_ms)
        };
        self.insert(request, record);
        Admission::Run { superseded: None }
    }

    /// Records that an admitted attempt begins; the request counts as run from
    /// now on. Returns false if the attempt is no longer the admitted one.
    pub fn begin(&mut self, request: u128, attempt: u32) -> bool {
        match self.records.get_mut(&request) {
            Some(record) => record.begin(attempt),
            None => false,
        }
    }

    /// Records that an admitted attempt was refused without running. An
    /// attempt that has begun counts as failed.
    pub fn refuse(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, false, now_ms);
    }

    /// Records that an attempt ran to completion.
    pub fn finish(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, true, now_ms);
    }

    /// Records that an attempt ended early. The request counts as failed if it
    /// had begun, and as refused otherwise.
    pub fn fail(&mut self, request: u128, attempt: u32, now_ms: u64) {
        self.end(request, attempt, false, now_ms);
    }

    /// State of a request. Attempts up to `attempt` that arrive later are
    /// refused, so that the state stays true. An attempt that is admitted or
    /// running is not stopped: the caller queries again or takes its result.
    pub fn query(
        &mut self,
        request: u128,
        attempt: u32,
        now_ms: u64,
    ) -> RunState {
        if let Some(mut record) = self.remove(request) {
            let state = record.query(attempt, now_ms);
            self.insert(request, record);
            return state;
        }
        if now_ms < self.uncertain_until_ms || !self.ensure_space(now_ms) {
            return RunState::CannotTell;
        }
        let fence = Record {
            is_queried: true,
            ..Record::new(attempt, RunState::Refused, now_ms)
        };
        self.insert(request, fence);
        RunState::NeverSeen
    }

    /// State of a request, without fencing any attempt.
    pub fn peek(&self, request: u128) -> Option<RunState> {
        self.records.get(&request).map(|record| record.state)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no records.
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
        let superseded = record.is_active().then_some(record.attempt);
        if let Some(mut record) = self.remove(request) {
            record.supersede(attempt, is_idempotent);
            self.insert(request, record);
        }
        Admission::Run { superseded }
    }

    /// Ends an attempt that is admitted or running, and ignores any other.
    fn end(
        &mut self,
        request: u128,
        attempt: u32,
        is_complete: bool,
        now_ms: u64,
    ) {
        let is_current = self
            .records
            .get(&request)
            .is_some_and(|r| r.attempt == attempt && r.is_active());
        if !is_current {
            return;
        }
        if let Some(mut record) = self.remove(request) {
            record.end(is_complete, now_ms);
            self.insert(request, record);
        }
    }

    /// Removes a record and its entry in the eviction order.
    fn remove(&mut self, request: u128) -> Option<Record> {
        let record = self.records.remove(&request)?;
        self.retained.remove(&(record.ended_ms, request));
        self.evictable.remove(&(record.has_begun, record.ended_ms, request));
        Some(record)
    }

    /// Inserts a record and, if it has ended, adds it to the eviction order.
    fn insert(&mut self, request: u128, record: Record) {
        let ended_ms = record.ended_ms;
        if record.is_active() {
            // Active records are never evicted.
        } else if record.must_be_retained() {
            self.retained.insert((ended_ms, request));
        } else {
            let entry = (record.has_begun, ended_ms, request);
            self.evictable.insert(entry);
        }
        self.records.insert(request, record);
    }

    /// Evicts a record if the table is full, and returns whether there is
    /// space for a new one.
    fn ensure_space(&mut self, now_ms: u64) -> bool {
        while self.records.len() >= self.capacity {
            let is_evicted =
                self.evict_expired(now_ms) || self.evict_early(now_ms);
            if !is_evicted {
                return false;
            }
        }
        true
    }

    /// Evicts the oldest retained record if its retention time has passed.
    fn evict_expired(&mut self, now_ms: u64) -> bool {
        match self.retained.first() {
            Some(&(ended_ms, request))
                if now_ms.saturating_sub(ended_ms) >= self.retention_ms =>
            {
                self.remove(request).is_some()
            }
            _ => false,
        }
    }

    /// Evicts the record whose early loss does the least harm.
    fn evict_early(&mut self, now_ms: u64) -> bool {
        let Some(&(has_begun, ended_ms, request)) = self.evictable.first()
        else {
            return false;
        };
        let retained_until_ms = ended_ms.saturating_add(self.retention_ms);
        if has_begun && retained_until_ms > now_ms {
            self.uncertain_until_ms =
                self.uncertain_until_ms.max(retained_until_ms);
        }
        self.remove(request).is_some()
    }
}
