//! Requests that are refused and reach no backend server.

use serde_json::{Value, json};

use crate::support::{
    AGENT, Answer, CLERK, MAX_BODY_BYTES, Request, Setup, Stage,
};

/// A request, and how it is refused.
struct Case {
    request: Request,
    status: u16,
    code: &'static str,
    param: Option<&'static str>,
    header: Option<(&'static str, &'static str)>,
}

impl Case {
    fn new(request: Request, status: u16, code: &'static str) -> Case {
        Case { request, status, code, param: None, header: None }
    }

    fn param(mut self, param: &'static str) -> Case {
        self.param = Some(param);
        self
    }

    fn header(mut self, name: &'static str, value: &'static str) -> Case {
        self.header = Some((name, value));
        self
    }
}

fn check(case: &Case, answer: &Answer) {
    let request = &case.request;
    let error = &answer.json()["error"];
    assert_eq!(answer.status, case.status, "{request:?}: {answer:?}");
    assert_eq!(error["code"], case.code, "{request:?}: {error}");
    assert_eq!(error["param"].as_str(), case.param, "{request:?}: {error}");
    let message = error["message"].as_str();
    assert!(message.is_some_and(|m| !m.is_empty()), "{request:?}: {error}");
    assert_eq!(error["type"], "invalid_request_error", "{request:?}");
    assert_eq!(answer.header("chestnutreach-outcome"), Some("not-run"));
    assert_eq!(answer.header("x-should-retry"), Some("false"));
    assert_eq!(answer.header("content-type"), Some("application/json"));
    assert!(answer.header("x-request-id").is_some(), "{request:?}");
    if let Some((name, value)) = case.header {
        assert_eq!(answer.header(name), Some(value), "{request:?}");
    }
}

/// All are sent on one connection, which stays usable.
fn check_all(cases: &[Case]) {
    let stage = Stage::start();
    let mut caller = stage.caller();
    for case in cases {
        caller.send(&case.request);
        check(case, &caller.answer(&case.request));
    }
    assert_eq!(stage.side.runs(), 0);
    assert_eq!(stage.entry.in_flight(), 0);
}

fn chat() -> Request {
    Request::chat(json!({}))
}

fn keyless(method: &str, target: &str) -> Request {
    Request::new(method, target).without("authorization")
}

#[test]
fn wrong_keys_are_401() {
    let wrong = |request: Request| {
        Case::new(request, 401, "invalid_api_key")
            .header("www-authenticate", "Bearer")
    };
    let with = |value: &str| {
        wrong(chat().without("authorization").header("authorization", value))
    };
    let both = chat().header("authorization", &format!("Bearer {AGENT}"));
    check_all(&[
        wrong(keyless("GET", "/v1/models")),
        wrong(keyless("POST", "/v1/chat/completions")),
        wrong(keyless("GET", "/ledger-app/schedules/1")),
        wrong(keyless("GET", "/no-such-service")),
        wrong(keyless("OPTIONS", "/v1/models")),
        with("Bearer wrong"),
        with("Bearer "),
        with("Bearer"),
        with(&format!("Basic {CLERK}")),
        with(CLERK),
        wrong(both),
    ]);
}

#[test]
fn services_of_others_are_403() {
    let forbidden = |request| Case::new(request, 403, "service_not_allowed");
    let agent = format!("Bearer {AGENT}");
    let of_agent = |request: Request| {
        let request = request.without("authorization");
        forbidden(request.header("authorization", &agent))
    };
    check_all(&[
        forbidden(Request::new("GET", "/pipe-records/1")),
        forbidden(Request::new("POST", "/pipe-records").body("{}")),
        of_agent(chat()),
        of_agent(Request::new("GET", "/v1/models/org%2Fdesk-llm")),
        of_agent(Request::new("GET", "/ledger-app/1")),
    ]);
}

#[test]
fn unknown_services_are_404() {
    let unknown =
        |target| Case::new(Request::new("GET", target), 404, "not_found");
    let no_model = |request| Case::new(request, 404, "model_not_found");
    check_all(&[
        unknown("/"),
        unknown("/v1"),
        unknown("/v1/embeddings"),
        unknown("/v1/modelsx"),
        unknown("/ledger-apps"),
        unknown("/ledger-app/../v1/x?y=1"),
        no_model(Request::new("GET", "/v1/models/desk-llm")),
        no_model(Request::new("GET", "/v1/models/%ff")),
        no_model(Request::chat(json!({"model": "gpt"}))),
        no_model(Request::chat(json!({"model": ""}))),
    ]);
}

#[test]
fn wrong_methods_are_405() {
    let wrong = |method, target, allow| {
        let request = Request::new(method, target);
        Case::new(request, 405, "method_not_allowed").header("allow", allow)
    };
    let get = "GET, HEAD, OPTIONS";
    check_all(&[
        wrong("GET", "/v1/chat/completions", "POST, OPTIONS"),
        wrong("PUT", "/v1/completions", "POST, OPTIONS"),
        wrong("POST", "/v1/models", get),
        wrong("DELETE", "/v1/models/org%2Fdesk-llm", get),
    ]);
}

#[test]
fn wrong_bodies_are_400() {
    let wrong = |more: Value, param: &'static str| {
        Case::new(Request::chat(more), 400, "invalid_body").param(param)
    };
    let no_json = |body| Case::new(chat().body(body), 400, "invalid_body");
    let too_long = |field: &'static str| {
        let request = Request::chat(json!({ field: 1_000 }));
        Case::new(request, 400, "context_length_exceeded").param(field)
    };
    let completion = Request::new("POST", "/v1/completions?api-version=1")
        .body(r#"{"model":"org/desk-llm","prompt":["a","b"]}"#);
    check_all(&[
        no_json(""),
        no_json("{"),
        no_json("[1]"),
        wrong(json!({"model": 5}), "model"),
        wrong(json!({"model": null}), "model"),
        wrong(json!({"messages": []}), "messages"),
        wrong(json!({"messages": "hi"}), "messages"),
        wrong(json!({"messages": [{"role": 1}]}), "messages[0].role"),
        wrong(json!({"max_tokens": "many"}), "max_tokens"),
        wrong(json!({"max_tokens": -1}), "max_tokens"),
        wrong(json!({"stream": "yes"}), "stream"),
        wrong(json!({"n": 2}), "n"),
        wrong(json!({"temperature": 9}), "temperature"),
        wrong(json!({"stream_options": {}}), "stream_options"),
        too_long("max_tokens"),
        too_long("max_completion_tokens"),
        Case::new(completion, 400, "invalid_body").param("prompt"),
    ]);
}

#[test]
fn wrong_headers_are_400() {
    let wrong = |name: &'static str, value: &str| {
        let request = chat().header(name, value);
        Case::new(request, 400, "invalid_header").param(name)
    };
    let twice = |name: &'static str, value| {
        let request = chat().header(name, value).header(name, value);
        Case::new(request, 400, "invalid_header").param(name)
    };
    let deadline = "chestnutreach-deadline-ms";
    let priority = "chestnutreach-priority";
    let mark = "chestnutreach-non-idempotent";
    let key = "idempotency-key";
    check_all(&[
        wrong(deadline, "0"),
        wrong(deadline, "20001"),
        wrong(deadline, "+5"),
        wrong(deadline, "-5"),
        wrong(deadline, "1.5"),
        wrong(deadline, "99999999999999999999"),
        wrong(deadline, ""),
        wrong(priority, "urgent"),
        wrong(priority, "High"),
        wrong(mark, "yes"),
        wrong(key, ""),
        wrong(key, &"k".repeat(256)),
        twice(deadline, "500"),
        twice(mark, "true"),
        twice(key, "letter-1"),
    ]);
}

/// Bytes that are no request of HTTP/1.1, and how they are refused.
struct Malformed {
    bytes: Vec<u8>,
    status: u16,
}

impl Malformed {
    fn new(status: u16, bytes: &str) -> Malformed {
        Malformed { bytes: bytes.as_bytes().to_vec(), status }
    }

    /// A chat request with these headers and body.
    fn chat(status: u16, headers: &str, body: &str) -> Malformed {
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {CLERK}\r\n{headers}\r\n{body}"
        );
        Malformed::new(status, &text)
    }
}

#[test]
fn malformed_requests_get_their_status() {
    let body = r#"{"model":"org/desk-llm","messages":[{"role":"user","content":"x"}]}"#;
    let length = body.len();
    let long = MAX_BODY_BYTES + 1;
    let cases = [
        Malformed::new(400, "nonsense\r\n\r\n"),
        Malformed::new(400, "GET /v1/models HTTP/1.1\r\n\r\n"),
        Malformed::new(400, "GET /v1/mo"),
        Malformed::chat(400, "no colon\r\n", ""),
        Malformed::chat(400, "x-name: \u{e9}\r\ncontent-length: 0\r\n", ""),
        Malformed::chat(
            400,
            &format!("content-length: {length}\r\ncontent-length: 1\r\n"),
            body,
        ),
        Malformed::chat(400, &format!("content-length: {long}0x\r\n"), body),
        Malformed::chat(
            400,
            &format!("content-length: {}\r\n", length + 1),
            body,
        ),
        Malformed::chat(400, "transfer-encoding: chunked\r\n", "5\r\nab"),
        Malformed::chat(413, &format!("content-length: {long}\r\n"), ""),
        Malformed::chat(
            413,
            "transfer-encoding: chunked\r\n",
            &format!("{long:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(long)),
        ),
        Malformed::chat(
            431,
            &format!("x-long: {}\r\n", "x".repeat(10_000)),
            body,
        ),
        Malformed::chat(431, &"x-many: 1\r\n".repeat(200), body),
        Malformed::new(505, "GET /v1/models HTTP/1.0\r\nhost: e\r\n\r\n"),
    ];
    let stage = Stage::start();
    for case in cases {
        let text = String::from_utf8_lossy(&case.bytes).into_owned();
        let mut caller = stage.caller();
        caller.send_bytes(&case.bytes);
        caller.shut_down();
        let answer = caller.answer(&Request::new("POST", "/"));
        let error = &answer.json()["error"];
        assert_eq!(answer.status, case.status, "{text:.200}: {answer:?}");
        assert_eq!(error["code"], "bad_http", "{text:.200}");
        assert_eq!(error["type"], "invalid_request_error", "{text:.200}");
        let outcome = answer.header("chestnutreach-outcome");
        assert_eq!(outcome, Some("not-run"), "{text:.200}");
        assert_eq!(answer.header("connection"), Some("close"), "{text:.200}");
    }
    assert_eq!(stage.side.runs(), 0);
}

#[test]
fn without_a_manifest_nobody_is_called_wrong() {
    let stage = Setup::new().without_manifest().start();
    for request in [chat(), keyless("GET", "/v1/models")] {
        let answer = stage.call(&request);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
        assert_eq!(answer.header("x-should-retry"), Some("true"));
        assert_eq!(answer.json()["error"]["code"], "no_chain");
    }
}
