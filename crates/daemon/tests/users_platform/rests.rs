//! Servers that turn requests away and ask for rest, and that leave.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Attempt, AttemptEnd, RequestKind},
    load::Load,
    report::Report,
    running::RunningSite,
    site::Site,
};
use rstest::rstest;

use crate::support::{assert_all_served_at, assert_kept, on_site};

/// How long a server asks for rest.
const REST: &str = "3";
/// Most requests of an entry within a rest, as of the platform's rule.
const MOST_IN_REST: usize = 2;
/// Time within which all entries know of what happened.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which a server that leaves is still used.
const DRAIN: Duration = Duration::from_millis(1_000);

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

/// Plays a load while a server in need is set so and back after a time.
async fn play(
    running: &RunningSite,
    kind: RequestKind,
    set: impl AsyncFnOnce(SocketAddr),
) -> Report {
    let second = Duration::from_secs(1);
    running.run(&load(kind, second), &[]).await;
    let server = running.busiest_server(is_model(kind));
    let need = async {
        Timer::after(second).await;
        set(server).await;
    };
    let load = load(kind, 8 * second);
    let played = running.run(&load, &[]);
    futures_lite::future::zip(played, need).await.0
}

#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn a_server_at_rest_gets_no_more_than_it_allows(#[case] kind: RequestKind) {
    on_site(async |running| {
        let rest = async |server| {
            let world = &running.backends;
            world
                .update_server(server, |s| s.cooldown = Some(REST.to_owned()));
            Timer::after(Duration::from_secs(5)).await;
            world.update_server(server, |s| s.cooldown = None);
        };
        let report = play(running, kind, rest).await;
        assert!(
            !report.observations.cooldown_requests.is_empty(),
            "nothing was turned away"
        );
        let most = report.max_requests_in_cooldown();
        assert!(most <= MOST_IN_REST, "{most} requests in a rest");
        // A route that allows one server for each try may meet the one that
        // rests at each of two entries.
        let may_meet_twice = kind == RequestKind::Once;
        match may_meet_twice {
            true => assert_kept(&report),
            false => assert_all_served_at(running, &report),
        }
        let served = report.served_share(kind);
        assert!(served >= 0.98, "{}", report.to_text());
    });
}

/// Where all that serve are at rest, none gets more, and clients are told at
/// once when the first is ready again.
#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn while_all_are_at_rest_clients_are_told_when_to_come_back(
    #[case] kind: RequestKind,
) {
    on_site(async |running| {
        let servers = match kind {
            RequestKind::Stream => running.backends.engines(),
            _ => running.backends.plain_servers(),
        };
        let rest = async |_| {
            let set = |rest: Option<&str>| {
                for server in &servers {
                    let rest = rest.map(str::to_owned);
                    running
                        .backends
                        .update_server(*server, |s| s.cooldown = rest);
                }
            };
            set(Some(REST));
            Timer::after(Duration::from_secs(4)).await;
            set(None);
        };
        let report = play(running, kind, rest).await;
        let most = report.max_requests_in_cooldown();
        assert!(most <= MOST_IN_REST, "{most} requests in a rest");
        assert_kept(&report);
        let refused = report.outcomes.iter().flat_map(|o| &o.attempts);
        let refused: Vec<&Attempt> =
            refused.filter(|t| t.end == AttemptEnd::Status(503)).collect();
        assert!(!refused.is_empty(), "{}", report.to_text());
        let is_at_once = |t: &&&Attempt| {
            t.ended_at - t.sent_at < Duration::from_millis(150)
        };
        let at_once = refused.iter().filter(is_at_once).count();
        let share = at_once as f64 / refused.len() as f64;
        assert!(share >= 0.8, "{share:.2} refused at once");
        let longest = refused.iter().filter_map(|t| t.retry_after).max();
        let longest = longest.expect("all are told when to come back");
        assert!(longest >= Duration::from_millis(2_000), "{longest:?}");
    });
}

#[rstest]
#[case::stream(RequestKind::Stream)]
#[case::idempotent(RequestKind::Idempotent)]
#[case::once(RequestKind::Once)]
fn a_server_that_said_that_it_leaves_gets_nothing_new(
    #[case] kind: RequestKind,
) {
    on_site(async |running| {
        let leave = async |server| {
            running
                .backends
                .update_server(server, |s| s.announces_leaving = true);
        };
        let report = play(running, kind, leave).await;
        assert!(
            !report.observations.leaving_notices.is_empty(),
            "nothing was told"
        );
        let late = report.late_requests_at_leaving_servers(DRAIN, false);
        assert_eq!(late, 0, "requests at a server that leaves");
        // Other entries hear of it within the bound on contact.
        assert_eq!(
            report.late_requests_at_leaving_servers(DRAIN + CONTACT, true),
            0
        );
        assert_all_served_at(running, &report);
    });
}
