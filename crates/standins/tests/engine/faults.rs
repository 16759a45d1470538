//! Injected faults cause the corresponding client errors, and the record shows
//! which steps ran nevertheless.

use std::{net::SocketAddr, time::Duration};

use async_io::block_on;
use chestnutreach_engine::EngineError;
use chestnutreach_http::{Client, ClientOptions};
use chestnutreach_standins::faults::Faults;
use http_types::{Body, Method, Request};
use rstest::rstest;

use crate::common::{LAYER_COUNT, Stage, TIMEOUT, id, options, prompt, step};

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> String {
    let client = Client::new(address, ClientOptions::new());
    let mut request = Request::new(method, client.url(path).unwrap());
    request.set_body(Body::from(body));
    let (response, body) = client.send(request, TIMEOUT).await.unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(response.status().is_success(), "{body}");
    body
}

struct Case {
    faults: &'static str,
    is_expected: fn(&EngineError) -> bool,
    may_have_run: bool,
    runs: usize,
}

#[rstest]
#[case::down(Case {
    faults: r#"{"down":true}"#,
    is_expected: |e| matches!(e, EngineError::Lost(_)),
    may_have_run: true,
    runs: 0,
})]
#[case::silent(Case {
    faults: r#"{"silent":true}"#,
    is_expected: |e| matches!(e, EngineError::Timeout(_)),
    may_have_run: true,
    runs: 0,
})]
#[case::slow(Case {
    faults: r#"{"slow_ms":1000}"#,
    is_expected: |e| matches!(e, EngineError::Timeout(_)),
    may_have_run: true,
    runs: 1,
})]
#[case::failing(Case {
    faults: r#"{"error_permille":1000}"#,
    is_expected: |e| matches!(e, EngineError::Status { status: 500, .. }),
    may_have_run: true,
    runs: 0,
})]
#[case::lost(Case {
    faults: r#"{"lose_answers":true}"#,
    is_expected: |e| matches!(e, EngineError::Lost(_)),
    may_have_run: true,
    runs: 1,
})]
#[case::failing_later(Case {
    faults: r#"{"fail_after_positions":2}"#,
    is_expected: |e| matches!(e, EngineError::Lost(_)),
    may_have_run: true,
    runs: 1,
})]
fn faults_map_to_errors(#[case] case: Case) {
    let engine = Stage::start(options(0..LAYER_COUNT), 0..LAYER_COUNT);
    let address = engine.standin.address();
    let steps = [step(id(1), 0, prompt("a b"))];
    let short_timeout = Duration::from_millis(200);
    block_on(async {
        // The client keeps the connection of this call, so the fault must
        // affect open connections as well as new ones.
        assert!(engine.client.is_ready().await);
        call(address, Method::Put, "/faults", case.faults).await;
        let result =
            engine.client.infer(0, LAYER_COUNT, &steps, short_timeout).await;
        let error = result.unwrap_err();
        assert!((case.is_expected)(&error), "{error:?}");
        assert_eq!(error.may_have_run(), case.may_have_run);
        let record = call(address, Method::Get, "/record", "").await;
        assert_eq!(record.lines().count(), case.runs, "{record}");
        call(address, Method::Put, "/faults", "{}").await;
        assert!(engine.client.is_ready().await);
    });
}

#[test]
fn engine_that_goes_down_drops_the_rest_of_the_batch() {
    let engine = Stage::start(options(0..LAYER_COUNT), 0..LAYER_COUNT);
    let address = engine.standin.address();
    let batch = [
        step(id(1), 0, prompt("a b")),
        step(id(2), 0, prompt("a b")),
        step(id(3), 0, prompt("a b")),
    ];
    block_on(async {
        let faults = r#"{"fail_after_positions":3}"#;
        call(address, Method::Put, "/faults", faults).await;
        let result =
            engine.client.infer(0, LAYER_COUNT, &batch, TIMEOUT).await;
        assert!(matches!(result, Err(EngineError::Lost(_))), "{result:?}");
        let record = call(address, Method::Get, "/record", "").await;
        assert_eq!(record.lines().count(), 2, "{record}");
        let faults = call(address, Method::Get, "/faults", "").await;
        let faults: Faults = serde_json::from_str(&faults).unwrap();
        assert!(faults.down);
    });
}

#[test]
fn call_to_a_stopped_engine_reports_not_sent() {
    let engine = Stage::start(options(0..LAYER_COUNT), 0..LAYER_COUNT);
    let Stage { standin, client, .. } = engine;
    let steps = [step(id(1), 0, prompt("a b"))];
    block_on(async {
        assert!(client.is_ready().await);
        drop(standin);
        let result = client.infer(0, LAYER_COUNT, &steps, TIMEOUT).await;
        let error = result.unwrap_err();
        assert!(matches!(error, EngineError::NotSent(_)), "{error:?}");
        assert!(!error.may_have_run());
    });
}

#[test]
fn steps_run_in_priority_order() {
    let one_at_a_time = options(0..LAYER_COUNT).max_batch(1).step_us(10_000);
    let engine = Stage::start(one_at_a_time, 0..LAYER_COUNT);
    let batch: Vec<_> = [1, 2, 3, 1, 2, 3]
        .into_iter()
        .zip(1..)
        .map(|(priority, request)| {
            let mut step = step(id(request), 0, prompt("a"));
            step.priority = priority;
            step
        })
        .collect();
    block_on(engine.run(&batch));
    let record =
        block_on(call(engine.standin.address(), Method::Get, "/record", ""));
    let requests: Vec<u128> = record
        .lines()
        .map(|line| {
            let run: chestnutreach_standins::engine::RunRecord =
                serde_json::from_str(line).unwrap();
            u128::from_str_radix(&run.request, 16).unwrap()
        })
        .collect();
    assert_eq!(requests, [3, 6, 2, 5, 1, 4]);
}
