//! Which rows wait after the store has lost changes.

use chestnutreach_membership::restored_row::{
    HistoryStart, KnownServer, ServerRow, deferral_ms,
};
use chestnutreach_site::StoreVersion;
use rstest::rstest;

const HEARTBEAT_MS: u64 = 1_000;
const READ_MS: u64 = 50_000;
/// Time in which a running server writes its row again.
const REWRITE_MS: u64 = 1_900;
/// The same for a server that may have left: its row expires after that time.
const EXPIRY_MS: u64 = REWRITE_MS + 3 * HEARTBEAT_MS;

/// A known server, and its row in a later history. By default nothing differs
/// but the history.
struct Case {
    known_start: Option<u64>,
    row_start: Option<u64>,
    /// Heartbeats of the row; 40 are known.
    row_heartbeats: u64,
    is_known_draining: bool,
    is_row_draining: bool,
    is_gone: bool,
    /// Version of the row; the history was first read at 2.100.
    version: StoreVersion,
    since_read_ms: u64,
    expected: Option<u64>,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            known_start: Some(7),
            row_start: Some(7),
            row_heartbeats: 40,
            is_known_draining: false,
            is_row_draining: false,
            is_gone: false,
            version: StoreVersion::new(2, 90),
            since_read_ms: 0,
            expected: None,
        }
    }
}

#[rstest]
#[case::same(Case::default())]
#[case::newer_heartbeat(Case { row_heartbeats: 41, ..Case::default() })]
#[case::older_heartbeat(Case {
    row_heartbeats: 39, expected: Some(REWRITE_MS), ..Case::default()
})]
#[case::older_heartbeat_later(Case {
    row_heartbeats: 39, since_read_ms: 1_000, expected: Some(900),
    ..Case::default()
})]
#[case::older_heartbeat_too_late(Case {
    row_heartbeats: 39, since_read_ms: REWRITE_MS, ..Case::default()
})]
#[case::written_in_the_new_history(Case {
    row_heartbeats: 39, version: StoreVersion::new(2, 101),
    ..Case::default()
})]
#[case::of_the_known_history(Case {
    row_heartbeats: 39, version: StoreVersion::new(1, 90), ..Case::default()
})]
#[case::gone(Case {
    is_gone: true, row_heartbeats: 44, expected: Some(EXPIRY_MS),
    ..Case::default()
})]
#[case::gone_and_listed_beyond_expiry(Case {
    is_gone: true, since_read_ms: EXPIRY_MS, ..Case::default()
})]
#[case::gone_and_written_again(Case {
    is_gone: true, version: StoreVersion::new(2, 101), ..Case::default()
})]
#[case::was_draining(Case {
    is_known_draining: true, row_heartbeats: 44, expected: Some(EXPIRY_MS),
    ..Case::default()
})]
#[case::still_draining(Case {
    is_known_draining: true, is_row_draining: true, ..Case::default()
})]
#[case::begins_to_drain(Case { is_row_draining: true, ..Case::default() })]
#[case::earlier_start(Case {
    row_start: Some(6), row_heartbeats: 90, expected: Some(REWRITE_MS),
    ..Case::default()
})]
#[case::earlier_start_of_a_server_that_is_gone(Case {
    row_start: Some(6), is_gone: true, expected: Some(EXPIRY_MS),
    ..Case::default()
})]
#[case::later_start(Case {
    row_start: Some(8), row_heartbeats: 1, is_gone: true, ..Case::default()
})]
#[case::without_starts(Case {
    known_start: None, row_start: None, row_heartbeats: 39,
    expected: Some(REWRITE_MS), ..Case::default()
})]
fn a_row_that_is_older_than_what_is_known_waits(#[case] case: Case) {
    let known = KnownServer {
        row: ServerRow {
            started_unix_ms: case.known_start,
            heartbeats: 40,
            is_draining: case.is_known_draining,
            version: StoreVersion::new(1, 130),
        },
        is_gone: case.is_gone,
    };
    let row = ServerRow {
        started_unix_ms: case.row_start,
        heartbeats: case.row_heartbeats,
        is_draining: case.is_row_draining,
        version: case.version,
    };
    let history =
        HistoryStart { version: StoreVersion::new(2, 100), read_ms: READ_MS };
    let now_ms = READ_MS + case.since_read_ms;
    let deferral = deferral_ms(&known, &row, &history, HEARTBEAT_MS, now_ms);
    assert_eq!(deferral, case.expected);
}
