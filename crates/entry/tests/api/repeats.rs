//! Requests with an idempotency key.

use chestnutreach_protocol::wire::RefusalReason;
use chestnutreach_standins::platform::{Down, FaultSettings};
use serde_json::json;

use crate::support::{Reply, Request, Stage, wait_until};

const KEY: &str = "idempotency-key";

fn letter() -> Request {
    Request::chat(json!({})).header(KEY, "letter-2417")
}

fn answers() -> Vec<Reply> {
    vec![Reply::Accept, Reply::Token("Dear "), Reply::Finish]
}

#[test]
fn a_repeat_gets_the_first_answer() {
    let stage = Stage::start();
    stage.side.reply(&answers());
    let first = stage.call(&letter());
    assert_eq!(first.status, 200, "{first:?}");
    // The end is noted after the caller has its answer.
    wait_until("the repeat is answered", || {
        stage.call(&letter()).status == 200
    });
    let again = stage.call(&letter());
    assert_eq!(again.json()["choices"], first.json()["choices"]);
    assert_eq!(again.json()["usage"], first.json()["usage"]);
    assert_eq!(again.header("chestnutreach-outcome"), Some("completed"));
    assert_eq!(stage.side.runs(), 1);
}

/// Whether the letter did run does not hang on whether it could run now.
#[test]
fn a_repeat_needs_no_backend_server() {
    let stage = Stage::start();
    stage.side.reply(&answers());
    let first = stage.call(&letter());
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("the repeat is answered", || {
        stage.call(&letter()).status == 200
    });
    stage.lose_side();
    let again = stage.call(&letter());
    assert_eq!(again.json()["choices"], first.json()["choices"], "{again:?}");
    assert_eq!(again.header("chestnutreach-outcome"), Some("completed"));
    // A key that nobody holds is told the truth as well.
    let other = Request::chat(json!({})).header(KEY, "letter-2418");
    let refused = stage.call(&other);
    assert_eq!(refused.json()["error"]["code"], "no_chain", "{refused:?}");
    assert_eq!(stage.side.runs(), 1);
}

#[test]
fn a_key_of_another_request_is_refused() {
    let stage = Stage::start();
    stage.side.reply(&answers());
    assert_eq!(stage.call(&letter()).status, 200);
    let other = Request::chat(json!({"max_tokens": 5}));
    let answer = stage.call(&other.header(KEY, "letter-2417"));
    assert_eq!(answer.status, 422, "{answer:?}");
    assert_eq!(answer.json()["error"]["code"], "key_reused");
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(answer.header("x-should-retry"), Some("false"));
    assert_eq!(stage.side.runs(), 1);
}

#[test]
fn a_repeat_of_a_running_request_is_told_to_come_back() {
    let stage = Stage::start();
    let mut first = stage.caller();
    first.send(&letter());
    stage.side.next_run();
    let again = stage.call(&letter());
    assert_eq!(again.status, 409, "{again:?}");
    assert_eq!(again.json()["error"]["code"], "in_progress");
    assert!(again.header("retry-after").is_some());
    assert_eq!(again.header("x-should-retry"), Some("true"));
    stage.side.go_on(&answers());
    assert_eq!(first.answer(&letter()).status, 200);
    assert_eq!(stage.side.runs(), 0);
}

#[test]
fn a_request_that_did_not_run_may_run_by_its_key() {
    let stage = Stage::start();
    let refused = [Reply::Refuse(RefusalReason::Full, 1)];
    stage.side.reply_in_turn(&[&refused, &answers()]);
    let first = stage.call(&letter());
    assert_eq!(first.json()["error"]["code"], "full", "{first:?}");
    wait_until("the letter runs", || stage.call(&letter()).status == 200);
    assert_eq!(stage.side.runs(), 2);
}

#[test]
fn without_the_table_no_key_is_taken() {
    let stage = Stage::start();
    stage.side.reply(&answers());
    let down = Down::Unavailable;
    stage.table_faults.set(FaultSettings { down, ..Default::default() });
    let answer = stage.call(&letter());
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["error"]["code"], "store_down");
    assert_eq!(answer.header("chestnutreach-outcome"), Some("not-run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(stage.side.runs(), 0);
    // What has no key goes on.
    assert_eq!(stage.call(&Request::chat(json!({}))).status, 200);
}
