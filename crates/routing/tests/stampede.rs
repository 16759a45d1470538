//! Entries with the same stale view do not all choose the same server.

mod common;

use chestnutreach_routing::{
    BackendIndex, ChainRequest, Fleet, LiveState, Policy, Presence,
    RequestShape, choose,
};
use common::{NOW_MS, fleet, numbered, report};
use rstest::rstest;

const ENTRY_COUNT: u64 = 30;
const SERVER_COUNT: usize = 40;
const REQUESTS_PER_ENTRY: usize = 40;
/// Maximum share of the new server, as a multiple of the average.
const MAX_SHARE: f64 = 2.0;

/// State in which all servers but the new one have reported the same load.
fn live_state(fleet: &Fleet, case: &Case) -> LiveState {
    let live = LiveState::new(fleet.len());
    for index in fleet.indices() {
        live.set_presence(index, Presence::Serving);
        live.record_report(index, &report(case.running_on_others), NOW_MS);
    }
    live.set_presence(BackendIndex(0), case.new_server);
    if case.has_report {
        live.record_report(BackendIndex(0), &report(0), NOW_MS);
    }
    live
}

struct Case {
    new_server: Presence,
    has_report: bool,
    recovery_weight_percent: u32,
    /// Requests that run on each other server, which has 16 slots.
    running_on_others: u32,
    /// Entry count of the policy; the actual count is [`ENTRY_COUNT`].
    entry_count: u32,
}

/// A joining server that reported no load, with equal weights and the actual
/// entry count.
const NEW_AND_IDLE: Case = Case {
    new_server: Presence::Joining { since_ms: NOW_MS },
    has_report: true,
    recovery_weight_percent: 50,
    running_on_others: 8,
    entry_count: ENTRY_COUNT as u32,
};

/// Share of the requests that the new server gets, relative to the average.
fn new_server_share(case: &Case) -> f64 {
    let fleet = fleet(0, numbered(&[(0, 0); SERVER_COUNT]));
    let policy = Policy::default()
        .entry_count(case.entry_count)
        .recovery_weight_percent(case.recovery_weight_percent);
    let shape = RequestShape::new(500, 100);
    let mut sent = [0; SERVER_COUNT];
    for entry in 0..ENTRY_COUNT {
        let live = live_state(&fleet, case);
        let mut rng = fastrand::Rng::with_seed(entry);
        for at in 0..REQUESTS_PER_ENTRY {
            let now_ms = NOW_MS + at as u64;
            let request =
                ChainRequest::new(&fleet, &live, &shape, &policy, now_ms);
            let choice = choose(&request, &mut rng);
            let stage = choice.expect("a chain").stages[0];
            live.record_dispatch(stage, shape.tokens(), now_ms);
            sent[stage.0 as usize] += 1;
        }
    }
    let total = ENTRY_COUNT as f64 * REQUESTS_PER_ENTRY as f64;
    f64::from(sent[0]) * SERVER_COUNT as f64 / total
}

#[rstest]
#[case::just_joined(NEW_AND_IDLE)]
#[case::throughput_weight(Case { recovery_weight_percent: 0, ..NEW_AND_IDLE })]
#[case::recovery_weight(Case { recovery_weight_percent: 100, ..NEW_AND_IDLE })]
#[case::without_report(Case { has_report: false, ..NEW_AND_IDLE })]
#[case::no_ramp(Case { new_server: Presence::Serving, ..NEW_AND_IDLE })]
#[case::entry_count_of_one(Case { entry_count: 1, ..NEW_AND_IDLE })]
#[case::entry_count_too_low(Case { entry_count: 3, ..NEW_AND_IDLE })]
#[case::others_nearly_full(Case { running_on_others: 15, ..NEW_AND_IDLE })]
fn new_server_gets_a_bounded_share(#[case] case: Case) {
    let share = new_server_share(&case);
    println!("{share:.2} times the average");
    assert!(share <= MAX_SHARE, "{share:.2} times the average");
    assert!(share > 0.0, "the new server gets no requests");
}

/// The entry count is 1, so that only the ramp limits the share. The price
/// makes requests fill half-full servers before they use an empty one, so the
/// other servers are nearly full here, or the price does not count.
#[rstest]
#[case::others_nearly_full(Case { running_on_others: 14, ..NEW_AND_IDLE })]
#[case::recovery_weight(Case { recovery_weight_percent: 100, ..NEW_AND_IDLE })]
fn share_of_a_new_server_grows_during_the_ramp(#[case] case: Case) {
    let share = |new_server| {
        new_server_share(&Case { new_server, entry_count: 1, ..case })
    };
    let since = |age_ms| Presence::Joining { since_ms: NOW_MS - age_ms };
    let shares = [
        share(since(0)),
        share(since(15_000)),
        share(since(29_000)),
        share(Presence::Serving),
    ];
    println!("{shares:.2?} times the average");
    assert!(shares.is_sorted() && shares[0] < shares[3], "{shares:.2?}");
}
