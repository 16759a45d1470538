//! Looks at pauses: bounds by the route's target, and streams of an engine
//! that dies, replayed.

use chestnutreach_routing::StallCheck;
use rstest::rstest;

struct Case {
    gap_target_ms: Option<u64>,
    usual_gap_ms: f64,
    after_ms: u64,
}

#[rstest]
#[case::fast_stream(Case {
    gap_target_ms: Some(250), usual_gap_ms: 20.0, after_ms: 62,
})]
#[case::a_longer_target(Case {
    gap_target_ms: Some(300), usual_gap_ms: 20.0, after_ms: 75,
})]
#[case::no_target(Case {
    gap_target_ms: None, usual_gap_ms: 20.0, after_ms: 90,
})]
#[case::a_short_target_is_no_haste(Case {
    gap_target_ms: Some(40), usual_gap_ms: 10.0, after_ms: 50,
})]
#[case::slow_stream(Case {
    gap_target_ms: Some(250), usual_gap_ms: 60.0, after_ms: 134,
})]
#[case::very_slow_stream(Case {
    gap_target_ms: Some(250), usual_gap_ms: 900.0, after_ms: 600,
})]
fn a_pause_is_looked_at_after(#[case] case: Case) {
    let look = StallCheck::new(case.gap_target_ms);
    assert_eq!(look.gap_ms(case.usual_gap_ms), case.after_ms);
}

/// Time until dials show that the engine is dead.
const DIALS_MS: u64 = 50;
/// Time for the order that changes a path.
const ORDER_MS: u64 = 5;
/// Time until the engine that stands in has read what was written and the
/// next event is made.
const READ_MS: (u64, u64) = (60, 110);
const STREAMS: u64 = 60;

/// Longest pause of streams that make an event each `gap_ms` when an engine
/// that all pass through dies. Whoever looks first tells the others.
fn longest_pause_ms(target_ms: u64, gap_ms: u64, seed: u64) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let look = StallCheck::new(Some(target_ms));
    // Time from the last event of each to the loss.
    let before: Vec<u64> = (0..STREAMS).map(|_| rng.u64(..gap_ms)).collect();
    let first = before.iter().copied().max().unwrap_or(0);
    let looked_ms = look.gap_ms(gap_ms as f64).saturating_sub(first);
    let paused = before.iter().map(|before_ms| {
        let read_ms = rng.u64(READ_MS.0..=READ_MS.1);
        before_ms + looked_ms + DIALS_MS + ORDER_MS + read_ms
    });
    paused.max().unwrap_or(0)
}

/// Streams whose path is changed go on within the target of their route,
/// also those that paused first.
#[rstest]
#[case::a_short_target(250, 23)]
#[case::slower_streams(250, 30)]
#[case::a_longer_target(300, 37)]
fn an_engine_that_dies_makes_no_pause_too_long(
    #[case] target_ms: u64,
    #[case] gap_ms: u64,
) {
    for seed in 0..20 {
        let paused_ms = longest_pause_ms(target_ms, gap_ms, seed);
        assert!(paused_ms <= target_ms, "{seed}: {paused_ms}");
    }
}
