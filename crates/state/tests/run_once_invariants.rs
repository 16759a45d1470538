//! Invariants of the run-once table for any order of events.
//!
//! Each request lasts for less than the retention time, as the table requires.
//! An observer keeps the complete history and checks every response.

mod support;

use std::{collections::BTreeMap, marker::PhantomData};

use chestnutreach_state::{Admission, RunOnceTable, RunState};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CAPACITY: usize = 3;
const RETENTION_MS: u64 = 100;
/// Requests per retention time, more than the capacity of the table.
const SLOTS: u128 = 5;
const MAX_ATTEMPT: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Admit { slot: u128, attempt: u32 },
    Begin { slot: u128, attempt: u32 },
    Refuse { slot: u128, attempt: u32 },
    Finish { slot: u128, attempt: u32 },
    Fail { slot: u128, attempt: u32 },
    Query { slot: u128, attempt: u32 },
    Wait { ms: u64 },
}

/// The reference state is the time, which determines the request of a slot.
#[derive(Clone, Debug, Default)]
struct Clock {
    now_ms: u64,
}

impl Clock {
    fn request(&self, slot: u128) -> u128 {
        u128::from(self.now_ms / RETENTION_MS) * SLOTS + slot
    }
}

fn is_idempotent(request: u128) -> bool {
    request % SLOTS % 2 == 1
}

impl ReferenceStateMachine for Clock {
    type State = Clock;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Clock> {
        Just(Clock::default()).boxed()
    }

    fn transitions(_: &Clock) -> BoxedStrategy<Event> {
        let ids = || (0..SLOTS, 1..=MAX_ATTEMPT);
        prop_oneof![
            6 => ids().prop_map(|(slot, attempt)| Event::Admit { slot, attempt }),
            6 => ids().prop_map(|(slot, attempt)| Event::Begin { slot, attempt }),
            2 => ids().prop_map(|(slot, attempt)| Event::Refuse { slot, attempt }),
            2 => ids().prop_map(|(slot, attempt)| Event::Finish { slot, attempt }),
            2 => ids().prop_map(|(slot, attempt)| Event::Fail { slot, attempt }),
            3 => ids().prop_map(|(slot, attempt)| Event::Query { slot, attempt }),
            2 => (1..RETENTION_MS / 2).prop_map(|ms| Event::Wait { ms }),
        ]
        .boxed()
    }

    fn apply(mut clock: Clock, event: &Event) -> Clock {
        if let Event::Wait { ms } = event {
            clock.now_ms += ms;
        }
        clock
    }
}

/// The actual events of a request.
#[derive(Debug, Default)]
struct History {
    /// The active attempt, and whether it has begun.
    active: Option<(u32, bool)>,
    begun_count: usize,
    has_finished: bool,
    /// Highest attempt that was admitted or queried.
    highest_attempt: u32,
    /// Highest attempt that a response reported as not run.
    not_run_up_to: u32,
}

impl History {
    fn record_admission(
        &mut self,
        admission: Admission,
        attempt: u32,
        is_idempotent: bool,
        is_full: bool,
    ) {
        let has_run = self.begun_count > 0 && !is_idempotent;
        match admission {
            Admission::Run { superseded } => {
                assert!(!has_run, "admitted though the request has run");
                assert!(attempt > self.not_run_up_to, "fence was lost");
                let active = self.active.map(|(active, _)| active);
                assert_eq!(superseded, active, "wrong attempt superseded");
                assert!(active.is_none_or(|active| attempt > active));
                self.active = Some((attempt, false));
                self.highest_attempt = self.highest_attempt.max(attempt);
            }
            Admission::Fenced => assert!(attempt <= self.highest_attempt),
            Admission::AlreadyRun => assert!(has_run),
            Admission::TableFull => assert!(is_full && self.active.is_none()),
        }
    }

    fn record_begin(&mut self, attempt: u32, is_idempotent: bool) {
        assert_eq!(
            self.active,
            Some((attempt, false)),
            "begins without admission"
        );
        assert!(
            attempt > self.not_run_up_to,
            "begins though reported as not run"
        );
        assert!(is_idempotent || self.begun_count == 0, "begins twice");
        self.active = Some((attempt, true));
        self.begun_count += 1;
    }

    fn record_end(&mut self, attempt: u32, is_complete: bool) {
        if self.active.is_some_and(|(active, _)| active == attempt) {
            self.active = None;
            self.has_finished = is_complete;
            self.begun_count += usize::from(is_complete);
        }
    }

    fn record_state(&mut self, state: RunState, attempt: u32, is_full: bool) {
        match state {
            RunState::NeverSeen | RunState::Refused => {
                assert_eq!(self.begun_count, 0, "the request has run");
                assert_eq!(self.active, None, "the request may still run");
                self.not_run_up_to = self.not_run_up_to.max(attempt);
            }
            RunState::Admitted => {
                assert!(self.active.is_some_and(|(_, has_begun)| !has_begun));
            }
            RunState::Running => {
                assert!(self.active.is_some_and(|(_, has_begun)| has_begun));
            }
            RunState::Finished => {
                assert!(self.active.is_none() && self.has_finished);
            }
            RunState::Failed => {
                assert!(self.active.is_none() && self.begun_count > 0);
            }
            RunState::CannotTell => assert!(self.active.is_none() && is_full),
        }
        if state != RunState::CannotTell {
            self.highest_attempt = self.highest_attempt.max(attempt);
        }
    }
}

/// A table under test.
trait Table {
    fn new() -> Self;
    fn table(&mut self) -> &mut RunOnceTable;

    fn must_run_once(request: u128) -> bool {
        !is_idempotent(request)
    }

    fn query(&mut self, request: u128, attempt: u32, now_ms: u64) -> RunState {
        self.table().query(request, attempt, now_ms)
    }
}

struct Correct(RunOnceTable);

impl Table for Correct {
    fn new() -> Correct {
        Correct(RunOnceTable::new(CAPACITY, RETENTION_MS))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }
}

/// Deliberate fault: evicts any ended record if the space is needed.
struct WithoutRetention(RunOnceTable);

impl Table for WithoutRetention {
    fn new() -> WithoutRetention {
        WithoutRetention(RunOnceTable::new(CAPACITY, 0))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }
}

/// Deliberate fault: a query does not fence.
struct WithoutFence(RunOnceTable);

impl Table for WithoutFence {
    fn new() -> WithoutFence {
        WithoutFence(RunOnceTable::new(CAPACITY, RETENTION_MS))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }

    fn query(&mut self, request: u128, _: u32, _: u64) -> RunState {
        self.0.peek(request).unwrap_or(RunState::NeverSeen)
    }
}

/// Deliberate fault: treats every request as idempotent.
struct AllIdempotent(RunOnceTable);

impl Table for AllIdempotent {
    fn new() -> AllIdempotent {
        AllIdempotent(RunOnceTable::new(CAPACITY, RETENTION_MS))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }

    fn must_run_once(_: u128) -> bool {
        false
    }
}

struct Observed<T> {
    table: T,
    histories: BTreeMap<u128, History>,
    /// Whether the table has been full, so that it may have evicted records.
    has_been_full: bool,
}

impl<T: Table> Observed<T> {
    fn history(&mut self, request: u128) -> &mut History {
        self.histories.entry(request).or_default()
    }

    fn admit(&mut self, request: u128, attempt: u32, now_ms: u64) {
        let is_idempotent = is_idempotent(request);
        let table = self.table.table();
        let is_full = table.len() == CAPACITY;
        let may_repeat = !T::must_run_once(request);
        let admission = table.admit(request, attempt, may_repeat, now_ms);
        let history = self.history(request);
        history.record_admission(admission, attempt, is_idempotent, is_full);
    }

    fn begin(&mut self, request: u128, attempt: u32) {
        if self.table.table().begin(request, attempt) {
            let is_idempotent = is_idempotent(request);
            self.history(request).record_begin(attempt, is_idempotent);
        } else {
            let active = self.history(request).active;
            assert_ne!(
                active,
                Some((attempt, false)),
                "admitted attempt can't begin"
            );
        }
    }

    fn query(&mut self, request: u128, attempt: u32, now_ms: u64) {
        let state = self.table.query(request, attempt, now_ms);
        let may_have_evicted = self.has_been_full;
        self.history(request).record_state(state, attempt, may_have_evicted);
    }
}

struct Invariants<T>(PhantomData<T>);

impl<T: Table> StateMachineTest for Invariants<T> {
    type SystemUnderTest = Observed<T>;
    type Reference = Clock;

    fn init_test(_: &Clock) -> Observed<T> {
        Observed {
            table: T::new(),
            histories: BTreeMap::new(),
            has_been_full: false,
        }
    }

    fn apply(
        mut observed: Observed<T>,
        clock: &Clock,
        event: Event,
    ) -> Observed<T> {
        let now_ms = clock.now_ms;
        match event {
            Event::Admit { slot, attempt } => {
                observed.admit(clock.request(slot), attempt, now_ms);
            }
            Event::Begin { slot, attempt } => {
                observed.begin(clock.request(slot), attempt);
            }
            Event::Refuse { slot, attempt } => {
                let request = clock.request(slot);
                observed.table.table().refuse(request, attempt, now_ms);
                observed.history(request).record_end(attempt, false);
            }
            Event::Finish { slot, attempt } => {
                let request = clock.request(slot);
                observed.table.table().finish(request, attempt, now_ms);
                observed.history(request).record_end(attempt, true);
            }
            Event::Fail { slot, attempt } => {
                let request = clock.request(slot);
                observed.table.table().fail(request, attempt, now_ms);
                observed.history(request).record_end(attempt, false);
            }
            Event::Query { slot, attempt } => {
                observed.query(clock.request(slot), attempt, now_ms);
            }
            Event::Wait { .. } => {}
        }
        let length = observed.table.table().len();
        assert!(length <= CAPACITY, "{length} records");
        observed.has_been_full |= length == CAPACITY;
        observed
    }
}

#[test]
fn invariants_hold() {
    assert_eq!(support::find_failure::<Invariants<Correct>>(), None);
}

#[test]
fn early_eviction_is_detected() {
    let why =
        support::find_failure_of_faulty::<Invariants<WithoutRetention>>();
    assert!(why.contains("fence was lost"), "{why}");
}

#[test]
fn missing_fence_is_detected() {
    let why = support::find_failure_of_faulty::<Invariants<WithoutFence>>();
    assert!(why.contains("fence was lost"), "{why}");
}

#[test]
fn second_run_is_detected() {
    let why = support::find_failure_of_faulty::<Invariants<AllIdempotent>>();
    assert!(why.contains("though the request has run"), "{why}");
}
