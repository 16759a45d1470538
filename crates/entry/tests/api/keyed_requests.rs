//! Requests with an idempotency key.

use chestnutreach_protocol::wire::RefusalReason;
use chestnutreach_standins::platform::{Down, FaultSettings};
use serde_json::json;

use crate::support::{Fixture, Reply, Request, wait_until};

const KEY_HEADER: &str = "idempotency-key";

fn keyed_request() -> Request {
    Request::chat(json!({})).header(KEY_HEADER, "letter-2417")
}

fn successful_replies() -> Vec<Reply> {
    vec![Reply::Accept, Reply::Token("Dear "), Reply::Finish]
}

#[test]
fn a_repeated_request_gets_the_stored_response() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies());
    let first = fixture.call(&keyed_request());
    assert_eq!(first.status, 200, "{first:?}");
    // The outcome is recorded after the caller has the response.
    wait_until("the stored response is returned", || {
        fixture.call(&keyed_request()).status == 200
    });
    let again = fixture.call(&keyed_request());
    assert_eq!(again.json()["choices"], first.json()["choices"]);
    assert_eq!(again.json()["usage"], first.json()["usage"]);
    assert_eq!(again.header("chestnutreach-outcome"), Some("completed"));
    assert_eq!(fixture.side.take_run_count(), 1);
}

/// A repeated request is served from its claim even if no chain could run it
/// now; reporting "not run" would be wrong.
#[test]
fn a_repeated_request_needs_no_backend_server() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies());
    let first = fixture.call(&keyed_request());
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("the stored response is returned", || {
        fixture.call(&keyed_request()).status == 200
    });
    fixture.make_side_unreachable();
    let again = fixture.call(&keyed_request());
    assert_eq!(again.json()["choices"], first.json()["choices"], "{again:?}");
    assert_eq!(again.header("chestnutreach-outcome"), Some("completed"));
    // With a key that is not held, the request is reported as not run.
    let other = Request::chat(json!({})).header(KEY_HEADER, "letter-2418");
    let refused = fixture.call(&other);
    assert_eq!(refused.json()["error"]["code"], "no_chain", "{refused:?}");
    assert_eq!(fixture.side.take_run_count(), 1);
}

#[test]
fn a_key_used_for_a_different_request_is_refused() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies());
    assert_eq!(fixture.call(&keyed_request()).status, 200);
    let other = Request::chat(json!({"max_tokens": 5}));
    let response = fixture.call(&other.header(KEY_HEADER, "letter-2417"));
    assert_eq!(response.status, 422, "{response:?}");
    assert_eq!(response.json()["error"]["code"], "key_reused");
    assert_eq!(response.header("retry-after"), None);
    assert_eq!(response.header("x-should-retry"), Some("false"));
    assert_eq!(fixture.side.take_run_count(), 1);
}

#[test]
fn a_repeat_of_a_running_request_is_refused_with_a_retry_delay() {
    let fixture = Fixture::start();
    let mut first = fixture.caller();
    first.send(&keyed_request());
    fixture.side.next_run();
    let again = fixture.call(&keyed_request());
    assert_eq!(again.status, 409, "{again:?}");
    assert_eq!(again.json()["error"]["code"], "in_progress");
    assert!(again.header("retry-after").is_some());
    assert_eq!(again.header("x-should-retry"), Some("true"));
    fixture.side.continue_last_run(&successful_replies());
    assert_eq!(first.read_response(&keyed_request()).status, 200);
    assert_eq!(fixture.side.take_run_count(), 0);
}

#[test]
fn a_request_that_did_not_run_can_run_with_the_same_key() {
    let fixture = Fixture::start();
    let refused = [Reply::Refuse(RefusalReason::Full, 1)];
    fixture.side.set_reply_sequence(&[&refused, &successful_replies()]);
    let first = fixture.call(&keyed_request());
    assert_eq!(first.json()["error"]["code"], "full", "{first:?}");
    wait_until("the request runs", || {
        fixture.call(&keyed_request()).status == 200
    });
    assert_eq!(fixture.side.take_run_count(), 2);
}

#[test]
fn keyed_requests_are_refused_while_the_table_is_unavailable() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies());
    let down = Down::Unavailable;
    fixture.table_faults.set(FaultSettings { down, ..Default::default() });
    let response = fixture.call(&keyed_request());
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.json()["error"]["code"], "store_down");
    assert_eq!(response.header("chestnutreach-outcome"), Some("not-run"));
    assert!(response.header("retry-after").is_some());
    assert_eq!(fixture.side.take_run_count(), 0);
    // Requests without a key are not affected.
    assert_eq!(fixture.call(&Request::chat(json!({}))).status, 200);
}
