//! When refused callers return, and which callers have asked before.

use chestnutreach_routing::{CallerAges, ReturnTimes};
use rstest::rstest;

/// Time that callers have left.
const REMAINING_MS: u64 = 18_000;
const MAX_MS: u64 = REMAINING_MS / 3;

fn promise(
    returns: &mut ReturnTimes,
    spare_per_s: f64,
    now_ms: u64,
    rng: &mut fastrand::Rng,
) -> u64 {
    returns.promise(1_000, REMAINING_MS, spare_per_s, now_ms, rng)
}

/// Callers refused at one moment return one after the other, no faster than
/// capacity is left for them.
#[test]
fn returns_are_spread_by_the_capacity_that_is_left() {
    let mut returns = ReturnTimes::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let after: Vec<u64> = (0..80)
        .map(|_| promise(&mut returns, 20_000.0, 7_000, &mut rng))
        .collect();
    for second in 0..4 {
        let within =
            |ms: &&u64| (second * 1_000..(second + 1) * 1_000).contains(*ms);
        let count = after.iter().filter(within).count();
        assert!(count <= 25, "second {second}: {count}");
    }
    assert!(after.iter().all(|ms| (500..=MAX_MS).contains(ms)));
}

/// The promises of callers that have returned count no longer.
#[test]
fn promises_expire() {
    let mut returns = ReturnTimes::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let first = promise(&mut returns, 4_000.0, 0, &mut rng);
    let second = promise(&mut returns, 4_000.0, 0, &mut rng);
    assert!(second > first || second - first < 250);
    let later = promise(&mut returns, 4_000.0, 60_000, &mut rng);
    assert!(later < 1_000, "{later}");
}

/// A caller may state any time for which it waits, and any size.
#[rstest]
#[case::one_year(31_536_000_000)]
#[case::without_a_limit(u64::MAX)]
fn a_caller_that_waits_without_a_limit_is_told_a_time_within_a_minute(
    #[case] remaining_ms: u64,
) {
    let mut rng = fastrand::Rng::with_seed(1);
    for tokens in [1_000, u64::MAX] {
        let mut returns = ReturnTimes::default();
        for _ in 0..1_000 {
            let after =
                returns.promise(tokens, remaining_ms, 100.0, 0, &mut rng);
            assert!((500..=60_000).contains(&after), "{after}");
        }
    }
}

/// Where nothing is left, callers come back as late as they may.
#[test]
fn without_capacity_callers_return_late() {
    let mut returns = ReturnTimes::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..100 {
        let after = promise(&mut returns, 0.0, 1_000, &mut rng);
        assert!((MAX_MS * 3 / 4..=MAX_MS).contains(&after), "{after}");
    }
}

struct Case {
    remaining_ms: u64,
    target_ms: u64,
    is_late: bool,
}

#[rstest]
#[case::first_request(Case {
    remaining_ms: 17_000, target_ms: 500, is_late: false,
})]
#[case::after_a_refusal(Case {
    remaining_ms: 13_000, target_ms: 500, is_late: true,
})]
#[case::within_a_long_target(Case {
    remaining_ms: 13_000, target_ms: 10_000, is_late: false,
})]
#[case::other_sort_of_caller(Case {
    remaining_ms: 5_000, target_ms: 500, is_late: false,
})]
fn callers_that_return_have_less_time_than_others(#[case] case: Case) {
    let mut ages = CallerAges::default();
    for at in 0..64 {
        // Three of ten are callers that return.
        let remaining_ms = match at % 10 {
            0..7 => 17_000 + 400 * (at % 7),
            _ => 12_000 + 500 * (at % 7),
        };
        ages.record(remaining_ms, 500);
    }
    let is_late = ages.record(case.remaining_ms, case.target_ms);
    assert_eq!(is_late, case.is_late);
}

/// A single caller with a long time makes nobody late.
#[test]
fn one_patient_caller_does_not_change_what_is_usual() {
    let mut ages = CallerAges::default();
    for _ in 0..40 {
        ages.record(10_000, 500);
    }
    ages.record(60_000, 500);
    assert!(!ages.record(10_000, 500));
}
