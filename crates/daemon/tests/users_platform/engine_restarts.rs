//! Engines that restart under their previous id, and rows of the backend table
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

use crate::support::{
    assert_all_served, stream_load, wait_until, with_small_site,
};

/// Time after which an exited engine restarts.
const RESTART_DELAY: Duration = Duration::from_millis(300);

fn server_state(running: &RunningSite, engine: SocketAddr) -> ServerState {
    running.backends.server(engine).expect("the engine was started")
}

/// Returns the number of log lines of an event, by backend server.
fn event_counts_by_backend(
    logs: &str,
    event: &str,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let name = format!("\"name\":\"{event}\"");
    for line in logs.lines().filter(|line| line.contains(&name)) {
        let (_, rest) = line
            .split_once("\"backend\":\"")
            .expect("the line names a backend server");
        let (backend, _) =
            rest.split_once('"').expect("the name has a closing quote");
        *counts.entry(backend.to_owned()).or_default() += 1;
    }
    counts
}

#[test]
fn an_engine_restarted_under_its_id_is_assigned_layers_again() {
    with_small_site(async |running| {
        let engines = running.backends.engines();
        let before: Vec<ServerState> =
            engines.iter().map(|at| server_state(running, *at)).collect();
        for (old, engine) in before.iter().zip(&engines) {
            running.restart_engine(*engine, RESTART_DELAY);
            wait_until("the engine restarts and holds layers", async || {
                let new = server_state(running, *engine);
                new.started_unix_ms > old.started_unix_ms
                    && new.layers.is_some()
            })
            .await;
            assert_eq!(server_state(running, *engine).id, old.id);
        }
        let load = stream_load(20.0, Duration::from_secs(1));
        assert_all_served(&running.run(&load, &[]).await);
    });
}

#[test]
fn streams_survive_engines_that_restart_under_their_ids() {
    let fault = |at_ms| Fault {
        at: Duration::from_millis(at_ms),
        kind: FaultKind::EngineRestarts,
        duration: RESTART_DELAY,
    };
    let faults = [fault(500), fault(1_300), fault(2_100)];
    let load = stream_load(25.0, Duration::from_secs(3));
    with_small_site(async |running| {
        assert_all_served(&running.run(&load, &faults).await);
    });
}

#[test]
fn rows_of_another_writer_are_ignored_and_affect_no_engine() {
    with_small_site(async |running| {
        let fault_length = Duration::from_millis(1_500);
        let fault = Fault {
            at: Duration::from_millis(300),
            kind: FaultKind::RowsForeign,
            duration: fault_length,
        };
        let load = stream_load(25.0, Duration::from_secs(3));
        assert_all_served(&running.run(&load, &[fault]).await);
        // Each entry logs each unusable row once.
        let unusable =
            event_counts_by_backend(&running.logs(), "backend_row_unusable");
        let entries = running.addresses.len();
        assert!(unusable.len() > 6, "{unusable:?}");
        assert!(
            unusable.values().all(|count| *count <= entries),
            "{unusable:?}"
        );
        let listed: BTreeSet<String> =
            event_counts_by_backend(&running.logs(), "backend_listed")
                .into_keys()
                .collect();
        assert!(!listed.iter().any(|id| id.starts_with("other-")));
    });
}
