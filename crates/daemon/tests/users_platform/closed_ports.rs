//! Engines that close their port, or do not accept connections, and go on with
//! the streams that they have.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{load::Load, running::RunningSite, site::Site};
use rstest::rstest;
use serde_json::json;

use crate::support::{assert_no_violation, stream_load, with_site};

/// Step time of an engine that goes on, relative to a healthy engine.
const SLOWNESS: f64 = 100.0;
/// The same of one that stands still for the whole test.
const STANDSTILL: f64 = 100_000.0;

/// What happens to the port of an engine.
#[derive(Clone, Copy, Debug)]
enum PortFault {
    Closed,
    /// Its queue is full: connection attempts get no answer.
    Full,
    /// The same, and no stream makes progress: the process stands still.
    FullAtStandstill,
    /// The port is open, and a row of another writer states that a later
    /// process has the engine's id.
    OpenAndReplaced,
}

/// Affects the ports of the engines of the first stage one after another, each
/// while streams run there.
async fn affect_ports(running: &RunningSite, fault: PortFault, count: usize) {
    for _ in 0..count {
        Timer::after(Duration::from_millis(500)).await;
        let first = running.backends.first_stage_engines();
        let open = first.into_iter().find(|engine| {
            let server = running.backends.server(*engine);
            server.is_some_and(|s| s.slowness < SLOWNESS)
        });
        if let Some(engine) = open {
            running.backends.update_server(engine, |server| {
                match fault {
                    PortFault::Closed => server.has_closed_port = true,
                    PortFault::Full | PortFault::FullAtStandstill => {
                        server.has_full_port = true;
                    }
                    PortFault::OpenAndReplaced => {}
                }
                server.slowness = match fault {
                    PortFault::Closed
                    | PortFault::Full
                    | PortFault::OpenAndReplaced => SLOWNESS,
                    PortFault::FullAtStandstill => STANDSTILL,
                };
            });
            if matches!(fault, PortFault::OpenAndReplaced) {
                write_later_row(running, engine);
            }
        }
    }
}

/// Writes a row with a later start under the id of an engine, at an address
/// where nobody listens.
fn write_later_row(running: &RunningSite, engine: SocketAddr) {
    let Some(server) = running.backends.server(engine) else { return };
    running.backends.write_changed_row(engine, |row| {
        row["address"] = json!("127.0.0.1:9");
        row["born"] = json!(server.started_unix_ms + 1_000);
        row["layers"] = json!(null);
    });
}

/// An engine that can't be reached any more may still run the stream.
#[rstest]
#[case::are_closed(PortFault::Closed)]
#[case::are_full(PortFault::Full)]
#[case::are_full_while_they_stand_still(PortFault::FullAtStandstill)]
#[case::are_open_while_a_row_states_a_later_start(PortFault::OpenAndReplaced)]
fn a_stream_runs_on_no_third_engine_while_two_run_it_whose_ports(
    #[case] fault: PortFault,
) {
    let site = Site { engines_each: 8, events: 120, ..Site::small() };
    with_site(&site, async |running| {
        let load = Load {
            events: site.events,
            ..stream_load(25.0, Duration::from_secs(3))
        };
        let played = running.run(&load, &[]);
        let closing = affect_ports(running, fault, 5);
        let report = futures_lite::future::zip(played, closing).await.0;
        assert_no_violation(&report);
        let excess = report.requests_on_excess_servers();
        assert!(excess.is_empty(), "{excess:?}");
        let logs = running.logs();
        let suspected =
            logs.lines().find(|line| line.contains("request_suspected"));
        assert!(suspected.is_none(), "no server crashed: {suspected:?}");
    });
}
