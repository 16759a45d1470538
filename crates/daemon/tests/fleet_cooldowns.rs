//! Backend servers that reject calls and request a cooldown by Retry-After, on
//! fleets of separate processes: the side process respects the cooldown.

mod fleet_common;

use std::{thread, time::Duration};

use chestnutreach_fleet::{Fleet, Plan, Response};
use fleet_common::{
    load::{Kind, Load, LoadPlan, SentRequest, problems},
    server_status, with_fleet,
};
use rstest::rstest;
use serde_json::json;

/// Cooldown that a server requests.
const COOLDOWN_MS: u64 = 1_500;
/// How long the server rejects calls.
const REJECTION_PERIOD: Duration = Duration::from_millis(4_000);
/// Callers of each kind, each with one call at a time.
const CALLERS: usize = 8;
/// Concurrent calls of a side process to its engine.
const ENGINE_CALLS: u64 = 4;
/// Calls that may be in flight when the server rejects the first, each with a
/// concurrent health check.
const MAX_IN_FLIGHT: u64 = 2 * ENGINE_CALLS;

struct Case {
    /// Boundaries of the layer ranges.
    layer_bounds: &'static [u32],
    server: &'static str,
    kinds: &'static [Kind],
}

fn rejected_count(fleet: &Fleet, server: &str) -> u64 {
    fleet.cooldown_stats(server)["turned_away"].as_u64().unwrap_or(0)
}

fn run_count(fleet: &Fleet, server: &str) -> u64 {
    let record = match server.starts_with("desk") {
        true => fleet.engine_record(server).len(),
        false => fleet.plain_record(server).len(),
    };
    record as u64
}

/// Runs load while a server requests a cooldown and until the server gets new
/// work; returns all requests.
fn run_load_over_cooldown(fleet: &mut Fleet, case: &Case) -> Vec<SentRequest> {
    let server = case.server;
    let kinds = case.kinds;
    let callers = CALLERS;
    let load_plan = LoadPlan { kinds, callers, ..LoadPlan::default() };
    let load = Load::start(fleet, load_plan);
    fleet.wait_for("load", |f| run_count(f, server) > 20).unwrap();
    fleet.set_faults(server, &json!({"rest_ms": COOLDOWN_MS}));
    fleet
        .wait_for("a rejected call", |f| rejected_count(f, server) > 0)
        .unwrap();
    thread::sleep(REJECTION_PERIOD);
    if server.starts_with("desk") {
        for entry in 0..2 {
            let circuit = &server_status(fleet, entry, server)["circuit"];
            assert_eq!(circuit, "closed", "a cooldown is no failure");
        }
    }
    fleet.set_faults(server, &json!({}));
    let before = run_count(fleet, server);
    fleet
        .wait_for("new work after the cooldown", |f| {
            run_count(f, server) > before
        })
        .unwrap();
    load.stop()
}

#[rstest]
#[case::engine(Case {
    layer_bounds: &[0, 24],
    server: "desk-0a",
    kinds: &[Kind::Stream, Kind::Once, Kind::Keyed],
})]
#[case::later_stage(Case {
    layer_bounds: &[0, 12, 24],
    server: "desk-1a",
    kinds: &[Kind::Stream, Kind::Once, Kind::Keyed],
})]
#[case::plain(Case {
    layer_bounds: &[0, 24],
    server: "ledger-0",
    kinds: &[Kind::PlainOnce],
})]
fn a_server_in_cooldown_gets_no_call(#[case] case: Case) {
    let plan = Plan::new()
        .stages(case.layer_bounds, 2)
        .plain_servers(2)
        .setting("side", "engine-calls", &ENGINE_CALLS.to_string());
    with_fleet(plan, |fleet| {
        let sent = run_load_over_cooldown(fleet, &case);
        let rests = fleet.cooldown_stats(case.server);
        // After the cooldown of an engine, a health check is sent before any
        // call. A plain server has no health check, so all waiting calls are
        // sent at once.
        let (counted, max) = match case.kinds.contains(&Kind::PlainOnce) {
            true => ("most_in_one", CALLERS as u64),
            false => ("in_rest", MAX_IN_FLIGHT),
        };
        let in_rest = rests[counted].as_u64().unwrap();
        assert!(in_rest <= max, "{in_rest} calls in a cooldown");
        // A rejection by a plain server is passed on to the client. Calls that
        // an engine rejects are retried, but some may exceed the retry limit.
        let allowed = match case.kinds.contains(&Kind::PlainOnce) {
            true => rejected_count(fleet, case.server),
            false => MAX_IN_FLIGHT,
        };
        let (refused, served): (Vec<SentRequest>, Vec<SentRequest>) =
            sent.into_iter().partition(|s| is_refused(&s.answer));
        assert!(refused.len() as u64 <= allowed, "{:?}", problems(&refused));
        assert_eq!(problems(&served), [""; 0]);
    });
}

/// Whether the response is a refusal with a retry time.
fn is_refused(answer: &Response) -> bool {
    answer.status == 503 && answer.headers.contains_key("retry-after")
}
