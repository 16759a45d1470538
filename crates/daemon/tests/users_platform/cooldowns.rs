//! Servers that reject requests and request a cooldown by Retry-After, and
//! servers that announce that they drain.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Attempt, AttemptEnd, RequestKind},
    load::Load,
    report::Report,
    running::RunningSite,
    site::Site,
};
use chestnutreach_routing::capacity_wait::MAX_WAIT_MS;
use rstest::rstest;

use crate::support::{
    LogLine, assert_all_served_or_log, assert_no_violation, parse_log,
    with_small_site,
};

/// Cooldown in seconds that a server requests.
const COOLDOWN_S: &str = "3";
/// Requests that the platform's rule allows an entry to send within a
/// cooldown.
const MAX_IN_COOLDOWN: usize = 2;
/// Delay between an event and the time stamp of its log line.
const LOG_DELAY_MS: u64 = 100;
/// Time within which all entries learn of an event.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(3_000);
/// How long entries may use a server after its announcement that it drains.
const DRAIN_NOTICE_LIMIT: Duration = Duration::from_millis(1_000);

fn load(kind: RequestKind, duration: Duration) -> Load {
    Load {
        per_s: [(kind, 20.0)].into(),
        duration,
        events: Site::small().events,
        seed: 33,
    }
}

fn is_model(kind: RequestKind) -> bool {
    kind == RequestKind::Stream
}

/// Runs a load and meanwhile applies a change to the busiest server.
async fn run_with_change(
    running: &RunningSite,
    kind: RequestKind,
    change: impl AsyncFnOnce(SocketAddr),
) -> Report {
    let second = Duration::from_secs(1);
    running.run(&load(kind, second), &[]).await;
    let server = running.busiest_server(is_model(kind));
    let change = async {
        Timer::after(second).await;
        change(server).await;
    };
    let load = load(kind, 8 * second);
    let played = running.run(&load, &[]);
    futures_lite::future::zip(played, change).await.0
}

#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn a_server_in_cooldown_gets_no_more_requests_than_allowed(
    #[case] kind: RequestKind,
) {
    with_small_site(async |running| {
        let cooldown = async |server| {
            let world = &running.backends;
            world.update_server(server, |s| {
                s.cooldown = Some(COOLDOWN_S.to_owned())
            });
            Timer::after(Duration::from_secs(5)).await;
            world.update_server(server, |s| s.cooldown = None);
        };
        let report = run_with_change(running, kind, cooldown).await;
        assert!(
            !report.observations.cooldown_requests.is_empty(),
            "no request was rejected"
        );
        let max = report.max_requests_in_cooldown();
        assert!(max <= MAX_IN_COOLDOWN, "{max} requests in a cooldown");
        // On a route that allows one server for each attempt, a request may be
        // sent to the server in cooldown by each of two entries.
        let may_be_rejected_twice = kind == RequestKind::Once;
        match may_be_rejected_twice {
            true => assert_no_violation(&report),
            false => assert_all_served_or_log(running, &report),
        }
        let served = report.served_share(kind);
        assert!(served >= 0.98, "{}", report.to_text());
    });
}

/// While all servers are in cooldown, no server gets more requests than
/// allowed, and clients are immediately refused with the time until the first
/// server is ready.
#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn clients_get_a_retry_time_while_all_servers_are_in_cooldown(
    #[case] kind: RequestKind,
) {
    with_small_site(async |running| {
        let servers = match kind {
            RequestKind::Stream => running.backends.engines(),
            _ => running.backends.plain_servers(),
        };
        let cooldown = async |_| {
            let set = |value: Option<&str>| {
                for server in &servers {
                    let value = value.map(str::to_owned);
                    running
                        .backends
                        .update_server(*server, |s| s.cooldown = value);
                }
            };
            set(Some(COOLDOWN_S));
            Timer::after(Duration::from_secs(4)).await;
            set(None);
        };
        let report = run_with_change(running, kind, cooldown).await;
        let max = report.max_requests_in_cooldown();
        assert!(max <= MAX_IN_COOLDOWN, "{max} requests in a cooldown");
        assert_no_violation(&report);
        let refused = report.outcomes.iter().flat_map(|o| &o.attempts);
        let refused: Vec<&Attempt> =
            refused.filter(|t| t.end == AttemptEnd::Status(503)).collect();
        assert!(!refused.is_empty(), "{}", report.to_text());
        match kind {
            RequestKind::Stream => assert_none_waits_in_vain(running),
            _ => assert_most_are_immediate(&refused),
        }
        let longest = refused.iter().filter_map(|t| t.retry_after).max();
        let longest = longest.expect("refusals carry a retry time");
        assert!(longest >= Duration::from_millis(2_000), "{longest:?}");
    });
}

fn assert_most_are_immediate(refused: &[&Attempt]) {
    let is_immediate =
        |t: &&&Attempt| t.ended_at - t.sent_at < Duration::from_millis(150);
    let immediate = refused.iter().filter(is_immediate).count();
    let share = immediate as f64 / refused.len() as f64;
    assert!(share >= 0.8, "{share:.2} refused immediately");
}

/// No stream joins a queue while all first engines are known to be in a
/// cooldown for longer than it may wait, by the log of its entry. Some are
/// refused by that alone, without being sent.
fn assert_none_waits_in_vain(running: &RunningSite) {
    let logs: Vec<Vec<LogLine>> = (0..running.addresses.len())
        .map(|at| parse_log(&running.log(at)))
        .collect();
    let first_engines: BTreeSet<&str> =
        logs.iter().flatten().filter_map(server_in_cooldown).collect();
    let mut refused_unsent = 0;
    for lines in &logs {
        let mut sent: BTreeSet<&str> = BTreeSet::new();
        for line in lines {
            match line.name() {
                "relay_sent" => {
                    sent.insert(line.text("request"));
                }
                "relay_ended" if line.text("reason") == "servers_rest" => {
                    let is_unsent = !sent.contains(line.text("request"));
                    refused_unsent += usize::from(is_unsent);
                }
                _ => {}
            }
        }
        assert_queued_in_reach(lines, &first_engines);
    }
    assert!(refused_unsent > 0, "no stream was refused without being sent");
}

/// Streams of one entry that waited could expect an engine in time.
fn assert_queued_in_reach(lines: &[LogLine], first_engines: &BTreeSet<&str>) {
    let queued = lines.iter().filter(|l| l.name() == "path_awaited");
    for line in queued {
        let joined_ms = line.at_ms - number(line, "waited_ms");
        let end_ms = |engine: &&str| {
            let before = lines.iter().filter(|l| {
                server_in_cooldown(l) == Some(*engine) && l.at_ms < joined_ms
            });
            let ends = before.map(|l| l.at_ms + number(l, "left_ms"));
            ends.max().unwrap_or(0)
        };
        let first_ms = first_engines.iter().map(end_ms).min().unwrap_or(0);
        let left_ms = first_ms.saturating_sub(joined_ms);
        assert!(
            left_ms <= MAX_WAIT_MS + LOG_DELAY_MS,
            "{} waits, although no engine is ready for {left_ms} ms",
            line.text("request")
        );
    }
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.number(field).expect("the event has the field")
}

/// The server that requested a cooldown, if the line says so.
fn server_in_cooldown(line: &LogLine) -> Option<&str> {
    (line.name() == "rest_asked").then(|| line.text("backend"))
}

#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn a_server_that_announces_that_it_drains_gets_no_new_requests(
    #[case] kind: RequestKind,
) {
    with_small_site(async |running| {
        let announce = async |server| {
            running
                .backends
                .update_server(server, |s| s.announces_leaving = true);
        };
        let report = run_with_change(running, kind, announce).await;
        assert!(
            !report.observations.leaving_notices.is_empty(),
            "nothing was announced"
        );
        let late =
            report.late_requests_at_leaving_servers(DRAIN_NOTICE_LIMIT, false);
        assert_eq!(late, 0, "requests at a draining server");
        // The other entries learn of the drain within the propagation limit.
        assert_eq!(
            report.late_requests_at_leaving_servers(
                DRAIN_NOTICE_LIMIT + PROPAGATION_LIMIT,
                true
            ),
            0
        );
        assert_all_served_or_log(running, &report);
    });
}
