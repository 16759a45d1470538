//! The limit on retries while entries end, start again or stand still.

use std::{collections::BTreeMap, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Outcome, RequestKind, RequestSpec},
    running::RunningSite,
    site::{RETRY_RATIO, Site},
};
use rstest::rstest;
use rustix::process::Signal;

use crate::support::{send_at_rate, with_site};

/// Requests per second, each of which every server loses.
const PER_S: f64 = 60.0;
/// Within one window of the limit.
const PERIOD: Duration = Duration::from_millis(9_000);
/// Retries allowed regardless of the number of requests.
const RETRY_SLACK: f64 = 40.0;

/// What happens to entries while servers fail.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// All entries are killed at the same moment, again and again.
    KilledTogether(Duration),
    /// One entry after another is killed.
    KilledInTurn(Duration),
    /// All entries stand still for half of the time.
    Paused(Duration),
}

async fn disturb(running: &RunningSite, trouble: Trouble) {
    let entries = running.addresses.len();
    for round in 0.. {
        match trouble {
            Trouble::None => return,
            Trouble::KilledTogether(interval) => {
                Timer::after(interval).await;
                (0..entries).for_each(|entry| running.restart_entry(entry));
            }
            Trouble::KilledInTurn(interval) => {
                Timer::after(interval).await;
                running.restart_entry(round % entries);
            }
            Trouble::Paused(interval) => {
                for signal in [Signal::STOP, Signal::CONT] {
                    (0..entries).for_each(|e| running.signal(e, signal));
                    Timer::after(interval).await;
                }
            }
        }
    }
}

/// Arrivals beyond the first of each attempt of a caller, and the number of
/// such attempts.
fn count_retries(running: &RunningSite, outcomes: &[Outcome]) -> (u32, usize) {
    let arrivals: BTreeMap<String, u32> =
        running.backends.observations().arrival_counts;
    let attempts = outcomes.iter().flat_map(|outcome| &outcome.attempts);
    let ids: Vec<&str> = attempts.map(|t| t.id.as_str()).collect();
    let counts = ids.iter().filter_map(|id| arrivals.get(*id));
    (counts.map(|count| count.saturating_sub(1)).sum(), ids.len())
}

#[rstest]
#[case::run(Trouble::None)]
#[case::are_killed_together(Trouble::KilledTogether(Duration::from_millis(
    1_500
)))]
#[case::are_killed_in_turn(Trouble::KilledInTurn(Duration::from_millis(
    300
)))]
#[case::stand_still(Trouble::Paused(Duration::from_millis(400)))]
fn retries_stay_below_the_limit_while_entries(#[case] trouble: Trouble) {
    let site = Site {
        entries: 6,
        plain_servers: 6,
        retry_slack: RETRY_SLACK,
        ..Site::small()
    };
    with_site(&site, async |running| {
        for server in running.backends.plain_servers() {
            running.backends.update_server(server, |server| {
                server.response_loss_rate = 1.0;
            });
        }
        let request = |number: usize| {
            let token = format!("r{number}");
            let kind = RequestKind::Idempotent;
            let spec = RequestSpec::new(kind, &token, 1);
            (spec, number % 6)
        };
        let load = async {
            Some(send_at_rate(running, PER_S, PERIOD, request).await)
        };
        let disturbance = async {
            disturb(running, trouble).await;
            std::future::pending().await
        };
        let outcomes = futures_lite::future::or(load, disturbance).await;
        let outcomes = outcomes.expect("only the load ends");
        let (retries, requests) = count_retries(running, &outcomes);
        let limit = RETRY_SLACK + RETRY_RATIO * requests as f64;
        assert!(f64::from(retries) <= limit, "{retries} of {limit:.0}");
    });
}
