//! OpenAI request and response formats.

use chestnutreach_entry::openai::{
    Endpoint, ParsedRequest, ResponseTemplate, Usage,
    request::{DEFAULT_CHAT_MAX_TOKENS, DEFAULT_COMPLETION_MAX_TOKENS},
};
use chestnutreach_protocol::{RequestId, wire::FinishReason};
use serde_json::{Value, json};

use Endpoint::{Chat, Completions};

/// A body that is refused, and the expected field and message.
struct Refused {
    endpoint: Endpoint,
    body: &'static str,
    param: Option<&'static str>,
    message: &'static str,
}

const fn refused(
    endpoint: Endpoint,
    body: &'static str,
    param: &'static str,
    message: &'static str,
) -> Refused {
    let param = if param.is_empty() { None } else { Some(param) };
    Refused { endpoint, body, param, message }
}

/// A chat request with one additional field.
macro_rules! chat {
    ($field:literal) => {
        concat!(
            r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"#,
            $field,
            "}"
        )
    };
}

/// A chat request with a single message.
macro_rules! message {
    ($message:literal) => {
        concat!(r#"{"model":"m","messages":["#, $message, "]}")
    };
}

const REFUSED: &[Refused] = &[
    refused(Chat, "", "", "EOF"),
    refused(Chat, "{", "", "EOF"),
    refused(Chat, "nonsense", "", "expected ident"),
    refused(Chat, "\u{feff}{}", "", "expected value"),
    refused(Chat, "null", "", "invalid type: null"),
    refused(Chat, "5", "", "invalid type: integer"),
    refused(Chat, r#"["m"]"#, "", "invalid type: sequence"),
    refused(Chat, r#"{"model":"m"} x"#, "", "trailing"),
    refused(Chat, concat!(chat!(r#""n":1"#), "x"), "", "trailing"),
    refused(Chat, "{}", "model", "missing"),
    refused(Chat, r#"{"model":null}"#, "model", "missing"),
    refused(Chat, r#"{"model":5}"#, "model", "expected a string"),
    refused(Chat, r#"{"model":"m"}"#, "messages", "missing"),
    refused(Chat, r#"{"model":"m","prompt":"hi"}"#, "messages", "missing"),
    refused(Chat, r#"{"model":"m","messages":{}}"#, "messages", "sequence"),
    refused(Chat, r#"{"model":"m","messages":[]}"#, "messages", "empty"),
    refused(Chat, message!("5"), "messages[0]", "expected an object"),
    refused(
        Chat,
        message!(r#"["user","hi"]"#),
        "messages[0]",
        "expected an object",
    ),
    refused(Chat, message!("{}"), "messages[0].role", "missing"),
    refused(
        Chat,
        message!(r#"{"role":"clerk","content":"hi"}"#),
        "messages[0].role",
        "not one of",
    ),
    refused(
        Chat,
        message!(r#"{"role":"user"}"#),
        "messages[0].content",
        "missing",
    ),
    refused(
        Chat,
        message!(r#"{"role":"user","content":5}"#),
        "messages[0].content",
        "a string or a list of parts",
    ),
    refused(
        Chat,
        message!(r#"{"role":"user","content":[{"text":"hi"}]}"#),
        "messages[0].content[0].type",
        "missing",
    ),
    refused(
        Chat,
        message!(r#"{"role":"user","content":[{"type":"text"}]}"#),
        "messages[0].content[0].text",
        "missing",
    ),
    refused(
        Chat,
        message!(r#"{"role":"user","content":[{"type":"image_url"}]}"#),
        "messages[0].content[0].type",
        "not \"text\"",
    ),
    refused(Chat, chat!(r#""max_tokens":0"#), "max_tokens", "1 token"),
    refused(Chat, chat!(r#""max_tokens":-1"#), "max_tokens", "u32"),
    refused(Chat, chat!(r#""max_tokens":1.5"#), "max_tokens", "u32"),
    refused(Chat, chat!(r#""max_tokens":"9""#), "max_tokens", "u32"),
    refused(Chat, chat!(r#""max_tokens":4294967296"#), "max_tokens", "u32"),
    refused(
        Chat,
        chat!(r#""max_completion_tokens":0"#),
        "max_completion_tokens",
        "1 token",
    ),
    refused(Chat, chat!(r#""stream":"yes""#), "stream", "boolean"),
    refused(Chat, chat!(r#""stream":1"#), "stream", "boolean"),
    refused(
        Chat,
        chat!(r#""stream_options":{"include_usage":true}"#),
        "stream_options",
        "only for a streamed answer",
    ),
    refused(
        Chat,
        chat!(r#""stream":true,"stream_options":[true]"#),
        "stream_options",
        "expected an object",
    ),
    refused(
        Chat,
        chat!(r#""stream":true,"stream_options":{"include_usage":1}"#),
        "stream_options.include_usage",
        "boolean",
    ),
    refused(Chat, chat!(r#""n":2"#), "n", "1 answer"),
    refused(Chat, chat!(r#""n":0"#), "n", "1 answer"),
    refused(Chat, chat!(r#""stop":5"#), "stop", "a list of strings"),
    refused(
        Chat,
        chat!(r#""stop":["a","b","c","d","e"]"#),
        "stop",
        "more than 4",
    ),
    refused(Chat, chat!(r#""temperature":2.1"#), "temperature", "0 to 2"),
    refused(Chat, chat!(r#""temperature":"hot""#), "temperature", "f64"),
    refused(Chat, chat!(r#""top_p":-0.1"#), "top_p", "0 to 1"),
    refused(
        Chat,
        chat!(r#""presence_penalty":3"#),
        "presence_penalty",
        "-2 to 2",
    ),
    refused(
        Chat,
        chat!(r#""frequency_penalty":-3"#),
        "frequency_penalty",
        "-2 to 2",
    ),
    refused(Chat, chat!(r#""seed":"x""#), "seed", "i64"),
    refused(Chat, chat!(r#""user":7"#), "user", "string"),
    refused(Chat, chat!(r#""logprobs":true"#), "logprobs", "not served"),
    refused(
        Chat,
        chat!(r#""tools":[{"type":"function"}]"#),
        "tools",
        "not served",
    ),
    refused(
        Chat,
        chat!(r#""modalities":["text","audio"]"#),
        "modalities",
        "not served",
    ),
    refused(Completions, r#"{"prompt":"hi"}"#, "model", "missing"),
    refused(Completions, r#"{"model":"m"}"#, "prompt", "missing"),
    refused(
        Completions,
        r#"{"model":"m","prompt":[1,2]}"#,
        "prompt",
        "a list of strings",
    ),
    refused(
        Completions,
        r#"{"model":"m","prompt":["a","b"]}"#,
        "prompt",
        "2 texts",
    ),
    refused(Completions, r#"{"model":"m","prompt":[]}"#, "prompt", "0 texts"),
    refused(
        Completions,
        r#"{"model":"m","prompt":"hi","logprobs":0}"#,
        "logprobs",
        "not served",
    ),
    refused(
        Completions,
        r#"{"model":"m","prompt":"hi","echo":true}"#,
        "echo",
        "not served",
    ),
    refused(
        Completions,
        r#"{"model":"m","prompt":"hi","best_of":3}"#,
        "best_of",
        "1 answer",
    ),
    refused(
        Completions,
        r#"{"model":"m","prompt":"hi","suffix":"x"}"#,
        "suffix",
        "not served",
    ),
];

#[test]
fn invalid_bodies_are_refused_with_the_field_name() {
    for case in REFUSED {
        let error =
            ParsedRequest::try_parse(case.endpoint, case.body.as_bytes())
                .expect_err(case.body);
        let param = error.param.as_deref();
        assert_eq!(param, case.param, "{}: {error}", case.body);
        assert!(
            error.message.contains(case.message),
            "{}: {error}",
            case.body
        );
    }
}

#[test]
fn deeply_nested_json_and_invalid_utf8_are_refused() {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let in_field = chat(json!({"stop": null}))
        .replace("\"stop\":null", &format!("\"stop\":{nested}"));
    let cases: [&[u8]; 4] = [
        nested.as_bytes(),
        in_field.as_bytes(),
        b"\xff\xfe",
        b"{\"model\":\"\xff\"}",
    ];
    for body in cases {
        assert!(ParsedRequest::try_parse(Chat, body).is_err());
    }
}

/// A body that is accepted, and the expected result of parsing it.
struct Accepted {
    endpoint: Endpoint,
    body: Value,
    max_tokens: u32,
    max_tokens_field: Option<&'static str>,
    is_stream: bool,
    includes_usage: bool,
}

/// A chat request with additional fields.
fn chat(extra_fields: Value) -> String {
    merged(
        json!({
            "model": "m",
            "messages": [{"role": "user", "content": "hi"}],
            "unknown_field": null,
        }),
        extra_fields,
    )
    .to_string()
}

fn merged(mut body: Value, extra_fields: Value) -> Value {
    if let (Some(body), Value::Object(extra_fields)) =
        (body.as_object_mut(), extra_fields)
    {
        body.extend(extra_fields);
    }
    body
}

impl Accepted {
    fn chat(extra_fields: Value) -> Accepted {
        let body = serde_json::from_str(&chat(extra_fields)).unwrap();
        Accepted {
            endpoint: Chat,
            body,
            max_tokens: DEFAULT_CHAT_MAX_TOKENS,
            max_tokens_field: None,
            is_stream: false,
            includes_usage: false,
        }
    }

    fn completion(extra_fields: Value) -> Accepted {
        Accepted {
            endpoint: Completions,
            body: merged(json!({"model": "m", "prompt": "hi"}), extra_fields),
            max_tokens: DEFAULT_COMPLETION_MAX_TOKENS,
            ..Accepted::chat(json!({}))
        }
    }

    fn limit(mut self, tokens: u32, field: &'static str) -> Accepted {
        self.max_tokens = tokens;
        self.max_tokens_field = Some(field);
        self
    }

    fn streamed(mut self, includes_usage: bool) -> Accepted {
        self.is_stream = true;
        self.includes_usage = includes_usage;
        self
    }
}

#[test]
fn valid_bodies_are_accepted() {
    let with_usage = json!({"include_usage": true});
    let nulls = json!({
        "max_tokens": null, "max_completion_tokens": null, "stop": null,
        "stream": null, "stream_options": null, "n": null, "user": null,
        "temperature": null, "top_p": null, "seed": null, "tools": null,
        "logprobs": null, "top_logprobs": null, "modalities": null,
        "presence_penalty": null, "frequency_penalty": null,
    });
    let many_fields = json!({
        "temperature": 2, "top_p": 0.5, "presence_penalty": -2.0, "n": 1,
        "frequency_penalty": 0, "seed": -4, "user": "clerk-7",
        "stop": ["\n", "END"], "logprobs": false, "top_logprobs": 0,
        "tools": [], "modalities": ["text"], "logit_bias": {"50256": -100},
        "response_format": {"type": "text"}, "metadata": {"desk": "3"},
    });
    let parts = json!({"messages": [
        {"role": "developer", "content": "Be short.", "name": "caisse"},
        {"role": "user", "content": [{"type": "text", "text": "hi"}]},
        {"role": "assistant", "content": null},
        {"role": "tool", "content": "ok", "tool_call_id": "x"},
    ]});
    let cases = [
        Accepted::chat(json!({})),
        Accepted::chat(nulls),
        Accepted::chat(many_fields),
        Accepted::chat(parts),
        Accepted::chat(json!({"stop": "END"})),
        Accepted::chat(json!({"max_tokens": 7})).limit(7, "max_tokens"),
        Accepted::chat(json!({"max_tokens": 7, "max_completion_tokens": 9}))
            .limit(9, "max_completion_tokens"),
        Accepted::chat(json!({"stream": true})).streamed(false),
        Accepted::chat(json!({"stream": true, "stream_options": {}}))
            .streamed(false),
        Accepted::chat(json!({"stream": true, "stream_options": with_usage}))
            .streamed(true),
        Accepted::completion(json!({})),
        Accepted::completion(json!({"prompt": ["hi"]})),
        Accepted::completion(json!({"best_of": 1, "echo": false})),
        Accepted::completion(json!({"suffix": null, "max_tokens": 5}))
            .limit(5, "max_tokens"),
    ];
    for case in cases {
        let text = case.body.to_string();
        let request = ParsedRequest::try_parse(case.endpoint, text.as_bytes());
        let request = request.unwrap_or_else(|e| panic!("{text}: {e}"));
        assert_eq!(request.model, "m", "{text}");
        assert_eq!(request.max_tokens, case.max_tokens, "{text}");
        assert_eq!(request.max_tokens_field, case.max_tokens_field, "{text}");
        assert_eq!(request.is_stream, case.is_stream, "{text}");
        assert_eq!(request.includes_usage, case.includes_usage, "{text}");
        assert!(request.prompt_tokens_estimate > 0, "{text}");
    }
}

/// Additional fields, the context length of the model and the resulting limit
/// or the refused field.
struct ContextLimitCase {
    extra_fields: Value,
    max_context_tokens: u32,
    expected: Result<u32, &'static str>,
}

#[test]
fn token_limits_are_checked_against_the_context_length() {
    let newer = "max_completion_tokens";
    let cases = [
        ContextLimitCase {
            extra_fields: json!({}),
            max_context_tokens: 4_096,
            expected: Ok(DEFAULT_CHAT_MAX_TOKENS),
        },
        // The default limit is reduced to fit the context.
        ContextLimitCase {
            extra_fields: json!({}),
            max_context_tokens: 512,
            expected: Ok(511),
        },
        ContextLimitCase {
            extra_fields: json!({"max_tokens": 511}),
            max_context_tokens: 512,
            expected: Ok(511),
        },
        ContextLimitCase {
            extra_fields: json!({"max_tokens": 512}),
            max_context_tokens: 512,
            expected: Err("max_tokens"),
        },
        ContextLimitCase {
            extra_fields: json!({newer: 512}),
            max_context_tokens: 512,
            expected: Err(newer),
        },
    ];
    for case in cases {
        let body = chat(case.extra_fields);
        let mut request =
            ParsedRequest::try_parse(Chat, body.as_bytes()).unwrap();
        let limited = request.limit_to_context(case.max_context_tokens);
        let limited = limited.map(|()| request.max_tokens);
        let param = limited.map_err(|e| e.param.unwrap_or_default());
        assert_eq!(param, case.expected.map_err(str::to_owned), "{body}");
    }
}

fn template(endpoint: Endpoint) -> ResponseTemplate {
    ResponseTemplate::new(endpoint, RequestId::from_u128(7), "desk \"llm\"")
}

fn usage() -> Usage {
    Usage::new(5, 2, 3)
}

#[test]
fn full_responses_have_the_fields_of_the_openai_api() {
    let chat =
        template(Chat).full_response("a\"b", FinishReason::Length, usage());
    let message =
        json!({"role": "assistant", "content": "a\"b", "refusal": null});
    assert_eq!(chat["object"], "chat.completion");
    assert_eq!(chat["choices"][0]["message"], message);
    assert_eq!(chat["choices"][0]["finish_reason"], "length");
    let text =
        template(Completions).full_response("ab", FinishReason::Stop, usage());
    assert_eq!(text["object"], "text_completion");
    assert_eq!(text["choices"][0]["text"], "ab");
    assert_eq!(text["choices"][0]["finish_reason"], "stop");
    let expected = json!({
        "prompt_tokens": 5, "completion_tokens": 3, "total_tokens": 8,
        "prompt_tokens_details": {"cached_tokens": 2},
    });
    for response in [chat, text] {
        assert_eq!(response["usage"], expected);
        assert_eq!(response["model"], "desk \"llm\"");
        assert!(response["created"].as_u64() > Some(0));
        assert_eq!(response["choices"][0]["index"], 0);
        assert!(response["choices"][0]["logprobs"].is_null());
    }
}

/// Events of a streamed response with the given texts.
fn stream(
    endpoint: Endpoint,
    texts: &[&str],
    includes_usage: bool,
) -> Vec<Value> {
    let chunks = template(endpoint).chunk_encoder(includes_usage);
    let mut bytes = chunks.first_chunk().unwrap_or_default();
    for text in texts {
        bytes.extend(chunks.text_chunk(text));
    }
    bytes.extend(chunks.final_events(FinishReason::Stop, usage()));
    let text = String::from_utf8(bytes).unwrap();
    let body = text.strip_suffix("data: [DONE]\n\n").unwrap();
    let events = body.split_terminator("\n\n");
    let events = events.map(|event| event.strip_prefix("data: ").unwrap());
    events.map(|json| serde_json::from_str(json).unwrap()).collect()
}

#[test]
fn streamed_chunks_have_the_fields_of_the_openai_api() {
    for endpoint in [Chat, Completions] {
        let events = stream(endpoint, &["a", "b"], true);
        let (last, chunks) = events.split_last().unwrap();
        assert_eq!(last["choices"], json!([]));
        assert_eq!(last["usage"]["total_tokens"], 8);
        for (at, chunk) in chunks.iter().enumerate() {
            let is_last = at + 1 == chunks.len();
            let finish = if is_last { json!("stop") } else { Value::Null };
            let choice = &chunk["choices"][0];
            assert_eq!(choice["finish_reason"], finish, "{chunk}");
            assert_eq!(chunk["id"], last["id"]);
            assert_eq!(chunk["usage"], Value::Null);
            assert!(chunk.get("usage").is_some(), "{chunk}");
        }
        let without = stream(endpoint, &["a", "b"], false);
        assert_eq!(without.len(), chunks.len());
        assert!(without.iter().all(|chunk| chunk.get("usage").is_none()));
    }
    let chat = stream(Chat, &["a"], false);
    let opening = json!({"role": "assistant", "content": ""});
    assert_eq!(chat[0]["choices"][0]["delta"], opening);
    assert_eq!(chat[1]["choices"][0]["delta"], json!({"content": "a"}));
    assert_eq!(chat[2]["choices"][0]["delta"], json!({}));
    assert_eq!(chat[0]["object"], "chat.completion.chunk");
    let text = stream(Completions, &["a"], false);
    assert_eq!(text[0]["choices"][0]["text"], "a");
    assert_eq!(text[1]["choices"][0]["text"], "");
}

#[test]
fn implausible_token_counts_do_not_overflow() {
    let usage = json!(Usage::new(u32::MAX, 0, u32::MAX));
    assert_eq!(usage["total_tokens"], u32::MAX);
}
