//! A load balancer that hands most new connections to one entry, while that
//! entry is short of processor time.

use std::time::Duration;

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{AttemptEnd, Outcome, RequestKind, RequestSpec},
    running::RunningSite,
};
use futures_lite::FutureExt as _;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::{parse_log, send_at_rate, wait_until, with_small_site};

/// The entry runs for a part of each period only, like a process whose
/// processor quota is used up.
const PAUSE: Duration = Duration::from_millis(250);
const RUN: Duration = Duration::from_millis(20);
/// How long streams are sent.
const PERIOD: Duration = Duration::from_secs(6);
const STREAMS_PER_S: usize = 60;
/// Streams per second at each entry before.
const USUAL_PER_S: usize = 4;

/// Sends streams whose first attempts go to the entries in turn, or all to the
/// first one. Further attempts go to the next entries.
async fn send_streams(
    running: &RunningSite,
    period: Duration,
    per_s: usize,
    is_uneven: bool,
) -> Vec<Outcome> {
    let request = |number: usize| {
        let token = format!("u{per_s}-{number}");
        let events = running.backends.site().events;
        let spec = RequestSpec::new(RequestKind::Stream, &token, events);
        let first_entry = match is_uneven {
            true => 0,
            false => number % running.addresses.len(),
        };
        (spec, first_entry)
    };
    send_at_rate(running, per_s as f64, period, request).await
}

/// Takes processor time from the first entry until dropped.
async fn starve_first_entry(running: &RunningSite) {
    loop {
        running.signal(0, Signal::STOP);
        Timer::after(PAUSE).await;
        running.signal(0, Signal::CONT);
        Timer::after(RUN).await;
    }
}

/// Connections that the entries logged as left to others.
fn connections_left(running: &RunningSite) -> u64 {
    let logs = parse_log(&running.logs());
    let left = logs.iter().filter(|line| line.name() == "connections_left");
    left.filter_map(|line| line.number("count")).sum()
}

#[rstest]
#[case::uneven(true)]
#[case::even(false)]
fn an_overloaded_entry_with_most_connections_leaves_some_unread(
    #[case] is_uneven: bool,
) {
    with_small_site(async |running| {
        let usual = Duration::from_secs(3);
        let per_s = USUAL_PER_S * running.addresses.len();
        send_streams(running, usual, per_s, false).await;
        let starved = async {
            starve_first_entry(running).await;
            Vec::new()
        };
        let sent = send_streams(running, PERIOD, STREAMS_PER_S, is_uneven);
        let outcomes = sent.or(starved).await;
        running.signal(0, Signal::CONT);
        let violations = outcomes.iter().flat_map(|o| &o.violations);
        let violations: Vec<&String> = violations.collect();
        assert!(violations.is_empty(), "{violations:?}");
        let served = outcomes.iter().filter(|o| o.is_served()).count();
        let cut = outcomes.iter().flat_map(|o| &o.attempts);
        let cut = cut.filter(|a| a.end == AttemptEnd::Cut).count();
        assert_eq!(served, outcomes.len(), "{cut} attempts were cut");
        if is_uneven {
            wait_until("connections are left", async || {
                connections_left(running) > 0
            })
            .await;
            assert!(cut > 0);
        } else {
            assert_eq!(connections_left(running), 0);
        }
        assert!(running.is_ready(0).await);
    });
}
