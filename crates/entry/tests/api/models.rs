//! The list of models.

use serde_json::json;

use crate::support::{AGENT_KEY, Fixture, Request};

fn model() -> serde_json::Value {
    json!({
        "id": "org/desk-llm",
        "object": "model",
        "created": 0,
        "owned_by": "desk-llm",
    })
}

#[test]
fn an_account_sees_only_its_models() {
    let fixture = Fixture::start();
    let list = Request::new("GET", "/v1/models?limit=5");
    let clerk_response = fixture.call(&list);
    let expected = json!({"object": "list", "data": [model()]});
    assert_eq!(clerk_response.json(), expected);
    let agent = format!("Bearer {AGENT_KEY}");
    let agent_response = list.without_header("authorization");
    let agent_response =
        fixture.call(&agent_response.header("authorization", &agent));
    assert_eq!(agent_response.json(), json!({"object": "list", "data": []}));
}

#[test]
fn a_model_is_found_by_name_with_and_without_escaping() {
    let fixture = Fixture::start();
    for target in ["/v1/models/org%2Fdesk-llm", "/v1/models/org/desk-llm"] {
        let response = fixture.call(&Request::new("GET", target));
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.json(), model());
        assert!(response.header("x-request-id").is_some());
    }
}

#[test]
fn head_returns_the_headers_of_get_without_a_body() {
    let fixture = Fixture::start();
    let mut caller = fixture.caller();
    let get = Request::new("GET", "/v1/models");
    let head = Request::new("HEAD", "/v1/models");
    caller.send(&head);
    let head_response = caller.read_response(&head);
    // If HEAD sent a body, it would be read as the head of this response.
    caller.send(&get);
    let get_response = caller.read_response(&get);
    assert_eq!(head_response.status, 200);
    assert_eq!(
        head_response.header("content-length"),
        get_response.header("content-length")
    );
}

#[test]
fn options_lists_the_supported_methods() {
    let fixture = Fixture::start();
    for (target, allow) in [
        ("/v1/models", "GET, HEAD, OPTIONS"),
        ("/v1/models/any", "GET, HEAD, OPTIONS"),
        ("/v1/completions", "POST, OPTIONS"),
    ] {
        let response = fixture.call(&Request::new("OPTIONS", target));
        assert_eq!(response.status, 204, "{response:?}");
        assert_eq!(response.header("allow"), Some(allow));
    }
}
