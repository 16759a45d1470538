//! `site needs`, against a store and ports of entries.

use std::{net::SocketAddr, sync::Arc};

use chestnutreach_emulator::{start_executor, store::Store};
use chestnutreach_site::tables::ENTRIES;
use chestnutreach_telemetry::{Metrics, OpsState, Readiness, serve_ops};
use serde_json::{Value, json};

use crate::support::{listen, run};

/// The port of an entry with this status.
fn serve(status: Value) -> SocketAddr {
    let state = OpsState {
        metrics: Arc::new(Metrics::new("entry", "vm-1")),
        readiness: Arc::new(Readiness::new(&[])),
        status: Box::new(move || status.clone()),
        command: Box::new(|_| None),
    };
    let (listener, address) = listen();
    let executor = start_executor().unwrap();
    let serving = serve_ops(listener, executor.clone(), Arc::new(state));
    executor.spawn(serving).detach();
    address
}

#[test]
fn needs_are_shown_with_who_knows_them() {
    let (store, address) = Store::start(&start_executor().unwrap()).unwrap();
    let limited = json!({"id": "i-1", "limit": {"per_s": 5.9,
        "named_age_ms": 120, "issuer": "77", "sent_4s": 8}});
    let other = json!({"id": "i-2", "limit": null, "rest_left_ms": 0,
        "leaving_ms": null, "has_said_leaving": false});
    let rests = json!({"id": "i-3", "limit": null, "rest_left_ms": 1_700,
        "leaving_ms": 40, "has_said_leaving": true});
    let first = json!({"boot_id": "76", "backends": [limited, other]});
    let second = json!({"boot_id": "77", "backends": [other, rests]});
    store.put_text(ENTRIES, "entry-0", &serve(first).to_string());
    store.put_text(ENTRIES, "entry-1", &serve(second).to_string());
    let ran = run(&format!("site needs --store {address}"));
    assert_eq!(ran.code, 0, "{ran:?}");
    let rows: Vec<&str> =
        ran.out.lines().filter(|line| line.starts_with("i-")).collect();
    assert_eq!(rows.len(), 2, "{ran:?}");
    let words =
        |row: usize| -> Vec<&str> { rows[row].split_whitespace().collect() };
    let limited = ["i-1", "entry-0", "5.9", "120", "entry-1", "8"];
    assert_eq!(words(0)[..6], limited);
    let resting = ["i-3", "entry-1", "-", "-", "-", "-", "1700", "40", "true"];
    assert_eq!(words(1), resting);
    let ran = run(&format!("site needs --json --store {address}"));
    assert_eq!(ran.json()["i-1"]["entry-0"]["limit"]["sent_4s"], 8);
}
