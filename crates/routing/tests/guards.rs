//! Retry budget, health, admission and the bound of the throughput.

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
fn retries_stay_within_their_percent(#[case] percent: u32) {
    let budget = RetryBudget::new(percent);
    let mut rng = fastrand::Rng::with_seed(u64::from(percent));
    let (mut requests, mut retries) = (0_u64, 0_u64);
    for _ in 0..20_000 {
        if rng.bool() {
            budget.record_request();
            requests += 1;
        }
        // Everything fails: ask for more than there is.
        for _ in 0..rng.u32(0..3) {
            retries += u64::from(budget.try_take());
        }
        let earned = requests * u64::from(percent) / 100;
        assert!(retries <= retry_budget::INITIAL_RETRIES + earned);
    }
}

#[test]
fn a_calm_hour_does_not_pay_for_a_storm() {
    let budget = RetryBudget::new(100);
    (0..100_000).for_each(|_| budget.record_request());
    let retries = (0..100_000).filter(|_| budget.try_take()).count() as u64;
    assert_eq!(retries, retry_budget::MAX_RETRIES);
}

#[test]
fn health_opens_backs_off_and_comes_back() {
    let health = CircuitBreaker::new();
    let fail = |now_ms| health.record_failure(now_ms);
    (1..circuit_breaker::FAILURE_LIMIT).for_each(|_| fail(0));
    assert_eq!(health.state(0), CircuitState::Closed);
    fail(0);
    let until_ms = circuit_breaker::FIRST_BACKOFF_MS;
    assert_eq!(health.state(0), CircuitState::Open { until_ms });
    assert!(!health.allows_requests(until_ms - 1));

    // One trial at a time; its failure doubles the wait.
    assert!(health.allows_requests(until_ms));
    health.record_sent(until_ms);
    assert!(!health.allows_requests(until_ms));
    fail(until_ms);
    let until_ms = until_ms + 2 * circuit_breaker::FIRST_BACKOFF_MS;
    assert_eq!(health.state(until_ms - 1), CircuitState::Open { until_ms });

    // A trial that never ends bars the next one only for a while.
    health.record_sent(until_ms);
    let later_ms = until_ms + circuit_breaker::TRIAL_LIMIT_MS;
    assert!(health.allows_requests(later_ms));
    for _ in 0..circuit_breaker::SUCCESS_LIMIT {
        assert_eq!(health.state(later_ms), CircuitState::HalfOpen);
        health.record_sent(later_ms);
        health.record_success(later_ms);
    }
    assert_eq!(health.state(later_ms), CircuitState::Closed);
}

#[test]
fn the_backoff_has_a_limit() {
    let health = CircuitBreaker::new();
    let mut now_ms = 0;
    for _ in 0..100 {
        health.record_failure(now_ms);
        if let CircuitState::Open { until_ms } = health.state(now_ms) {
            assert!(until_ms - now_ms <= circuit_breaker::MAX_BACKOFF_MS);
            now_ms = until_ms;
        }
    }
}

#[test]
fn admission_follows_the_learned_speed() {
    let mut speed = LearnedSpeed::new(1_000.0, 100.0).slots(4);
    let shape = RequestShape::new(1_000, 100);
    let alone_ms = |speed: &LearnedSpeed| run_ms(&shape, speed, 0.0);
    assert_eq!(expected_wait_ms(1_000, &speed), 10_000);
    // 1 s of prompt and 100 steps of 20 ms on an empty server.
    assert_eq!(can_finish(alone_ms(&speed), 0, 3_000), Ok(()));
    let late = can_finish(alone_ms(&speed), 1_000, 3_000).unwrap_err();
    assert_eq!(late.needed_ms, 4_000);
    for _ in 0..100 {
        speed.learn_prompt(1_000, 2_000, 1_000.0);
        // 400 tokens in a second: 100 steps of a full batch.
        for _ in 0..100 {
            speed.learn_step(1_000, 4, 4, 10.0);
        }
    }
    assert!((speed.prompt_tokens_per_s(1_000) - 2_000.0).abs() < 1.0);
    assert_eq!(can_finish(alone_ms(&speed), 1_900, 3_000), Ok(()));
    // Five prompt tokens to one of output, at 2,000 and 400 a second.
    let wait_ms = expected_wait_ms(6_000, &speed);
    assert!((4_990..=5_010).contains(&wait_ms), "{wait_ms}");
}

/// What a server is given to run, and what it must look like afterwards.
struct LearnedCase {
    batch: u32,
    held: u32,
    step_ms: f64,
    prompt_tokens: u32,
    prompt_ms: f64,
    /// Out of a first guess of 100,000 and 2,000 tokens a second.
    least_output_per_s: f64,
    least_long_prompt_per_s: f64,
}

/// Requests that come one after another must not make a server look slow: a
/// lone step of 3 ms on a server with 32 places, or a prompt of 4 words that
/// takes 3 ms, say little of what it can do.
#[rstest]
#[case::lone_steps(LearnedCase {
    batch: 1,
    held: 1,
    step_ms: 3.0,
    prompt_tokens: 4,
    prompt_ms: 3.0,
    least_output_per_s: 4_000.0,
    least_long_prompt_per_s: 100_000.0,
})]
#[case::full_steps(LearnedCase {
    batch: 32,
    held: 32,
    step_ms: 16.0,
    prompt_tokens: 200,
    prompt_ms: 10.0,
    least_output_per_s: 1_999.0,
    least_long_prompt_per_s: 100_000.0,
})]
fn few_requests_do_not_make_a_server_look_slow(#[case] case: LearnedCase) {
    let mut speed = LearnedSpeed::new(100_000.0, 2_000.0).slots(32);
    for _ in 0..200 {
        speed.learn_step(0, case.batch, case.held, case.step_ms);
        let tokens = case.prompt_tokens;
        speed.learn_prompt(tokens, tokens.into(), case.prompt_ms);
    }
    let output_per_s = speed.output_tokens_per_s(0);
    assert!(output_per_s >= case.least_output_per_s, "{output_per_s}");
    let long_per_s = speed.prompt_tokens_per_s(3_000);
    assert!(long_per_s >= case.least_long_prompt_per_s, "{long_per_s}");
}

/// A full stage of a chain of two has half of its tokens elsewhere.
#[test]
fn a_stage_of_a_chain_does_not_look_faster_than_it_is() {
    let mut speed = LearnedSpeed::new(100_000.0, 2_000.0).slots(32);
    for _ in 0..200 {
        speed.learn_step(0, 16, 32, 8.0);
    }
    let output_per_s = speed.output_tokens_per_s(0);
    assert!((output_per_s - 2_000.0).abs() < 1.0, "{output_per_s}");
}

#[test]
fn refused_callers_come_back_apart() {
    let speed = LearnedSpeed::new(1_000.0, 100.0);
    let mut rng = fastrand::Rng::with_seed(2);
    let mut times_ms: Vec<u64> =
        (0..200).map(|_| retry_after_ms(2_000, &speed, &mut rng)).collect();
    times_ms.sort_unstable();
    assert!(times_ms[0] >= 10_000 && times_ms[199] <= 20_000);
    times_ms.dedup();
    assert!(times_ms.len() > 150);
}

struct BoundCase {
    layer_count: u32,
    /// First layer, end layer, output tokens a second through all layers.
    servers: &'static [(u32, u32, u32)],
    expected_tokens_per_s: f64,
}

#[rstest]
#[case::plain(BoundCase {
    layer_count: 0,
    servers: &[(0, 0, 100), (0, 0, 50)],
    expected_tokens_per_s: 150.0,
})]
#[case::two_halves(BoundCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (4, 8, 100)],
    expected_tokens_per_s: 200.0,
})]
#[case::bottleneck(BoundCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (0, 4, 100), (4, 8, 60)],
    expected_tokens_per_s: 120.0,
})]
#[case::no_tiling(BoundCase {
    layer_count: 8,
    servers: &[(0, 4, 100), (5, 8, 100)],
    expected_tokens_per_s: 0.0,
})]
// Through 2: 0..2 gives 400, 2..8 only 133.3; through 6: 0..6 gives 133.3
// and 6..8 gives 400; 2..6 gives 200 more from what 0..2 has left, of which
// 6..8 can take 200.
#[case::crossed(BoundCase {
    layer_count: 8,
    servers: &[
        (0, 2, 100), (0, 6, 100), (2, 6, 100), (2, 8, 100), (6, 8, 100),
    ],
    expected_tokens_per_s: 400.0 / 3.0 + 400.0 / 3.0 + 200.0,
})]
fn the_bound_is_the_maximum_flow(#[case] case: BoundCase) {
    let specs = case.servers.iter().enumerate().map(|(at, server)| {
        let mut spec = spec(&format!("s{at}"), server.0, server.1);
        spec.output_tokens_per_s = server.2;
        spec
    });
    let fleet = fleet(case.layer_count, specs.collect());
    let mix = TokenMix { prompt_tokens: 0, output_tokens: 100 };
    let bound = throughput_bound(&fleet, None, &mix);
    let off = (bound - case.expected_tokens_per_s).abs();
    assert!(off < 1e-6, "{bound}");
}

#[test]
fn the_bound_follows_presence_and_learned_speed() {
    let fleet = fleet(0, numbered(&[(0, 0), (0, 0)]));
    let live: LiveState = serving(&fleet, 0);
    let mix = TokenMix { prompt_tokens: 800, output_tokens: 160 };
    // 0.1 s of prompt and 0.1 s of output on each.
    let bound = |live| throughput_bound(&fleet, Some(live), &mix);
    assert!((bound(&live) - 9_600.0).abs() < 1e-6);
    let first = fleet.find("server-0").expect("there");
    live.set_presence(first, Presence::Absent);
    assert!((bound(&live) - 4_800.0).abs() < 1e-6);
}
