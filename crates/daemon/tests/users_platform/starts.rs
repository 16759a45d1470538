//! Engines that start again under the id that they had, and rows of the list
//! that no engine wrote.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use chestnutreach_emulator::{
    backend_servers::ServerState,
    experiment::{Fault, FaultKind},
    running::RunningSite,
};

use crate::support::{assert_all_served, on_site, streams, wait_until};

/// Time in which an ended engine starts again.
const STARTS_AGAIN: Duration = Duration::from_millis(300);

fn server(running: &RunningSite, engine: SocketAddr) -> ServerState {
    running.backends.server(engine).expect("it was started")
}

/// Lines of an event, by the backend server that they name.
fn lines_by_backend(logs: &str, event: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let name = format!("\"name\":\"{event}\"");
    for line in logs.lines().filter(|line| line.contains(&name)) {
        let (_, rest) =
            line.split_once("\"backend\":\"").expect("it names one");
        let (backend, _) = rest.split_once('"').expect("the name ends");
        *counts.entry(backend.to_owned()).or_default() += 1;
    }
    counts
}

#[test]
fn an_engine_that_starts_again_under_its_id_gets_layers_again() {
    on_site(async |running| {
        let engines = running.backends.engines();
        let before: Vec<ServerState> =
            engines.iter().map(|at| server(running, *at)).collect();
        for (old, engine) in before.iter().zip(&engines) {
            running.restart_engine(*engine, STARTS_AGAIN);
            wait_until("it starts again and holds layers", async || {
                let new = server(running, *engine);
                new.started_unix_ms > old.started_unix_ms
                    && new.layers.is_some()
            })
            .await;
            assert_eq!(server(running, *engine).id, old.id);
        }
        let load = streams(20.0, Duration::from_secs(1));
        assert_all_served(&running.run(&load, &[]).await);
    });
}

#[test]
fn streams_outlive_engines_that_start_again_under_their_ids() {
    let fault = |at_ms| Fault {
        at: Duration::from_millis(at_ms),
        kind: FaultKind::EngineRestarts,
        duration: STARTS_AGAIN,
    };
    let faults = [fault(500), fault(1_300), fault(2_100)];
    let load = streams(25.0, Duration::from_secs(3));
    on_site(async |running| {
        assert_all_served(&running.run(&load, &faults).await);
    });
}

#[test]
fn rows_of_another_writer_name_no_engine_and_stop_no_other() {
    on_site(async |running| {
        let overwritten = Duration::from_millis(1_500);
        let fault = Fault {
            at: Duration::from_millis(300),
            kind: FaultKind::RowsForeign,
            duration: overwritten,
        };
        let load = streams(25.0, Duration::from_secs(3));
        assert_all_served(&running.run(&load, &[fault]).await);
        // Each row is told once by each entry.
        let told = lines_by_backend(&running.logs(), "backend_row_unusable");
        let entries = running.addresses.len();
        assert!(told.len() > 6, "{told:?}");
        assert!(told.values().all(|count| *count <= entries), "{told:?}");
        let listed: BTreeSet<String> =
            lines_by_backend(&running.logs(), "backend_listed")
                .into_keys()
                .collect();
        assert!(!listed.iter().any(|id| id.starts_with("other-")));
    });
}
