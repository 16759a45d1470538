//! Simulation of a narrow interconnect between data centres.
//!
//! A data centre lacks layers, so that all requests of its entries need the
//! interconnect. Entries learn of each other's traffic with a delay and would
//! overload the interconnect without a quota of their own.

use std::collections::VecDeque;

use chestnutreach_routing::{
    InterconnectLimits, InterconnectQuota, interconnect::MAX_UTILISATION,
};

const ENTRIES: usize = 28;
const REPORT_INTERVAL_MS: u64 = 200;
/// Bandwidth of the interconnect: 14 requests per second.
const BYTES_PER_S: f64 = 14.0 * REQUEST_BYTES;
const REQUEST_BYTES: f64 = 15e6;
const DURATION_MS: u64 = 10_000;
/// Time for which a request waits for the interconnect.
const REQUEST_TIMEOUT_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Entries whose requests use the interconnect.
    active_entries: usize,
    /// Requests per second of each active entry.
    requests_per_s: u64,
    has_quota: bool,
    /// Bounds of the longest wait at the interconnect.
    wait_bounds_ms: (f64, f64),
    /// Minimum share of the bandwidth that is used.
    min_utilisation: f64,
}

const CASES: [Case; 4] = [
    Case {
        name: "reports without quota",
        active_entries: 7,
        requests_per_s: 5,
        has_quota: false,
        wait_bounds_ms: (1_000.0, f64::MAX),
        min_utilisation: 0.4,
    },
    Case {
        name: "quota",
        active_entries: 7,
        requests_per_s: 5,
        has_quota: true,
        wait_bounds_ms: (0.0, 700.0),
        min_utilisation: 0.4,
    },
    Case {
        name: "all entries active, reports without quota",
        active_entries: ENTRIES,
        requests_per_s: 5,
        has_quota: false,
        wait_bounds_ms: (2_500.0, f64::MAX),
        min_utilisation: 0.4,
    },
    Case {
        name: "all entries active, quota",
        active_entries: ENTRIES,
        requests_per_s: 5,
        has_quota: true,
        wait_bounds_ms: (0.0, 2_000.0),
        min_utilisation: 0.4,
    },
];

#[derive(Clone, Debug, Default)]
struct Entry {
    quota: InterconnectQuota,
    /// Time at which each waiting request expires.
    waiting: VecDeque<u64>,
    /// Time at which each request of the last second was sent.
    sent: VecDeque<u64>,
    has_sent: bool,
}

impl Entry {
    fn recent_bytes(&mut self, now_ms: u64) -> f64 {
        self.sent.retain(|at| at + 1_000 > now_ms);
        self.sent.len() as f64 * REQUEST_BYTES
    }
}

/// Returns the longest wait at the interconnect and its utilisation.
fn simulate(case: &Case) -> (f64, f64) {
    let mut limits = InterconnectLimits {
        bytes_per_s: BYTES_PER_S,
        entries: ENTRIES,
        active_entries: 1,
    };
    let mut entries = vec![Entry::default(); case.active_entries];
    let mut rng = fastrand::Rng::with_seed(11);
    let mut reported = 0.0;
    let (mut backlog_bytes, mut max_wait_ms, mut sent_bytes) =
        (0.0_f64, 0.0_f64, 0.0);
    for now_ms in 0..DURATION_MS {
        if now_ms % REPORT_INTERVAL_MS == 0 {
            reported =
                entries.iter_mut().map(|e| e.recent_bytes(now_ms)).sum();
            let is_active = |e: &&Entry| e.has_sent;
            limits.active_entries = entries.iter().filter(is_active).count();
        }
        backlog_bytes = (backlog_bytes - BYTES_PER_S / 1e3).max(0.0);
        for entry in &mut entries {
            if rng.u64(..1_000) < case.requests_per_s {
                entry.waiting.push_back(now_ms + REQUEST_TIMEOUT_MS);
            }
            entry.waiting.retain(|until_ms| *until_ms > now_ms);
            let own_bytes = entry.recent_bytes(now_ms);
            let is_full =
                reported.max(own_bytes) >= MAX_UTILISATION * BYTES_PER_S;
            let within_quota =
                !case.has_quota || entry.quota.has_remaining(&limits, now_ms);
            if is_full || !within_quota || entry.waiting.pop_front().is_none()
            {
                continue;
            }
            entry.quota.consume(&limits, REQUEST_BYTES, now_ms);
            entry.sent.push_back(now_ms);
            entry.has_sent = true;
            sent_bytes += REQUEST_BYTES;
            backlog_bytes += REQUEST_BYTES;
            max_wait_ms = max_wait_ms.max(backlog_bytes / BYTES_PER_S * 1e3);
        }
    }
    (max_wait_ms, sent_bytes / (BYTES_PER_S * DURATION_MS as f64 / 1e3))
}

#[test]
fn quota_bounds_the_wait_at_the_interconnect() {
    for case in CASES {
        let (max_wait_ms, utilisation) = simulate(&case);
        println!(
            "{}: {max_wait_ms:.0} ms, utilisation {utilisation:.2}",
            case.name
        );
        let (min_ms, max_ms) = case.wait_bounds_ms;
        assert!(
            min_ms <= max_wait_ms && max_wait_ms <= max_ms,
            "{}: {max_wait_ms} ms",
            case.name
        );
        assert!(
            utilisation >= case.min_utilisation,
            "{}: {utilisation}",
            case.name
        );
    }
}

#[test]
fn single_entry_may_use_the_whole_allowed_bandwidth() {
    let limits = InterconnectLimits {
        bytes_per_s: BYTES_PER_S,
        entries: 1,
        active_entries: 1,
    };
    let mut quota = InterconnectQuota::new();
    let mut sent = 0;
    for now_ms in 0..DURATION_MS {
        if quota.has_remaining(&limits, now_ms) {
            quota.consume(&limits, REQUEST_BYTES, now_ms);
            sent += 1;
        }
    }
    let utilisation = f64::from(sent) * REQUEST_BYTES
        / (BYTES_PER_S * DURATION_MS as f64 / 1e3);
    assert!((utilisation - MAX_UTILISATION).abs() < 0.05, "{utilisation}");
}
