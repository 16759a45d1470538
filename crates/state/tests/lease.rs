//! Sequences of lease events, with a table service that responds at once.

use chestnutreach_state::{
    FencingDecision, FencingGate, FencingNumber, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, LeaseState, StoreResponse,
};
use rstest::rstest;

const DURATION_MS: u64 = 1_000;
const MARGIN_MS: u64 = 100;
const RENEW_BEFORE_MS: u64 = 500;
/// Time of the first renewal after a write at time 0.
const RENEW_MS: u64 = DURATION_MS - MARGIN_MS - RENEW_BEFORE_MS;

fn participant(id: u64) -> LeaseParticipant {
    let options = LeaseOptions::new(DURATION_MS, RENEW_BEFORE_MS, MARGIN_MS);
    LeaseParticipant::new(id, options.unwrap())
}

fn number(number: u64) -> Option<FencingNumber> {
    Some(FencingNumber::from_u64(number))
}

/// The row of the lease, and faults of the table service.
#[derive(Default)]
struct Store {
    row: Option<LeaseRow>,
    is_down: bool,
    loses_responses: bool,
}

impl Store {
    fn execute(&mut self, command: LeaseCommand) -> StoreResponse {
        if self.is_down {
            return StoreResponse::Unavailable;
        }
        match command {
            LeaseCommand::Read => StoreResponse::Row(self.row),
            LeaseCommand::Write { expected, .. } if expected != self.row => {
                StoreResponse::Conflict
            }
            LeaseCommand::Write { row, .. } => {
                self.row = Some(row);
                match self.loses_responses {
                    true => StoreResponse::Ambiguous,
                    false => StoreResponse::Written,
                }
            }
        }
    }

    /// Ticks until the process has no command to send, and returns the number
    /// of commands.
    fn run(
        &mut self,
        participant: &mut LeaseParticipant,
        now_ms: u64,
    ) -> usize {
        let mut count = 0;
        while let Some(command) = participant.tick(now_ms) {
            let response = self.execute(command);
            participant.handle_response(response, now_ms);
            count += 1;
            if response == StoreResponse::Unavailable {
                break;
            }
        }
        count
    }
}

#[test]
fn first_candidate_acquires_and_renews() {
    let mut store = Store::default();
    let mut holder = participant(1);
    assert_eq!(holder.state(), LeaseState::Idle);
    assert_eq!(store.run(&mut holder, 0), 2);
    assert_eq!(holder.active_fencing_number(0), number(1));
    assert_eq!(store.run(&mut holder, RENEW_MS - 1), 0);
    for round in 1..20 {
        assert_eq!(store.run(&mut holder, round * RENEW_MS), 1);
        assert_eq!(holder.active_fencing_number(round * RENEW_MS), number(1));
    }
    assert_eq!(store.row.unwrap().renewal, 19);
}

#[test]
fn holder_stops_before_the_lease_ends() {
    let mut store = Store::default();
    let mut holder = participant(1);
    store.run(&mut holder, 0);
    let until_ms = DURATION_MS - MARGIN_MS;
    assert_eq!(holder.active_fencing_number(until_ms - 1), number(1));
    assert_eq!(holder.active_fencing_number(until_ms), None);
    store.is_down = true;
    store.run(&mut holder, until_ms);
    assert_eq!(holder.state(), LeaseState::Lost);
    // A process may take its own row over, with a new number.
    store.is_down = false;
    store.run(&mut holder, until_ms + 1);
    assert_eq!(holder.active_fencing_number(until_ms + 1), number(2));
}

#[test]
fn lease_time_starts_when_the_write_is_sent() {
    let mut store = Store::default();
    let mut holder = participant(1);
    let read = holder.tick(0).unwrap();
    holder.handle_response(store.execute(read), 0);
    let write = holder.tick(0).unwrap();
    let response = store.execute(write);
    assert_eq!(holder.state(), LeaseState::Acquiring);
    holder.handle_response(response, DURATION_MS - MARGIN_MS);
    assert_eq!(holder.active_fencing_number(DURATION_MS - MARGIN_MS), None);
}

/// The paused holder detects the take-over at its next read.
#[test]
fn candidate_takes_over_from_a_paused_holder() {
    let mut store = Store::default();
    let (mut paused, mut other) = (participant(1), participant(2));
    store.run(&mut paused, 0);
    let mut took_over_ms = None;
    for now_ms in (0..3 * DURATION_MS).step_by(50) {
        store.run(&mut other, now_ms);
        if other.active_fencing_number(now_ms).is_some() {
            took_over_ms = Some(now_ms);
            break;
        }
    }
    assert_eq!(took_over_ms, Some(DURATION_MS));
    assert_eq!(other.active_fencing_number(DURATION_MS), number(2));
    assert_eq!(paused.active_fencing_number(DURATION_MS), None);
    store.run(&mut paused, DURATION_MS);
    assert_eq!(paused.state(), LeaseState::Lost);
}

#[test]
fn lost_response_is_settled_by_reading() {
    let mut store = Store { loses_responses: true, ..Store::default() };
    let mut holder = participant(1);
    // A read, a write whose response is lost, and a read.
    assert_eq!(store.run(&mut holder, 0), 3);
    assert_eq!(holder.active_fencing_number(0), number(1));
    assert_eq!(store.run(&mut holder, RENEW_MS), 2);
    let state = holder.state();
    let until_ms = RENEW_MS + DURATION_MS - MARGIN_MS;
    assert!(matches!(
        state,
        LeaseState::Held { until_ms: until, .. } if until == until_ms
    ));
}

/// A repeated write counts from the first copy, which may be the one that took
/// effect.
#[test]
fn repeated_write_counts_from_the_first_copy() {
    let mut store = Store::default();
    let mut holder = participant(1);
    let read = holder.tick(0).unwrap();
    holder.handle_response(store.execute(read), 0);
    let late = holder.tick(0).unwrap();
    holder.handle_response(StoreResponse::Ambiguous, 10);
    let read = holder.tick(20).unwrap();
    holder.handle_response(store.execute(read), 20);
    store.execute(late);
    let again = holder.tick(30).unwrap();
    assert_eq!(store.execute(again), StoreResponse::Conflict);
    holder.handle_response(StoreResponse::Conflict, 30);
    store.run(&mut holder, 40);
    let end_ms = DURATION_MS - MARGIN_MS;
    assert_eq!(holder.active_fencing_number(end_ms - 1), number(1));
    assert_eq!(holder.active_fencing_number(end_ms), None);
}

#[test]
fn released_lease_can_be_acquired_at_once() {
    let mut store = Store::default();
    let (mut first, mut second) = (participant(1), participant(2));
    store.run(&mut first, 0);
    store.run(&mut second, 10);
    let release = first.release(20).unwrap();
    assert_eq!(first.active_fencing_number(20), None);
    first.handle_response(store.execute(release), 20);
    assert_eq!(store.run(&mut first, 2 * DURATION_MS), 0);
    store.run(&mut second, 20 + DURATION_MS / 4);
    assert_eq!(second.active_fencing_number(20 + DURATION_MS / 4), number(2));
}

#[test]
fn waiting_candidate_reads_rarely() {
    let mut store = Store::default();
    let (mut first, mut second) = (participant(1), participant(2));
    let mut reads = 0;
    for now_ms in 0..10 * DURATION_MS {
        store.run(&mut first, now_ms);
        reads += store.run(&mut second, now_ms);
    }
    assert!(second.active_fencing_number(10 * DURATION_MS).is_none());
    assert!(reads <= 41, "{reads} reads in ten lease durations");
}

struct OptionsCase {
    duration_ms: u64,
    renew_before_ms: u64,
    margin_ms: u64,
    message: Option<&'static str>,
}

#[rstest]
#[case::least(OptionsCase {
    duration_ms: 3,
    renew_before_ms: 1,
    margin_ms: 1,
    message: None,
})]
#[case::no_margin(OptionsCase {
    duration_ms: 3,
    renew_before_ms: 1,
    margin_ms: 0,
    message: Some("lease margin of 0 ms is less than 1 ms"),
})]
#[case::no_time_left(OptionsCase {
    duration_ms: 10,
    renew_before_ms: 8,
    margin_ms: 2,
    message: Some(
        "lease duration of 10 ms is not longer than margin and renewal \
         together, 10 ms",
    ),
})]
fn options_are_validated(#[case] case: OptionsCase) {
    let options = LeaseOptions::new(
        case.duration_ms,
        case.renew_before_ms,
        case.margin_ms,
    );
    let message = options.err().map(|e| e.to_string());
    assert_eq!(message.as_deref(), case.message);
}

#[test]
fn gate_needs_one_confirmation() {
    let [four, five, six] = [4, 5, 6].map(FencingNumber::from_u64);
    let mut gate = FencingGate::new();
    assert_eq!(gate.check(five), FencingDecision::NeedsConfirmation);
    gate.confirm(five);
    assert_eq!(gate.check(four), FencingDecision::Refused { highest: five });
    assert_eq!(gate.check(five), FencingDecision::Accepted);
    assert_eq!(gate.check(six), FencingDecision::Accepted);
    assert_eq!(gate.check(five), FencingDecision::Refused { highest: six });
    // A late confirmation does not lower the number.
    gate.confirm(five);
    assert_eq!(gate.highest(), Some(six));
}

#[test]
fn resigned_term_is_taken_over_at_once() {
    let mut store = Store::default();
    let (mut old, mut new) = (participant(1), participant(2));
    store.run(&mut old, 0);
    store.run(&mut new, 0);
    assert_eq!(new.active_fencing_number(1), None);
    let resigned = old.resign(10).unwrap();
    assert_eq!(
        old.active_fencing_number(10),
        None,
        "the holder stops before the announcement"
    );
    new.holder_resigned(resigned);
    store.run(&mut new, 11);
    assert_eq!(new.active_fencing_number(11), number(2));
}

#[test]
fn resignation_does_not_apply_to_a_later_term() {
    let mut store = Store::default();
    let (mut old, mut new) = (participant(1), participant(2));
    store.run(&mut old, 0);
    let first = old.resign(10).unwrap();
    // The same process acquires the lease again, in a new term.
    store.run(&mut old, 20);
    assert_eq!(old.active_fencing_number(20), number(2));
    new.holder_resigned(first);
    store.run(&mut new, 21);
    assert_eq!(new.active_fencing_number(21), None);
}

#[test]
fn process_without_the_lease_can_not_resign() {
    let mut store = Store::default();
    let (mut old, mut new) = (participant(1), participant(2));
    store.run(&mut old, 0);
    store.run(&mut new, 0);
    assert_eq!(new.resign(5), None);
    assert_eq!(old.active_fencing_number(5), number(1));
}
