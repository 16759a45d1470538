//! `site quarantine`, against a store and ports of entries.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use chestnutreach_emulator::{start_executor, store::Store};
use chestnutreach_site::tables::ENTRIES;
use chestnutreach_telemetry::{Metrics, OpsState, Readiness, serve_ops};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{listen, run};

const FINGERPRINT: &str = "40caea26137be19c";

/// Orders that a port took.
type Orders = Arc<Mutex<Vec<String>>>;

fn suspect(crashes: u64) -> Value {
    let crash = |at| {
        json!({"backend_hash": "1", "age_ms": 3_000 + at,
            "is_in_trial": at > 0, "is_void": false})
    };
    let crashes: Vec<Value> = (0..crashes).map(crash).collect();
    json!({"fingerprint": FINGERPRINT, "verdict": "quarantined",
        "left_ms": 597_000, "crashes": crashes})
}

/// The port of an entry that knows these requests.
fn serve(suspects: Vec<Value>) -> (SocketAddr, Orders) {
    let orders = Orders::default();
    let taken = orders.clone();
    let knows = !suspects.is_empty();
    let state = OpsState {
        metrics: Arc::new(Metrics::new("entry", "vm-1")),
        readiness: Arc::new(Readiness::new(&[])),
        status: Box::new(move || json!({"suspects": suspects})),
        command: Box::new(move |path| {
            taken.lock().unwrap().push(path.to_owned());
            Some(json!({"is_freed": knows}))
        }),
    };
    let (listener, address) = listen();
    let executor = start_executor().unwrap();
    let serving = serve_ops(listener, executor.clone(), Arc::new(state));
    executor.spawn(serving).detach();
    (address, orders)
}

/// A store that lists two entries, of which the second knows a request.
fn start() -> (SocketAddr, [Orders; 2]) {
    let (store, address) = Store::start(&start_executor().unwrap()).unwrap();
    let (first, first_orders) = serve(Vec::new());
    let (second, second_orders) = serve(vec![suspect(3)]);
    store.put_text(ENTRIES, "entry-0", &first.to_string());
    store.put_text(ENTRIES, "entry-1", &second.to_string());
    (address, [first_orders, second_orders])
}

#[test]
fn what_is_quarantined_is_shown_with_its_evidence() {
    let (store, _) = start();
    let ran = run(&format!("site quarantine --store {store}"));
    assert_eq!(ran.code, 0, "{ran:?}");
    let row = ran.out.lines().find(|line| line.starts_with(FINGERPRINT));
    let words: Vec<&str> = row.unwrap().split_whitespace().collect();
    let expected =
        [FINGERPRINT, "quarantined", "597", "3", "2", "0", "3", "1"];
    assert_eq!(words[..8], expected);
    let ran = run(&format!("site quarantine --json --store {store}"));
    assert_eq!(ran.json()[FINGERPRINT]["entry-1"]["left_ms"], 597_000);
}

#[test]
fn a_request_is_freed_at_an_entry_that_knows_it() {
    let (store, orders) = start();
    let line = format!("site quarantine --store {store} --free {FINGERPRINT}");
    let ran = run(&line);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.out.trim(), format!("{FINGERPRINT} freed at entry-1"));
    let order = format!("/quarantine/{FINGERPRINT}/free");
    assert_eq!(*orders[1].lock().unwrap(), [order]);
}

#[rstest]
#[case::short("12ab")]
#[case::no_digits("zzzzzzzzzzzzzzzz")]
fn what_is_no_fingerprint_is_refused(#[case] text: &str) {
    let line = format!("site quarantine --store 127.0.0.1:1 --free {text}");
    let ran = run(&line);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(ran.err.contains("is no fingerprint"), "{ran:?}");
}
