//! The list of models.

use serde_json::json;

use crate::support::{AGENT, Request, Stage};

fn model() -> serde_json::Value {
    json!({
        "id": "org/desk-llm",
        "object": "model",
        "created": 0,
        "owned_by": "desk-llm",
    })
}

#[test]
fn an_account_sees_its_models() {
    let stage = Stage::start();
    let list = Request::new("GET", "/v1/models?limit=5");
    let of_clerk = stage.call(&list);
    let expected = json!({"object": "list", "data": [model()]});
    assert_eq!(of_clerk.json(), expected);
    let agent = format!("Bearer {AGENT}");
    let of_agent = list.without("authorization");
    let of_agent = stage.call(&of_agent.header("authorization", &agent));
    assert_eq!(of_agent.json(), json!({"object": "list", "data": []}));
}

#[test]
fn a_model_is_found_by_its_name() {
    let stage = Stage::start();
    for target in ["/v1/models/org%2Fdesk-llm", "/v1/models/org/desk-llm"] {
        let answer = stage.call(&Request::new("GET", target));
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json(), model());
        assert!(answer.header("x-request-id").is_some());
    }
}

#[test]
fn head_has_the_head_of_get_alone() {
    let stage = Stage::start();
    let mut caller = stage.caller();
    let get = Request::new("GET", "/v1/models");
    let head = Request::new("HEAD", "/v1/models");
    caller.send(&head);
    let of_head = caller.answer(&head);
    // A body would be read as the head of this answer.
    caller.send(&get);
    let of_get = caller.answer(&get);
    assert_eq!(of_head.status, 200);
    assert_eq!(
        of_head.header("content-length"),
        of_get.header("content-length")
    );
}

#[test]
fn options_tell_the_methods() {
    let stage = Stage::start();
    for (target, allow) in [
        ("/v1/models", "GET, HEAD, OPTIONS"),
        ("/v1/models/any", "GET, HEAD, OPTIONS"),
        ("/v1/completions", "POST, OPTIONS"),
    ] {
        let answer = stage.call(&Request::new("OPTIONS", target));
        assert_eq!(answer.status, 204, "{answer:?}");
        assert_eq!(answer.header("allow"), Some(allow));
    }
}
