//! Connections of callers: keep-alive, disconnects and draining.

use chestnutreach_protocol::wire::FailureReason;
use serde_json::json;

use crate::support::{Fixture, Reply, Request, wait_until};

fn unstreamed() -> Request {
    Request::chat(json!({}))
}

fn streamed() -> Request {
    Request::chat(json!({"stream": true}))
}

fn plain() -> Request {
    Request::new("POST", "/ledger-app/receipts")
}

#[test]
fn disconnected_callers_cancel_their_requests() {
    let started = [Reply::Accept, Reply::Token("a")];
    for (request, replies) in [
        (unstreamed(), &[][..]),
        (unstreamed(), &started[..]),
        (streamed(), &[][..]),
        (streamed(), &started[..]),
        (plain(), &started[..1]),
    ] {
        let fixture = Fixture::start();
        fixture.side.set_replies(replies);
        let mut caller = fixture.caller();
        caller.send(&request);
        let run = fixture.side.next_run();
        drop(caller);
        let cancel = fixture.side.next_cancel();
        assert_eq!(cancel.request, run.request, "{request:?}");
        wait_until("nothing is in flight", || fixture.entry.in_flight() == 0);
    }
}

#[test]
fn a_keyed_request_continues_after_its_caller_disconnects() {
    let fixture = Fixture::start();
    let keyed_request = unstreamed().header("idempotency-key", "letter-1");
    let mut caller = fixture.caller();
    caller.send(&keyed_request);
    fixture.side.next_run();
    drop(caller);
    wait_until("the disconnect is detected", || {
        fixture.entry.in_flight() == 0
    });
    fixture.side.continue_last_run(&[
        Reply::Accept,
        Reply::Token("Dear"),
        Reply::Finish,
    ]);
    wait_until("the response is stored", || {
        fixture.call(&keyed_request).status == 200
    });
    assert_eq!(fixture.side.take_run_count(), 0);
}

#[test]
fn a_connection_stays_open_after_error_responses() {
    let fixture = Fixture::start();
    let ok = [Reply::Accept, Reply::Token("a"), Reply::Finish];
    let fails = [Reply::Accept, Reply::Fail(FailureReason::BadRequest)];
    fixture.side.set_reply_sequence(&[&ok, &fails, &ok]);
    let mut caller = fixture.caller();
    let without_key = unstreamed().without_header("authorization");
    for (request, status) in [
        (unstreamed(), 200),
        (without_key, 401),
        (unstreamed().body("{"), 400),
        (Request::new("GET", "/nowhere"), 404),
        (unstreamed(), 400),
        (streamed(), 200),
        (Request::new("PUT", "/v1/models"), 405),
        (unstreamed(), 200),
    ] {
        caller.send(&request);
        let response = caller.read_response(&request);
        assert_eq!(response.status, status, "{request:?}: {response:?}");
        assert_eq!(response.header("connection"), None, "{response:?}");
    }
}

#[test]
fn a_draining_entry_closes_connections_after_the_response() {
    let fixture = Fixture::start();
    let mut open_caller = fixture.caller();
    open_caller.send(&unstreamed());
    fixture.side.next_run();
    fixture.entry.set_draining(true);
    fixture.side.continue_last_run(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Finish,
    ]);
    let response = open_caller.read_response(&unstreamed());
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.header("connection"), Some("close"));
    fixture.side.set_replies(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Finish,
    ]);
    for request in
        [unstreamed(), streamed(), Request::new("GET", "/v1/models")]
    {
        let response = fixture.call(&request);
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.header("connection"), Some("close"));
    }
}

#[test]
fn chunked_request_bodies_are_accepted() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Finish,
    ]);
    let body = r#"{"model":"org/desk-llm","messages":[{"role":"user","content":"x"}]}"#;
    let (first, second) = body.split_at(20);
    let key = crate::support::CLERK_KEY;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
         authorization: bearer {key}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut caller = fixture.caller();
    for bytes in [
        head,
        format!("{:x}\r\n{first}\r\n", first.len()),
        format!("{:x}\r\n{second}\r\n0\r\n\r\n", second.len()),
    ] {
        caller.send_bytes(bytes.as_bytes());
    }
    assert_eq!(caller.read_response(&unstreamed()).status, 200);
}
