//! Backend servers that are sound and answer later than the route's target.

use std::{collections::BTreeMap, time::Duration};

use chestnutreach_emulator::{
    backend_servers::ServerState,
    caller::{AttemptEnd, Outcome, RequestKind, RequestSpec},
    running::RunningSite,
    site::Site,
};
use rstest::rstest;

use crate::support::{send_at_rate, with_site};

/// Target of the routes, in milliseconds.
const TARGET_MS: u64 = 300;
/// Requests per second, of two kinds in turn.
const PER_S: f64 = 60.0;
const PERIOD: Duration = Duration::from_secs(8);
/// Share of the requests of each kind that is served.
const MIN_SERVED_SHARE: f64 = 0.99;
/// Repeats in a hundred requests where all servers are alike.
const MAX_REPEATS_PERCENT: f64 = 2.0;
/// The same where one server of three is slow or silent.
const MAX_REPEATS_PERCENT_WITH_ONE_BAD: f64 = 8.0;

/// A site with few free retries.
fn site(plain_ms: u64) -> Site {
    Site {
        plain_servers: 3,
        entries: 5,
        plain_ms,
        plain_target_ms: TARGET_MS,
        plain_timeout_ms: 1_500,
        retry_slack: 2.0,
        ..Site::small()
    }
}

async fn send(running: &RunningSite, kinds: &[RequestKind]) -> Vec<Outcome> {
    let request = |number: usize| {
        let kind = kinds[number % kinds.len()];
        let spec = RequestSpec::new(kind, &format!("s{number}"), 0);
        let spec = RequestSpec { max_attempts: 1, ..spec };
        (spec, number % running.addresses.len())
    };
    send_at_rate(running, PER_S, PERIOD, request).await
}

/// Fails unless nearly all requests of each kind were served, and none was
/// given up.
fn assert_served(outcomes: &[Outcome], kinds: &[RequestKind]) {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes {
        let end = &outcome.attempts[0].end;
        let name = format!("{} {end:?}", outcome.kind.name());
        *ends.entry(name).or_default() += 1;
    }
    println!("{ends:?}");
    for kind in kinds {
        let of_kind = outcomes.iter().filter(|o| o.kind == *kind);
        let of_kind: Vec<&Outcome> = of_kind.collect();
        let served = of_kind.iter().filter(|o| o.is_served()).count();
        let share = served as f64 / of_kind.len() as f64;
        assert!(share >= MIN_SERVED_SHARE, "{ends:?}");
    }
    let is_given_up =
        |o: &&Outcome| o.attempts[0].end == AttemptEnd::Status(502);
    assert_eq!(outcomes.iter().filter(is_given_up).count(), 0, "{ends:?}");
}

/// Fails if there were more runs beyond the first of each request, in a hundred
/// requests.
fn assert_few_repeats(
    running: &RunningSite,
    outcomes: &[Outcome],
    max_percent: f64,
) {
    let seen = running.backends.observations();
    let ids = outcomes.iter().flat_map(|o| &o.attempts).map(|a| &a.id);
    let runs = ids.filter_map(|id| seen.run_counts.get(id));
    let repeats: usize =
        runs.map(|count| (*count as usize).saturating_sub(1)).sum();
    let percent = 100.0 * repeats as f64 / outcomes.len() as f64;
    println!("{percent} repeats in 100");
    assert!(percent <= max_percent, "{percent}");
}

/// All servers take as long.
#[rstest]
#[case::half_the_target(150)]
#[case::the_target(300)]
#[case::above_the_target(390)]
#[case::twice_the_target(600)]
#[case::four_times_the_target(1_200)]
fn answers_later_than_the_target_are_no_failures(#[case] plain_ms: u64) {
    let kinds = [RequestKind::Idempotent, RequestKind::Once];
    with_site(&site(plain_ms), async |running| {
        let outcomes = send(running, &kinds).await;
        assert_served(&outcomes, &kinds);
        assert_few_repeats(running, &outcomes, MAX_REPEATS_PERCENT);
    });
}

/// One server of three.
#[rstest]
#[case::slow(10.0)]
#[case::without_an_answer(1_000.0)]
fn a_server_that_is_slower_than_the_others_delays_few_requests(
    #[case] slowness: f64,
) {
    let kinds = [RequestKind::Idempotent];
    with_site(&site(30), async |running| {
        let slow_down = |server: &mut ServerState| server.slowness = slowness;
        let first = running.backends.plain_servers()[0];
        running.backends.update_server(first, slow_down);
        let outcomes = send(running, &kinds).await;
        assert_served(&outcomes, &kinds);
        let max_percent = MAX_REPEATS_PERCENT_WITH_ONE_BAD;
        assert_few_repeats(running, &outcomes, max_percent);
    });
}
