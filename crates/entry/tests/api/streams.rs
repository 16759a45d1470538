//! Streamed responses.

use chestnutreach_protocol::wire::FailureReason;
use serde_json::{Value, json};

use crate::support::{Fixture, Reply, Request};

/// Text with all characters that a line of JSON must escape, line separators
/// and multi-byte characters.
const TEXT: &str = "\"q\" \\ \n\r\n\t\u{0}\u{1f}\u{7f}\u{85}\u{2028}\
                    \u{2029} é 貸 🧾";

fn streamed(extra_fields: Value) -> Request {
    let mut fields = json!({"stream": true});
    fields
        .as_object_mut()
        .unwrap()
        .extend(extra_fields.as_object().unwrap().clone());
    Request::chat(fields)
}

#[test]
fn streams_end_with_done_and_include_usage_on_request() {
    let fixture = Fixture::start();
    let token = Reply::Token;
    fixture.side.set_replies(&[
        Reply::Accept,
        token("a"),
        token("b"),
        Reply::Finish,
    ]);
    let with_usage = json!({"stream_options": {"include_usage": true}});
    for (extra_fields, has_usage) in [(json!({}), false), (with_usage, true)] {
        let response = fixture.call(&streamed(extra_fields));
        assert_eq!(response.status, 200);
        assert!(response.is_complete);
        assert_eq!(response.header("content-type"), Some("text/event-stream"));
        assert_eq!(response.header("transfer-encoding"), Some("chunked"));
        let events = response.events();
        assert_eq!(events.last(), Some(&"[DONE]"));
        let last: Value =
            serde_json::from_str(events[events.len() - 2]).unwrap();
        assert_eq!(last["usage"].is_object(), has_usage, "{last}");
    }
}

#[test]
fn special_characters_in_text_are_preserved() {
    let fixture = Fixture::start();
    let token = Reply::Token;
    fixture.side.set_replies(&[
        Reply::Accept,
        token(TEXT),
        token(""),
        Reply::Finish,
    ]);
    let full_response = fixture.call(&Request::chat(json!({})));
    assert_eq!(full_response.json()["choices"][0]["message"]["content"], TEXT);
    let response = fixture.call(&streamed(json!({})));
    let mut text = String::new();
    for event in response.events() {
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            continue;
        };
        let delta = &event["choices"][0]["delta"]["content"];
        text += delta.as_str().unwrap_or_default();
    }
    assert_eq!(text, TEXT);
}

#[test]
fn tokens_are_sent_without_waiting_for_the_next() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&[Reply::Accept, Reply::Token("first")]);
    let mut caller = fixture.caller();
    caller.send(&streamed(json!({})));
    assert_eq!(caller.read_head().status, 200);
    let mut text = String::new();
    while !text.contains("first") {
        text += &caller.read_chunk().expect("the first token");
    }
    fixture.side.continue_last_run(&[Reply::Token("second"), Reply::Finish]);
    while !text.contains("[DONE]") {
        text += &caller.read_chunk().expect("the rest");
    }
    assert!(text.contains("second"));
}

#[test]
fn an_interrupted_stream_has_an_error_event_and_no_end_marker() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Fail(FailureReason::BackendError),
    ]);
    let request =
        streamed(json!({})).header("chestnutreach-non-idempotent", "true");
    let response = fixture.call(&request);
    assert_eq!(response.status, 200);
    assert!(!response.is_complete, "{response:?}");
    let events = response.events();
    let last: Value = serde_json::from_str(events.last().unwrap()).unwrap();
    assert_eq!(last["error"]["outcome"], "failed");
    assert_eq!(last["error"]["code"], "failed");
    assert!(!response.body.contains("[DONE]"));
}

#[test]
fn completions_are_streamed_as_text() {
    let fixture = Fixture::start();
    fixture.side.set_replies(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Finish,
    ]);
    let body = json!({
        "model": "org/desk-llm", "prompt": "hi", "stream": true,
        "max_tokens": 3,
    });
    let request = Request::new("POST", "/v1/completions");
    let response = fixture.call(&request.body(&body.to_string()));
    let first: Value = serde_json::from_str(response.events()[0]).unwrap();
    assert_eq!(first["object"], "text_completion");
    assert_eq!(first["choices"][0]["text"], "a");
    let run = fixture.side.next_run();
    let Some(chestnutreach_protocol::wire::run::Work::Generate(work)) =
        run.work
    else {
        panic!("not a request for a model: {run:?}");
    };
    assert_eq!(work.max_tokens, 3);
    assert_eq!(work.request_json, body.to_string().as_bytes());
}
