//! Engines that close their port and go on with the streams that they have.

use std::time::Duration;

use async_io::Timer;
use chestnutreach_emulator::{load::Load, running::RunningSite, site::Site};

use crate::support::{assert_no_violation, stream_load, with_site};

/// Attempts that the route for streams allows.
const MAX_ATTEMPTS: u32 = 2;
/// Step time of an engine that goes on, relative to a healthy engine.
const SLOWNESS: f64 = 100.0;

/// Closes the ports of the engines of the first stage one after another, each
/// while streams run there.
async fn close_ports(running: &RunningSite, count: usize) {
    for _ in 0..count {
        Timer::after(Duration::from_millis(500)).await;
        let first = running.backends.first_stage_engines();
        let open = first.into_iter().find(|engine| {
            let server = running.backends.server(*engine);
            server.is_some_and(|server| !server.has_closed_port)
        });
        if let Some(engine) = open {
            running.backends.update_server(engine, |server| {
                server.has_closed_port = true;
                server.slowness = SLOWNESS;
            });
        }
    }
}

/// An engine whose port is closed may still run the stream.
#[test]
fn a_stream_runs_on_no_third_engine_while_two_with_closed_ports_run_it() {
    let site = Site { engines_each: 8, events: 120, ..Site::small() };
    with_site(&site, async |running| {
        let load = Load {
            events: site.events,
            ..stream_load(25.0, Duration::from_secs(3))
        };
        let played = running.run(&load, &[]);
        let closing = close_ports(running, 5);
        let report = futures_lite::future::zip(played, closing).await.0;
        assert_no_violation(&report);
        let runs = &report.observations.run_counts;
        let excess: Vec<_> =
            runs.iter().filter(|(_, runs)| **runs > MAX_ATTEMPTS).collect();
        assert!(excess.is_empty(), "{excess:?}");
    });
}
