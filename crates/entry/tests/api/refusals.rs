//! Requests that are refused and reach no backend server.

use serde_json::{Value, json};

use crate::support::{
    AGENT_KEY, CLERK_KEY, Fixture, HttpResponse, MAX_BODY_BYTES, Request,
    Setup,
};

/// A request and the expected refusal.
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

fn check(case: &Case, response: &HttpResponse) {
    let request = &case.request;
    let error = &response.json()["error"];
    assert_eq!(response.status, case.status, "{request:?}: {response:?}");
    assert_eq!(error["code"], case.code, "{request:?}: {error}");
    assert_eq!(error["param"].as_str(), case.param, "{request:?}: {error}");
    let message = error["message"].as_str();
    assert!(message.is_some_and(|m| !m.is_empty()), "{request:?}: {error}");
    assert_eq!(error["type"], "invalid_request_error", "{request:?}");
    assert_eq!(response.header("chestnutreach-outcome"), Some("not-run"));
    assert_eq!(response.header("x-should-retry"), Some("false"));
    assert_eq!(response.header("content-type"), Some("application/json"));
    assert!(response.header("x-request-id").is_some(), "{request:?}");
    if let Some((name, value)) = case.header {
        assert_eq!(response.header(name), Some(value), "{request:?}");
    }
}

/// Sends all requests on one connection, which must stay usable.
fn check_all(cases: &[Case]) {
    let fixture = Fixture::start();
    let mut caller = fixture.caller();
    for case in cases {
        caller.send(&case.request);
        check(case, &caller.read_response(&case.request));
    }
    assert_eq!(fixture.side.take_run_count(), 0);
    assert_eq!(fixture.entry.in_flight(), 0);
}

fn chat() -> Request {
    Request::chat(json!({}))
}

fn without_key(method: &str, target: &str) -> Request {
    Request::new(method, target).without_header("authorization")
}

#[test]
fn invalid_bearer_keys_get_401() {
    let invalid = |request: Request| {
        Case::new(request, 401, "invalid_api_key")
            .header("www-authenticate", "Bearer")
    };
    let with = |value: &str| {
        invalid(
            chat()
                .without_header("authorization")
                .header("authorization", value),
        )
    };
    let both = chat().header("authorization", &format!("Bearer {AGENT_KEY}"));
    check_all(&[
        invalid(without_key("GET", "/v1/models")),
        invalid(without_key("POST", "/v1/chat/completions")),
        invalid(without_key("GET", "/ledger-app/schedules/1")),
        invalid(without_key("GET", "/no-such-service")),
        invalid(without_key("OPTIONS", "/v1/models")),
        with("Bearer wrong"),
        with("Bearer "),
        with("Bearer"),
        with(&format!("Basic {CLERK_KEY}")),
        with(CLERK_KEY),
        invalid(both),
    ]);
}

#[test]
fn services_of_other_accounts_get_403() {
    let forbidden = |request| Case::new(request, 403, "service_not_allowed");
    let agent = format!("Bearer {AGENT_KEY}");
    let forbidden_to_agent = |request: Request| {
        let request = request.without_header("authorization");
        forbidden(request.header("authorization", &agent))
    };
    check_all(&[
        forbidden(Request::new("GET", "/pipe-records/1")),
        forbidden(Request::new("POST", "/pipe-records").body("{}")),
        forbidden_to_agent(chat()),
        forbidden_to_agent(Request::new("GET", "/v1/models/org%2Fdesk-llm")),
        forbidden_to_agent(Request::new("GET", "/ledger-app/1")),
    ]);
}

#[test]
fn unknown_services_and_models_get_404() {
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
fn unsupported_methods_get_405() {
    let invalid = |method, target, allow| {
        let request = Request::new(method, target);
        Case::new(request, 405, "method_not_allowed").header("allow", allow)
    };
    let get = "GET, HEAD, OPTIONS";
    check_all(&[
        invalid("GET", "/v1/chat/completions", "POST, OPTIONS"),
        invalid("PUT", "/v1/completions", "POST, OPTIONS"),
        invalid("POST", "/v1/models", get),
        invalid("DELETE", "/v1/models/org%2Fdesk-llm", get),
    ]);
}

#[test]
fn invalid_bodies_get_400() {
    let invalid = |extra_fields: Value, param: &'static str| {
        Case::new(Request::chat(extra_fields), 400, "invalid_body")
            .param(param)
    };
    let not_json = |body| Case::new(chat().body(body), 400, "invalid_body");
    let too_long = |field: &'static str| {
        let request = Request::chat(json!({ field: 1_000 }));
        Case::new(request, 400, "context_length_exceeded").param(field)
    };
    let completion = Request::new("POST", "/v1/completions?api-version=1")
        .body(r#"{"model":"org/desk-llm","prompt":["a","b"]}"#);
    check_all(&[
        not_json(""),
        not_json("{"),
        not_json("[1]"),
        invalid(json!({"model": 5}), "model"),
        invalid(json!({"model": null}), "model"),
        invalid(json!({"messages": []}), "messages"),
        invalid(json!({"messages": "hi"}), "messages"),
        invalid(json!({"messages": [{"role": 1}]}), "messages[0].role"),
        invalid(json!({"max_tokens": "many"}), "max_tokens"),
        invalid(json!({"max_tokens": -1}), "max_tokens"),
        invalid(json!({"stream": "yes"}), "stream"),
        invalid(json!({"n": 2}), "n"),
        invalid(json!({"temperature": 9}), "temperature"),
        invalid(json!({"stream_options": {}}), "stream_options"),
        too_long("max_tokens"),
        too_long("max_completion_tokens"),
        Case::new(completion, 400, "invalid_body").param("prompt"),
    ]);
}

#[test]
fn invalid_headers_get_400() {
    let invalid = |name: &'static str, value: &str| {
        let request = chat().header(name, value);
        Case::new(request, 400, "invalid_header").param(name)
    };
    let twice = |name: &'static str, value| {
        let request = chat().header(name, value).header(name, value);
        Case::new(request, 400, "invalid_header").param(name)
    };
    let deadline = "chestnutreach-deadline-ms";
    let priority = "chestnutreach-priority";
    let non_idempotent = "chestnutreach-non-idempotent";
    let key = "idempotency-key";
    check_all(&[
        invalid(deadline, "0"),
        invalid(deadline, "20001"),
        invalid(deadline, "+5"),
        invalid(deadline, "-5"),
        invalid(deadline, "1.5"),
        invalid(deadline, "99999999999999999999"),
        invalid(deadline, ""),
        invalid(priority, "urgent"),
        invalid(priority, "High"),
        invalid(non_idempotent, "yes"),
        invalid(key, ""),
        invalid(key, &"k".repeat(256)),
        twice(deadline, "500"),
        twice(non_idempotent, "true"),
        twice(key, "letter-1"),
    ]);
}

/// Bytes that are not a valid HTTP/1.1 request, and the expected status.
struct Malformed {
    bytes: Vec<u8>,
    status: u16,
}

impl Malformed {
    fn new(status: u16, bytes: &str) -> Malformed {
        Malformed { bytes: bytes.as_bytes().to_vec(), status }
    }

    /// A chat request with the given headers and body.
    fn chat(status: u16, headers: &str, body: &str) -> Malformed {
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {CLERK_KEY}\r\n{headers}\r\n{body}"
        );
        Malformed::new(status, &text)
    }
}

#[test]
fn malformed_http_gets_the_matching_status() {
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
    let fixture = Fixture::start();
    for case in cases {
        let text = String::from_utf8_lossy(&case.bytes).into_owned();
        let mut caller = fixture.caller();
        caller.send_bytes(&case.bytes);
        caller.shut_down_write();
        let response = caller.read_response(&Request::new("POST", "/"));
        let error = &response.json()["error"];
        assert_eq!(response.status, case.status, "{text:.200}: {response:?}");
        assert_eq!(error["code"], "bad_http", "{text:.200}");
        assert_eq!(error["type"], "invalid_request_error", "{text:.200}");
        let outcome = response.header("chestnutreach-outcome");
        assert_eq!(outcome, Some("not-run"), "{text:.200}");
        assert_eq!(
            response.header("connection"),
            Some("close"),
            "{text:.200}"
        );
    }
    assert_eq!(fixture.side.take_run_count(), 0);
}

#[test]
fn requests_without_a_manifest_get_503_and_not_401() {
    let fixture = Setup::new().without_manifest().start();
    for request in [chat(), without_key("GET", "/v1/models")] {
        let response = fixture.call(&request);
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.header("retry-after").is_some());
        assert_eq!(response.header("x-should-retry"), Some("true"));
        assert_eq!(response.json()["error"]["code"], "no_chain");
    }
}
