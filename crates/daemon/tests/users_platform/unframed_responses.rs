//! Responses of servers with neither a length nor chunks, which end with
//! their connection.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{
    backend_servers::ServerState,
    caller::{AttemptEnd, RequestKind, RequestSpec},
    load::Load,
    report::Report,
    running::RunningSite,
    site::Site,
};
use rstest::rstest;

use crate::support::{
    assert_all_served, assert_no_violation,
    run_streams_while_first_engines_exit, send_request, stream_load,
    with_site, with_small_site,
};

fn load() -> Load {
    Load {
        per_s: [
            (RequestKind::Stream, 20.0),
            (RequestKind::Idempotent, 8.0),
            (RequestKind::Once, 8.0),
        ]
        .into(),
        duration: Duration::from_secs(3),
        events: Site::small().events,
        seed: 53,
    }
}

/// Changes all servers of a site.
fn update_all(running: &RunningSite, change: impl Fn(&mut ServerState)) {
    let backends = &running.backends;
    let servers = backends.engines().into_iter();
    let servers = servers.chain(backends.plain_servers());
    servers.for_each(|server: SocketAddr| {
        backends.update_server(server, &change);
    });
}

async fn run_unframed(
    running: &RunningSite,
    partial_event_rate: f64,
) -> Report {
    update_all(running, |server| {
        server.omits_framing = true;
        server.partial_event_rate = partial_event_rate;
    });
    running.run(&load(), &[]).await
}

#[rstest]
#[case::whole(0.0)]
#[case::ended_within_an_event(0.3)]
fn unframed_responses_are_whole_where_they_end_in_order(
    #[case] partial_event_rate: f64,
) {
    with_small_site(async |running| {
        let report = run_unframed(running, partial_event_rate).await;
        assert_all_served(&report);
    });
}

/// The connections of a process that exits are closed in order, so that a
/// stream that was cut off looks whole.
#[test]
fn an_unframed_stream_whose_engine_exits_is_not_taken_for_whole() {
    with_small_site(async |running| {
        let set_unframed = async {
            for _ in 0..40 {
                update_all(running, |server| server.omits_framing = true);
                Timer::after(Duration::from_millis(100)).await;
            }
        };
        let streams = run_streams_while_first_engines_exit(running, 4);
        let report = futures_lite::future::zip(streams, set_unframed).await.0;
        assert_no_violation(&report);
        let text = report.to_text();
        assert!(report.served_share(RequestKind::Stream) > 0.98, "{text}");
    });
}

/// The same of an engine that is known to leave.
#[test]
fn an_unframed_stream_whose_leaving_engine_exits_is_not_taken_for_whole() {
    let site = Site { events: 200, engines_each: 8, ..Site::small() };
    with_site(&site, async |running| {
        update_all(running, |server| server.omits_framing = true);
        let load = Load {
            events: site.events,
            ..stream_load(20.0, Duration::from_secs(3))
        };
        let drains = async {
            for _ in 0..3 {
                Timer::after(Duration::from_millis(600)).await;
                let first = running.backends.first_stage_engines();
                first.first().iter().for_each(|e| running.backends.drain(**e));
            }
        };
        let played = running.run(&load, &[]);
        let report = futures_lite::future::zip(played, drains).await.0;
        assert_no_violation(&report);
    });
}

#[test]
fn an_unframed_plain_response_whose_server_exits_is_not_taken_for_whole() {
    with_small_site(async |running| {
        let backends = &running.backends;
        let servers = backends.plain_servers();
        for server in &servers {
            backends.update_server(*server, |server| {
                server.omits_framing = true;
                server.exits_within_response = true;
            });
        }
        let spec = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Once, "letter", 1)
        };
        let outcome = send_request(running, 0, &spec).await;
        assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(502));
    });
}
