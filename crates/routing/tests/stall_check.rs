//! Gaps after which streams are checked, and simulated streams of an engine
//! that fails.

use chestnutreach_routing::StallCheck;
use rstest::rstest;

struct Case {
    gap_target_ms: Option<u64>,
    typical_gap_ms: f64,
    check_gap_ms: u64,
}

#[rstest]
#[case::fast_stream(Case {
    gap_target_ms: Some(250), typical_gap_ms: 20.0, check_gap_ms: 62,
})]
#[case::a_longer_target(Case {
    gap_target_ms: Some(300), typical_gap_ms: 20.0, check_gap_ms: 75,
})]
#[case::no_target(Case {
    gap_target_ms: None, typical_gap_ms: 20.0, check_gap_ms: 90,
})]
#[case::a_very_short_target(Case {
    gap_target_ms: Some(40), typical_gap_ms: 10.0, check_gap_ms: 50,
})]
#[case::slow_stream(Case {
    gap_target_ms: Some(250), typical_gap_ms: 60.0, check_gap_ms: 134,
})]
#[case::very_slow_stream(Case {
    gap_target_ms: Some(250), typical_gap_ms: 900.0, check_gap_ms: 600,
})]
fn a_stream_is_checked_after_a_gap_that_fits_its_target_and_pace(
    #[case] case: Case,
) {
    let check = StallCheck::new(case.gap_target_ms);
    assert_eq!(check.gap_ms(case.typical_gap_ms), case.check_gap_ms);
}

/// Time until connection attempts show that the engine has failed.
const CONNECT_MS: u64 = 50;
/// Time for the order that changes a path.
const ORDER_MS: u64 = 5;
/// Time until the replacement engine has prefilled the text written so far and
/// made the next event.
const PREFILL_MS: (u64, u64) = (60, 110);
const STREAM_COUNT: u64 = 60;

/// Longest gap of streams that get an event each `gap_ms`, when an engine on
/// the path of all of them fails. The first check serves all streams.
fn max_gap_ms(target_ms: u64, gap_ms: u64, seed: u64) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let check = StallCheck::new(Some(target_ms));
    // Time between the last event of each stream and the failure.
    let before: Vec<u64> =
        (0..STREAM_COUNT).map(|_| rng.u64(..gap_ms)).collect();
    let earliest = before.iter().copied().max().unwrap_or(0);
    let checked_ms = check.gap_ms(gap_ms as f64).saturating_sub(earliest);
    let gaps = before.iter().map(|before_ms| {
        let prefill_ms = rng.u64(PREFILL_MS.0..=PREFILL_MS.1);
        before_ms + checked_ms + CONNECT_MS + ORDER_MS + prefill_ms
    });
    gaps.max().unwrap_or(0)
}

/// Streams whose path is changed continue within the target of their route,
/// even the stream that stalled first.
#[rstest]
#[case::a_short_target(250, 23)]
#[case::slower_streams(250, 30)]
#[case::a_longer_target(300, 37)]
fn the_failure_of_an_engine_keeps_every_gap_within_the_target(
    #[case] target_ms: u64,
    #[case] gap_ms: u64,
) {
    for seed in 0..20 {
        let longest_ms = max_gap_ms(target_ms, gap_ms, seed);
        assert!(longest_ms <= target_ms, "seed {seed}: {longest_ms} ms");
    }
}
