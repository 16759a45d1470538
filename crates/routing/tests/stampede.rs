//! Entries with the same stale view do not all go to one server.

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
/// Most times the average that the newcomer may get.
const LIMIT: f64 = 2.0;

/// All but the newcomer have told of the same load.
fn view(fleet: &Fleet, case: &Case) -> LiveState {
    let live = LiveState::new(fleet.len());
    for index in fleet.indices() {
        live.set_presence(index, Presence::Serving);
        live.record_report(index, &report(case.others_running), NOW_MS);
    }
    live.set_presence(BackendIndex(0), case.newcomer);
    if case.has_report {
        live.record_report(BackendIndex(0), &report(0), NOW_MS);
    }
    live
}

struct Case {
    newcomer: Presence,
    has_report: bool,
    recovery_weight_percent: u32,
    /// Of 16 places.
    others_running: u32,
    /// What the policy believes; there are always [`ENTRY_COUNT`].
    entry_count: u32,
}

/// Told of no load, at equal weights, with the true count of entries.
const IDLE: Case = Case {
    newcomer: Presence::Joining { since_ms: NOW_MS },
    has_report: true,
    recovery_weight_percent: 50,
    others_running: 8,
    entry_count: ENTRY_COUNT as u32,
};

/// What the newcomer gets, in times the average.
fn newcomer_share(case: &Case) -> f64 {
    let fleet = fleet(0, numbered(&[(0, 0); SERVER_COUNT]));
    let policy = Policy::default()
        .entry_count(case.entry_count)
        .recovery_weight_percent(case.recovery_weight_percent);
    let shape = RequestShape::new(500, 100);
    let mut sent = [0; SERVER_COUNT];
    for entry in 0..ENTRY_COUNT {
        let live = view(&fleet, case);
        let mut rng = fastrand::Rng::with_seed(entry);
        for at in 0..REQUESTS_PER_ENTRY {
            let now_ms = NOW_MS + at as u64;
            let need =
                ChainRequest::new(&fleet, &live, &shape, &policy, now_ms);
            let choice = choose(&need, &mut rng);
            let stage = choice.expect("a chain").stages[0];
            live.record_dispatch(stage, shape.tokens(), now_ms);
            sent[stage.0 as usize] += 1;
        }
    }
    let total = ENTRY_COUNT as f64 * REQUESTS_PER_ENTRY as f64;
    f64::from(sent[0]) * SERVER_COUNT as f64 / total
}

#[rstest]
#[case::just_joined(IDLE)]
#[case::for_throughput(Case { recovery_weight_percent: 0, ..IDLE })]
#[case::for_recovery(Case { recovery_weight_percent: 100, ..IDLE })]
#[case::without_report(Case { has_report: false, ..IDLE })]
#[case::no_ramp(Case { newcomer: Presence::Serving, ..IDLE })]
#[case::entries_not_counted(Case { entry_count: 1, ..IDLE })]
#[case::few_entries_believed(Case { entry_count: 3, ..IDLE })]
#[case::beside_full(Case { others_running: 15, ..IDLE })]
fn a_newcomer_gets_a_bounded_share(#[case] case: Case) {
    let share = newcomer_share(&case);
    println!("{share:.2} times the average");
    assert!(share <= LIMIT, "{share:.2} times the average");
    assert!(share > 0.0, "it never gets any");
}

/// Without the count of entries, so that the ramp alone is at work. For the
/// price, servers that are half full are filled before an empty one is used;
/// so the others are nearly full, or the price counts nothing.
#[rstest]
#[case::beside_full(Case { others_running: 14, ..IDLE })]
#[case::for_recovery(Case { recovery_weight_percent: 100, ..IDLE })]
fn the_ramp_lets_the_share_grow(#[case] case: Case) {
    let share =
        |newcomer| newcomer_share(&Case { newcomer, entry_count: 1, ..case });
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
