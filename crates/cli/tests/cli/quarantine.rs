//! `site quarantine` against a store and the operators' ports of entries.

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

/// Commands that an operators' port has received.
type Commands = Arc<Mutex<Vec<String>>>;

fn suspect(crashes: u64) -> Value {
    let crash = |at| {
        json!({"backend_hash": "1", "age_ms": 3_000 + at,
            "is_in_trial": at > 0, "is_void": false})
    };
    let crashes: Vec<Value> = (0..crashes).map(crash).collect();
    json!({"fingerprint": FINGERPRINT, "verdict": "quarantined",
        "left_ms": 597_000, "crashes": crashes})
}

/// Serves the operators' port of an entry that knows these requests.
fn serve(suspects: Vec<Value>) -> (SocketAddr, Commands) {
    let commands = Commands::default();
    let recorded = commands.clone();
    let knows_suspects = !suspects.is_empty();
    let state = OpsState {
        metrics: Arc::new(Metrics::new("entry", "vm-1")),
        readiness: Arc::new(Readiness::new(&[])),
        status: Box::new(move || json!({"suspects": suspects})),
        command: Box::new(move |path| {
            recorded.lock().unwrap().push(path.to_owned());
            Some(json!({"is_freed": knows_suspects}))
        }),
    };
    let (listener, address) = listen();
    let executor = start_executor().unwrap();
    let serving = serve_ops(listener, executor.clone(), Arc::new(state));
    executor.spawn(serving).detach();
    (address, commands)
}

/// Starts a store that lists two entries, of which only the second knows a
/// request.
fn start() -> (SocketAddr, [Commands; 2]) {
    let (store, address) = Store::start(&start_executor().unwrap()).unwrap();
    let (first, first_commands) = serve(Vec::new());
    let (second, second_commands) = serve(vec![suspect(3)]);
    store.put_text(ENTRIES, "entry-0", &first.to_string());
    store.put_text(ENTRIES, "entry-1", &second.to_string());
    (address, [first_commands, second_commands])
}

#[test]
fn quarantined_requests_are_listed_with_their_crashes() {
    let (store, _) = start();
    let output = run(&format!("site quarantine --store {store}"));
    assert_eq!(output.exit_code, 0, "{output:?}");
    let row = output.stdout.lines().find(|line| line.starts_with(FINGERPRINT));
    let words: Vec<&str> = row.unwrap().split_whitespace().collect();
    let expected =
        [FINGERPRINT, "quarantined", "597", "3", "2", "0", "3", "1"];
    assert_eq!(words[..8], expected);
    let output = run(&format!("site quarantine --json --store {store}"));
    assert_eq!(output.json()[FINGERPRINT]["entry-1"]["left_ms"], 597_000);
}

#[test]
fn a_request_is_freed_at_an_entry_that_knows_it() {
    let (store, commands) = start();
    let line = format!("site quarantine --store {store} --free {FINGERPRINT}");
    let output = run(&line);
    assert_eq!(output.exit_code, 0, "{output:?}");
    assert_eq!(
        output.stdout.trim(),
        format!("{FINGERPRINT} freed at entry-1")
    );
    let command = format!("/quarantine/{FINGERPRINT}/free");
    assert_eq!(*commands[1].lock().unwrap(), [command]);
}

#[rstest]
#[case::short("12ab")]
#[case::no_digits("zzzzzzzzzzzzzzzz")]
fn an_invalid_fingerprint_is_refused(#[case] text: &str) {
    let line = format!("site quarantine --store 127.0.0.1:1 --free {text}");
    let output = run(&line);
    assert_eq!(output.exit_code, 2, "{output:?}");
    assert!(output.stderr.contains("is no fingerprint"), "{output:?}");
}
