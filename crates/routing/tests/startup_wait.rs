//! Requests that come before the first configuration, replayed: clients of
//! cut streams come back at once, new ones at a steady rate.

use chestnutreach_routing::StartupWait;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// When the entry has read the configuration, from its start.
    read_ms: u64,
    /// When the store is known not to answer.
    lost_ms: Option<u64>,
    /// Time that each client gives.
    client_ms: u64,
    served: usize,
    /// Longest that one waits for its refusal.
    longest_refused_ms: u64,
}

/// Clients that come back as the entry starts, and those that come new, one
/// each 30 ms.
const BACK: usize = 12;
const EVERY_MS: u64 = 30;
const NEW: u64 = 10;

#[rstest]
#[case(Case {
    name: "a small entry with a large configuration serves all",
    read_ms: 330, lost_ms: None, client_ms: 20_000,
    served: 22, longest_refused_ms: 0,
})]
#[case(Case {
    name: "a fast one as well",
    read_ms: 50, lost_ms: None, client_ms: 600,
    served: 22, longest_refused_ms: 0,
})]
#[case(Case {
    name: "the store fails: all are told at once",
    read_ms: 5_000, lost_ms: Some(120), client_ms: 20_000,
    served: 0, longest_refused_ms: 120,
})]
#[case(Case {
    name: "nothing is heard: nobody waits for more than the bound",
    read_ms: 5_000, lost_ms: None, client_ms: 20_000,
    served: 0, longest_refused_ms: 1_000,
})]
#[case(Case {
    name: "hasty clients keep half of their time for another entry",
    read_ms: 400, lost_ms: None, client_ms: 600,
    // Those that came after 100 ms.
    served: 6, longest_refused_ms: 300,
})]
fn those_that_come_before_the_first_read(#[case] case: Case) {
    let back = std::iter::repeat_n(0, BACK);
    let new = (0..NEW).map(|at| at * EVERY_MS);
    let mut served = 0;
    for came_ms in back.chain(new) {
        let read = StartupWait {
            uptime_ms: came_ms,
            is_store_unavailable: case
                .lost_ms
                .is_some_and(|lost| came_ms >= lost),
            client_remaining_ms: case.client_ms,
        };
        let until_ms = came_ms + read.max_wait_ms().unwrap_or(0);
        let until_ms = case.lost_ms.map_or(until_ms, |l| l.min(until_ms));
        let ends_ms = until_ms.max(came_ms);
        if came_ms >= case.read_ms || case.read_ms <= ends_ms {
            served += 1;
            continue;
        }
        let waited_ms = ends_ms - came_ms;
        assert!(waited_ms <= case.longest_refused_ms, "{}", case.name);
    }
    assert_eq!(served, case.served, "{}", case.name);
}
