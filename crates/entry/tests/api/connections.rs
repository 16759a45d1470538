//! Connections of callers: kept, hung up, drained.

use chestnutreach_protocol::wire::FailureReason;
use serde_json::json;

use crate::support::{Reply, Request, Stage, wait_until};

fn whole() -> Request {
    Request::chat(json!({}))
}

fn streamed() -> Request {
    Request::chat(json!({"stream": true}))
}

fn plain() -> Request {
    Request::new("POST", "/ledger-app/receipts")
}

#[test]
fn a_caller_that_hangs_up_cancels_its_request() {
    let begun = [Reply::Accept, Reply::Token("a")];
    for (request, replies) in [
        (whole(), &[][..]),
        (whole(), &begun[..]),
        (streamed(), &[][..]),
        (streamed(), &begun[..]),
        (plain(), &begun[..1]),
    ] {
        let stage = Stage::start();
        stage.side.reply(replies);
        let mut caller = stage.caller();
        caller.send(&request);
        let run = stage.side.next_run();
        drop(caller);
        let cancel = stage.side.next_cancel();
        assert_eq!(cancel.request, run.request, "{request:?}");
        wait_until("nothing is in flight", || stage.entry.in_flight() == 0);
    }
}

#[test]
fn a_keyed_request_outlives_its_caller() {
    let stage = Stage::start();
    let letter = whole().header("idempotency-key", "letter-1");
    let mut caller = stage.caller();
    caller.send(&letter);
    stage.side.next_run();
    drop(caller);
    wait_until("the caller is missed", || stage.entry.in_flight() == 0);
    stage.side.go_on(&[Reply::Accept, Reply::Token("Dear"), Reply::Finish]);
    wait_until("the letter is kept", || stage.call(&letter).status == 200);
    assert_eq!(stage.side.runs(), 0);
}

#[test]
fn a_connection_is_kept_through_errors() {
    let stage = Stage::start();
    let ok = [Reply::Accept, Reply::Token("a"), Reply::Finish];
    let fails = [Reply::Accept, Reply::Fail(FailureReason::BadRequest)];
    stage.side.reply_in_turn(&[&ok, &fails, &ok]);
    let mut caller = stage.caller();
    let keyless = whole().without("authorization");
    for (request, status) in [
        (whole(), 200),
        (keyless, 401),
        (whole().body("{"), 400),
        (Request::new("GET", "/nowhere"), 404),
        (whole(), 400),
        (streamed(), 200),
        (Request::new("PUT", "/v1/models"), 405),
        (whole(), 200),
    ] {
        caller.send(&request);
        let answer = caller.answer(&request);
        assert_eq!(answer.status, status, "{request:?}: {answer:?}");
        assert_eq!(answer.header("connection"), None, "{answer:?}");
    }
}

#[test]
fn a_leaving_vm_closes_connections_after_their_answer() {
    let stage = Stage::start();
    let mut during = stage.caller();
    during.send(&whole());
    stage.side.next_run();
    stage.entry.set_draining(true);
    stage.side.go_on(&[Reply::Accept, Reply::Token("a"), Reply::Finish]);
    let answer = during.answer(&whole());
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.header("connection"), Some("close"));
    stage.side.reply(&[Reply::Accept, Reply::Token("a"), Reply::Finish]);
    for request in [whole(), streamed(), Request::new("GET", "/v1/models")] {
        let answer = stage.call(&request);
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.header("connection"), Some("close"));
    }
}

#[test]
fn the_body_may_come_in_chunks() {
    let stage = Stage::start();
    stage.side.reply(&[Reply::Accept, Reply::Token("a"), Reply::Finish]);
    let body = r#"{"model":"org/desk-llm","messages":[{"role":"user","content":"x"}]}"#;
    let (first, second) = body.split_at(20);
    let key = crate::support::CLERK;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
         authorization: bearer {key}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut caller = stage.caller();
    for bytes in [
        head,
        format!("{:x}\r\n{first}\r\n", first.len()),
        format!("{:x}\r\n{second}\r\n0\r\n\r\n", second.len()),
    ] {
        caller.send_bytes(bytes.as_bytes());
    }
    assert_eq!(caller.answer(&whole()).status, 200);
}
