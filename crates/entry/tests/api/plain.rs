//! Requests for a plain service.

use std::collections::BTreeMap;

use chestnutreach_protocol::wire::{self, FailureReason, run::Work};

use crate::support::{Reply, Request, Stage};

/// A whole answer of the service.
fn answers(
    status: u32,
    headers: &[(&'static str, &'static str)],
) -> Vec<Reply> {
    vec![
        Reply::Accept,
        Reply::Head(status, headers.to_vec()),
        Reply::Data(b"{\"loan\":"),
        Reply::Data(b"2417}"),
        Reply::Finish,
    ]
}

fn call_of(run: wire::Run) -> wire::PlainCall {
    match run.work {
        Some(Work::PlainCall(call)) => call,
        other => panic!("no call of a plain service: {other:?}"),
    }
}

/// A target as the caller writes it, and as the service gets it.
struct Target {
    written: &'static str,
    passed_on: &'static str,
}

#[test]
fn targets_are_those_below_the_services_path() {
    let cases = [
        Target { written: "/ledger-app", passed_on: "/" },
        Target { written: "/ledger-app/", passed_on: "/" },
        Target { written: "/ledger-app?a=1", passed_on: "/?a=1" },
        Target {
            written: "/ledger-app/schedules/24%2F17?from=a%20b&to=",
            passed_on: "/schedules/24%2F17?from=a%20b&to=",
        },
        Target { written: "/ledger-app//x", passed_on: "//x" },
        Target { written: "/x/../ledger-app/a/../b", passed_on: "/b" },
    ];
    let stage = Stage::start();
    stage.side.reply(&answers(200, &[]));
    for case in cases {
        let answer = stage.call(&Request::new("GET", case.written));
        assert_eq!(answer.status, 200, "{}", case.written);
        let call = call_of(stage.side.next_run());
        assert_eq!(call.target, case.passed_on, "{}", case.written);
    }
}

/// A method, the mark of the caller, and whether a request may be repeated.
struct Repeat {
    method: &'static str,
    mark: Option<&'static str>,
    key: Option<&'static str>,
    is_idempotent: bool,
}

#[test]
fn methods_say_what_may_be_repeated() {
    let case = |method, mark, key, is_idempotent| Repeat {
        method,
        mark,
        key,
        is_idempotent,
    };
    let cases = [
        case("GET", None, None, true),
        case("HEAD", None, None, true),
        case("OPTIONS", None, None, true),
        case("PUT", None, None, true),
        case("DELETE", None, None, true),
        case("POST", None, None, false),
        case("PATCH", None, None, false),
        case("POST", Some("false"), None, true),
        case("GET", Some("true"), None, false),
        case("POST", Some("false"), Some("receipt-1"), false),
    ];
    let stage = Stage::start();
    stage.side.reply(&answers(200, &[]));
    for case in cases {
        let mut request = Request::new(case.method, "/ledger-app/x");
        if let Some(mark) = case.mark {
            request = request.header("chestnutreach-non-idempotent", mark);
        }
        if let Some(key) = case.key {
            request = request.header("idempotency-key", key);
        }
        assert_eq!(stage.call(&request).status, 200, "{request:?}");
        let run = stage.side.next_run();
        assert_eq!(run.is_idempotent, case.is_idempotent, "{request:?}");
        assert_eq!(call_of(run).method, case.method);
    }
}

#[test]
fn published_headers_are_passed_on_and_ours_are_not() {
    let passed_on = [
        ("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad-01"),
        ("idempotency-key", "receipt-88"),
        ("content-type", "application/json"),
        ("accept-encoding", "br"),
    ];
    let kept = [
        ("chestnutreach-priority", "high"),
        ("chestnutreach-deadline-ms", "900"),
        ("connection", "x-hop, keep-alive"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("proxy-authorization", "Basic eDp5"),
    ];
    let stage = Stage::start();
    stage.side.reply(&answers(200, &[]));
    let mut request = Request::new("POST", "/ledger-app/receipts").body("{}");
    for (name, value) in passed_on.iter().chain(&kept) {
        request = request.header(name, value);
    }
    assert_eq!(stage.call(&request).status, 200);
    let run = stage.side.next_run();
    assert_eq!(run.priority(), wire::Priority::High);
    assert!(run.deadline_ms <= 900, "{run:?}");
    let call = call_of(run);
    assert_eq!(call.body, b"{}");
    let headers: BTreeMap<&str, &str> = call
        .headers
        .iter()
        .map(|h| (h.name.as_str(), h.value.as_str()))
        .collect();
    assert_eq!(headers, BTreeMap::from(passed_on));
}

#[test]
fn the_services_answer_is_passed_on_as_it_is() {
    let headers = [("content-type", "text/x-ledger"), ("etag", "\"7\"")];
    let stage = Stage::start();
    for status in [200, 201, 404, 409, 500, 503] {
        stage.side.reply(&answers(status, &headers));
        let answer = stage.call(&Request::new("GET", "/ledger-app/x"));
        assert_eq!(u32::from(answer.status), status);
        assert_eq!(answer.body, "{\"loan\":2417}");
        assert!(answer.is_whole);
        for (name, value) in headers {
            assert_eq!(answer.header(name), Some(value));
        }
        // The service's own answer, whatever it says, is a whole one.
        let outcome = answer.header("chestnutreach-outcome");
        assert_eq!(outcome, Some("completed"));
        assert!(answer.header("retry-after").is_none());
    }
}

#[test]
fn a_header_that_is_not_ascii_costs_only_itself() {
    let headers = [("x-name", "caf\u{e9}"), ("x-\u{e9}", "1"), ("etag", "7")];
    let stage = Stage::start();
    stage.side.reply(&answers(200, &headers));
    for _ in 0..4 {
        let answer = stage.call(&Request::new("GET", "/ledger-app/x"));
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("etag"), Some("7"));
        assert_eq!(answer.header("x-name"), None);
    }
}

#[test]
fn an_answer_that_breaks_is_never_begun() {
    let stage = Stage::start();
    stage.side.reply(&[
        Reply::Accept,
        Reply::Head(200, vec![]),
        Reply::Data(b"{\"loan\":"),
        Reply::Fail(FailureReason::BackendError),
    ]);
    let answer = stage.call(&Request::new("POST", "/ledger-app/receipts"));
    assert_eq!(answer.status, 502);
    assert_eq!(answer.json()["error"]["outcome"], "failed");
    assert_eq!(answer.header("x-should-retry"), Some("false"));
}

#[test]
fn what_the_service_does_not_say_is_not_said() {
    let stage = Stage::start();
    let bare = [Reply::Accept, Reply::Head(204, vec![]), Reply::Finish];
    stage.side.reply(&bare);
    let answer = stage.call(&Request::new("DELETE", "/ledger-app/x"));
    assert_eq!(answer.status, 204);
    assert_eq!(answer.header("content-type"), None);
    stage.side.reply(&answers(200, &[]));
    let answer = stage.call(&Request::new("GET", "/ledger-app/x"));
    assert_eq!(answer.header("content-type"), None);
    assert_eq!(answer.header("content-length"), Some("13"));
}

#[test]
fn head_does_not_state_a_length_that_get_has_not() {
    let bare = [Reply::Accept, Reply::Head(200, vec![]), Reply::Finish];
    let stage = Stage::start();
    stage.side.reply(&bare);
    let mut caller = stage.caller();
    let head = Request::new("HEAD", "/ledger-app/x");
    // The second would read a body of the first as its head.
    for _ in 0..2 {
        caller.send(&head);
        let answer = caller.answer(&head);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("content-length"), None);
    }
}

#[test]
fn a_tunnel_is_refused() {
    let stage = Stage::start();
    let answer = stage.call(&Request::new("CONNECT", "/ledger-app/x"));
    assert_eq!(answer.status, 405, "{answer:?}");
    assert!(answer.header("allow").is_some());
    assert_eq!(answer.header("chestnutreach-outcome"), Some("not-run"));
    assert_eq!(stage.side.runs(), 0);
}
