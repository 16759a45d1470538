//! Rows of a server that state an earlier start than the process in use.

use chestnutreach_membership::earlier_starts::EarlierStarts;
use rstest::rstest;

const HEARTBEAT_MS: u64 = 1_200;

/// Rows as times of arrival and start; 0 for a row of the process in use.
struct Case {
    rows: Vec<(u64, u64)>,
    ignored_ms: u64,
}

#[rstest]
#[case::one_row(Case { rows: vec![(0, 5)], ignored_ms: 3_600 })]
#[case::at_each_heartbeat(Case {
    rows: vec![(0, 5), (1_200, 5), (2_400, 5)], ignored_ms: 1_200,
})]
#[case::after_three_heartbeats(Case {
    rows: vec![(0, 5), (3_600, 5)], ignored_ms: 0,
})]
#[case::one_of_the_process_in_use_between(Case {
    rows: vec![(0, 5), (1_200, 0), (3_600, 5)], ignored_ms: 3_600,
})]
#[case::of_two_earlier_processes(Case {
    rows: vec![(0, 5), (3_600, 6)], ignored_ms: 3_600,
})]
fn an_earlier_start_counts_once_no_other_row_follows(#[case] case: Case) {
    let mut starts = EarlierStarts::default();
    let mut ignored_ms = 0;
    for (now_ms, started_unix_ms) in case.rows {
        match started_unix_ms {
            0 => starts.clear(),
            started => {
                ignored_ms = starts.record(started, HEARTBEAT_MS, now_ms);
            }
        }
    }
    assert_eq!(ignored_ms, case.ignored_ms);
}
