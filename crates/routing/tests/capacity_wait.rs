//! Waiting for room on a virtual clock, at loads up to three times what fits.

use std::collections::{BTreeMap, VecDeque};

use chestnutreach_routing::{
    CapacityRequest, CapacityWait, CapacityWaits, Priority, SearchTurns,
    TurnRequest,
    capacity_wait::{MAX_WAIT_MS, PEAK_MS},
};
use rstest::rstest;

const LIMIT_TOKENS: u64 = 10_000_000;
/// Tokens that fit at the same time.
const ROOM_TOKENS: u64 = 80_000;
/// How long a request runs: with the above, 40 requests a second fit.
const RUNS_MS: u64 = 2_000;
const MEAN_TOKENS: u64 = 1_000;
/// How long a request may wait to begin in time.
const IN_TIME_MS: u64 = 350;
const LENGTH_MS: u64 = 30_000;
/// Time between looks for room.
const LOOK_MS: u64 = 15;

/// Who may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// As decided by [`CapacityWaits`].
    InTime,
    /// All, for as long as clients stay.
    All,
}

/// What is asked for.
#[derive(Clone, Copy)]
struct Load {
    /// Multiple of what fits.
    times: f64,
    /// From when until when; what fits nearly before and after.
    from_ms: u64,
    until_ms: u64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Figures {
    asked: u64,
    in_time: u64,
    late: u64,
    /// How long each was held that was refused.
    refused_after_ms: Vec<u64>,
    by_account: BTreeMap<usize, (u64, u64)>,
}

struct Waiting {
    key: u64,
    account: usize,
    tokens: u64,
    since_ms: u64,
    until_ms: u64,
    has_turn: bool,
}

struct World {
    way: Way,
    turns: SearchTurns,
    waits: CapacityWaits,
    waiting: Vec<Waiting>,
    running: VecDeque<(u64, u64)>,
    figures: Figures,
}

impl World {
    fn used(&self) -> u64 {
        self.running.iter().map(|run| run.1).sum()
    }

    fn has_room(&self, tokens: u64) -> bool {
        self.used() + tokens <= ROOM_TOKENS
    }

    fn run(
        &mut self,
        account: usize,
        tokens: u64,
        waited_ms: u64,
        now_ms: u64,
    ) {
        self.running.push_back((now_ms + RUNS_MS, tokens));
        self.waits.record_start(&account.to_string(), tokens, now_ms);
        match waited_ms <= IN_TIME_MS {
            true => {
                self.figures.in_time += 1;
                self.figures.by_account.entry(account).or_default().1 += 1;
            }
            false => self.figures.late += 1,
        }
    }

    fn ask(&mut self, account: usize, tokens: u64, now_ms: u64) {
        self.figures.asked += 1;
        self.figures.by_account.entry(account).or_default().0 += 1;
        self.waits.record_request(&account.to_string(), tokens, now_ms);
        if self.turns.is_idle() && self.has_room(tokens) {
            return self.run(account, tokens, 0, now_ms);
        }
        let name = account.to_string();
        let need = CapacityRequest {
            account: &name,
            tokens,
            tokens_before: self.turns.tokens_before(&name, tokens),
            start_within_ms: IN_TIME_MS,
            contended_for_ms: self.turns.contended_for_ms(now_ms),
        };
        let wait = match self.way {
            Way::InTime => self.waits.decide(&need, now_ms),
            Way::All => CapacityWait::UpTo(MAX_WAIT_MS),
        };
        let CapacityWait::UpTo(wait_ms) = wait else {
            self.figures.refused_after_ms.push(0);
            return;
        };
        let until_ms = now_ms + wait_ms;
        let in_time_ms = match self.way {
            Way::InTime => IN_TIME_MS,
            Way::All => wait_ms,
        };
        let need = TurnRequest {
            account: &name,
            priority: Priority::Normal,
            tokens,
            start_by_ms: now_ms + in_time_ms,
            wait_until_ms: until_ms,
        };
        let key = self.turns.try_join(&need, now_ms).expect("there is room");
        self.waiting.push(Waiting {
            key,
            account,
            tokens,
            since_ms: now_ms,
            until_ms,
            has_turn: false,
        });
    }

    fn look(&mut self, now_ms: u64) {
        while let Some((end_ms, tokens)) = self.running.front().copied()
            && end_ms <= now_ms
        {
            self.running.pop_front();
            self.waits.record_end(tokens);
        }
        for waiting in self.waiting.extract_if(.., |w| w.until_ms <= now_ms) {
            self.turns.leave(waiting.key);
            let held_ms = now_ms - waiting.since_ms;
            self.figures.refused_after_ms.push(held_ms);
        }
        loop {
            let granted = self.turns.grant(now_ms);
            for waiting in &mut self.waiting {
                waiting.has_turn |= granted.contains(&waiting.key);
            }
            let fits = |w: &Waiting| w.has_turn && self.has_room(w.tokens);
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

/// Ten accounts; the first asks for as much as the others together.
fn play(way: Way, load: Load) -> Figures {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let mut world = World {
        way,
        turns: SearchTurns::new(LIMIT_TOKENS),
        waits: CapacityWaits::new(),
        waiting: Vec::new(),
        running: VecDeque::new(),
        figures: Figures::default(),
    };
    let fits_each_look =
        (ROOM_TOKENS * LOOK_MS) as f64 / (RUNS_MS * MEAN_TOKENS) as f64;
    for now_ms in (0..LENGTH_MS).step_by(LOOK_MS as usize) {
        let is_high = (load.from_ms..load.until_ms).contains(&now_ms);
        let times = if is_high { load.times } else { 0.8 };
        let mean = times * fits_each_look;
        let arrivals = mean as u64 + u64::from(rng.f64() < mean.fract());
        for _ in 0..arrivals {
            let account = rng.usize(..18).saturating_sub(8);
            let tokens = rng.u64(MEAN_TOKENS / 4..=MEAN_TOKENS * 7 / 4);
            world.ask(account, tokens, now_ms);
        }
        world.look(now_ms);
    }
    world.figures
}

struct Case {
    load: Load,
    /// Least share of what fits that begins in time.
    least_in_time: f64,
    /// Least multiple of what begins in time where all wait.
    least_gain: f64,
}

const fn lasting(times: f64, seed: u64) -> Load {
    Load { times, from_ms: 0, until_ms: LENGTH_MS, seed }
}

#[rstest]
#[case(Case { load: lasting(0.8, 1), least_in_time: 0.79, least_gain: 1.0 })]
#[case(Case { load: lasting(1.3, 2), least_in_time: 0.85, least_gain: 1.5 })]
#[case(Case { load: lasting(2.0, 3), least_in_time: 0.85, least_gain: 3.0 })]
#[case(Case { load: lasting(2.0, 4), least_in_time: 0.85, least_gain: 3.0 })]
#[case(Case { load: lasting(3.0, 5), least_in_time: 0.85, least_gain: 3.0 })]
fn as_much_begins_in_time_whatever_is_asked_for(#[case] case: Case) {
    let in_time = play(Way::InTime, case.load);
    let all = play(Way::All, case.load);
    let fits =
        (LENGTH_MS * ROOM_TOKENS) as f64 / (RUNS_MS * MEAN_TOKENS) as f64;
    let share = in_time.in_time as f64 / fits;
    let gain = in_time.in_time as f64 / all.in_time.max(1) as f64;
    let text = format!(
        "{} asked; in time {} of {fits} that fit, {} where all wait",
        in_time.asked, in_time.in_time, all.in_time
    );
    assert!(share >= case.least_in_time, "{text}");
    assert!(gain >= case.least_gain, "{text}");
    // Most are refused at once; the others waited for room that did not come
    // in time.
    let at_once =
        in_time.refused_after_ms.iter().filter(|ms| **ms == 0).count();
    let refused = in_time.refused_after_ms.len();
    assert!(at_once as f64 >= 0.75 * refused as f64, "{at_once} of {refused}");
}

#[test]
fn a_short_peak_is_waited_out() {
    let load = Load { times: 1.6, from_ms: 8_000, until_ms: 8_300, seed: 6 };
    let figures = play(Way::InTime, load);
    assert!(figures.refused_after_ms.is_empty(), "{figures:?}");
}

#[test]
fn accounts_that_ask_for_less_are_served_more_of_it() {
    let figures = play(Way::InTime, lasting(2.0, 7));
    let share = |(asked, in_time): (u64, u64)| in_time as f64 / asked as f64;
    let large = share(figures.by_account[&0]);
    let small = figures.by_account.iter().filter(|(at, _)| **at != 0);
    let small: Vec<f64> = small.map(|(_, tally)| share(*tally)).collect();
    let least = small.iter().copied().fold(1.0, f64::min);
    // The fair share of each is a tenth of what fits, 0.9 of what a small
    // one asks for and 0.1 of what the large one does.
    assert!(least > 1.4 * large, "{least} {large}");
}

#[test]
fn who_is_refused_comes_back_spread_over_what_runs() {
    let mut waits = CapacityWaits::new();
    let mut rng = fastrand::Rng::with_seed(8);
    // 20 requests of 1,000 tokens a second that run for 1.5 s.
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
fn nothing_that_begins_is_expected_to_come_where_nothing_runs() {
    let mut waits = CapacityWaits::new();
    let need = CapacityRequest {
        account: "a",
        tokens: 1_000,
        tokens_before: 0,
        start_within_ms: IN_TIME_MS,
        contended_for_ms: PEAK_MS,
    };
    assert_eq!(waits.decide(&need, 5_000), CapacityWait::Refused(None));
    let need = CapacityRequest { contended_for_ms: PEAK_MS - 1, ..need };
    assert_eq!(waits.decide(&need, 5_000), CapacityWait::UpTo(MAX_WAIT_MS));
}
