//! Requests that arrive before the first configuration: clients of aborted
//! streams return at once, new ones arrive at a steady rate.

use chestnutreach_routing::StartupWait;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// Time after its start at which the entry has read the configuration.
    configured_ms: u64,
    /// Time after its start at which a read of the store fails.
    store_failed_ms: Option<u64>,
    /// Timeout of each client.
    caller_timeout_ms: u64,
    served: usize,
    /// Longest wait of a request that is refused in the end.
    max_refusal_wait_ms: u64,
}

/// Clients that return as the entry starts, and clients that arrive later,
/// one in each interval.
const RETURNING_CLIENTS: usize = 12;
const ARRIVAL_INTERVAL_MS: u64 = 30;
const NEW_CLIENTS: u64 = 10;

#[rstest]
#[case(Case {
    name: "a small entry reads a large configuration: all requests are served",
    configured_ms: 330, store_failed_ms: None,
    caller_timeout_ms: 20_000,
    served: 22, max_refusal_wait_ms: 0,
})]
#[case(Case {
    name: "a fast read: all requests are served",
    configured_ms: 50, store_failed_ms: None,
    caller_timeout_ms: 600,
    served: 22, max_refusal_wait_ms: 0,
})]
#[case(Case {
    name: "the store fails: all waiting requests are refused at once",
    configured_ms: 5_000, store_failed_ms: Some(120),
    caller_timeout_ms: 20_000,
    served: 0, max_refusal_wait_ms: 120,
})]
#[case(Case {
    name: "the read neither ends nor fails: the wait has a limit",
    configured_ms: 5_000, store_failed_ms: None,
    caller_timeout_ms: 20_000,
    served: 0, max_refusal_wait_ms: 1_000,
})]
#[case(Case {
    name: "clients with a short timeout keep half of it for another entry",
    configured_ms: 400, store_failed_ms: None,
    caller_timeout_ms: 600,
    // The requests that arrived after 100 ms.
    served: 6, max_refusal_wait_ms: 300,
})]
fn requests_before_the_first_configuration_wait_or_are_refused(
    #[case] case: Case,
) {
    let returning = std::iter::repeat_n(0, RETURNING_CLIENTS);
    let new = (0..NEW_CLIENTS).map(|at| at * ARRIVAL_INTERVAL_MS);
    let mut served = 0;
    for arrival_ms in returning.chain(new) {
        let wait = StartupWait {
            uptime_ms: arrival_ms,
            is_store_unavailable: case
                .store_failed_ms
                .is_some_and(|failed_ms| arrival_ms >= failed_ms),
            caller_remaining_ms: case.caller_timeout_ms,
        };
        let until_ms = arrival_ms + wait.max_wait_ms().unwrap_or(0);
        let until_ms = case
            .store_failed_ms
            .map_or(until_ms, |failed_ms| failed_ms.min(until_ms));
        let ends_ms = until_ms.max(arrival_ms);
        if arrival_ms >= case.configured_ms || case.configured_ms <= ends_ms {
            served += 1;
            continue;
        }
        let waited_ms = ends_ms - arrival_ms;
        assert!(waited_ms <= case.max_refusal_wait_ms, "{}", case.name);
    }
    assert_eq!(served, case.served, "{}", case.name);
}
