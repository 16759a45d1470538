//! Simulates search turns on a virtual clock: shares, sizes and limits.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    Priority, SearchTurns, TurnRequest,
    search_turns::{HOLD_BACK_AFTER_MS, MAX_TURNS},
};
use proptest::prelude::*;
use rstest::rstest;

const LIMIT_TOKENS: u64 = 10_000_000;
/// Tokens that fit at the same time.
const CAPACITY_TOKENS: u64 = 40_000;
/// Run time of a request.
const RUN_MS: u64 = 1_000;
/// Longest wait of a request.
const MAX_WAIT_MS: u64 = 1_500;
const SMALL_TOKENS: u64 = 800;
const LARGE_TOKENS: u64 = 8_000;
const LENGTH_MS: u64 = 60_000;

/// How waiting requests get capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchOrder {
    /// In turns.
    Turns,
    /// All requests search every 15 ms, in random order.
    FirstToSearch,
}

#[derive(Clone, Copy)]
struct Waiter {
    account: usize,
    tokens: u64,
    until_ms: u64,
    key: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    submitted: u64,
    served: u64,
}

impl Counts {
    fn share(self) -> f64 {
        self.served as f64 / self.submitted.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Results {
    accounts: BTreeMap<usize, Counts>,
    sizes: BTreeMap<u64, Counts>,
    searches: u64,
}

struct Simulation {
    search_order: SearchOrder,
    turns: SearchTurns,
    waiting: Vec<Waiter>,
    granted: Vec<u64>,
    /// End and tokens of each running request.
    running: Vec<(u64, u64)>,
    results: Results,
}

impl Simulation {
    fn new(search_order: SearchOrder) -> Simulation {
        Simulation {
            search_order,
            turns: SearchTurns::new(LIMIT_TOKENS),
            waiting: Vec::new(),
            granted: Vec::new(),
            running: Vec::new(),
            results: Results::default(),
        }
    }

    fn join(&mut self, account: usize, tokens: u64, now_ms: u64) {
        let until_ms = now_ms + MAX_WAIT_MS;
        let request = TurnRequest {
            account: &account.to_string(),
            priority: Priority::Normal,
            tokens,
            start_by_ms: until_ms,
            wait_until_ms: until_ms,
        };
        let key = self.turns.try_join(&request, now_ms).unwrap();
        self.waiting.push(Waiter { account, tokens, until_ms, key });
        self.results.accounts.entry(account).or_default().submitted += 1;
        self.results.sizes.entry(tokens).or_default().submitted += 1;
    }

    fn check(&mut self, now_ms: u64, rng: &mut fastrand::Rng) {
        self.running.retain(|run| run.0 > now_ms);
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|waiter| waiter.until_ms <= now_ms)
            .map(|waiter| waiter.key)
            .collect();
        late.into_iter().for_each(|key| self.end(key));
        let mut order: Vec<Waiter> = self.waiting.clone();
        rng.shuffle(&mut order);
        loop {
            self.granted.extend(self.turns.grant(now_ms));
            let next = order.iter().position(|waiter| {
                self.search_order == SearchOrder::FirstToSearch
                    || self.granted.contains(&waiter.key)
            });
            let Some(next) = next else { return };
            let waiter = order.swap_remove(next);
            self.results.searches += 1;
            let used: u64 = self.running.iter().map(|run| run.1).sum();
            if used + waiter.tokens <= CAPACITY_TOKENS {
                self.running.push((now_ms + RUN_MS, waiter.tokens));
                let results = &mut self.results;
                results.accounts.get_mut(&waiter.account).unwrap().served += 1;
                results.sizes.get_mut(&waiter.tokens).unwrap().served += 1;
                self.end(waiter.key);
            }
        }
    }

    fn end(&mut self, key: u64) {
        self.turns.leave(key);
        self.waiting.retain(|waiter| waiter.key != key);
        self.granted.retain(|granted| *granted != key);
    }
}

/// The load of all accounts.
#[derive(Clone, Copy)]
struct Load {
    /// Requests every 15 ms.
    per_check: f64,
    large_share: f64,
}

/// Nearly half more than the capacity, over half of it in large requests.
const MIXED_SIZES: Load = Load { per_check: 0.55, large_share: 0.1 };
/// Twice the capacity, in small requests.
const SMALL_SIZES: Load = Load { per_check: 1.5, large_share: 0.0 };

/// Ten accounts, of which the first submits ten times as much as each other.
fn simulate(search_order: SearchOrder, load: Load) -> Results {
    let mut simulation = Simulation::new(search_order);
    let mut rng = fastrand::Rng::with_seed(5);
    for now_ms in (0..LENGTH_MS).step_by(15) {
        let whole = load.per_check.floor();
        let is_more = rng.f64() < load.per_check - whole;
        let arrivals = whole as u64 + u64::from(is_more);
        for _ in 0..arrivals {
            let account = rng.usize(..19).saturating_sub(9);
            let is_large = rng.f64() < load.large_share;
            let tokens = if is_large { LARGE_TOKENS } else { SMALL_TOKENS };
            simulation.join(account, tokens, now_ms);
        }
        simulation.check(now_ms, &mut rng);
    }
    simulation.results
}

#[test]
fn large_requests_are_served_nearly_as_often_as_small_ones() {
    let turns = simulate(SearchOrder::Turns, MIXED_SIZES);
    let first = simulate(SearchOrder::FirstToSearch, MIXED_SIZES);
    let ratio = |results: &Results| {
        let share = |tokens| results.sizes[&tokens].share();
        share(LARGE_TOKENS) / share(SMALL_TOKENS)
    };
    let (turns, first) = (ratio(&turns), ratio(&first));
    assert!(turns > 0.75 && turns > 1.8 * first, "{turns} {first}");
}

#[test]
fn a_flood_of_one_account_leaves_the_others_their_share() {
    let others = |results: &Results| {
        let others = results.accounts.iter().filter(|(at, _)| **at != 0);
        let (served, submitted) =
            others.fold((0, 0), |(served, submitted), (_, t)| {
                (served + t.served, submitted + t.submitted)
            });
        served as f64 / submitted as f64
    };
    let turns = simulate(SearchOrder::Turns, SMALL_SIZES);
    let first = simulate(SearchOrder::FirstToSearch, SMALL_SIZES);
    assert!(others(&turns) > 0.9, "{turns:?}");
    assert!(others(&first) < 0.8, "{first:?}");
    assert!(
        turns.searches * 5 < first.searches,
        "{} {}",
        turns.searches,
        first.searches
    );
}

#[test]
fn an_old_turn_holds_back_more_turns() {
    let mut turns = SearchTurns::new(LIMIT_TOKENS);
    let join = |turns: &mut SearchTurns, at_ms| {
        let request = TurnRequest {
            account: "a",
            priority: Priority::Normal,
            tokens: 10,
            start_by_ms: 10_000,
            wait_until_ms: 10_000,
        };
        turns.try_join(&request, at_ms).unwrap()
    };
    let large = join(&mut turns, 0);
    assert_eq!(turns.grant(0), [large]);
    let small = join(&mut turns, 10);
    assert_eq!(turns.grant(10), [small]);
    turns.leave(small);
    let later = join(&mut turns, HOLD_BACK_AFTER_MS);
    assert!(turns.grant(HOLD_BACK_AFTER_MS).is_empty());
    turns.leave(large);
    assert_eq!(turns.grant(HOLD_BACK_AFTER_MS), [later]);
}

struct Order {
    name: &'static str,
    /// Account and priority of each request, in the order in which they join.
    joined: &'static [(&'static str, Priority)],
    /// Index of the request that gets the first turn after the initial ones.
    next: usize,
}

const FILL: (&str, Priority) = ("fill", Priority::Normal);

#[rstest]
#[case::oldest(Order {
    name: "the oldest request of an account",
    joined: &[FILL, FILL, FILL, FILL, FILL, FILL],
    next: 4,
})]
#[case::other_account(Order {
    name: "a request of an account that had fewer turns",
    joined: &[FILL, FILL, FILL, FILL, FILL, ("other", Priority::Normal)],
    next: 5,
})]
#[case::high_priority(Order {
    name: "the request of higher priority of an account",
    joined: &[FILL, FILL, FILL, FILL, FILL, ("fill", Priority::High)],
    next: 5,
})]
fn turns_are_granted_by_account_priority_and_age(#[case] order: Order) {
    let mut turns = SearchTurns::new(LIMIT_TOKENS);
    let (first, later) = order.joined.split_at(MAX_TURNS);
    let mut keys = Vec::new();
    for (part, now_ms) in [(first, 0), (later, 1)] {
        for (account, priority) in part {
            let request = TurnRequest {
                account,
                priority: *priority,
                tokens: 100,
                start_by_ms: 10_000,
                wait_until_ms: 10_000,
            };
            keys.push(turns.try_join(&request, now_ms).unwrap());
        }
        let granted = turns.grant(now_ms);
        assert_eq!(granted.len(), if now_ms == 0 { MAX_TURNS } else { 0 });
    }
    turns.leave(keys[0]);
    assert_eq!(turns.grant(2), [keys[order.next]], "{}", order.name);
}

proptest! {
    /// No key is granted twice or after its end, and the queue is idle exactly
    /// when no request waits or holds a turn.
    #[test]
    fn each_turn_is_granted_once_and_not_after_its_end(
        steps in prop::collection::vec((0_u8..4, 0_usize..3, 1_u64..50), 1..200)
    ) {
        let mut turns = SearchTurns::new(LIMIT_TOKENS);
        let mut open: Vec<u64> = Vec::new();
        let mut held: Vec<u64> = Vec::new();
        let mut ended: Vec<u64> = Vec::new();
        let mut now_ms = 0;
        for (step, account, pause_ms) in steps {
            now_ms += pause_ms;
            match step {
                0 | 1 => {
                    let request = TurnRequest {
                        account: &account.to_string(),
                        priority: Priority::Normal,
                        tokens: 100,
                        start_by_ms: now_ms + 100_000,
                        wait_until_ms: now_ms + 100_000,
                    };
                    open.push(turns.try_join(&request, now_ms).unwrap());
                }
                2 if !held.is_empty() => {
                    let key = held.remove(0);
                    turns.leave(key);
                    ended.push(key);
                }
                3 if !open.is_empty() => {
                    let key = open.remove(open.len() / 2);
                    turns.leave(key);
                    ended.push(key);
                    held.retain(|held| *held != key);
                }
                _ => {}
            }
            for key in turns.grant(now_ms) {
                prop_assert!(open.contains(&key));
                prop_assert!(!ended.contains(&key));
                open.retain(|open| *open != key);
                held.push(key);
            }
            prop_assert!(held.len() <= MAX_TURNS);
            let is_idle = open.is_empty() && held.is_empty();
            prop_assert_eq!(turns.is_idle(), is_idle);
        }
    }
}
