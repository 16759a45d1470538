//! Retry budget, circuit breaker, admission and throughput bound.

mod common;

use chestnutreach_routing::{
    CircuitBreaker, CircuitState, LearnedSpeed, LiveState, Presence,
    RequestShape, RetryBudget, TokenMix, admission::run_ms, can_finish,
    circuit_breaker, expected_wait_ms, retry_after_ms, retry_budget,
    throughput_bound,
};
use common::{fleet, numbered, serving, spec};
use rstest::rstest;

#[rstest]
#[case::none(0)]
#[case::few(10)]
#[case::all(100)]
fn retries_stay_within_the_configured_percentage(#[case] percent: u32) {
    let budget = RetryBudget::new(percent);
    let mut rng = fastrand::Rng::with_seed(u64::from(percent));
    let (mut requests, mut retries) = (0_u64, 0_u64);
    for _ in 0..20_000 {
        if rng.bool() {
            budget.record_request();
            requests += 1;
        }
        // All requests fail, so more retries are requested than allowed.
        for _ in 0..rng.u32(0..3) {
            retries += u64::from(budget.try_take());
        }
        let earned = requests * u64::from(percent) / 100;
        assert!(retries <= retry_budget::INITIAL_RETRIES + earned);
    }
}

#[test]
fn unused_retries_accumulate_only_up_to_the_maximum() {
    let budget = RetryBudget::new(100);
    (0..100_000).for_each(|_| budget.record_request());
    let retries = (0..100_000).filter(|_| budget.try_take()).count() as u64;
    assert_eq!(retries, retry_budget::MAX_RETRIES);
}

#[test]
fn circuit_opens_backs_off_and_closes() {
    let circuit = CircuitBreaker::new();
    let fail = |now_ms| circuit.record_failure(now_ms);
    (1..circuit_breaker::FAILURE_LIMIT).for_each(|_| fail(0));
    assert_eq!(circuit.state(0), CircuitState::Closed);
    fail(0);
    let until_ms = circuit_breaker::INITIAL_BACKOFF_MS;
    assert_eq!(circuit.state(0), CircuitState::Open { until_ms });
    assert!(!circuit.allows_requests(until_ms - 1));

    // Only one trial is allowed at a time; a failed trial doubles the backoff.
    assert!(circuit.allows_requests(until_ms));
    circuit.record_sent(until_ms);
    assert!(!circuit.allows_requests(until_ms));
    fail(until_ms);
    let until_ms = until_ms + 2 * circuit_breaker::INITIAL_BACKOFF_MS;
    assert_eq!(circuit.state(until_ms - 1), CircuitState::Open { until_ms });

    // A trial without a result blocks the next one until the timeout.
    circuit.record_sent(until_ms);
    let later_ms = until_ms + circuit_breaker::TRIAL_TIMEOUT_MS;
    assert!(circuit.allows_requests(later_ms));
    for _ in 0..circuit_breaker::SUCCESS_LIMIT {
        assert_eq!(circuit.state(later_ms), CircuitState::HalfOpen);
        circuit.record_sent(later_ms);
        circuit.record_success(later_ms);
    }
    assert_eq!(circuit.state(later_ms), CircuitState::Closed);
}

#[test]
fn backoff_is_bounded() {
    let circuit = CircuitBreaker::new();
    let mut now_ms = 0;
    for _ in 0..100 {
        circuit.record_failure(now_ms);
        if let CircuitState::Open { until_ms } = circuit.state(now_ms) {
            assert!(until_ms - now_ms <= circuit_breaker::MAX_BACKOFF_MS);
            now_ms = until_ms;
        }
    }
}

#[test]
fn admission_follows_the_learned_speed() {
    let mut speed = LearnedSpeed::new(1_000.0, 100.0).slots(4);
    let shape = RequestShape::new(1_000, 100);
    let unloaded_ms = |speed: &LearnedSpeed| run_ms(&shape, speed, 0.0);
    assert_eq!(expected_wait_ms(1_000, &speed), 10_000);
    // 1 s of prefill and 100 steps of 20 ms on an empty server.
    assert_eq!(can_finish(unloaded_ms(&speed), 0, 3_000), Ok(()));
    let refused = can_finish(unloaded_ms(&speed), 1_000, 3_000).unwrap_err();
    assert_eq!(refused.needed_ms, 4_000);
    for _ in 0..100 {
        speed.learn_prompt(1_000, 2_000, 1_000.0);
        // 400 tokens per second: 100 steps of a full batch of 4.
        for _ in 0..100 {
            speed.learn_step(1_000, 4, 4, 10.0);
        }
    }
    assert!((speed.prompt_tokens_per_s(1_000) - 2_000.0).abs() < 1.0);
    assert_eq!(can_finish(unloaded_ms(&speed), 1_900, 3_000), Ok(()));
    // Five prompt tokens per output token, at 2,000 and 400 tokens per second.
    let wait_ms = expected_wait_ms(6_000, &speed);
    assert!((4_990..=5_010).contains(&wait_ms), "{wait_ms}");
}

/// Load of a server, and the minimum speed to be learned from this load.
struct LearnedSpeedCase {
    batch: u32,
    held: u32,
    step_ms: f64,
    prompt_tokens: u32,
    prompt_ms: f64,
    /// The configured estimates are 100,000 prompt tokens and 2,000 output
    /// tokens per second.
    min_output_per_s: f64,
    min_long_prompt_per_s: f64,
}

/// Consecutive single requests must not lower the learned speed: a step of
/// 3 ms with one of 32 slots in use, or 3 ms for a prompt of 4 tokens, says
/// little about the speed under load.
#[rstest]
#[case::lone_steps(LearnedSpeedCase {
    batch: 1,
    held: 1,
    step_ms: 3.0,
    prompt_tokens: 4,
    prompt_ms: 3.0,
    min_output_per_s: 4_000.0,
    min_long_prompt_per_s: 100_000.0,
})]
#[case::full_steps(LearnedSpeedCase {
    batch: 32,
    held: 32,
    step_ms: 16.0,
    prompt_tokens: 200,
    prompt_ms: 10.0,
    min_output_per_s: 1_999.0,
    min_long_prompt_per_s: 100_000.0,
})]
fn small_batches_and_short_prompts_do_not_lower_the_learned_speed(
    #[case] case: LearnedSpeedCase,
) {
    let mut speed = LearnedSpeed::new(100_000.0, 2_000.0).slots(32);
    for _ in 0..200 {
        speed.learn_step(0, case.batch, case.held, case.step_ms);
        let tokens = case.prompt_tokens;
        speed.learn_prompt(tokens, tokens.into(), case.prompt_ms);
    }
    let output_per_s = speed.output_tokens_per_s(0);
    assert!(output_per_s >= case.min_output_per_s, "{output_per_s}");
    let long_per_s = speed.prompt_tokens_per_s(3_000);
    assert!(long_per_s >= case.min_long_prompt_per_s, "{long_per_s}");
}

/// Half of the requests that a stage of a two-stage chain holds are in the
/// other stage at any time, so a full stage runs half batches.
#[test]
fn stage_of_a_chain_does_not_learn_a_higher_speed_than_its_own() {
    let mut speed = LearnedSpeed::new(100_000.0, 2_000.0).slots(32);
    for _ in 0..200 {
        speed.learn_step(0, 16, 32, 8.0);
    }
    let output_per_s = speed.output_tokens_per_s(0);
    assert!((output_per_s - 2_000.0).abs() < 1.0, "{output_per_s}");
}

#[test]
fn retry_times_of_refused_callers_are_spread() {
    let speed = LearnedSpeed::new(1_000.0, 100.0);
    let mut rng = fastrand::Rng::with_seed(2);
    let mut times_ms: Vec<u64> =
        (0..200).map(|_| retry_after_ms(2_000, &speed, &mut rng)).collect();
    times_ms.sort_unstable();
    assert!(times_ms[0] >= 10_000 && times_ms[199] <= 20_000);
    times_ms.dedup();
    assert!(times_ms.len() > 150);
}

struct ThroughputCase {
    layer_count: u32,
    /// First layer, end layer, output tokens per second through all layers.
    servers: &'static [(u32, u32, u32)],
    expected_tokens_per_s: f64,
}

#[rstest]
#[case::plain(ThroughputCase {
    layer_count: 0,
    servers: &[(0, 0, 100), (0, 0, 50)],
    expected_tokens_per_s: 150.0,
})]
#[case::two_halves(ThroughputCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (4, 8, 100)],
    expected_tokens_per_s: 200.0,
})]
#[case::bottleneck(ThroughputCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (0, 4, 100), (4, 8, 60)],
    expected_tokens_per_s: 120.0,
})]
#[case::no_chain(ThroughputCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (5, 8, 100)],
    expected_tokens_per_s: 0.0,
})]
// Path over 2: 0..2 has 400 and 2..8 only 133.3. Path over 6: 0..6 has 133.3
// and 6..8 has 400. Path over 2 and 6: 2..6 adds 200, for which 0..2 and 6..8
// have enough capacity left.
#[case::crossing_ranges(ThroughputCase {
    layer_count: 8,
    servers: &[
        (0, 2, 100), (0, 6, 100), (2, 6, 100), (2, 8, 100), (6, 8, 100),
    ],
    expected_tokens_per_s: 400.0 / 3.0 + 400.0 / 3.0 + 200.0,
})]
fn throughput_bound_equals_the_maximum_flow(#[case] case: ThroughputCase) {
    let specs = case.servers.iter().enumerate().map(|(at, server)| {
        let mut spec = spec(&format!("s{at}"), server.0, server.1);
        spec.output_tokens_per_s = server.2;
        spec
    });
    let fleet = fleet(case.layer_count, specs.collect());
    let mix = TokenMix { prompt_tokens: 0, output_tokens: 100 };
    let bound = throughput_bound(&fleet, None, &mix);
    let error = (bound - case.expected_tokens_per_s).abs();
    assert!(error < 1e-6, "{bound}");
}

#[test]
fn throughput_bound_excludes_absent_servers() {
    let fleet = fleet(0, numbered(&[(0, 0), (0, 0)]));
    let live: LiveState = serving(&fleet, 0);
    let mix = TokenMix { prompt_tokens: 800, output_tokens: 160 };
    // A request takes 0.1 s of prefill and 0.1 s of output on each server.
    let bound = |live| throughput_bound(&fleet, Some(live), &mix);
    assert!((bound(&live) - 9_600.0).abs() < 1e-6);
    let first = fleet.find("server-0").expect("there");
    live.set_presence(first, Presence::Absent);
    assert!((bound(&live) - 4_800.0).abs() < 1e-6);
}
