//! Streamed answers.

use chestnutreach_protocol::wire::FailureReason;
use serde_json::{Value, json};

use crate::support::{Reply, Request, Stage};

/// Text with all that a line of JSON must escape, and more.
const TEXT: &str = "\"q\" \\ \n\r\n\t\u{0}\u{1f}\u{7f}\u{85}\u{2028}\
                    \u{2029} é 貸 🧾";

fn streamed(more: Value) -> Request {
    let mut all = json!({"stream": true});
    all.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    Request::chat(all)
}

#[test]
fn a_stream_ends_with_done() {
    let stage = Stage::start();
    let token = Reply::Token;
    stage.side.reply(&[Reply::Accept, token("a"), token("b"), Reply::Finish]);
    let with_usage = json!({"stream_options": {"include_usage": true}});
    for (more, has_usage) in [(json!({}), false), (with_usage, true)] {
        let answer = stage.call(&streamed(more));
        assert_eq!(answer.status, 200);
        assert!(answer.is_whole);
        assert_eq!(answer.header("content-type"), Some("text/event-stream"));
        assert_eq!(answer.header("transfer-encoding"), Some("chunked"));
        let events = answer.events();
        assert_eq!(events.last(), Some(&"[DONE]"));
        let last: Value =
            serde_json::from_str(events[events.len() - 2]).unwrap();
        assert_eq!(last["usage"].is_object(), has_usage, "{last}");
    }
}

#[test]
fn any_text_comes_through_as_it_is() {
    let stage = Stage::start();
    let token = Reply::Token;
    stage.side.reply(&[Reply::Accept, token(TEXT), token(""), Reply::Finish]);
    let whole = stage.call(&Request::chat(json!({})));
    assert_eq!(whole.json()["choices"][0]["message"]["content"], TEXT);
    let answer = stage.call(&streamed(json!({})));
    let mut text = String::new();
    for event in answer.events() {
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            continue;
        };
        let delta = &event["choices"][0]["delta"]["content"];
        text += delta.as_str().unwrap_or_default();
    }
    assert_eq!(text, TEXT);
}

#[test]
fn each_token_is_sent_when_it_comes() {
    let stage = Stage::start();
    stage.side.reply(&[Reply::Accept, Reply::Token("first")]);
    let mut caller = stage.caller();
    caller.send(&streamed(json!({})));
    assert_eq!(caller.read_head().status, 200);
    let mut text = String::new();
    while !text.contains("first") {
        text += &caller.read_chunk().expect("the first token");
    }
    stage.side.go_on(&[Reply::Token("second"), Reply::Finish]);
    while !text.contains("[DONE]") {
        text += &caller.read_chunk().expect("the rest");
    }
    assert!(text.contains("second"));
}

#[test]
fn a_broken_stream_has_an_error_and_no_end() {
    let stage = Stage::start();
    stage.side.reply(&[
        Reply::Accept,
        Reply::Token("a"),
        Reply::Fail(FailureReason::BackendError),
    ]);
    let request =
        streamed(json!({})).header("chestnutreach-non-idempotent", "true");
    let answer = stage.call(&request);
    assert_eq!(answer.status, 200);
    assert!(!answer.is_whole, "{answer:?}");
    let events = answer.events();
    let last: Value = serde_json::from_str(events.last().unwrap()).unwrap();
    assert_eq!(last["error"]["outcome"], "failed");
    assert_eq!(last["error"]["code"], "failed");
    assert!(!answer.body.contains("[DONE]"));
}

#[test]
fn a_completion_streams_text() {
    let stage = Stage::start();
    stage.side.reply(&[Reply::Accept, Reply::Token("a"), Reply::Finish]);
    let body = json!({
        "model": "org/desk-llm", "prompt": "hi", "stream": true,
        "max_tokens": 3,
    });
    let request = Request::new("POST", "/v1/completions");
    let answer = stage.call(&request.body(&body.to_string()));
    let first: Value = serde_json::from_str(answer.events()[0]).unwrap();
    assert_eq!(first["object"], "text_completion");
    assert_eq!(first["choices"][0]["text"], "a");
    let run = stage.side.next_run();
    let Some(chestnutreach_protocol::wire::run::Work::Generate(work)) =
        run.work
    else {
        panic!("no work for a model: {run:?}");
    };
    assert_eq!(work.max_tokens, 3);
    assert_eq!(work.request_json, body.to_string().as_bytes());
}
