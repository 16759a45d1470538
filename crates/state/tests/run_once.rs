//! Rules of the run-once table.

use std::time::{Duration, Instant};

use chestnutreach_state::{Admission, RunOnceTable, RunState};
use rstest::rstest;

const RETENTION_MS: u64 = 1_000;
const REQUEST: u128 = 7;

/// An operation on the request, at time 0.
#[derive(Clone, Copy)]
enum Step {
    Admit { attempt: u32, is_idempotent: bool },
    Begin(u32),
    Refuse(u32),
    Finish(u32),
    Fail(u32),
    Query(u32),
}

use Step::{Admit, Begin, Fail, Finish, Query, Refuse};

const ADMIT_ONCE_1: Step = Admit { attempt: 1, is_idempotent: false };
const ADMIT_IDEMPOTENT_1: Step = Admit { attempt: 1, is_idempotent: true };
const ADMIT_IDEMPOTENT_2: Step = Admit { attempt: 2, is_idempotent: true };

fn apply(table: &mut RunOnceTable, step: Step) {
    match step {
        Admit { attempt, is_idempotent } => {
            table.admit(REQUEST, attempt, is_idempotent, 0);
        }
        Begin(attempt) => assert!(table.begin(REQUEST, attempt)),
        Refuse(attempt) => table.refuse(REQUEST, attempt, 0),
        Finish(attempt) => table.finish(REQUEST, attempt, 0),
        Fail(attempt) => table.fail(REQUEST, attempt, 0),
        Query(attempt) => {
            table.query(REQUEST, attempt, 0);
        }
    }
}

struct Case {
    before: &'static [Step],
    attempt: u32,
    is_idempotent: bool,
    admission: Admission,
}

#[rstest]
#[case::new(Case {
    before: &[],
    attempt: 1,
    is_idempotent: false,
    admission: Admission::Run { superseded: None },
})]
#[case::repeated(Case {
    before: &[ADMIT_ONCE_1],
    attempt: 1,
    is_idempotent: false,
    admission: Admission::Fenced,
})]
#[case::supersedes_a_waiting_attempt(Case {
    before: &[ADMIT_ONCE_1],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::Run { superseded: Some(1) },
})]
#[case::after_it_began(Case {
    before: &[ADMIT_ONCE_1, Begin(1)],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::AlreadyRun,
})]
#[case::after_it_failed(Case {
    before: &[ADMIT_ONCE_1, Begin(1), Fail(1)],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::AlreadyRun,
})]
#[case::stays_non_idempotent(Case {
    before: &[ADMIT_ONCE_1, Begin(1), Fail(1)],
    attempt: 2,
    is_idempotent: true,
    admission: Admission::AlreadyRun,
})]
#[case::stays_non_idempotent_after_a_refusal(Case {
    before: &[ADMIT_ONCE_1, Refuse(1), ADMIT_IDEMPOTENT_2, Begin(2), Fail(2)],
    attempt: 3,
    is_idempotent: true,
    admission: Admission::AlreadyRun,
})]
#[case::after_a_refusal(Case {
    before: &[ADMIT_ONCE_1, Refuse(1)],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::Run { superseded: None },
})]
#[case::fenced_by_a_query(Case {
    before: &[Query(2)],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::Fenced,
})]
#[case::fenced_while_admitted(Case {
    before: &[ADMIT_ONCE_1, Query(2)],
    attempt: 2,
    is_idempotent: false,
    admission: Admission::Fenced,
})]
#[case::newer_than_the_query(Case {
    before: &[Query(2)],
    attempt: 3,
    is_idempotent: false,
    admission: Admission::Run { superseded: None },
})]
#[case::idempotent_runs_again(Case {
    before: &[ADMIT_IDEMPOTENT_1, Begin(1)],
    attempt: 2,
    is_idempotent: true,
    admission: Admission::Run { superseded: Some(1) },
})]
#[case::idempotent_after_a_query(Case {
    before: &[Query(0), ADMIT_IDEMPOTENT_1, Begin(1), Fail(1)],
    attempt: 2,
    is_idempotent: true,
    admission: Admission::Run { superseded: None },
})]
fn attempts_are_admitted(#[case] case: Case) {
    let mut table = RunOnceTable::new(4, RETENTION_MS);
    for step in case.before {
        apply(&mut table, *step);
    }
    let admission = table.admit(REQUEST, case.attempt, case.is_idempotent, 0);
    assert_eq!(admission, case.admission);
}

struct QueryCase {
    before: &'static [Step],
    state: RunState,
}

#[rstest]
#[case::never_seen(QueryCase { before: &[], state: RunState::NeverSeen })]
#[case::queried_before(QueryCase {
    before: &[Query(1)],
    state: RunState::Refused,
})]
#[case::admitted(QueryCase {
    before: &[ADMIT_ONCE_1],
    state: RunState::Admitted,
})]
#[case::refused(QueryCase {
    before: &[ADMIT_ONCE_1, Refuse(1)],
    state: RunState::Refused,
})]
#[case::running(QueryCase {
    before: &[ADMIT_ONCE_1, Begin(1)],
    state: RunState::Running,
})]
#[case::finished(QueryCase {
    before: &[ADMIT_ONCE_1, Begin(1), Finish(1)],
    state: RunState::Finished,
})]
#[case::failed_before_it_began(QueryCase {
    before: &[ADMIT_ONCE_1, Fail(1)],
    state: RunState::Refused,
})]
#[case::failed(QueryCase {
    before: &[ADMIT_ONCE_1, Begin(1), Fail(1)],
    state: RunState::Failed,
})]
#[case::refused_after_it_began(QueryCase {
    before: &[ADMIT_ONCE_1, Begin(1), Refuse(1)],
    state: RunState::Failed,
})]
#[case::later_attempt_refused(QueryCase {
    before: &[ADMIT_IDEMPOTENT_1, Begin(1), ADMIT_IDEMPOTENT_2, Refuse(2)],
    state: RunState::Failed,
})]
fn queries_return_the_state(#[case] case: QueryCase) {
    let mut table = RunOnceTable::new(4, RETENTION_MS);
    for step in case.before {
        apply(&mut table, *step);
    }
    assert_eq!(table.query(REQUEST, 1, 0), case.state);
}

#[test]
fn refusals_do_not_fill_the_table() {
    let mut table = RunOnceTable::new(2, RETENTION_MS);
    for request in 0..100 {
        let admission = table.admit(request, 1, false, 0);
        assert_eq!(admission, Admission::Run { superseded: None });
        table.refuse(request, 1, 0);
    }
    assert_eq!(table.len(), 2);
}

#[test]
fn retained_records_are_evicted_after_the_retention_time() {
    let mut table = RunOnceTable::new(1, RETENTION_MS);
    apply(&mut table, ADMIT_ONCE_1);
    apply(&mut table, Begin(1));
    apply(&mut table, Finish(1));
    let early = table.admit(8, 1, false, RETENTION_MS - 1);
    assert_eq!(early, Admission::TableFull);
    assert_eq!(table.query(8, 1, RETENTION_MS - 1), RunState::CannotTell);
    let late = table.admit(8, 1, false, RETENTION_MS);
    assert_eq!(late, Admission::Run { superseded: None });
}

/// A request whose record was evicted early must not be reported as never
/// seen.
#[test]
fn evicted_run_is_not_reported_as_not_run() {
    let mut table = RunOnceTable::new(1, RETENTION_MS);
    apply(&mut table, ADMIT_IDEMPOTENT_1);
    apply(&mut table, Begin(1));
    apply(&mut table, Finish(1));
    table.admit(8, 1, true, 10);
    table.refuse(8, 1, 10);
    assert_eq!(table.query(REQUEST, 1, 20), RunState::CannotTell);
    assert_eq!(table.query(9, 1, RETENTION_MS), RunState::NeverSeen);
}

/// A table full of retained records refuses new requests without a scan.
#[test]
fn full_table_refuses_without_a_scan() {
    const RECORDS: u128 = 50_000;
    let mut table = RunOnceTable::new(RECORDS as usize, RETENTION_MS);
    for request in 0..RECORDS {
        table.admit(request, 1, false, 0);
        table.begin(request, 1);
        table.finish(request, 1, 0);
    }
    let start = Instant::now();
    for request in RECORDS..2 * RECORDS {
        let admission = table.admit(request, 1, false, 1);
        assert_eq!(admission, Admission::TableFull);
    }
    // Scans of all records would take 2.5 billion steps.
    assert!(start.elapsed() < Duration::from_secs(5));
}
