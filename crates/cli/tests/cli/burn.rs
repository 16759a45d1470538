//! `burn` over prepared samples and against a real operators' port.

use std::{fs, sync::Arc, time::Duration};

use chestnutreach_standins::closed_address;
use chestnutreach_telemetry::{Metrics, OpsState, Readiness, ops, serve_ops};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{
    CommandOutput, executor, file, listen, manifest, path, run,
};

const SERVICE: &str = "desk-llm";
const MINUTE_MS: u64 = 60_000;

/// Counters of one daemon: within target, completed, failed and invalid
/// requests.
type Counts = [u64; 4];

/// One daemon in a sample: last byte of its address, boot id, counters.
struct Daemon(u8, u64, Counts);

fn sample(at_minute: u64, daemons: &[Daemon]) -> Value {
    let daemons: serde_json::Map<String, Value> = daemons
        .iter()
        .map(|Daemon(host, boot_id, [within, completed, failed, wrong])| {
            let service = json!({
                "within_target": within,
                "outcomes": {
                    "completed": {"": completed},
                    "failed": {"": failed},
                    "not-run": {"bad_request": wrong},
                },
            });
            let daemon = json!({
                "vm": format!("vm-{host}"),
                "boot_id": boot_id,
                "services": {SERVICE: service},
            });
            (format!("10.0.0.{host}:7101"), daemon)
        })
        .collect();
    json!({"at_unix_ms": (1000 + at_minute) * MINUTE_MS, "daemons": daemons})
}

fn burn(samples: &[Value], extra_arguments: &str) -> CommandOutput {
    let samples = json!({"version": 1, "samples": samples}).to_string();
    let samples = file("samples.json", &samples);
    let manifest = file("manifest.ini", &manifest());
    run(&format!(
        "burn --manifest {manifest} --samples {samples} {extra_arguments}"
    ))
}

fn window<'a>(report: &'a Value, length: &str) -> &'a Value {
    let services = report["services"].as_array().unwrap();
    let service = services.iter().find(|s| s["service"] == SERVICE).unwrap();
    let windows = service["windows"].as_array().unwrap();
    windows.iter().find(|w| w["window"] == length).unwrap()
}

struct Case {
    samples: Vec<Value>,
    window: &'static str,
    /// Requests, bad requests and the burn rate at an objective of 99.5 %.
    figures: Option<(u64, u64, f64)>,
    not_covered: &'static str,
    restarts: u64,
}

#[rstest]
#[case::whole_window(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [50, 50, 0, 0])]),
        sample(5, &[Daemon(1, 1, [60, 60, 0, 0])]),
        sample(10, &[Daemon(1, 1, [255, 258, 2, 40])]),
    ],
    window: "5m",
    figures: Some((200, 5, 5.0)),
    not_covered: "",
    restarts: 0,
})]
#[case::longer_than_the_samples(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [0; 4])]),
        sample(10, &[Daemon(1, 1, [9, 9, 0, 0])]),
    ],
    window: "1h",
    figures: None,
    not_covered: "samples reach back 10m",
    restarts: 0,
})]
#[case::samples_too_far_apart(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [0; 4])]),
        sample(10, &[Daemon(1, 1, [9, 9, 0, 0])]),
    ],
    window: "5m",
    figures: None,
    not_covered: "samples are too far apart: 10m",
    restarts: 0,
})]
#[case::restart_by_boot_id(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [100, 100, 0, 0])]),
        // The counters are higher than before, but all counts are new.
        sample(5, &[Daemon(1, 2, [198, 200, 0, 0])]),
    ],
    window: "5m",
    figures: Some((200, 2, 2.0)),
    not_covered: "",
    restarts: 1,
})]
#[case::restart_by_a_lower_counter(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [100, 100, 9, 0])]),
        sample(5, &[Daemon(1, 1, [100, 100, 0, 0])]),
    ],
    window: "5m",
    figures: Some((100, 0, 0.0)),
    not_covered: "",
    restarts: 1,
})]
#[case::missing_from_one_sample(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [0; 4]), Daemon(2, 1, [0; 4])]),
        sample(5, &[Daemon(1, 1, [50, 50, 0, 0])]),
        sample(10, &[
            Daemon(1, 1, [100, 100, 0, 0]),
            Daemon(2, 1, [96, 98, 2, 0]),
        ]),
    ],
    window: "10m",
    figures: Some((200, 4, 4.0)),
    not_covered: "",
    restarts: 0,
})]
#[case::new_address(Case {
    samples: vec![
        sample(0, &[Daemon(1, 1, [0; 4])]),
        sample(5, &[Daemon(1, 1, [0; 4]), Daemon(2, 1, [500, 900, 0, 0])]),
        sample(10, &[
            Daemon(1, 1, [0; 4]),
            Daemon(2, 1, [600, 1000, 0, 0]),
        ]),
    ],
    window: "10m",
    figures: Some((100, 0, 0.0)),
    not_covered: "",
    restarts: 0,
})]
fn windows_are_computed_from_samples(#[case] case: Case) {
    let output =
        burn(&case.samples, &format!("--json --windows {}", case.window));
    assert_eq!(output.exit_code, 0, "{output:?}");
    let report = output.json();
    let window = window(&report, case.window);
    assert_eq!(report["restarts"], case.restarts);
    let Some((requests, bad, burn_rate)) = case.figures else {
        assert_eq!(window["figures"], Value::Null);
        assert_eq!(window["not_covered"], case.not_covered);
        return;
    };
    let figures = &window["figures"];
    assert_eq!(figures["requests"], requests, "{figures}");
    assert_eq!(figures["bad"], bad, "{figures}");
    let measured = figures["burn_rate"].as_f64().unwrap();
    assert!((measured - burn_rate).abs() < 1e-6, "{figures}");
}

#[test]
fn text_names_windows_and_classes_without_figures() {
    let samples = [
        sample(0, &[Daemon(1, 1, [0; 4])]),
        sample(5, &[Daemon(1, 1, [99, 99, 1, 0])]),
    ];
    let output = burn(&samples, "");
    assert_eq!(output.exit_code, 0);
    for expected in [
        "5m      100       1    0.5      99.00   2.00",
        "not covered: samples reach back 5m",
        "not measured: daemons count by service, not by class of account",
        "samples: 2 over 5m; restarts of daemons: 0",
    ] {
        assert!(
            output.stdout.contains(expected),
            "{expected}: {}",
            output.stdout
        );
    }
}

#[test]
fn the_html_page_is_self_contained() {
    let samples: Vec<Value> = (0..20)
        .map(|minute| {
            let bad = 2 * minute;
            sample(minute, &[Daemon(1, 1, [9 * minute, 9 * minute, bad, 0])])
        })
        .collect();
    let page = path("burn.html");
    assert_eq!(burn(&samples, &format!("--html {page}")).exit_code, 0);
    let page = fs::read_to_string(page).unwrap();
    for reference in ["http:", "https:", "<script", "<link", "src=", "url("] {
        assert!(!page.contains(reference), "{reference}");
    }
    assert!(page.matches("<svg").count() >= 2, "{page}");
    assert!(!page.contains("NaN") && !page.contains("inf"), "{page}");
}

#[rstest]
#[case::no_json("{", 1)]
#[case::other_version(r#"{"version": 2, "samples": []}"#, 1)]
fn an_unreadable_samples_file_is_not_overwritten(
    #[case] content: &str,
    #[case] exit_code: i32,
) {
    let samples = file("samples.json", content);
    let manifest = file("manifest.ini", &manifest());
    let (ops, _) = serve_metrics();
    let output = run(&format!(
        "burn --ops {ops} --manifest {manifest} --samples {samples}"
    ));
    assert_eq!(output.exit_code, exit_code, "{output:?}");
    assert_eq!(fs::read_to_string(samples).unwrap(), content);
}

fn serve_metrics() -> (std::net::SocketAddr, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::new("entry", "vm-1"));
    let state = OpsState {
        metrics: metrics.clone(),
        readiness: Arc::new(Readiness::new(&[])),
        status: Box::new(|| json!({"vm": "vm-1", "boot_id": u64::MAX})),
        command: ops::no_commands(),
    };
    let (listener, address) = listen();
    let executor = executor();
    let serving = serve_ops(listener, executor.clone(), Arc::new(state));
    executor.spawn(serving).detach();
    (address, metrics)
}

#[test]
fn each_run_adds_a_sample_of_the_reachable_daemons() {
    let (address, metrics) = serve_metrics();
    let service = metrics.service(SERVICE);
    let manifest = file("manifest.ini", &manifest());
    let samples = path("samples.json");
    let line = format!("burn --manifest {manifest} --samples {samples}");
    let record_request = |outcome, reason| {
        service.record_request_ended(
            outcome,
            reason,
            Duration::from_millis(5),
        );
    };
    record_request("completed", "");
    service.requests_within_target.inc();
    let first = run(&format!("{line} --ops {address}"));
    assert_eq!(first.exit_code, 0, "{first:?}");
    record_request("not-run", "full");
    record_request("not-run", "full");
    let closed = closed_address();
    let second = run(&format!("{line} --ops {address},{closed}"));
    // The sample has the reachable daemon, and the report names the other.
    assert_eq!(second.exit_code, 4, "{second:?}");
    assert!(second.stdout.contains(&format!("{closed} was not sampled")));
    let saved = fs::read_to_string(&samples).unwrap();
    let saved: Value = serde_json::from_str(&saved).unwrap();
    let counts = |at: usize| {
        let daemon = &saved["samples"][at]["daemons"][address.to_string()];
        assert_eq!(daemon["boot_id"], u64::MAX);
        daemon["services"][SERVICE].clone()
    };
    let completed = json!({"completed": {"": 1}});
    assert_eq!(counts(0), json!({"within_target": 1, "outcomes": completed}),);
    assert_eq!(counts(1)["outcomes"]["not-run"]["full"], 2);
    let unreachable = run(&format!("{line} --ops {closed}"));
    assert_eq!(unreachable.exit_code, 1, "{unreachable:?}");
}
