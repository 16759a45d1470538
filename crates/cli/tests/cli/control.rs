//! `show`, `drain` and `explain` against control servers of fake daemons.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use chestnutreach_control::{
    BackendStatus, ControlHandler, ControlRefusal, ExplainQuery,
    GenerationInfo, NodeInfo, NodeRole, NodeStatus, RequestPriority,
    serve_control,
};
use chestnutreach_routing::{
    BackendIndex, Candidate, CostBreakdown, ExclusionReason, Explanation,
};
use chestnutreach_standins::closed_address;
use rstest::rstest;

use crate::support::{Platform, executor, file, listen, manifest, run};

const REQUEST: &str = "da223fc640200db829a106daa334ee18";
/// Response of an entry, captured from a run of the demo fleet.
const CHOICES: &str = r#"{"request":"da223fc640200db829a106daa334ee18",
"service":"desk-llm","account":"caisse-medina","choices":[{"at_ms":0,
"stages":["desk-0a","desk-1b"],"avoided":["desk-0b"],"prompt_tokens":7,
"output_tokens":16,"left_ms":19999,"first_token_ms":2,"total_ms":10,
"price_micros":1,"cost":46.3,"ended":"failed","at_fault":"desk-1b"}],
"outcome":"not-run","reason":"no_chain","detail":"no attempts are left",
"elapsed_ms":37}"#;

#[derive(Default)]
struct FakeDaemon {
    generation: u64,
    knows_request: bool,
    calls: Mutex<Vec<String>>,
    queries: Mutex<Vec<ExplainQuery>>,
    /// Each query of the status ends one request.
    in_flight: AtomicU64,
}

impl FakeDaemon {
    fn record_call(&self, call: &str, name: Option<&str>) {
        let call = format!("{call} {}", name.unwrap_or("all"));
        self.calls.lock().unwrap().push(call);
    }
}

impl ControlHandler for FakeDaemon {
    fn info(&self) -> NodeInfo {
        NodeInfo::default()
    }

    fn status(&self) -> NodeStatus {
        let decremented = |left: u64| left.checked_sub(1);
        let ordering = Ordering::SeqCst;
        let _ = self.in_flight.fetch_update(ordering, ordering, decremented);
        let left = self.in_flight.load(ordering);
        let generation = self.generation;
        NodeStatus {
            vm: format!("vm-{generation}"),
            role: NodeRole::Side,
            generation,
            is_ready: true,
            requests_in_flight: left,
            backends: vec![BackendStatus {
                name: "desk-0a".to_owned(),
                running: left,
                is_healthy: true,
                ..BackendStatus::default()
            }],
            ..NodeStatus::default()
        }
    }

    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        if backend == Some("nope") {
            let backend = "nope".to_owned();
            return Err(ControlRefusal::UnknownBackend { backend });
        }
        self.record_call("drain", backend);
        Ok(())
    }

    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.record_call("undrain", backend);
        Ok(())
    }

    fn generation(&self) -> GenerationInfo {
        GenerationInfo::default()
    }

    fn manifest_part(&self, _: &[u8]) -> Option<Vec<u8>> {
        None
    }

    fn explain(&self, query: &ExplainQuery) -> Result<String, ControlRefusal> {
        self.queries.lock().unwrap().push(query.clone());
        match query {
            ExplainQuery::Request { .. } if self.knows_request => {
                Ok(CHOICES.to_owned())
            }
            ExplainQuery::Request { request_id } => {
                let request_id = request_id.clone();
                Err(ControlRefusal::UnknownRequest { request_id })
            }
            ExplainQuery::Described(_) => {
                Ok(serde_json::to_string(&explanation()).unwrap())
            }
        }
    }
}

fn explanation() -> Explanation {
    let candidate = |index, backend: &str| Candidate {
        index: BackendIndex(index),
        backend: backend.to_owned(),
        first_layer: 0,
        end_layer: 24,
        left_out: None,
        cost: None,
        is_chosen: false,
    };
    let cost = CostBreakdown {
        wait_ms: 1.5,
        prompt_ms: 20.0,
        step_ms: 2.0,
        price_micros: 7.0,
        utilisation: 0.25,
        weighted_price: 3.0,
        weighted_load: 4.0,
        weighted: 31.25,
    };
    let chosen = Candidate {
        cost: Some(cost),
        is_chosen: true,
        ..candidate(0, "desk-0a")
    };
    let left_out = Candidate {
        left_out: Some(ExclusionReason::NotPresent),
        ..candidate(1, "desk-0b")
    };
    Explanation {
        stages: vec!["desk-0a".to_owned()],
        first_token_ms: 21,
        total_ms: 421,
        price_micros: 7,
        cost: 40.0,
        no_chain: None,
        retry_after_ms: None,
        needed_ms: None,
        candidates: vec![chosen, left_out],
    }
}

fn serve(daemon: FakeDaemon) -> (SocketAddr, Arc<FakeDaemon>) {
    let daemon = Arc::new(daemon);
    let (listener, address) = listen();
    let executor = executor();
    let serving = serve_control(listener, executor.clone(), daemon.clone());
    executor.spawn(serving).detach();
    (address, daemon)
}

fn at_generation(generation: u64) -> SocketAddr {
    serve(FakeDaemon { generation, ..FakeDaemon::default() }).0
}

struct ShowCase {
    generations: &'static [u64],
    has_closed: bool,
    /// Number of accepted submissions, or `None` without `--table`.
    accepted: Option<u64>,
    exit_code: i32,
    expected: &'static [&'static str],
}

#[rstest]
#[case::current(ShowCase {
    generations: &[7, 7],
    has_closed: false,
    accepted: None,
    exit_code: 0,
    expected: &["generation 7 on 2 of 2 daemons", "desk-0a"],
})]
#[case::lagging(ShowCase {
    generations: &[7, 5],
    has_closed: false,
    accepted: None,
    exit_code: 4,
    expected: &["behind: vm-5", "2 behind", "generation 7 on 1 of 2 daemons"],
})]
#[case::behind_the_store(ShowCase {
    generations: &[1, 1],
    has_closed: false,
    accepted: Some(2),
    exit_code: 4,
    expected: &["generation 2 on 0 of 2 daemons; accepted: 2"],
})]
#[case::not_reached(ShowCase {
    generations: &[1],
    has_closed: true,
    accepted: Some(1),
    exit_code: 4,
    expected: &["not reached: ", "generation 1 on 1 of 2 daemons; accepted: 1"],
})]
fn show_reports_lagging_and_unreachable_daemons(#[case] case: ShowCase) {
    let mut addresses: Vec<String> = case
        .generations
        .iter()
        .map(|generation| at_generation(*generation).to_string())
        .collect();
    if case.has_closed {
        addresses.push(closed_address().to_string());
    }
    let mut line = format!("show --control {}", addresses.join(","));
    if let Some(accepted) = case.accepted {
        let platform = Platform::start();
        for _ in 0..accepted {
            let file = file("shown.ini", &manifest());
            assert_eq!(run(&platform.apply(&file)).exit_code, 0);
        }
        line.push_str(&format!(" --table {}", platform.table));
    }
    let output = run(&line);
    assert_eq!(output.exit_code, case.exit_code, "{output:?}");
    for expected in case.expected {
        assert!(
            output.stdout.contains(expected),
            "{expected}: {}",
            output.stdout
        );
    }
    let json = run(&format!("{line} --json")).json();
    assert_eq!(json["daemons"].as_array().unwrap().len(), addresses.len());
}

struct DrainCase {
    extra_arguments: &'static str,
    in_flight: u64,
    exit_code: i32,
    calls: &'static [&'static str],
    expected: &'static str,
}

#[rstest]
#[case::all(DrainCase {
    extra_arguments: "",
    in_flight: 5,
    exit_code: 0,
    calls: &["drain all"],
    expected: "vm-0 drains; requests left: 4",
})]
#[case::waited_for(DrainCase {
    extra_arguments: "--backend desk-0a --wait-ms 60000",
    in_flight: 3,
    exit_code: 0,
    calls: &["drain desk-0a"],
    expected: "desk-0a beside vm-0 drains; requests left: 0",
})]
#[case::wait_expired(DrainCase {
    extra_arguments: "--wait-ms 0",
    in_flight: 9,
    exit_code: 4,
    calls: &["drain all"],
    expected: "vm-0 drains; requests left: 8",
})]
#[case::undone(DrainCase {
    extra_arguments: "--backend desk-0a --undo",
    in_flight: 0,
    exit_code: 0,
    calls: &["undrain desk-0a"],
    expected: "desk-0a beside vm-0 takes new work again",
})]
#[case::unknown(DrainCase {
    extra_arguments: "--backend nope",
    in_flight: 0,
    exit_code: 1,
    calls: &[],
    expected: "no backend server \"nope\" is beside this process",
})]
fn drain_reports_the_remaining_requests(#[case] case: DrainCase) {
    let in_flight = AtomicU64::new(case.in_flight);
    let (address, daemon) =
        serve(FakeDaemon { in_flight, ..FakeDaemon::default() });
    let output =
        run(&format!("drain --control {address} {}", case.extra_arguments));
    assert_eq!(output.exit_code, case.exit_code, "{output:?}");
    let text = format!("{}{}", output.stdout, output.stderr);
    assert!(text.contains(case.expected), "{output:?}");
    assert_eq!(*daemon.calls.lock().unwrap(), case.calls);
}

#[test]
fn drain_of_an_unreachable_daemon_exits_as_lagging() {
    let output = run(&format!("drain --control {}", closed_address()));
    assert_eq!(output.exit_code, 4, "{output:?}");
}

#[test]
fn explain_prints_the_choice_for_a_described_request() {
    let (address, daemon) = serve(FakeDaemon::default());
    let line = format!(
        "explain --control {address} --service desk-llm --account \
         caisse-medina --prompt-tokens 900 --output-tokens 200 --deadline-ms \
         8000 --priority high"
    );
    let output = run(&line);
    assert_eq!(output.exit_code, 0, "{output:?}");
    let row = |name: &str| {
        let mut lines = output.stdout.lines();
        let line = lines.find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    let chosen = "desk-0a 0..24 chosen 31.25 1.50 20.00 2.00 7.00 0.25 3.00 \
                  4.00";
    assert_eq!(row("desk-0a"), chosen);
    let left_out = "desk-0b 0..24 left out: not present - - - - - - - -";
    assert_eq!(row("desk-0b"), left_out);
    let queries = daemon.queries.lock().unwrap();
    let ExplainQuery::Described(described) = &queries[0] else {
        panic!("{queries:?}");
    };
    assert_eq!(described.account, "caisse-medina");
    assert_eq!(described.deadline_ms, 8_000);
    assert_eq!(described.priority, RequestPriority::High);
    drop(queries);
    let json = run(&format!("{line} --json")).json();
    assert_eq!(json["candidates"][1]["left_out"], "not_present");
}

#[test]
fn explain_queries_entries_until_one_knows_the_request() {
    let (first, _) = serve(FakeDaemon::default());
    let (second, _) =
        serve(FakeDaemon { knows_request: true, ..FakeDaemon::default() });
    let output = run(&format!(
        "explain --control {first},{second} --request {REQUEST}"
    ));
    assert_eq!(output.exit_code, 0, "{output:?}");
    for expected in [
        "not-run after 37 ms, no_chain, no attempts are left",
        "desk-0a > desk-1b",
        "failed",
    ] {
        assert!(
            output.stdout.contains(expected),
            "{expected}: {}",
            output.stdout
        );
    }
    let output =
        run(&format!("explain --control {first} --request {REQUEST}"));
    assert_eq!(output.exit_code, 1, "{output:?}");
    // An unreachable entry may know the request.
    let closed = closed_address();
    let output = run(&format!(
        "explain --control {closed},{first} --request {REQUEST}"
    ));
    assert_eq!(output.exit_code, 4, "{output:?}");
}
