//! When a second attempt is sent beside one without an answer.

use chestnutreach_routing::{
    AnswerTimes, HedgeBudget,
    hedging::{hedge_after_ms, is_outlier, is_silent},
};
use rstest::rstest;

/// Target of the route, in milliseconds.
const TARGET_MS: u64 = 300;

fn times_of(answers_ms: impl IntoIterator<Item = u64>) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    answers_ms.into_iter().for_each(|ms| times.record(ms));
    times
}

/// Answers of a server, and the range of its usual time.
struct Answers {
    answers_ms: fn(u64) -> u64,
    count: u64,
    min_ms: u64,
    max_ms: u64,
}

#[rstest]
#[case::all_alike(Answers {
    answers_ms: |_| 400, count: 500, min_ms: 395, max_ms: 400,
})]
#[case::even_spread(Answers {
    answers_ms: |n| 1 + n * 37 % 100, count: 2_000, min_ms: 85, max_ms: 100,
})]
#[case::two_in_a_hundred_are_slow(Answers {
    answers_ms: |n| if n % 50 == 0 { 3_000 } else { 20 },
    count: 2_000,
    min_ms: 18,
    max_ms: 24,
})]
#[case::slower_for_a_while(Answers {
    answers_ms: |n| if n < 100 { 50 } else { 200 },
    count: 120,
    min_ms: 195,
    max_ms: 200,
})]
#[case::faster_again(Answers {
    answers_ms: |n| if n < 100 { 200 } else { 50 },
    count: 450,
    min_ms: 50,
    max_ms: 60,
})]
fn the_usual_time_follows_the_slower_answers(#[case] case: Answers) {
    let times = times_of((0..case.count).map(case.answers_ms));
    let usual_ms = times.usual_ms().expect("there are answers");
    let range = case.min_ms..=case.max_ms;
    assert!(range.contains(&usual_ms), "{usual_ms}");
}

/// A server would seem fast if its slow answers were never waited for.
#[test]
fn a_wait_that_ended_before_the_answer_counts_as_a_slow_answer() {
    let mut times = times_of([20; 50]);
    for _ in 0..40 {
        times.record_unanswered(200);
    }
    let usual_ms = times.usual_ms().expect("there are answers");
    assert!(usual_ms >= 190, "{usual_ms}");
}

#[test]
fn a_short_wait_says_nothing_of_the_answer() {
    let mut times = times_of([200; 50]);
    let before = times;
    (0..40).for_each(|_| times.record_unanswered(20));
    assert_eq!(times, before);
}

/// A short wait for a server that has not answered must not make it look fast.
#[test]
fn waits_for_a_server_without_an_answer_are_only_a_bound() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.min_usual_ms(), None);
    for waited_ms in [2, 700, 5] {
        times.record_unanswered(waited_ms);
    }
    assert_eq!(times.usual_ms(), None);
    assert_eq!(times.min_usual_ms(), Some(700));
    times.record(40);
    assert_eq!(times.usual_ms(), Some(40));
}

/// When a hedge is due.
struct Due {
    usual_ms: Option<u64>,
    after_ms: u64,
}

#[rstest]
#[case::fast_answers(Due { usual_ms: Some(10), after_ms: 90 })]
#[case::answers_near_the_target(Due { usual_ms: Some(280), after_ms: 420 })]
#[case::answers_after_the_target(Due { usual_ms: Some(900), after_ms: 1_350 })]
#[case::no_answer_yet(Due { usual_ms: None, after_ms: 270 })]
fn a_hedge_is_due_after_what_the_other_server_takes(#[case] due: Due) {
    assert_eq!(hedge_after_ms(TARGET_MS, due.usual_ms), due.after_ms);
}

#[rstest]
#[case::within_the_target(20, 269, false)]
#[case::after_the_target(20, 270, true)]
#[case::as_slow_as_others(300, 1_199, false)]
#[case::far_slower_than_others(300, 1_200, true)]
fn a_server_is_silent_long_after_the_others_would_have_answered(
    #[case] usual_ms: u64,
    #[case] waited_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(is_silent(TARGET_MS, usual_ms, waited_ms), expected);
}

#[rstest]
#[case::alike(400, 400, false)]
#[case::somewhat_slower(400, 200, false)]
#[case::far_slower(400, 100, true)]
#[case::far_slower_and_still_fast(30, 3, false)]
fn a_server_far_slower_than_the_others_is_an_outlier(
    #[case] usual_ms: u64,
    #[case] least_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(is_outlier(TARGET_MS, usual_ms, least_ms), expected);
}

/// Requests, all of which ask for a hedge.
#[rstest]
#[case::at_the_start(1, 1)]
#[case::a_few(100, 4)]
#[case::many(10_000, 301)]
fn hedges_stay_a_few_in_a_hundred_requests(
    #[case] requests: usize,
    #[case] max_hedges: usize,
) {
    let mut budget = HedgeBudget::default();
    let ask = |_: &usize| {
        budget.record_request();
        budget.try_take()
    };
    let hedges = (0..requests).filter(ask).count();
    assert!((1..=max_hedges).contains(&hedges), "{hedges}");
}

#[test]
fn a_quiet_time_saves_only_a_few_hedges() {
    let mut budget = HedgeBudget::default();
    (0..10_000).for_each(|_| budget.record_request());
    let taken = (0..100).filter(|_| budget.try_take()).count();
    assert_eq!(taken, 4);
}
