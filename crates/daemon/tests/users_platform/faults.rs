//! Faults of engines and of the plain service, under streams.

use std::{
    cell::Cell,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_emulator::{
    backend_servers::ServerState,
    caller::{RequestKind, RequestSpec},
    experiment::{Fault, FaultKind},
    load::Load,
    report::Report,
    running::RunningSite,
    site::{MODEL_SERVICE, Site},
};
use chestnutreach_protocol::peers::{OpenMove, PeerState};
use prost::Message as _;
use rstest::rstest;

use crate::support::{
    assert_all_served, assert_all_served_at, assert_kept, on, on_site, one,
    play_while_first_engines_end, streams, wait_until,
};

/// Failures that an entry takes from an engine in 4 s: three in a row, one
/// for each trial after 0.5, 1 and 2 s, and those that were under way.
const MOST_FAILURES: usize = 9;

fn fault(at_ms: u64, kind: FaultKind, length_ms: u64) -> Fault {
    Fault {
        at: Duration::from_millis(at_ms),
        kind,
        duration: Duration::from_millis(length_ms),
    }
}

fn play(load: &Load, faults: &[Fault]) -> Report {
    on_site(async |running| running.run(load, faults).await)
}

#[rstest]
#[case::ends(FaultKind::EngineEnds)]
#[case::drains(FaultKind::EngineDrains)]
#[case::is_slow(FaultKind::EngineSlow)]
#[case::comes(FaultKind::EngineComes)]
#[case::dark(FaultKind::EngineDark)]
fn streams_outlive_a_fault_of_an_engine(#[case] kind: FaultKind) {
    let load = streams(25.0, Duration::from_secs(4));
    let faults = [fault(700, kind, 1_200), fault(2_200, kind, 1_200)];
    assert_all_served(&play(&load, &faults));
}

#[test]
fn an_engine_that_fails_streams_at_once_is_left_out() {
    on_site(async |running| {
        let holds_first = |address: &SocketAddr| {
            let server = running.backends.server(*address);
            server.is_some_and(|s| s.layers.is_some_and(|held| held.0 == 0))
        };
        let mut engines = running.backends.engines().into_iter();
        let failing = engines.find(holds_first).expect("layers are held");
        running
            .backends
            .update_server(failing, |server| server.failure_rate = 1.0);
        let load = streams(40.0, Duration::from_secs(4));
        let report = running.run(&load, &[]).await;
        assert_kept(&report);
        let logs = running.logs();
        let is_failure = |line: &&str| {
            line.contains("relay_answered") && line.contains("\"500\"")
        };
        let failures = logs.lines().filter(is_failure).count();
        // Some in a row and a few trials at each entry, of 160 streams.
        let most = MOST_FAILURES * running.addresses.len();
        assert!((1..=most).contains(&failures), "{failures}");
    });
}

/// An engine after the first of a stream that runs.
fn later_engine(running: &RunningSite) -> Option<ServerState> {
    let engines = running.backends.engines();
    let servers = engines.iter().filter_map(|e| running.backends.server(*e));
    let mut paths = servers.flat_map(|server| server.streams.into_values());
    let later = paths.find_map(|stream| Some(stream.path.get(1)?.0))?;
    running.backends.server(later)
}

/// What a planner tells that is about to leave an engine one layer.
fn told_move(engine: &ServerState, sequence: u64) -> PeerState {
    let mut hasher = DefaultHasher::new();
    let incarnation = format!("{}@{}", engine.id, engine.started_unix_ms);
    incarnation.hash(&mut hasher);
    let open_move = OpenMove {
        service: MODEL_SERVICE.to_owned(),
        engine: hasher.finish() as u32,
        first_layer: 0,
        end_layer: 1,
        ..OpenMove::default()
    };
    PeerState {
        boot_id: 1,
        sequence,
        is_planner: true,
        open_moves: vec![open_move],
        ..PeerState::default()
    }
}

#[test]
fn streams_leave_layers_that_a_move_gives_up() {
    let site = Site { events: 150, ..Site::small() };
    on(&site, async |running| {
        let load = Load {
            events: site.events,
            ..streams(20.0, Duration::from_secs(2))
        };
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let sequence = Cell::new(0);
        let told = wait_until("a stream is led around", async || {
            sequence.set(sequence.get() + 1);
            if let Some(engine) = later_engine(running) {
                let told = told_move(&engine, sequence.get());
                for entry in 0..running.addresses.len() {
                    let address = running.ops_address(entry);
                    socket.send_to(&told.encode_to_vec(), address).unwrap();
                }
            }
            running.logs().contains("path_changed")
        });
        let played = running.run(&load, &[]);
        let (report, ()) = futures_lite::future::zip(played, told).await;
        assert_all_served(&report);
        assert_eq!(report.retry_arrivals(), 0, "{}", report.to_text());
    });
}

#[test]
fn a_stream_whose_first_engine_ends_goes_on_without_a_seam() {
    on_site(async |running| {
        let report = play_while_first_engines_end(running, 5).await;
        assert_all_served_at(running, &report);
        let further = report.retry_arrivals();
        assert!(further > 0, "some stream was resumed: {further}");
    });
}

#[test]
fn an_engine_that_comes_back_empty_is_ordered_to_hold_layers() {
    on_site(async |running| {
        let engine = running.backends.engines()[0];
        let first = running.backends.server(engine).unwrap();
        running.inject_fault(
            &fault(0, FaultKind::EngineEnds, 200),
            &mut fastrand::Rng::with_seed(0),
        );
        wait_until("all layers are held again", async || {
            running.backends.has_full_coverage()
                && running.backends.engines().len() == 10
        })
        .await;
        assert!(first.layers.is_some());
    });
}

#[rstest]
#[case::answers_are_lost(FaultKind::AnswersLost)]
#[case::requests_fail(FaultKind::PlainFails)]
fn non_idempotent_requests_run_at_most_once(#[case] kind: FaultKind) {
    let load = Load {
        per_s: [(RequestKind::Once, 30.0), (RequestKind::Idempotent, 30.0)]
            .into(),
        duration: Duration::from_secs(3),
        events: Site::small().events,
        seed: 5,
    };
    let report = play(&load, &[fault(400, kind, 2_000)]);
    assert_kept(&report);
    // Idempotent ones are repeated, by the entry and then by the client.
    let idempotent = report.served_share(RequestKind::Idempotent);
    let once = report.served_share(RequestKind::Once);
    assert!(idempotent > once, "{}", report.to_text());
}

#[test]
fn an_entry_that_is_killed_takes_no_promise_with_it() {
    let load = Load {
        per_s: [(RequestKind::Stream, 15.0), (RequestKind::Once, 10.0)].into(),
        duration: Duration::from_secs(4),
        events: Site::small().events,
        seed: 6,
    };
    let faults = [
        fault(600, FaultKind::EntryKilled, 500),
        fault(1_800, FaultKind::EntryKilled, 500),
        fault(2_000, FaultKind::EntryPauses, 700),
    ];
    let report = play(&load, &faults);
    assert_kept(&report);
    assert!(
        report.served_share(RequestKind::Stream) > 0.9,
        "{}",
        report.to_text()
    );
}

#[test]
fn streams_whose_answers_vanish_go_on_elsewhere() {
    on_site(async |running| {
        // Enough that began to tell who is overdue.
        let load = streams(25.0, Duration::from_secs(1));
        assert_all_served(&running.run(&load, &[]).await);
        for engine in running.backends.engines() {
            running
                .backends
                .update_server(engine, |server| server.hang_rate = 0.3);
        }
        let load = streams(25.0, Duration::from_secs(3));
        let report = running.run(&load, &[]).await;
        assert_kept(&report);
        assert!(report.retry_arrivals() > 0, "{}", report.to_text());
        let logs = running.logs();
        assert!(logs.contains("later ones have begun"));
    });
}

/// An engine whose row has lapsed may live and run what it was sent, so it
/// counts for the route's `max-attempts`, which is 2.
#[test]
fn engines_that_lapsed_and_live_count_as_attempts() {
    let site = Site { events: 150, ..Site::small() };
    on(&site, async |running| {
        let lapse_all = async || {
            Timer::after(Duration::from_millis(500)).await;
            for first in running.backends.first_stage_engines() {
                running.backends.remove_row(first);
                // The stream looks for what its pause means, and leaves.
                running.backends.update_server(first, |s| s.slowness = 40.0);
            }
        };
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 150)
        };
        let lapse = async {
            lapse_all().await;
            lapse_all().await;
            Timer::after(Duration::from_millis(1_500)).await;
            for engine in running.backends.engines() {
                running.backends.update_server(engine, |s| s.slowness = 1.0);
            }
        };
        let stream = one(running, 0, &wish);
        let (outcome, ()) = futures_lite::future::zip(stream, lapse).await;
        let arrivals = running.backends.observations().arrival_counts;
        assert_eq!(arrivals[&outcome.attempts[0].id], 2, "{outcome:?}");
    });
}
