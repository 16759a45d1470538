//! `site` against the store of the emulator and log files.

use std::{fs, process::Command};

use chestnutreach_emulator::{
    backend_servers::BackendServers,
    engines,
    site::{KEY, MODEL_SERVICE, Site},
    start_executor,
    store::Store,
};
use rstest::rstest;
use serde_json::Value;

struct CommandOutput {
    exit_code: i32,
    stdout: String,
    stderr: String,
}

fn run(arguments: &[&str]) -> CommandOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutreach"))
        .arg("site")
        .args(arguments)
        .output()
        .unwrap();
    CommandOutput {
        exit_code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

const LOGS: &str = concat!(
    r#"{"timestamp":"2026-01-01T00:00:01.100Z","message":"m","kvs":{"name":"relay_sent","request":"r1","backends":"i-1=0-6,i-2=6-12"}}"#,
    "\n",
    r#"  12.3 front-a {"timestamp":"2026-01-01T00:00:01.200Z","message":"m","kvs":{"name":"backend_suspected","backend":"i-2","evidence":"refused"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:01.210Z","message":"m","kvs":{"name":"backend_suspected","backend":"i-9","evidence":"refused"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:02.000Z","message":"m","kvs":{"name":"relay_ended","request":"r1","route":"r-a","outcome":"completed","attempts":"2","changes":"1","max_gap_ms":"300","reason":""}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:02.100Z","message":"m","kvs":{"name":"relay_ended","request":"r2","route":"r-a","outcome":"not_run","attempts":"0","changes":"0","reason":"no_backend"}}"#,
    "\nnot ours\n",
);

fn with_logs(arguments: &[&str]) -> CommandOutput {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("logs");
    fs::write(&path, LOGS).unwrap();
    let mut all = arguments.to_vec();
    all.extend(["--logs", path.to_str().unwrap()]);
    run(&all)
}

#[test]
fn a_trace_contains_the_outcome_and_the_events_of_its_engines() {
    let output = with_logs(&["trace", "--request", "r1"]);
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    assert!(
        output.stdout.contains("completed; 2 attempts"),
        "{}",
        output.stdout
    );
    assert!(output.stdout.contains("i-2"), "{}", output.stdout);
    assert!(!output.stdout.contains("i-9"), "{}", output.stdout);
    let json = with_logs(&["trace", "--request", "r1", "--json"]).stdout;
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["lines"].as_array().unwrap().len(), 2);
    let unknown = with_logs(&["trace", "--request", "r9"]);
    assert_eq!(unknown.exit_code, 1);
    assert!(unknown.stderr.contains("r9"));
}

#[test]
fn burn_is_reported_as_text_json_and_html() {
    let output = with_logs(&["burn", "--objective", "0.9"]);
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    assert!(output.stdout.contains("5.00"), "half are bad: {}", output.stdout);
    let json = with_logs(&["burn", "--json"]).stdout;
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["r-a"]["good"], 1);
    let dir = tempfile::tempdir().unwrap();
    let page = dir.path().join("page.html");
    let output = with_logs(&["burn", "--html", page.to_str().unwrap()]);
    assert_eq!(output.exit_code, 0);
    assert!(fs::read_to_string(page).unwrap().contains("<svg"));
    assert_eq!(with_logs(&["burn", "--objective", "1"]).exit_code, 2);
}

#[rstest]
#[case("apply")]
#[case("drain")]
fn unavailable_subcommands_are_refused_by_name(#[case] name: &str) {
    let output = run(&[name]);
    assert_eq!(output.exit_code, 3);
    assert!(output.stderr.contains(name), "{}", output.stderr);
}

#[test]
fn check_reports_all_findings_of_a_file() {
    let deploy =
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    let good = run(&["check", "--deploy", deploy]);
    assert_eq!(good.exit_code, 0, "{}{}", good.stdout, good.stderr);
    let dir = tempfile::tempdir().unwrap();
    let bad = dir.path().join("bad.toml");
    fs::write(&bad, "[roles.a]\non = \"x\"\nshare = 2.0\nmetrics = \"x/y\"\n")
        .unwrap();
    let bad = bad.to_str().unwrap();
    let output = run(&["check", "--deploy", bad, "--settings", bad]);
    assert_eq!(output.exit_code, 2);
    for place in [
        "build",
        "roles.a.run",
        "roles.a.on",
        "roles.a.share",
        "roles.a.metrics",
        "node-name",
    ] {
        assert!(output.stdout.contains(place), "{place}: {}", output.stdout);
    }
}

#[test]
fn show_and_explain_follow_the_layers_in_the_store() {
    let executor = start_executor().unwrap();
    let site = Site::small();
    let (store, address) = Store::start(&executor).unwrap();
    store.put("op", "config", &site.configuration(7, &[KEY]));
    let world = BackendServers::new(&site, &store, &executor);
    engines::start_all(&world).unwrap();
    let at = address.to_string();
    let explain = [
        "explain",
        "--store",
        &at,
        "--service",
        MODEL_SERVICE,
        "--data-centre",
        "hall-a",
    ];
    let no_path = run(&explain);
    assert_eq!(no_path.exit_code, 1);
    assert!(no_path.stderr.contains("no ready engine holds 0 1"));
    for (index, engine) in world.engines().into_iter().enumerate() {
        let first = 4 * (index as u32 % 3);
        let held = Some((first, first + 4));
        world.update_server(engine, |server| server.layers = held);
        world.write_row(engine);
    }
    let shown = run(&["show", "--store", &at, "--json"]);
    assert_eq!(shown.exit_code, 0, "{}", shown.stderr);
    let json: Value = serde_json::from_str(&shown.stdout).unwrap();
    assert_eq!(json["configuration"], 7);
    let cover = &json["cover"][MODEL_SERVICE];
    assert_eq!(cover["hall-a"].as_array().unwrap().len(), 12);
    let path = run(&explain);
    assert_eq!(path.exit_code, 0, "{}", path.stderr);
    assert_eq!(path.stdout.lines().count(), 3, "{}", path.stdout);
}

const QUARANTINE: &str = concat!(
    r#"{"timestamp":"2026-01-01T00:00:01.100Z","message":"m","kvs":{"name":"request_suspected","request":"r1","fingerprint":"f1","backend":"i-1","crashes":"1"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:01.200Z","message":"m","kvs":{"name":"request_quarantined","fingerprint":"f1","crashes":"3"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:01.300Z","message":"m","kvs":{"name":"request_suspected","request":"r2","fingerprint":"second-fingerprint","backend":"i-2","crashes":"1"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:02.000Z","message":"m","kvs":{"name":"quarantine_refused","request":"r3","fingerprint":"f1","left_ms":"9"}}"#,
    "\n",
    r#"{"timestamp":"2026-01-01T00:00:02.001Z","message":"m","kvs":{"name":"relay_ended","request":"r3","route":"r-a","outcome":"not_run","attempts":"0","changes":"0","reason":"quarantined"}}"#,
    "\n",
);

#[test]
fn a_trace_of_a_quarantined_request_contains_crashes_under_other_ids() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("logs");
    fs::write(&path, QUARANTINE).unwrap();
    let logs = path.to_str().unwrap();
    let output = run(&["trace", "--request", "r3", "--logs", logs]);
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    assert!(
        output.stdout.contains("not_run, quarantined"),
        "{}",
        output.stdout
    );
    let (_, related) = output.stdout.split_once("under other ids").unwrap();
    assert!(related.contains("request_suspected"), "{related}");
    assert!(related.contains("request_quarantined"), "{related}");
    assert!(!related.contains("second-fingerprint"), "{related}");
}
