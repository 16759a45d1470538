//! Reports of other processes on their retries.

use std::net::SocketAddr;

use chestnutreach_membership::roster::{ListedEntry, Roster};
use chestnutreach_routing::{PeerReport, RetryReports, SentCounts};

const WITHIN_MS: u64 = 700;
const WINDOW_MS: u64 = 10_000;
const SENT: SentCounts = SentCounts { requests: 30, retries: 4 };

fn address(entry: u16) -> SocketAddr {
    ([10, 0, 0, 1], entry).into()
}

fn listed(entry: u16) -> ListedEntry {
    ListedEntry { address: address(entry), age_ms: 0 }
}

#[test]
fn there_are_reports_only_while_every_entry_was_heard() {
    let mut roster = Roster::new();
    roster.apply_list(&[listed(1), listed(2)], 0, 0);
    let mut reports = RetryReports::new();
    let counts = [("desk".to_owned(), SENT)];
    roster.record_heard(address(1), 1_000);
    reports.record(7, 1_000, counts, WINDOW_MS, 1_000);
    let of = |roster: &Roster, reports: &RetryReports, now_ms| {
        reports.of_service("desk", roster, WITHIN_MS, now_ms)
    };
    assert_eq!(of(&roster, &reports, 1_000), None);
    roster.record_heard(address(2), 1_200);
    let report = PeerReport { counts: SENT, age_ms: 500 };
    assert_eq!(of(&roster, &reports, 1_500), Some(vec![report]));
    assert_eq!(of(&roster, &reports, 1_800), None);
}
