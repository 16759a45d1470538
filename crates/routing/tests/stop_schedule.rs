//! Which requests a stopping entry takes.

use chestnutreach_routing::{StopSchedule, UsualDuration};
use rstest::rstest;

/// The times of a stop.
struct Times {
    grace_ms: u64,
    accept_until_ms: u64,
    final_answers_ms: u64,
}

#[rstest]
#[case::of_a_site(Times {
    grace_ms: 8_000, accept_until_ms: 2_600, final_answers_ms: 7_650,
})]
#[case::short(Times {
    grace_ms: 3_000, accept_until_ms: 2_350, final_answers_ms: 2_650,
})]
#[case::one_second(Times {
    grace_ms: 1_000, accept_until_ms: 350, final_answers_ms: 650,
})]
#[case::none(Times {
    grace_ms: 0, accept_until_ms: 0, final_answers_ms: 0,
})]
fn the_times_of_a_stop_follow_from_the_grace_period(#[case] times: Times) {
    let schedule = StopSchedule::new(times.grace_ms);
    assert_eq!(schedule.accept_until_ms(), times.accept_until_ms);
    assert_eq!(schedule.final_answers_ms(), times.final_answers_ms);
    assert!(schedule.idle_ms() <= schedule.accept_until_ms());
}

/// A request that reaches an entry with a grace period of 5 s.
struct Late {
    elapsed_ms: u64,
    deadline_in_ms: u64,
    usual_ms: Option<u64>,
    is_taken: bool,
}

#[rstest]
#[case::short(Late {
    elapsed_ms: 2_500, deadline_in_ms: 12_000, usual_ms: Some(20),
    is_taken: true,
})]
#[case::long(Late {
    elapsed_ms: 2_500, deadline_in_ms: 12_000, usual_ms: Some(3_000),
    is_taken: false,
})]
#[case::long_at_the_begin(Late {
    elapsed_ms: 500, deadline_in_ms: 12_000, usual_ms: Some(3_000),
    is_taken: true,
})]
#[case::only_just_by_its_usual_duration(Late {
    elapsed_ms: 1_500, deadline_in_ms: 12_000, usual_ms: Some(3_000),
    is_taken: false,
})]
#[case::with_a_deadline_before_the_end(Late {
    elapsed_ms: 2_500, deadline_in_ms: 2_000, usual_ms: None, is_taken: true,
})]
#[case::of_unknown_duration(Late {
    elapsed_ms: 0, deadline_in_ms: 12_000, usual_ms: None, is_taken: false,
})]
#[case::beyond_all_numbers(Late {
    elapsed_ms: 0, deadline_in_ms: u64::MAX, usual_ms: Some(u64::MAX),
    is_taken: false,
})]
fn a_request_is_taken_if_it_can_end(#[case] late: Late) {
    let schedule = StopSchedule::new(5_000);
    let can_end =
        schedule.can_end(late.elapsed_ms, late.deadline_in_ms, late.usual_ms);
    assert_eq!(can_end, late.is_taken);
}

#[test]
fn the_usual_duration_is_that_of_the_longest_recent_requests() {
    let mut usual = UsualDuration::default();
    assert_eq!(usual.ms(), None);
    usual.record(20);
    usual.record(3_000);
    usual.record(20);
    assert!(usual.ms().is_some_and(|ms| ms > 2_900));
    (0..1_000).for_each(|_| usual.record(20));
    assert_eq!(usual.ms(), Some(20));
}
