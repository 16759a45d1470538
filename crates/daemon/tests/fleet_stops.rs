//! Planned stops, on fleets of separate processes.

mod fleet_common;

use std::{
    collections::{BTreeMap, BTreeSet},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use chestnutreach_fleet::{
    Caller, Fleet, Plan, Response,
    record::{NumberedRun, guarantee_violations, highest_attempts},
};
use chestnutreach_standins::engine::expected_answer;
use fleet_common::{
    load::{Kind, Load, LoadPlan, problems},
    with_fleet,
};

/// Entries of each fleet.
const ENTRIES: usize = 2;

fn plan() -> Plan {
    Plan::new()
        .entries(ENTRIES)
        .plain_servers(0)
        .engine_argument("--step-us=3000")
}

/// Returns the attempts, by request, of which an engine ran at least one step.
fn attempts_that_ran(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> BTreeMap<String, BTreeSet<u32>> {
    let mut ran: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
    for NumberedRun { entry, .. } in records.values().flatten() {
        ran.entry(entry.request.clone()).or_default().insert(entry.attempt);
    }
    ran
}

/// Waits until every entry considers every side process present.
fn wait_until_all_present(fleet: &mut Fleet) {
    let servers = fleet
        .daemon_names()
        .iter()
        .filter(|name| name.starts_with("side-"))
        .count();
    for entry in 0..ENTRIES {
        fleet
            .wait_for("all servers to be present", |fleet| {
                let present = fleet.routable_servers(entry);
                present.is_some_and(|names| names.len() == servers)
            })
            .unwrap();
    }
}

/// Stops and restarts the process of every VM, one after another.
fn replace_all(fleet: &mut Fleet, load: &Load) {
    for name in fleet.daemon_names() {
        let before = load.finished_count();
        fleet
            .wait_for("load before a stop", |_| {
                load.finished_count() >= before + 10
            })
            .unwrap();
        assert_eq!(fleet.stop(&name).unwrap(), Some(0), "{name}");
        let ended = fleet.events(&name, "drain_ended");
        assert!(!ended.is_empty(), "{name}");
        fleet.restart(&name).unwrap();
        fleet
            .wait_for(&format!("{name} to be ready"), |f| f.is_ready(&name))
            .unwrap();
        wait_until_all_present(fleet);
    }
}

#[test]
fn replacing_every_vm_of_chains_aborts_no_request() {
    with_fleet(plan(), |fleet| {
        let kinds = LoadPlan::default().kinds;
        let load = Load::start(fleet, LoadPlan::default());
        replace_all(fleet, &load);
        let sent = load.stop();
        assert_eq!(problems(&sent), [""; 0], "of {}", sent.len());
        for kind in kinds {
            assert!(sent.iter().any(|sent| sent.kind == *kind));
        }
        let records = fleet.engine_records();
        assert_eq!(guarantee_violations(&records), [""; 0]);
        let ran = attempts_that_ran(&records);
        for sent in sent.iter().filter(|sent| sent.kind != Kind::Stream) {
            let attempts = &ran[sent.answer.request()];
            assert_eq!(attempts.len(), 1, "{attempts:?} of {sent:?}");
        }
    });
}

#[test]
fn replacing_every_vm_of_a_plain_service_aborts_no_request() {
    let plan = plan().stages(&[0, 24], 1).plain_servers(2);
    with_fleet(plan, |fleet| {
        let kinds = &[Kind::PlainOnce];
        let plan = LoadPlan { kinds, callers: 4, ..LoadPlan::default() };
        let load = Load::start(fleet, plan);
        replace_all(fleet, &load);
        let sent = load.stop();
        assert_eq!(problems(&sent), [""; 0], "of {}", sent.len());
    });
}

/// The pause between the requests exceeds the idle period after which a
/// stopping process exits.
#[test]
fn an_entry_accepts_requests_in_its_lame_duck_period() {
    let plan = Plan::new().stages(&[0, 24], 1).plain_servers(0).setting(
        "entry",
        "lame-duck-ms",
        "2000",
    );
    with_fleet(plan, |fleet| {
        fleet.process("entry-0").terminate();
        fleet
            .wait_for("the entry to be not ready", |f| !f.is_ready("entry-0"))
            .unwrap();
        for number in 0..3 {
            let name = format!("n{number}");
            let answer = fleet.caller(0).chat(&name, 2);
            assert_eq!(answer.content(), text_of(&name, 2), "{answer:?}");
            thread::sleep(Duration::from_millis(500));
        }
        let status =
            fleet.process("entry-0").wait(Duration::from_secs(10)).unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

#[test]
fn an_entry_refuses_connections_after_its_lame_duck_period() {
    let plan = plan().stages(&[0, 24], 1);
    with_fleet(plan, |fleet| {
        let running = spawn_chat(fleet.caller(0), "long", 800);
        wait_for_running(fleet, 0, 1);
        fleet.process("entry-0").terminate();
        fleet
            .wait_for("the port to close", |fleet| {
                std::net::TcpStream::connect(fleet.entry_address(0)).is_err()
            })
            .unwrap();
        assert!(!running.is_finished());
        assert!(!fleet.is_ready("entry-0"));
        let answer = running.join().unwrap();
        assert_eq!(answer.outcome(), Some("completed"), "{answer:?}");
        let limit = Duration::from_secs(10);
        let status = fleet.process("entry-0").wait(limit).unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// An entry records the outcome of a keyed request after the caller has the
/// response. If the entry exited before that, only the side process that ran
/// the request could answer a repeat.
#[test]
fn an_entry_records_the_outcomes_of_keyed_requests_before_it_exits() {
    let plan = plan().stages(&[0, 24], 2).setting(
        "platform",
        "request-timeout-ms",
        "5000",
    );
    with_fleet(plan, |fleet| {
        fleet.set_faults("table", &serde_json::json!({"slow_ms": 1_200}));
        let send = |fleet: &Fleet, entry| {
            let caller = fleet.caller(entry);
            caller.header("idempotency-key", "letter").chat("a b", 4)
        };
        let first = send(fleet, 0);
        assert_eq!(first.outcome(), Some("completed"), "{first:?}");
        assert_eq!(fleet.stop("entry-0").unwrap(), Some(0));
        let records = fleet.engine_records();
        let ran_request = |runs: &Vec<NumberedRun>| {
            runs.iter().any(|ran| ran.entry.request == first.request())
        };
        let ran = records.iter().find(|(_, runs)| ran_request(runs));
        let side = format!("side-{}", ran.unwrap().0);
        assert_eq!(fleet.stop(&side).unwrap(), Some(0));
        fleet.set_faults("table", &serde_json::json!({}));
        let again = send(fleet, 1);
        assert_eq!(again.content(), first.content(), "{again:?}");
    });
}

fn spawn_chat(
    caller: Caller,
    prompt: &str,
    tokens: u32,
) -> JoinHandle<Response> {
    let prompt = prompt.to_owned();
    thread::spawn(move || caller.chat(&prompt, tokens))
}

fn spawn_stream(
    caller: Caller,
    prompt: &str,
    tokens: u32,
) -> JoinHandle<Response> {
    let prompt = prompt.to_owned();
    thread::spawn(move || caller.stream(&prompt, tokens, |_| {}))
}

/// Waits until an entry has `requests` requests in flight and engines run all
/// of them.
fn wait_for_running(fleet: &mut Fleet, entry: usize, requests: usize) {
    fleet
        .wait_for("requests to run", |fleet| {
            let shown = &fleet.entry_status(entry)["in_flight"];
            let running = highest_attempts(&fleet.engine_records());
            shown == requests && running.len() >= requests
        })
        .unwrap();
}

fn requests_of(runs: &[NumberedRun]) -> BTreeSet<String> {
    runs.iter().map(|ran| ran.entry.request.clone()).collect()
}

fn short_drain_plan() -> Plan {
    Plan::new()
        .entries(ENTRIES)
        .plain_servers(0)
        .stages(&[0, 24], 2)
        .engine_argument("--step-us=50000")
        .setting("entry", "lame-duck-ms", "200")
        .setting("node", "drain-limit-ms", "1000")
}

fn text_of(prompt: &str, tokens: u32) -> String {
    let tokens = expected_answer(prompt, 24, tokens);
    tokens.into_iter().map(|(_, text)| text).collect()
}

fn assert_drain_aborts(fleet: &mut Fleet, name: &str) {
    fleet.process(name).terminate();
    let status = fleet.process(name).wait(Duration::from_secs(5)).unwrap();
    assert_eq!(status.code(), Some(3));
    assert_eq!(fleet.events(name, "drain_cut").len(), 1);
}

#[test]
fn an_entry_at_its_drain_limit_reports_an_outcome_to_every_caller() {
    with_fleet(short_drain_plan(), |fleet| {
        let caller = fleet.caller(0);
        let once = caller.header("chestnutreach-non-idempotent", "true");
        let keyed = caller.header("idempotency-key", "letter");
        let stream = spawn_stream(caller, "stream", 60);
        let once = spawn_chat(once, "once", 60);
        let keyed = spawn_chat(keyed, "keyed", 60);
        wait_for_running(fleet, 0, 3);
        assert_drain_aborts(fleet, "entry-0");
        struct Case {
            answer: Response,
            outcome: &'static str,
        }
        let cases = [
            Case { answer: stream.join().unwrap(), outcome: "failed" },
            Case { answer: once.join().unwrap(), outcome: "failed" },
            Case { answer: keyed.join().unwrap(), outcome: "unknown" },
        ];
        for Case { answer, outcome } in cases {
            assert_eq!(answer.outcome(), Some(outcome), "{answer:?}");
        }
        // The request with a key continued on its side process.
        let caller = fleet.caller(1);
        let again = caller.header("idempotency-key", "letter");
        let again = again.chat("keyed", 60);
        assert_eq!(again.content(), text_of("keyed", 60), "{again:?}");
        assert_eq!(guarantee_violations(&fleet.engine_records()), [""; 0]);
    });
}

#[test]
fn a_side_process_at_its_drain_limit_reports_to_every_entry() {
    with_fleet(short_drain_plan(), |fleet| {
        let caller = fleet.caller(0);
        let once = caller.header("chestnutreach-non-idempotent", "true");
        let running: Vec<_> = (0..6)
            .map(|number| {
                let name = format!("n{number}");
                let call = match number % 2 {
                    0 => spawn_stream(caller.clone(), &name, 60),
                    _ => spawn_chat(once.clone(), &name, 60),
                };
                let call = thread::spawn(move || {
                    (call.join().unwrap(), Instant::now())
                });
                (number, name, call)
            })
            .collect();
        wait_for_running(fleet, 0, 6);
        // The engine with the most requests is chosen.
        let records = fleet.engine_records();
        let (engine, affected) = records
            .iter()
            .map(|(engine, runs)| (engine, requests_of(runs)))
            .max_by_key(|(_, requests)| requests.len())
            .unwrap();
        assert!(affected.len() >= 3, "{affected:?}");
        assert_drain_aborts(fleet, &format!("side-{engine}"));
        // The side process must report the failure: an entry that found out by
        // an unanswered query would take longer.
        let exited_at = Instant::now();
        for (number, name, call) in running {
            let (answer, at) = call.join().unwrap();
            let after = at.saturating_duration_since(exited_at);
            let was_affected = affected.contains(answer.request());
            let is_once = number % 2 == 1;
            let expected = match was_affected && is_once {
                true => "failed",
                false => "completed",
            };
            assert_eq!(answer.outcome(), Some(expected), "{answer:?}");
            let is_late = after > Duration::from_millis(500);
            assert!(!is_late || expected == "completed", "{after:?}");
            if expected == "completed" {
                assert_eq!(answer.content(), text_of(&name, 60));
            }
        }
        assert_eq!(guarantee_violations(&fleet.engine_records()), [""; 0]);
    });
}
