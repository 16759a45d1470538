//! Turns on a virtual clock: shares, sizes, bounds.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    Priority, SearchTurns, TurnRequest,
    search_turns::{HOLD_BACK_AFTER_MS, MAX_TURNS},
};
use proptest::prelude::*;
use rstest::rstest;

const LIMIT_TOKENS: u64 = 10_000_000;
/// Tokens that fit at the same time.
const ROOM_TOKENS: u64 = 40_000;
/// How long a request runs.
const RUNS_MS: u64 = 1_000;
/// Longest wait.
const WAITS_MS: u64 = 1_500;
const SMALL_TOKENS: u64 = 800;
const LARGE_TOKENS: u64 = 8_000;
const LENGTH_MS: u64 = 60_000;

/// How requests that wait come to room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// In turns.
    Turns,
    /// Whoever looks first, all looking every 15 ms.
    FirstToLook,
}

#[derive(Clone, Copy)]
struct Asker {
    account: usize,
    tokens: u64,
    until_ms: u64,
    key: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u64,
    served: u64,
}

impl Tally {
    fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Figures {
    accounts: BTreeMap<usize, Tally>,
    sizes: BTreeMap<u64, Tally>,
    looks: u64,
}

struct World {
    way: Way,
    turns: SearchTurns,
    waiting: Vec<Asker>,
    granted: Vec<u64>,
    /// Ends and tokens of what runs.
    running: Vec<(u64, u64)>,
    figures: Figures,
}

impl World {
    fn new(way: Way) -> World {
        World {
            way,
            turns: SearchTurns::new(LIMIT_TOKENS),
            waiting: Vec::new(),
            granted: Vec::new(),
            running: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn join(&mut self, account: usize, tokens: u64, now_ms: u64) {
        let until_ms = now_ms + WAITS_MS;
        let need = TurnRequest {
            account: &account.to_string(),
            priority: Priority::Normal,
            tokens,
            start_by_ms: until_ms,
            wait_until_ms: until_ms,
        };
        let key = self.turns.try_join(&need, now_ms).unwrap();
        self.waiting.push(Asker { account, tokens, until_ms, key });
        self.figures.accounts.entry(account).or_default().asked += 1;
        self.figures.sizes.entry(tokens).or_default().asked += 1;
    }

    fn look(&mut self, now_ms: u64, rng: &mut fastrand::Rng) {
        self.running.retain(|run| run.0 > now_ms);
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|asker| asker.until_ms <= now_ms)
            .map(|asker| asker.key)
            .collect();
        late.into_iter().for_each(|key| self.end(key));
        let mut order: Vec<Asker> = self.waiting.clone();
        rng.shuffle(&mut order);
        loop {
            self.granted.extend(self.turns.grant(now_ms));
            let next = order.iter().position(|asker| {
                self.way == Way::FirstToLook
                    || self.granted.contains(&asker.key)
            });
            let Some(next) = next else { return };
            let asker = order.swap_remove(next);
            self.figures.looks += 1;
            let used: u64 = self.running.iter().map(|run| run.1).sum();
            if used + asker.tokens <= ROOM_TOKENS {
                self.running.push((now_ms + RUNS_MS, asker.tokens));
                let figures = &mut self.figures;
                figures.accounts.get_mut(&asker.account).unwrap().served += 1;
                figures.sizes.get_mut(&asker.tokens).unwrap().served += 1;
                self.end(asker.key);
            }
        }
    }

    fn end(&mut self, key: u64) {
        self.turns.leave(key);
        self.waiting.retain(|asker| asker.key != key);
        self.granted.retain(|granted| *granted != key);
    }
}

/// What is asked for.
#[derive(Clone, Copy)]
struct Demand {
    /// Requests every 15 ms.
    each_look: f64,
    large_share: f64,
}

/// Nearly half as much again as there is room, over half of it in large
/// requests.
const MIXED: Demand = Demand { each_look: 0.55, large_share: 0.1 };
/// Twice as much as there is room, in small requests.
const SMALL: Demand = Demand { each_look: 1.5, large_share: 0.0 };

/// Ten accounts; the first asks for ten times as much as each other.
fn play(way: Way, demand: Demand) -> Figures {
    let mut world = World::new(way);
    let mut rng = fastrand::Rng::with_seed(5);
    for now_ms in (0..LENGTH_MS).step_by(15) {
        let whole = demand.each_look.floor();
        let is_more = rng.f64() < demand.each_look - whole;
        let arrivals = whole as u64 + u64::from(is_more);
        for _ in 0..arrivals {
            let account = rng.usize(..19).saturating_sub(9);
            let is_large = rng.f64() < demand.large_share;
            let tokens = if is_large { LARGE_TOKENS } else { SMALL_TOKENS };
            world.join(account, tokens, now_ms);
        }
        world.look(now_ms, &mut rng);
    }
    world.figures
}

#[test]
fn large_requests_are_served_like_small_ones() {
    let turns = play(Way::Turns, MIXED);
    let first = play(Way::FirstToLook, MIXED);
    let ratio = |figures: &Figures| {
        let share = |tokens| figures.sizes[&tokens].share();
        share(LARGE_TOKENS) / share(SMALL_TOKENS)
    };
    let (turns, first) = (ratio(&turns), ratio(&first));
    assert!(turns > 0.75 && turns > 1.8 * first, "{turns} {first}");
}

#[test]
fn a_flood_of_one_account_leaves_the_others_their_share() {
    let others = |figures: &Figures| {
        let others = figures.accounts.iter().filter(|(at, _)| **at != 0);
        let (served, asked) = others
            .fold((0, 0), |(served, asked), (_, t)| {
                (served + t.served, asked + t.asked)
            });
        served as f64 / asked as f64
    };
    let turns = play(Way::Turns, SMALL);
    let first = play(Way::FirstToLook, SMALL);
    assert!(others(&turns) > 0.9, "{turns:?}");
    assert!(others(&first) < 0.8, "{first:?}");
    assert!(turns.looks * 5 < first.looks, "{} {}", turns.looks, first.looks);
}

#[test]
fn an_old_turn_holds_back_further_ones() {
    let mut turns = SearchTurns::new(LIMIT_TOKENS);
    let join = |turns: &mut SearchTurns, at_ms| {
        let need = TurnRequest {
            account: "a",
            priority: Priority::Normal,
            tokens: 10,
            start_by_ms: 10_000,
            wait_until_ms: 10_000,
        };
        turns.try_join(&need, at_ms).unwrap()
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
    /// Account and priority of each that joins, in order.
    joined: &'static [(&'static str, Priority)],
    /// Which of them get their turn first, beyond those that all get one.
    next: usize,
}

const FILL: (&str, Priority) = ("fill", Priority::Normal);

#[rstest]
#[case::oldest_first(Order {
    name: "of one account the oldest",
    joined: &[FILL, FILL, FILL, FILL, FILL, FILL],
    next: 4,
})]
#[case::other_account(Order {
    name: "of two accounts the one that had less",
    joined: &[FILL, FILL, FILL, FILL, FILL, ("other", Priority::Normal)],
    next: 5,
})]
#[case::urgent(Order {
    name: "of one account the urgent",
    joined: &[FILL, FILL, FILL, FILL, FILL, ("fill", Priority::High)],
    next: 5,
})]
fn turns_come_in_order(#[case] order: Order) {
    let mut turns = SearchTurns::new(LIMIT_TOKENS);
    let (first, later) = order.joined.split_at(MAX_TURNS);
    let mut keys = Vec::new();
    for (part, now_ms) in [(first, 0), (later, 1)] {
        for (account, priority) in part {
            let need = TurnRequest {
                account,
                priority: *priority,
                tokens: 100,
                start_by_ms: 10_000,
                wait_until_ms: 10_000,
            };
            keys.push(turns.try_join(&need, now_ms).unwrap());
        }
        let granted = turns.grant(now_ms);
        assert_eq!(granted.len(), if now_ms == 0 { MAX_TURNS } else { 0 });
    }
    turns.leave(keys[0]);
    assert_eq!(turns.grant(2), [keys[order.next]], "{}", order.name);
}

proptest! {
    /// Whoever stays until its time gets a turn unless older turns last, and
    /// no key is granted twice or after its end.
    #[test]
    fn turns_are_granted_once(
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
                    let need = TurnRequest {
                        account: &account.to_string(),
                        priority: Priority::Normal,
                        tokens: 100,
                        start_by_ms: now_ms + 100_000,
                        wait_until_ms: now_ms + 100_000,
                    };
                    open.push(turns.try_join(&need, now_ms).unwrap());
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
