//! Rows of another writer in the tables that entries follow.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Outcome, RequestKind, RequestSpec},
    load::Load,
    running::RunningSite,
    site::Site,
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{assert_no_violation, send_request, with_site};

/// Table of servers, and that of entries.
const TABLES: [&str; 2] = ["servers", "chestnutreach-entries"];
/// Time within which entries follow a change of the list of servers.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Interval at which servers write their rows.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time within which entries use a server that writes its row again.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(6_000);

/// A row as a server writes it, at an address where nobody listens.
fn valid_row() -> Value {
    json!({
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "hall-a",
        "slots": 64,
        "state": "ready",
        "seq": 7,
        "born": 1_796_000_000_500_u64,
        "kind": "card",
        "layers": {"from": 0, "target": 5, "version": 1},
    })
}

fn with_text(name: &str, text: &str) -> String {
    let mut row = valid_row();
    row[name] = json!("PLACE");
    row.to_string().replace("\"PLACE\"", text)
}

fn nested(depth: usize) -> Vec<String> {
    let open = ["[", "{\"a\":"].map(|text| text.repeat(depth));
    let whole = [
        format!("{}1{}", open[0], "]".repeat(depth)),
        format!("{}1{}", open[1], "}".repeat(depth)),
    ];
    let mut rows: Vec<String> = open.to_vec();
    for text in &whole {
        rows.push(text.clone());
        for name in ["unknown", "layers", "address", "born"] {
            rows.push(with_text(name, text));
        }
    }
    rows
}

fn numbers() -> Vec<String> {
    let long = "9".repeat(400);
    let texts = [
        "-1",
        "0.5",
        "1e400",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        &long,
    ];
    let names = ["seq", "slots", "born", "cold-remaining-ms", "unknown"];
    let mut rows = Vec::new();
    for text in texts {
        rows.extend(names.map(|name| with_text(name, text)));
        for (from, target) in [(text, "5"), ("0", text), (text, text)] {
            let layers = format!("{{\"from\":{from},\"target\":{target}}}");
            rows.push(with_text("layers", &layers));
        }
    }
    rows
}

fn addresses() -> Vec<String> {
    let addresses = [
        "127.0.0.1:70000",
        "127.0.0.1:100000000000000000000",
        "127.0.0.1:-1",
        "127.0.0.1:0",
        "127.0.0.1",
        "255.255.255.255:9",
        "[::1]:9",
        "[::1%lo]:9",
        "",
    ];
    let mut rows: Vec<String> = addresses.map(str::to_owned).to_vec();
    rows.extend(
        addresses.map(|at| with_text("address", &json!(at).to_string())),
    );
    rows
}

fn others() -> Vec<String> {
    let mut rows = vec![String::new(), "\u{0}".to_owned(), "{".to_owned()];
    rows.push("\"\\ud800\"".to_owned());
    for text in ["\"\"", "null", "\"nowhere\"", "\"\\ud800\"", "{}"] {
        let names = ["service", "zone", "kind", "state", "version"];
        rows.extend(names.map(|name| with_text(name, text)));
    }
    rows
}

async fn play(running: &RunningSite) {
    let load = Load {
        per_s: [
            (RequestKind::Stream, 10.0),
            (RequestKind::Idempotent, 10.0),
            (RequestKind::Once, 10.0),
        ]
        .into(),
        duration: Duration::from_secs(3),
        events: running.backends.site().events,
        seed: 69,
    };
    let report = running.run(&load, &[]).await;
    assert_no_violation(&report);
    let is_unserved = |o: &&Outcome| !o.is_served();
    let unserved: Vec<_> =
        report.outcomes.iter().filter(is_unserved).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
}

/// Entries go on, use the other rows, and follow later ones.
#[rstest]
#[case::nested_deeply([nested(100), nested(200), nested(12_000)].concat())]
#[case::numbers_out_of_range(numbers())]
#[case::addresses_out_of_range(addresses())]
#[case::fields_without_meaning(others())]
fn entries_serve_with_rows_that_no_server_writes(#[case] rows: Vec<String>) {
    with_site(&Site { events: 10, ..Site::small() }, async |running| {
        for table in TABLES {
            for (number, text) in rows.iter().enumerate() {
                let key = format!("odd-{number}");
                running.store.put_text(table, &key, text);
            }
            running.store.put_invalid_base64(table, "odd-base64");
        }
        Timer::after(FOLLOW_TIMEOUT).await;
        play(running).await;
        // An entry that starts reads all of them at once.
        running.restart_entry(0);
        Timer::after(FOLLOW_TIMEOUT).await;
        let spec = RequestSpec::new(RequestKind::Stream, "after", 10);
        let outcome = send_request(running, 0, &spec).await;
        assert!(outcome.is_served(), "{outcome:?}");
        for entry in 0..running.addresses.len() {
            assert_eq!(running.exit_code(entry), None, "entry {entry}");
            assert!(running.is_ready(entry).await, "entry {entry}");
        }
        let logs = running.logs();
        assert!(logs.contains("backend_row_unusable"), "no row was refused");
    });
}

/// A number too large in a row under the id of a running engine must not keep
/// the engine from work once it has written its row again.
#[test]
fn an_engine_is_used_again_after_a_row_with_a_late_start_time() {
    let site = Site { events: 10, ..Site::small() };
    with_site(&site, async |running| {
        let engines = running.backends.engines();
        for engine in &engines {
            let id = running.backends.server(*engine).unwrap().id;
            let row = with_text("born", "18446744073709551615");
            running.store.put_text("servers", &id, &row);
        }
        Timer::after(Duration::from_millis(500)).await;
        let until = Instant::now() + RECOVERY_TIMEOUT;
        while Instant::now() < until {
            for engine in &engines {
                running.backends.write_row(*engine);
            }
            Timer::after(HEARTBEAT).await;
        }
        play(running).await;
    });
}
