//! Property tests with arbitrary and almost valid requests and arbitrary text,
//! with fixed seeds.
//!
//! `PROPTEST_CASES` sets the number of cases.

use chestnutreach_entry::{
    openai::{Endpoint, ParsedRequest, ResponseTemplate, Usage},
    request_options::{
        DEADLINE_HEADER, DeadlineLimits, KEY_HEADER, MAX_KEY_BYTES,
        NON_IDEMPOTENT_HEADER, PRIORITY_HEADER, RequestOptions,
    },
};
use chestnutreach_protocol::{RequestId, wire::FinishReason};
use http_types::{Method, Request, headers::HeaderValue};
use proptest::{
    collection::{btree_map, vec},
    prelude::*,
    sample::select,
    test_runner::{Config, RngSeed},
};
use serde_json::{Value, json};

const SEED: u64 = 2417;
const MAX_DEADLINE_MS: u64 = 20_000;
/// Fields that are parsed, and some that are not.
const FIELDS: &[&str] = &[
    "model",
    "messages",
    "prompt",
    "role",
    "content",
    "type",
    "text",
    "max_tokens",
    "max_completion_tokens",
    "stream",
    "stream_options",
    "include_usage",
    "stop",
    "temperature",
    "n",
    "logprobs",
    "tools",
    "suffix",
    "unknown",
];
/// Text fragments that are error-prone to encode in lines or JSON.
const TEXT_FRAGMENTS: &[&str] = &[
    "\"",
    "\\",
    "\\u0022",
    "\n",
    "\r",
    "\r\n",
    "\n\n",
    "data: ",
    "[DONE]",
    "\u{0}",
    "\u{b}",
    "\u{c}",
    "\u{1c}",
    "\u{1e}",
    "\u{7f}",
    "\u{85}",
    "\u{2028}",
    "\u{2029}",
    "\u{feff}",
    "\u{fffd}",
    "\u{10ffff}",
    "🧾",
    "a",
];

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (0..5i64).prop_map(Value::from),
        select(vec!["user", "text", "m", ""]).prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        let field = select(FIELDS).prop_map(str::to_owned);
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            btree_map(field, inner, 0..5).prop_map(|map| json!(map)),
        ]
    })
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    select(vec![Endpoint::Chat, Endpoint::Completions])
}

/// A valid request to either endpoint.
fn valid_request() -> Value {
    json!({
        "model": "m",
        "messages": [
            {"role": "system", "content": "Be short."},
            {"role": "user", "content": [{"type": "text", "text": "hi"}]},
        ],
        "prompt": ["hi"],
        "max_tokens": 7,
        "stream": true,
        "stream_options": {"include_usage": true},
        "stop": ["END"],
        "temperature": 0.5,
    })
}

/// Replaces the part of `json` that a path of indices selects by `value`.
fn replace_at(json: &mut Value, path: &[usize], value: Value) {
    let Some((at, rest)) = path.split_first() else {
        *json = value;
        return;
    };
    let inner = match json {
        Value::Object(map) if !map.is_empty() => {
            map.values_mut().nth(at % FIELDS.len())
        }
        Value::Array(list) => list.get_mut(at % 2),
        _ => None,
    };
    match inner {
        Some(inner) => replace_at(inner, rest, value),
        None => *json = value,
    }
}

/// Bytes of a valid request with one byte changed, or truncated.
fn corrupted_bytes() -> impl Strategy<Value = Vec<u8>> {
    let length = valid_request().to_string().len();
    (0..length, any::<u8>(), any::<bool>()).prop_map(
        |(at, byte, is_truncated)| {
            let mut bytes = valid_request().to_string().into_bytes();
            match is_truncated {
                true => bytes.truncate(at),
                false => bytes[at] = byte,
            }
            bytes
        },
    )
}

fn check_parse(endpoint: Endpoint, body: &[u8]) -> Result<(), TestCaseError> {
    match ParsedRequest::try_parse(endpoint, body) {
        Ok(mut request) => {
            prop_assert!(request.max_tokens >= 1);
            prop_assert!(request.prompt_tokens_estimate >= 1);
            prop_assert!(request.is_stream || !request.includes_usage);
            let json: Value = serde_json::from_slice(body).unwrap();
            prop_assert_eq!(&json["model"], &request.model);
            if request.limit_to_context(1_000).is_ok() {
                prop_assert!((1..1_000).contains(&request.max_tokens));
            }
        }
        Err(error) => {
            prop_assert!(!error.message.is_empty());
            prop_assert!(error.param.is_none_or(|param| !param.is_empty()));
        }
    }
    Ok(())
}

fn text() -> impl Strategy<Value = String> {
    let fragment = prop_oneof![
        select(TEXT_FRAGMENTS).prop_map(str::to_owned),
        any::<String>(),
        any::<char>().prop_map(String::from),
    ];
    vec(fragment, 0..6).prop_map(|fragments| fragments.concat())
}

fn header_value() -> impl Strategy<Value = String> {
    prop_oneof![
        select(vec!["", " ", "0", "1", "20000", "20001", "+1", "true"])
            .prop_map(str::to_owned),
        select(vec!["false", "low", "normal", "high", "k"])
            .prop_map(str::to_owned),
        "[ -~\t]{0,300}",
    ]
}

fn check_options(
    headers: &[(&'static str, String)],
) -> Result<(), TestCaseError> {
    let mut request = Request::new(Method::Post, "http://entry/");
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value.clone().into_bytes());
        request.append_header(*name, value.unwrap());
    }
    let limits = DeadlineLimits { default_ms: 500, max_ms: MAX_DEADLINE_MS };
    let is_given = |name| headers.iter().any(|(given, _)| *given == name);
    match RequestOptions::try_new(&request, limits) {
        Ok(options) => {
            prop_assert!((1..=MAX_DEADLINE_MS).contains(&options.deadline_ms));
            let is_marked = is_given(NON_IDEMPOTENT_HEADER);
            prop_assert_eq!(options.is_non_idempotent.is_some(), is_marked);
            prop_assert_eq!(options.key.is_some(), is_given(KEY_HEADER));
            let length = options.key.map_or(1, |key| key.len());
            prop_assert!((1..=MAX_KEY_BYTES).contains(&length));
        }
        Err(error) => {
            prop_assert!(is_given(error.name));
            prop_assert!(error.message.contains(error.name));
        }
    }
    Ok(())
}

/// Text of an event of a streamed response.
fn event_text(event: &str, endpoint: Endpoint) -> String {
    let json = event.strip_prefix("data: ").expect("an event");
    let event: Value = serde_json::from_str(json).expect("valid JSON");
    let choice = &event["choices"][0];
    let text = match endpoint {
        Endpoint::Chat => &choice["delta"]["content"],
        Endpoint::Completions => &choice["text"],
    };
    text.as_str().unwrap_or_default().to_owned()
}

/// Whether client libraries that split text into lines may treat the
/// character as a line terminator.
fn is_line_terminator(char: char) -> bool {
    matches!(
        char,
        '\n' | '\r' | '\u{b}' | '\u{c}' | '\u{1c}'
            ..='\u{1e}' | '\u{85}' | '\u{2028}' | '\u{2029}'
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_json_is_parsed_or_refused(
        endpoint in endpoint(),
        json in json_value(),
    ) {
        check_parse(endpoint, json.to_string().as_bytes())?;
    }

    #[test]
    fn modified_requests_are_parsed_or_refused(
        endpoint in endpoint(),
        path in vec(0..FIELDS.len(), 0..4),
        value in json_value(),
    ) {
        let mut json = valid_request();
        replace_at(&mut json, &path, value);
        check_parse(endpoint, json.to_string().as_bytes())?;
    }

    #[test]
    fn corrupted_bytes_are_parsed_or_refused(
        endpoint in endpoint(),
        bytes in corrupted_bytes(),
    ) {
        check_parse(endpoint, &bytes)?;
    }

    #[test]
    fn header_options_are_parsed_or_refused_by_name(
        headers in vec(
            (
                select(vec![
                    DEADLINE_HEADER,
                    NON_IDEMPOTENT_HEADER,
                    PRIORITY_HEADER,
                    KEY_HEADER,
                ]),
                header_value(),
            ),
            0..4,
        ),
    ) {
        check_options(&headers)?;
    }

    #[test]
    fn each_event_is_one_line_and_texts_are_preserved(
        endpoint in endpoint(),
        model in text(),
        texts in vec(text(), 0..5),
        includes_usage in any::<bool>(),
    ) {
        let request = RequestId::from_u128(7);
        let shape = ResponseTemplate::new(endpoint, request, &model);
        let chunks = shape.chunk_encoder(includes_usage);
        let mut bytes = chunks.first_chunk().unwrap_or_default();
        for text in &texts {
            bytes.extend(chunks.text_chunk(text));
        }
        let usage = Usage::new(1, 0, texts.len() as u32);
        bytes.extend(chunks.final_events(FinishReason::Stop, usage));
        let stream = String::from_utf8(bytes).expect("UTF-8");
        let events = stream.strip_suffix("data: [DONE]\n\n").expect("the [DONE] marker");
        let mut read = String::new();
        for event in events.split_terminator("\n\n") {
            prop_assert!(!event.contains(is_line_terminator), "{:?}", event);
            read += &event_text(event, endpoint);
        }
        prop_assert_eq!(read, texts.concat());
    }
}
