//! The promise of the run-once table, whatever the order of events.
//!
//! Each request lives for less than the retention time, as the table demands
//! of it. An observer keeps the whole history and judges every answer.

mod support;

use std::{collections::BTreeMap, marker::PhantomData};

use chestnutreach_state::{Admission, RunOnceTable, RunState};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CAPACITY: usize = 3;
const RETENTION_MS: u64 = 100;
/// Requests of one lifetime; more than fit the table.
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

/// Time alone; it decides which request a slot stands for.
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

/// What really happened to a request.
#[derive(Debug, Default)]
struct History {
    /// The attempt that is open, and whether it has begun.
    open: Option<(u32, bool)>,
    begun_count: usize,
    has_finished: bool,
    /// Highest attempt that was admitted or asked for.
    highest_attempt: u32,
    /// Highest attempt that a "not run" answer speaks for.
    not_run_up_to: u32,
}

impl History {
    fn saw_admission(
        &mut self,
        answer: Admission,
        attempt: u32,
        is_idempotent: bool,
        is_full: bool,
    ) {
        let has_run = self.begun_count > 0 && !is_idempotent;
        match answer {
            Admission::Run { superseded } => {
                assert!(!has_run, "admitted though it has run");
                assert!(attempt > self.not_run_up_to, "fence forgotten");
                let open = self.open.map(|(open, _)| open);
                assert_eq!(superseded, open, "wrong attempt superseded");
                assert!(open.is_none_or(|open| attempt > open));
                self.open = Some((attempt, false));
                self.highest_attempt = self.highest_attempt.max(attempt);
            }
            Admission::Fenced => assert!(attempt <= self.highest_attempt),
            Admission::AlreadyRun => assert!(has_run),
            Admission::TableFull => assert!(is_full && self.open.is_none()),
        }
    }

    fn saw_begin(&mut self, attempt: u32, is_idempotent: bool) {
        assert_eq!(self.open, Some((attempt, false)), "begins unadmitted");
        assert!(attempt > self.not_run_up_to, "begins though not run");
        assert!(is_idempotent || self.begun_count == 0, "begins twice");
        self.open = Some((attempt, true));
        self.begun_count += 1;
    }

    fn saw_end(&mut self, attempt: u32, is_whole: bool) {
        if self.open.is_some_and(|(open, _)| open == attempt) {
            self.open = None;
            self.has_finished = is_whole;
            self.begun_count += usize::from(is_whole);
        }
    }

    fn saw_answer(&mut self, answer: RunState, attempt: u32, is_full: bool) {
        match answer {
            RunState::NeverSeen | RunState::Refused => {
                assert_eq!(self.begun_count, 0, "it has run");
                assert_eq!(self.open, None, "it may still run");
                self.not_run_up_to = self.not_run_up_to.max(attempt);
            }
            RunState::Admitted => {
                assert!(self.open.is_some_and(|(_, has_begun)| !has_begun));
            }
            RunState::Running => {
                assert!(self.open.is_some_and(|(_, has_begun)| has_begun));
            }
            RunState::Finished => {
                assert!(self.open.is_none() && self.has_finished);
            }
            RunState::Failed => {
                assert!(self.open.is_none() && self.begun_count > 0);
            }
            RunState::CannotTell => assert!(self.open.is_none() && is_full),
        }
        if answer != RunState::CannotTell {
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

struct Sound(RunOnceTable);

impl Table for Sound {
    fn new() -> Sound {
        Sound(RunOnceTable::new(CAPACITY, RETENTION_MS))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }
}

/// Broken: forgets every ended record as soon as its place is needed.
struct Forgetful(RunOnceTable);

impl Table for Forgetful {
    fn new() -> Forgetful {
        Forgetful(RunOnceTable::new(CAPACITY, 0))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }
}

/// Broken: answers a query without fencing.
struct Unfenced(RunOnceTable);

impl Table for Unfenced {
    fn new() -> Unfenced {
        Unfenced(RunOnceTable::new(CAPACITY, RETENTION_MS))
    }

    fn table(&mut self) -> &mut RunOnceTable {
        &mut self.0
    }

    fn query(&mut self, request: u128, _: u32, _: u64) -> RunState {
        self.0.peek(request).unwrap_or(RunState::NeverSeen)
    }
}

/// Broken: treats every request as idempotent.
struct Careless(RunOnceTable);

impl Table for Careless {
    fn new() -> Careless {
        Careless(RunOnceTable::new(CAPACITY, RETENTION_MS))
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
    /// Whether the table has been full, so that it may have forgotten.
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
        let answer = table.admit(request, attempt, may_repeat, now_ms);
        let history = self.history(request);
        history.saw_admission(answer, attempt, is_idempotent, is_full);
    }

    fn begin(&mut self, request: u128, attempt: u32) {
        if self.table.table().begin(request, attempt) {
            let is_idempotent = is_idempotent(request);
            self.history(request).saw_begin(attempt, is_idempotent);
        } else {
            let open = self.history(request).open;
            assert_ne!(open, Some((attempt, false)), "admitted in vain");
        }
    }

    fn query(&mut self, request: u128, attempt: u32, now_ms: u64) {
        let answer = self.table.query(request, attempt, now_ms);
        let may_forget = self.has_been_full;
        self.history(request).saw_answer(answer, attempt, may_forget);
    }
}

struct Promise<T>(PhantomData<T>);

impl<T: Table> StateMachineTest for Promise<T> {
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
                observed.history(request).saw_end(attempt, false);
            }
            Event::Finish { slot, attempt } => {
                let request = clock.request(slot);
                observed.table.table().finish(request, attempt, now_ms);
                observed.history(request).saw_end(attempt, true);
            }
            Event::Fail { slot, attempt } => {
                let request = clock.request(slot);
                observed.table.table().fail(request, attempt, now_ms);
                observed.history(request).saw_end(attempt, false);
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
fn promise_holds() {
    assert_eq!(support::failure::<Promise<Sound>>(), None);
}

#[test]
fn early_forgetting_is_caught() {
    let why = support::failure_of_broken::<Promise<Forgetful>>();
    assert!(why.contains("fence forgotten"), "{why}");
}

#[test]
fn missing_fence_is_caught() {
    let why = support::failure_of_broken::<Promise<Unfenced>>();
    assert!(why.contains("fence forgotten"), "{why}");
}

#[test]
fn second_run_is_caught() {
    let why = support::failure_of_broken::<Promise<Careless>>();
    assert!(why.contains("though it has run"), "{why}");
}
