//! The bound on further arrivals that all entries share.

use chestnutreach_routing::{RetryLimit, RetryWindow, SentCounts};
use proptest::prelude::*;

const BOUNDS: RetryLimit =
    RetryLimit { ratio: 0.2, free_retries: 40.0, window_ms: 10_000 };
/// Time between two tellings of an entry.
const TOLD_EVERY_MS: u64 = 200;

/// Entries that tell each other what they sent, some time late.
struct Entries {
    windows: Vec<RetryWindow>,
    told: Vec<SentCounts>,
    told_ms: u64,
    /// Requests and further arrivals with their times.
    requests: Vec<u64>,
    further: Vec<u64>,
}

impl Entries {
    fn new(count: usize) -> Entries {
        Entries {
            windows: (0..count).map(|_| RetryWindow::new()).collect(),
            told: vec![SentCounts::default(); count],
            told_ms: 0,
            requests: Vec::new(),
            further: Vec::new(),
        }
    }

    fn tell(&mut self, now_ms: u64) {
        if now_ms < self.told_ms + TOLD_EVERY_MS {
            return;
        }
        self.told_ms = now_ms;
        for (window, told) in self.windows.iter_mut().zip(&mut self.told) {
            *told = window.counts(&BOUNDS, now_ms);
        }
    }

    fn others(&self, own: usize) -> Vec<SentCounts> {
        let others = self.told.iter().enumerate().filter(|t| t.0 != own);
        others.map(|(_, told)| *told).collect()
    }

    fn request(&mut self, entry: usize, now_ms: u64) {
        self.windows[entry].record_request(&BOUNDS, now_ms);
        self.requests.push(now_ms);
    }

    fn further(&mut self, entry: usize, now_ms: u64) -> bool {
        let others = self.others(entry);
        let count = self.windows.len();
        let window = &mut self.windows[entry];
        let is_allowed = window.try_take(&BOUNDS, count, &others, now_ms);
        if is_allowed {
            self.further.push(now_ms);
        }
        is_allowed
    }

    /// The most by which any window is over its bound.
    fn worst_excess(&self) -> f64 {
        let within = |times: &[u64], end: u64| {
            let is_within =
                |t: &&u64| **t + BOUNDS.window_ms > end && **t <= end;
            times.iter().filter(is_within).count() as f64
        };
        let excess = |end: &u64| {
            let requests = within(&self.requests, *end);
            let bound = BOUNDS.free_retries + BOUNDS.ratio * requests;
            within(&self.further, *end) - bound
        };
        self.further.iter().map(excess).fold(f64::MIN, f64::max)
    }
}

#[test]
fn one_entry_may_use_what_others_leave() {
    let mut entries = Entries::new(5);
    let mut allowed = 0;
    for now_ms in (0..6_000).step_by(20) {
        entries.tell(now_ms);
        allowed += u32::from(entries.further(0, now_ms));
    }
    let own_part = 0.4 * BOUNDS.free_retries / 5.0;
    assert!(f64::from(allowed) > 2.0 * own_part, "{allowed}");
    assert!(entries.worst_excess() <= 0.0);
}

#[test]
fn without_word_of_the_others_only_the_own_part_is_used() {
    let mut window = RetryWindow::new();
    let taken = (0..200)
        .filter(|at| window.try_take(&BOUNDS, 5, &[], at * 10))
        .count();
    assert_eq!(taken, (0.4 * BOUNDS.free_retries / 5.0) as usize);
}

#[test]
fn what_was_sent_long_ago_no_longer_counts() {
    let mut window = RetryWindow::new();
    while window.try_take(&BOUNDS, 2, &[], 0) {}
    assert!(!window.try_take(&BOUNDS, 2, &[], 9_000));
    assert!(window.try_take(&BOUNDS, 2, &[], 21_000));
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Request(usize),
    Further(usize, usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..400).prop_map(Step::Wait),
        (0_usize..6).prop_map(Step::Request),
        (0_usize..6, 1_usize..30).prop_map(|(e, n)| Step::Further(e, n)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn the_sum_stays_under_the_bound(
        steps in prop::collection::vec(any_step(), 1..300),
    ) {
        let mut entries = Entries::new(6);
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Wait(ms) => now_ms += ms,
                Step::Request(entry) => entries.request(entry, now_ms),
                Step::Further(entry, count) => {
                    for _ in 0..count {
                        entries.further(entry, now_ms);
                    }
                }
            }
            entries.tell(now_ms);
        }
        prop_assert!(entries.worst_excess() <= 0.0);
    }
}

/// The check finds a window that gives each entry the whole slack.
#[test]
fn a_broken_variant_is_caught() {
    let mut entries = Entries::new(6);
    for entry in 0..6 {
        while entries.windows[entry].try_take(&BOUNDS, 1, &[], 0) {
            entries.further.push(0);
        }
    }
    assert!(entries.worst_excess() > 0.0);
}
