//! A narrow join between data centres, on a virtual clock.
//!
//! A data centre lacks layers, so that all requests of its entries want to
//! cross. Entries hear of each other's use some time late.

use std::collections::VecDeque;

use chestnutreach_routing::{
    InterconnectLimits, InterconnectQuota, interconnect::MAX_UTILISATION,
};

const ENTRIES: usize = 28;
const TELL_EVERY_MS: u64 = 200;
/// A join that carries 14 requests a second.
const BYTES_PER_S: f64 = 14.0 * REQUEST_BYTES;
const REQUEST_BYTES: f64 = 15e6;
const LENGTH_MS: u64 = 10_000;
/// Time for which a request waits for a way.
const MAX_WAIT_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Entries whose requests cross, and how many a second of each.
    crossing: usize,
    per_s: u64,
    has_parts: bool,
    /// Bounds of the longest wait at the join, in milliseconds.
    longest_ms: (f64, f64),
    /// Least share of the join that is used.
    least_use: f64,
}

const CASES: [Case; 4] = [
    Case {
        name: "by what is told alone",
        crossing: 7,
        per_s: 5,
        has_parts: false,
        longest_ms: (1_000.0, f64::MAX),
        least_use: 0.4,
    },
    Case {
        name: "with own parts",
        crossing: 7,
        per_s: 5,
        has_parts: true,
        longest_ms: (0.0, 700.0),
        least_use: 0.4,
    },
    Case {
        name: "all cross, by what is told alone",
        crossing: ENTRIES,
        per_s: 5,
        has_parts: false,
        longest_ms: (2_500.0, f64::MAX),
        least_use: 0.4,
    },
    Case {
        name: "all cross, with own parts",
        crossing: ENTRIES,
        per_s: 5,
        has_parts: true,
        longest_ms: (0.0, 2_000.0),
        least_use: 0.4,
    },
];

#[derive(Clone, Debug, Default)]
struct Entry {
    part: InterconnectQuota,
    /// When each request that waits gives up.
    waiting: VecDeque<u64>,
    /// When each request of the last second was sent.
    sent: VecDeque<u64>,
    has_crossed: bool,
}

impl Entry {
    fn recent_bytes(&mut self, now_ms: u64) -> f64 {
        self.sent.retain(|at| at + 1_000 > now_ms);
        self.sent.len() as f64 * REQUEST_BYTES
    }
}

/// The longest wait at the join, and its use.
fn play(case: &Case) -> (f64, f64) {
    let mut bounds = InterconnectLimits {
        bytes_per_s: BYTES_PER_S,
        entries: ENTRIES,
        active_entries: 1,
    };
    let mut entries = vec![Entry::default(); case.crossing];
    let mut rng = fastrand::Rng::with_seed(11);
    let mut told = 0.0;
    let (mut backlog, mut longest_ms, mut all) = (0.0_f64, 0.0_f64, 0.0);
    for now_ms in 0..LENGTH_MS {
        if now_ms % TELL_EVERY_MS == 0 {
            told = entries.iter_mut().map(|e| e.recent_bytes(now_ms)).sum();
            let crosses = |e: &&Entry| e.has_crossed;
            bounds.active_entries = entries.iter().filter(crosses).count();
        }
        backlog = (backlog - BYTES_PER_S / 1e3).max(0.0);
        for entry in &mut entries {
            if rng.u64(..1_000) < case.per_s {
                entry.waiting.push_back(now_ms + MAX_WAIT_MS);
            }
            entry.waiting.retain(|until_ms| *until_ms > now_ms);
            let own = entry.recent_bytes(now_ms);
            let is_full = told.max(own) >= MAX_UTILISATION * BYTES_PER_S;
            let has_part =
                !case.has_parts || entry.part.has_remaining(&bounds, now_ms);
            if is_full || !has_part || entry.waiting.pop_front().is_none() {
                continue;
            }
            entry.part.consume(&bounds, REQUEST_BYTES, now_ms);
            entry.sent.push_back(now_ms);
            entry.has_crossed = true;
            all += REQUEST_BYTES;
            backlog += REQUEST_BYTES;
            longest_ms = longest_ms.max(backlog / BYTES_PER_S * 1e3);
        }
    }
    (longest_ms, all / (BYTES_PER_S * LENGTH_MS as f64 / 1e3))
}

#[test]
fn what_waits_at_the_join_is_bounded() {
    for case in CASES {
        let (longest_ms, used) = play(&case);
        println!("{}: {longest_ms:.0} ms, use {used:.2}", case.name);
        let (least, most) = case.longest_ms;
        assert!(
            least <= longest_ms && longest_ms <= most,
            "{}: {longest_ms} ms",
            case.name
        );
        assert!(used >= case.least_use, "{}: {used}", case.name);
    }
}

#[test]
fn one_entry_alone_may_use_all_that_is_allowed() {
    let bounds = InterconnectLimits {
        bytes_per_s: BYTES_PER_S,
        entries: 1,
        active_entries: 1,
    };
    let mut part = InterconnectQuota::new();
    let mut sent = 0;
    for now_ms in 0..LENGTH_MS {
        if part.has_remaining(&bounds, now_ms) {
            part.consume(&bounds, REQUEST_BYTES, now_ms);
            sent += 1;
        }
    }
    let used = f64::from(sent) * REQUEST_BYTES
        / (BYTES_PER_S * LENGTH_MS as f64 / 1e3);
    assert!((used - MAX_UTILISATION).abs() < 0.05, "{used}");
}
