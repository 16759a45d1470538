//! Simulation of entries that start at the same time: the clients of aborted
//! streams retry at all entries before any entry has reported its usage.

use chestnutreach_routing::UsageEstimate;
use rstest::rstest;

/// Capacity of the fast engine and of all slower ones, in streams.
const FAST_CAPACITY: u64 = 160;
const SLOW_CAPACITY: u64 = 350;
/// Mean number of streams that are retried at each entry.
const RETRIED_STREAMS: u64 = 12;

struct Case {
    entries: u64,
    /// Maximum number of streams that the fast engine refuses.
    max_refused: u64,
    /// Minimum number of streams that are sent to the fast engine.
    min_sent: u64,
}

/// Number of streams that are sent to the fast engine, if each entry prefers
/// this engine while its estimate shows free capacity.
fn streams_sent_to_fast_engine(entries: u64, estimates_others: bool) -> u64 {
    let mut rng = fastrand::Rng::with_seed(entries);
    let mut sent = 0;
    for _ in 0..entries {
        let streams = rng
            .u64(RETRIED_STREAMS / 2..=RETRIED_STREAMS + RETRIED_STREAMS / 2);
        let mut own = 0;
        for _ in 0..streams {
            let entries_without_report =
                if estimates_others { entries - 1 } else { 0 };
            let usage = UsageEstimate {
                own: own + 1,
                reported: 0,
                entries_without_report,
            };
            own += u64::from(usage.total() <= FAST_CAPACITY);
        }
        sent += own;
    }
    sent
}

#[rstest]
#[case::one(Case {
    entries: 1,
    max_refused: 0,
    min_sent: RETRIED_STREAMS / 2,
})]
#[case::five(Case {
    entries: 5,
    max_refused: 0,
    min_sent: 5 * RETRIED_STREAMS / 2,
})]
#[case::twenty_three(Case { entries: 23, max_refused: 0, min_sent: 120 })]
#[case::seventy(Case { entries: 70, max_refused: 0, min_sent: 120 })]
fn entries_send_no_more_streams_than_an_engine_can_hold(#[case] case: Case) {
    let sent = streams_sent_to_fast_engine(case.entries, true);
    assert!(sent.saturating_sub(FAST_CAPACITY) <= case.max_refused, "{sent}");
    assert!(sent >= case.min_sent, "{sent}");
}

/// The failure that the estimate prevents: if entries do not account for each
/// other, they send more streams to the fast engine than all engines together
/// can hold.
#[test]
fn without_the_estimate_all_streams_go_to_the_fast_engine() {
    let sent = streams_sent_to_fast_engine(70, false);
    assert!(sent > FAST_CAPACITY + SLOW_CAPACITY, "{sent}");
}

#[test]
fn report_replaces_the_estimate() {
    let before =
        UsageEstimate { own: 3, reported: 0, entries_without_report: 22 };
    let after =
        UsageEstimate { own: 3, reported: 20, entries_without_report: 0 };
    assert_eq!(before.total(), 69);
    assert_eq!(after.total(), 23);
}
