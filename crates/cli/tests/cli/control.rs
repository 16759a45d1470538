//! `show`, `drain` and `explain` against control servers with a fake handler.

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
use rstest::rstest;

use crate::support::{
    Platform, closed_address, executor, file, listen, manifest, run,
};

const REQUEST: &str = "da223fc640200db829a106daa334ee18";
/// As an entry answered in a run of the demo's fleet.
const CHOICES: &str = r#"{"request":"da223fc640200db829a106daa334ee18",
"service":"desk-llm","account":"caisse-medina","choices":[{"at_ms":0,
"stages":["desk-0a","desk-1b"],"avoided":["desk-0b"],"prompt_tokens":7,
"output_tokens":16,"left_ms":19999,"first_token_ms":2,"total_ms":10,
"price_micros":1,"cost":46.3,"ended":"failed","at_fault":"desk-1b"}],
"outcome":"not-run","reason":"no_chain","detail":"no attempts are left",
"elapsed_ms":37}"#;

#[derive(Default)]
struct Node {
    generation: u64,
    remembers: bool,
    orders: Mutex<Vec<String>>,
    queries: Mutex<Vec<ExplainQuery>>,
    /// One request ends with each look at the status.
    in_flight: AtomicU64,
}

impl Node {
    fn order(&self, call: &str, name: Option<&str>) {
        let order = format!("{call} {}", name.unwrap_or("all"));
        self.orders.lock().unwrap().push(order);
    }
}

impl ControlHandler for Node {
    fn info(&self) -> NodeInfo {
        NodeInfo::default()
    }

    fn status(&self) -> NodeStatus {
        let less = |left: u64| left.checked_sub(1);
        let order = Ordering::SeqCst;
        let _ = self.in_flight.fetch_update(order, order, less);
        let left = self.in_flight.load(order);
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
        self.order("drain", backend);
        Ok(())
    }

    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.order("undrain", backend);
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
            ExplainQuery::Request { .. } if self.remembers => {
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

fn serve(node: Node) -> (SocketAddr, Arc<Node>) {
    let node = Arc::new(node);
    let (listener, address) = listen();
    let executor = executor();
    let serving = serve_control(listener, executor.clone(), node.clone());
    executor.spawn(serving).detach();
    (address, node)
}

fn at_generation(generation: u64) -> SocketAddr {
    serve(Node { generation, ..Node::default() }).0
}

struct ShowCase {
    generations: &'static [u64],
    has_closed: bool,
    /// Submissions that the store accepted; none without `--table`.
    accepted: Option<u64>,
    code: i32,
    says: &'static [&'static str],
}

#[rstest]
#[case::current(ShowCase {
    generations: &[7, 7],
    has_closed: false,
    accepted: None,
    code: 0,
    says: &["generation 7 on 2 of 2 daemons", "desk-0a"],
})]
#[case::lagging(ShowCase {
    generations: &[7, 5],
    has_closed: false,
    accepted: None,
    code: 4,
    says: &["behind: vm-5", "2 behind", "generation 7 on 1 of 2 daemons"],
})]
#[case::behind_the_store(ShowCase {
    generations: &[1, 1],
    has_closed: false,
    accepted: Some(2),
    code: 4,
    says: &["generation 2 on 0 of 2 daemons; accepted: 2"],
})]
#[case::not_reached(ShowCase {
    generations: &[1],
    has_closed: true,
    accepted: Some(1),
    code: 4,
    says: &["not reached: ", "generation 1 on 1 of 2 daemons; accepted: 1"],
})]
fn show(#[case] case: ShowCase) {
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
            assert_eq!(run(&platform.apply(&file)).code, 0);
        }
        line.push_str(&format!(" --table {}", platform.table));
    }
    let ran = run(&line);
    assert_eq!(ran.code, case.code, "{ran:?}");
    for says in case.says {
        assert!(ran.out.contains(says), "{says}: {}", ran.out);
    }
    let json = run(&format!("{line} --json")).json();
    assert_eq!(json["daemons"].as_array().unwrap().len(), addresses.len());
}

struct DrainCase {
    rest: &'static str,
    in_flight: u64,
    code: i32,
    orders: &'static [&'static str],
    says: &'static str,
}

#[rstest]
#[case::all(DrainCase {
    rest: "",
    in_flight: 5,
    code: 0,
    orders: &["drain all"],
    says: "vm-0 drains; requests left: 4",
})]
#[case::waited_for(DrainCase {
    rest: "--backend desk-0a --wait-ms 60000",
    in_flight: 3,
    code: 0,
    orders: &["drain desk-0a"],
    says: "desk-0a beside vm-0 drains; requests left: 0",
})]
#[case::not_in_time(DrainCase {
    rest: "--wait-ms 0",
    in_flight: 9,
    code: 4,
    orders: &["drain all"],
    says: "vm-0 drains; requests left: 8",
})]
#[case::undone(DrainCase {
    rest: "--backend desk-0a --undo",
    in_flight: 0,
    code: 0,
    orders: &["undrain desk-0a"],
    says: "desk-0a beside vm-0 takes new work again",
})]
#[case::unknown(DrainCase {
    rest: "--backend nope",
    in_flight: 0,
    code: 1,
    orders: &[],
    says: "no backend server \"nope\" is beside this process",
})]
fn drain(#[case] case: DrainCase) {
    let in_flight = AtomicU64::new(case.in_flight);
    let (address, node) = serve(Node { in_flight, ..Node::default() });
    let ran = run(&format!("drain --control {address} {}", case.rest));
    assert_eq!(ran.code, case.code, "{ran:?}");
    let said = format!("{}{}", ran.out, ran.err);
    assert!(said.contains(case.says), "{ran:?}");
    assert_eq!(*node.orders.lock().unwrap(), case.orders);
}

#[test]
fn drain_of_a_daemon_that_is_gone() {
    let ran = run(&format!("drain --control {}", closed_address()));
    assert_eq!(ran.code, 4, "{ran:?}");
}

#[test]
fn explain_described() {
    let (address, node) = serve(Node::default());
    let line = format!(
        "explain --control {address} --service desk-llm --account \
         caisse-medina --prompt-tokens 900 --output-tokens 200 --deadline-ms \
         8000 --priority high"
    );
    let ran = run(&line);
    assert_eq!(ran.code, 0, "{ran:?}");
    let row = |name: &str| {
        let mut lines = ran.out.lines();
        let line = lines.find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    let chosen = "desk-0a 0..24 chosen 31.25 1.50 20.00 2.00 7.00 0.25 3.00 \
                  4.00";
    assert_eq!(row("desk-0a"), chosen);
    let left_out = "desk-0b 0..24 left out: not present - - - - - - - -";
    assert_eq!(row("desk-0b"), left_out);
    let queries = node.queries.lock().unwrap();
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
fn explain_asks_until_an_entry_remembers() {
    let (first, _) = serve(Node::default());
    let (second, _) = serve(Node { remembers: true, ..Node::default() });
    let ran = run(&format!(
        "explain --control {first},{second} --request {REQUEST}"
    ));
    assert_eq!(ran.code, 0, "{ran:?}");
    for says in [
        "not-run after 37 ms, no_chain, no attempts are left",
        "desk-0a > desk-1b",
        "failed",
    ] {
        assert!(ran.out.contains(says), "{says}: {}", ran.out);
    }
    let ran = run(&format!("explain --control {first} --request {REQUEST}"));
    assert_eq!(ran.code, 1, "{ran:?}");
    // One that was not reached may have remembered it.
    let closed = closed_address();
    let ran = run(&format!(
        "explain --control {closed},{first} --request {REQUEST}"
    ));
    assert_eq!(ran.code, 4, "{ran:?}");
}
