//! Requests for a plain service.

use std::collections::BTreeMap;

use chestnutreach_protocol::wire::{self, FailureReason, run::Work};

use crate::support::{Fixture, Reply, Request};

/// Replies with a complete response of the service.
fn successful_replies(
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

fn plain_call(run: wire::Run) -> wire::PlainCall {
    match run.work {
        Some(Work::PlainCall(call)) => call,
        other => panic!("not a call of a plain service: {other:?}"),
    }
}

/// A target as requested by the caller, and as forwarded to the service.
struct Target {
    requested: &'static str,
    forwarded: &'static str,
}

#[test]
fn targets_are_relative_to_the_path_of_the_service() {
    let cases = [
        Target { requested: "/ledger-app", forwarded: "/" },
        Target { requested: "/ledger-app/", forwarded: "/" },
        Target { requested: "/ledger-app?a=1", forwarded: "/?a=1" },
        Target {
            requested: "/ledger-app/schedules/24%2F17?from=a%20b&to=",
            forwarded: "/schedules/24%2F17?from=a%20b&to=",
        },
        Target { requested: "/ledger-app//x", forwarded: "//x" },
        Target { requested: "/x/../ledger-app/a/../b", forwarded: "/b" },
    ];
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies(200, &[]));
    for case in cases {
        let response = fixture.call(&Request::new("GET", case.requested));
        assert_eq!(response.status, 200, "{}", case.requested);
        let call = plain_call(fixture.side.next_run());
        assert_eq!(call.target, case.forwarded, "{}", case.requested);
    }
}

/// A method with the caller's headers, and whether the request is idempotent.
struct IdempotencyCase {
    method: &'static str,
    mark: Option<&'static str>,
    key: Option<&'static str>,
    is_idempotent: bool,
}

#[test]
fn methods_marks_and_keys_decide_whether_a_request_is_idempotent() {
    let case = |method, mark, key, is_idempotent| IdempotencyCase {
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
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies(200, &[]));
    for case in cases {
        let mut request = Request::new(case.method, "/ledger-app/x");
        if let Some(mark) = case.mark {
            request = request.header("chestnutreach-non-idempotent", mark);
        }
        if let Some(key) = case.key {
            request = request.header("idempotency-key", key);
        }
        assert_eq!(fixture.call(&request).status, 200, "{request:?}");
        let run = fixture.side.next_run();
        assert_eq!(run.is_idempotent, case.is_idempotent, "{request:?}");
        assert_eq!(plain_call(run).method, case.method);
    }
}

#[test]
fn only_end_to_end_headers_are_forwarded() {
    let forwarded = [
        ("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad-01"),
        ("idempotency-key", "receipt-88"),
        ("content-type", "application/json"),
        ("accept-encoding", "br"),
    ];
    let stripped = [
        ("chestnutreach-priority", "high"),
        ("chestnutreach-deadline-ms", "900"),
        ("connection", "x-hop, keep-alive"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("proxy-authorization", "Basic eDp5"),
    ];
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies(200, &[]));
    let mut request = Request::new("POST", "/ledger-app/receipts").body("{}");
    for (name, value) in forwarded.iter().chain(&stripped) {
        request = request.header(name, value);
    }
    assert_eq!(fixture.call(&request).status, 200);
    let run = fixture.side.next_run();
    assert_eq!(run.priority(), wire::Priority::High);
    assert!(run.deadline_ms <= 900, "{run:?}");
    let call = plain_call(run);
    assert_eq!(call.body, b"{}");
    let headers: BTreeMap<&str, &str> = call
        .headers
        .iter()
        .map(|h| (h.name.as_str(), h.value.as_str()))
        .collect();
    assert_eq!(headers, BTreeMap::from(forwarded));
}

#[test]
fn responses_of_the_service_are_forwarded_unchanged() {
    let headers = [("content-type", "text/x-ledger"), ("etag", "\"7\"")];
    let fixture = Fixture::start();
    for status in [200, 201, 404, 409, 500, 503] {
        fixture.side.set_replies(&successful_replies(status, &headers));
        let response = fixture.call(&Request::new("GET", "/ledger-app/x"));
        assert_eq!(u32::from(response.status), status);
        assert_eq!(response.body, "{\"loan\":2417}");
        assert!(response.is_complete);
        for (name, value) in headers {
            assert_eq!(response.header(name), Some(value));
        }
        // A complete response of the service counts as completed, whatever
        // its status.
        let outcome = response.header("chestnutreach-outcome");
        assert_eq!(outcome, Some("completed"));
        assert!(response.header("retry-after").is_none());
    }
}

#[test]
fn non_ascii_response_headers_are_skipped() {
    let headers = [("x-name", "caf\u{e9}"), ("x-\u{e9}", "1"), ("etag", "7")];
    let fixture = Fixture::start();
    fixture.side.set_replies(&successful_replies(200, &headers));
    for _ in 0..4 {
        let response = fixture.call(&Request::new("GET", "/ledger-app/x"));
        assert_eq!(response.status, 200);
        assert_eq!(response.header("etag"), Some("7"));
        assert_eq!(response.header("x-name"), None);
    }
}

#[test]
fn an_interrupted_response_is_not_sent() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&[
        Reply::Accept,
        Reply::Head(200, vec![]),
        Reply::Data(b"{\"loan\":"),
        Reply::Fail(FailureReason::BackendError),
    ]);
    let response = fixture.call(&Request::new("POST", "/ledger-app/receipts"));
    assert_eq!(response.status, 502);
    assert_eq!(response.json()["error"]["outcome"], "failed");
    assert_eq!(response.header("x-should-retry"), Some("false"));
}

#[test]
fn no_content_type_is_added_to_responses_of_the_service() {
    let fixture = Fixture::start();
    let empty_response =
        [Reply::Accept, Reply::Head(204, vec![]), Reply::Finish];
    fixture.side.set_replies(&empty_response);
    let response = fixture.call(&Request::new("DELETE", "/ledger-app/x"));
    assert_eq!(response.status, 204);
    assert_eq!(response.header("content-type"), None);
    fixture.side.set_replies(&successful_replies(200, &[]));
    let response = fixture.call(&Request::new("GET", "/ledger-app/x"));
    assert_eq!(response.header("content-type"), None);
    assert_eq!(response.header("content-length"), Some("13"));
}

#[test]
fn responses_to_head_have_no_content_length() {
    let empty_response =
        [Reply::Accept, Reply::Head(200, vec![]), Reply::Finish];
    let fixture = Fixture::start();
    fixture.side.set_replies(&empty_response);
    let mut caller = fixture.caller();
    let head = Request::new("HEAD", "/ledger-app/x");
    // If the first response had a body, it would be read as the head of the
    // second one.
    for _ in 0..2 {
        caller.send(&head);
        let response = caller.read_response(&head);
        assert_eq!(response.status, 200);
        assert_eq!(response.header("content-length"), None);
    }
}

#[test]
fn connect_requests_are_refused() {
    let fixture = Fixture::start();
    let response = fixture.call(&Request::new("CONNECT", "/ledger-app/x"));
    assert_eq!(response.status, 405, "{response:?}");
    assert!(response.header("allow").is_some());
    assert_eq!(response.header("chestnutreach-outcome"), Some("not-run"));
    assert_eq!(fixture.side.take_run_count(), 0);
}
