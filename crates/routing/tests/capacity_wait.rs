//! Simulates waits for capacity on a virtual clock, at up to three times the
//! load that fits.

use std::collections::{BTreeMap, VecDeque};

use chestnutreach_routing::{
    CapacityRequest, CapacityWait, CapacityWaits, Priority, SearchTurns,
    TurnRequest,
    capacity_wait::{MAX_WAIT_MS, PEAK_MS},
};
use rstest::rstest;

const LIMIT_TOKENS: u64 = 10_000_000;
/// Tokens that fit at the same time.
const CAPACITY_TOKENS: u64 = 80_000;
/// Run time of a request: with the capacity above, 40 requests per second fit.
const RUN_MS: u64 = 2_000;
const MEAN_TOKENS: u64 = 1_000;
/// Longest wait of a request to start within its target.
const START_WITHIN_MS: u64 = 350;
const LENGTH_MS: u64 = 30_000;
/// Interval between checks for free capacity.
const CHECK_INTERVAL_MS: u64 = 15;

/// Which requests may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitPolicy {
    /// Those that [`CapacityWaits`] allows.
    ByTarget,
    /// All requests, for as long as clients stay.
    AllWait,
}

/// The load on the entry.
#[derive(Clone, Copy)]
struct Load {
    /// Load as a multiple of the capacity.
    load_factor: f64,
    /// Span of that load; before and after, the load is 0.8 of the capacity.
    from_ms: u64,
    until_ms: u64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Results {
    submitted: u64,
    in_time: u64,
    late: u64,
    /// Time for which each refused request waited.
    refused_after_ms: Vec<u64>,
    by_account: BTreeMap<usize, (u64, u64)>,
}

struct Waiter {
    key: u64,
    account: usize,
    tokens: u64,
    since_ms: u64,
    until_ms: u64,
    has_turn: bool,
}

struct Simulation {
    policy: WaitPolicy,
    turns: SearchTurns,
    waits: CapacityWaits,
    waiting: Vec<Waiter>,
    running: VecDeque<(u64, u64)>,
    results: Results,
}

impl Simulation {
    fn used(&self) -> u64 {
        self.running.iter().map(|run| run.1).sum()
    }

    fn has_capacity(&self, tokens: u64) -> bool {
        self.used() + tokens <= CAPACITY_TOKENS
    }

    fn run(
        &mut self,
        account: usize,
        tokens: u64,
        waited_ms: u64,
        now_ms: u64,
    ) {
        self.running.push_back((now_ms + RUN_MS, tokens));
        self.waits.record_start(&account.to_string(), tokens, now_ms);
        match waited_ms <= START_WITHIN_MS {
            true => {
                self.results.in_time += 1;
                self.results.by_account.entry(account).or_default().1 += 1;
            }
            false => self.results.late += 1,
        }
    }

    fn submit(&mut self, account: usize, tokens: u64, now_ms: u64) {
        self.results.submitted += 1;
        self.results.by_account.entry(account).or_default().0 += 1;
        self.waits.record_request(&account.to_string(), tokens, now_ms);
        if self.turns.is_idle() && self.has_capacity(tokens) {
            return self.run(account, tokens, 0, now_ms);
        }
        let name = account.to_string();
        let request = CapacityRequest {
            account: &name,
            tokens,
            tokens_before: self.turns.tokens_before(&name, tokens),
            start_within_ms: START_WITHIN_MS,
            contended_for_ms: self.turns.contended_for_ms(now_ms),
        };
        let wait = match self.policy {
            WaitPolicy::ByTarget => self.waits.decide(&request, now_ms),
            WaitPolicy::AllWait => CapacityWait::UpTo(MAX_WAIT_MS),
        };
        let CapacityWait::UpTo(wait_ms) = wait else {
            self.results.refused_after_ms.push(0);
            return;
        };
        let until_ms = now_ms + wait_ms;
        let in_time_ms = match self.policy {
            WaitPolicy::ByTarget => START_WITHIN_MS,
            WaitPolicy::AllWait => wait_ms,
        };
        let request = TurnRequest {
            account: &name,
            priority: Priority::Normal,
            tokens,
            start_by_ms: now_ms + in_time_ms,
            wait_until_ms: until_ms,
        };
        let key = self
            .turns
            .try_join(&request, now_ms)
            .expect("the queue has space");
        self.waiting.push(Waiter {
            key,
            account,
            tokens,
            since_ms: now_ms,
            until_ms,
            has_turn: false,
        });
    }

    fn check(&mut self, now_ms: u64) {
        while let Some((end_ms, tokens)) = self.running.front().copied()
            && end_ms <= now_ms
        {
            self.running.pop_front();
            self.waits.record_end(tokens);
        }
        for waiting in self.waiting.extract_if(.., |w| w.until_ms <= now_ms) {
            self.turns.leave(waiting.key);
            let held_ms = now_ms - waiting.since_ms;
            self.results.refused_after_ms.push(held_ms);
        }
        loop {
            let granted = self.turns.grant(now_ms);
            for waiting in &mut self.waiting {
                waiting.has_turn |= granted.contains(&waiting.key);
            }
            let fits = |w: &Waiter| w.has_turn && self.has_capacity(w.tokens);
            let Some(next) = self.waiting.iter().position(fits) else {
                return;
            };
            let next = self.waiting.swap_remove(next);
            self.turns.leave(next.key);
            let waited_ms = now_ms - next.since_ms;
            self.run(next.account, next.tokens, waited_ms, now_ms);
        }
    }
}

/// Ten accounts, of which the first submits as much as the others together.
fn simulate(policy: WaitPolicy, load: Load) -> Results {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let mut simulation = Simulation {
        policy,
        turns: SearchTurns::new(LIMIT_TOKENS),
        waits: CapacityWaits::new(),
        waiting: Vec::new(),
        running: VecDeque::new(),
        results: Results::default(),
    };
    let capacity_per_check = (CAPACITY_TOKENS * CHECK_INTERVAL_MS) as f64
        / (RUN_MS * MEAN_TOKENS) as f64;
    for now_ms in (0..LENGTH_MS).step_by(CHECK_INTERVAL_MS as usize) {
        let is_high = (load.from_ms..load.until_ms).contains(&now_ms);
        let load_factor = if is_high { load.load_factor } else { 0.8 };
        let mean = load_factor * capacity_per_check;
        let arrivals = mean as u64 + u64::from(rng.f64() < mean.fract());
        for _ in 0..arrivals {
            let account = rng.usize(..18).saturating_sub(8);
            let tokens = rng.u64(MEAN_TOKENS / 4..=MEAN_TOKENS * 7 / 4);
            simulation.submit(account, tokens, now_ms);
        }
        simulation.check(now_ms);
    }
    simulation.results
}

struct Case {
    load: Load,
    /// Minimum share of the capacity used by requests that start in time.
    min_in_time: f64,
    /// Minimum ratio to the requests that start in time if all may wait.
    min_gain: f64,
}

const fn constant_load(load_factor: f64, seed: u64) -> Load {
    Load { load_factor, from_ms: 0, until_ms: LENGTH_MS, seed }
}

#[rstest]
#[case(Case { load: constant_load(0.8, 1), min_in_time: 0.79, min_gain: 1.0 })]
#[case(Case { load: constant_load(1.3, 2), min_in_time: 0.85, min_gain: 1.5 })]
#[case(Case { load: constant_load(2.0, 3), min_in_time: 0.85, min_gain: 3.0 })]
#[case(Case { load: constant_load(2.0, 4), min_in_time: 0.85, min_gain: 3.0 })]
#[case(Case { load: constant_load(3.0, 5), min_in_time: 0.85, min_gain: 3.0 })]
fn overload_does_not_reduce_the_requests_that_start_in_time(
    #[case] case: Case,
) {
    let by_target = simulate(WaitPolicy::ByTarget, case.load);
    let all_wait = simulate(WaitPolicy::AllWait, case.load);
    let capacity =
        (LENGTH_MS * CAPACITY_TOKENS) as f64 / (RUN_MS * MEAN_TOKENS) as f64;
    let share = by_target.in_time as f64 / capacity;
    let gain = by_target.in_time as f64 / all_wait.in_time.max(1) as f64;
    let summary = format!(
        "{} submitted; in time {} of {capacity} that fit, {} if all wait",
        by_target.submitted, by_target.in_time, all_wait.in_time
    );
    assert!(share >= case.min_in_time, "{summary}");
    assert!(gain >= case.min_gain, "{summary}");
    // Most are refused at once; the others waited for capacity that was not
    // freed in time.
    let at_once =
        by_target.refused_after_ms.iter().filter(|ms| **ms == 0).count();
    let refused = by_target.refused_after_ms.len();
    assert!(at_once as f64 >= 0.75 * refused as f64, "{at_once} of {refused}");
}

#[test]
fn all_requests_wait_out_a_short_peak() {
    let load =
        Load { load_factor: 1.6, from_ms: 8_000, until_ms: 8_300, seed: 6 };
    let results = simulate(WaitPolicy::ByTarget, load);
    assert!(results.refused_after_ms.is_empty(), "{results:?}");
}

#[test]
fn accounts_that_submit_less_have_a_larger_share_served() {
    let results = simulate(WaitPolicy::ByTarget, constant_load(2.0, 7));
    let share =
        |(submitted, in_time): (u64, u64)| in_time as f64 / submitted as f64;
    let large = share(results.by_account[&0]);
    let small = results.by_account.iter().filter(|(at, _)| **at != 0);
    let small: Vec<f64> = small.map(|(_, tally)| share(*tally)).collect();
    let min_share = small.iter().copied().fold(1.0, f64::min);
    // The fair share of each account is a tenth of the capacity: 0.9 of the
    // load of a small account, and 0.1 of the load of the large one.
    assert!(min_share > 1.4 * large, "{min_share} {large}");
}

#[test]
fn retry_times_are_spread_over_the_turnover_of_running_requests() {
    let mut waits = CapacityWaits::new();
    let mut rng = fastrand::Rng::with_seed(8);
    // 20 requests of 1,000 tokens per second that run for 1.5 s.
    for number in 0..60 {
        waits.record_start("a", 1_000, number * 50);
        if number >= 30 {
            waits.record_end(1_000);
        }
    }
    let times: Vec<u64> =
        (0..1_000).map(|_| waits.retry_after_ms(3_000, &mut rng)).collect();
    assert!(times.iter().all(|ms| (1_400..=3_200).contains(ms)), "{times:?}");
    let tenths = times.iter().fold([0; 10], |mut tenths, ms| {
        tenths[(ms.saturating_sub(1_430) / 150).min(9) as usize] += 1;
        tenths
    });
    assert!(tenths.iter().all(|count| *count > 50), "{tenths:?}");
}

#[test]
fn without_recent_starts_no_wait_is_expected() {
    let mut waits = CapacityWaits::new();
    let request = CapacityRequest {
        account: "a",
        tokens: 1_000,
        tokens_before: 0,
        start_within_ms: START_WITHIN_MS,
        contended_for_ms: PEAK_MS,
    };
    assert_eq!(waits.decide(&request, 5_000), CapacityWait::Refused(None));
    let request = CapacityRequest { contended_for_ms: PEAK_MS - 1, ..request };
    assert_eq!(waits.decide(&request, 5_000), CapacityWait::UpTo(MAX_WAIT_MS));
}
