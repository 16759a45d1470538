//! Full responses and streamed chunks.
//!
//! The constant parts of streamed chunks are formatted once per request,
//! because a chunk is encoded for each token.

use std::time::{SystemTime, UNIX_EPOCH};

use chestnutreach_protocol::{RequestId, wire::FinishReason};
use serde::Serialize;
use serde_json::json;

use super::endpoint::Endpoint;

/// Characters that are valid unescaped in JSON strings, but that client
/// libraries may treat as line terminators when they split events into lines.
const UNICODE_LINE_TERMINATORS: [char; 3] = ['\u{85}', '\u{2028}', '\u{2029}'];

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl Usage {
    /// Creates the usage from token counts; `cached` is the number of prompt
    /// tokens that were in a cache.
    pub fn new(prompt: u32, cached: u32, completion: u32) -> Usage {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt.saturating_add(completion),
            prompt_tokens_details: PromptDetails { cached_tokens: cached },
        }
    }
}

/// The fields of a response that are the same in all its chunks.
pub struct ResponseTemplate {
    endpoint: Endpoint,
    id: String,
    created: u64,
    model: String,
}

impl ResponseTemplate {
    /// Creates the template of a response, with the current time.
    pub fn new(
        endpoint: Endpoint,
        request: RequestId,
        model: &str,
    ) -> ResponseTemplate {
        let prefix = match endpoint {
            Endpoint::Chat => "chatcmpl",
            Endpoint::Completions => "cmpl",
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        ResponseTemplate {
            endpoint,
            id: format!("{prefix}-{request}"),
            created: now.map_or(0, |since| since.as_secs()),
            model: model.to_owned(),
        }
    }

    /// Builds the full response as one JSON object.
    pub fn full_response(
        &self,
        text: &str,
        finish: FinishReason,
        usage: Usage,
    ) -> serde_json::Value {
        let finish = finish_reason(finish);
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {
                        "role": "assistant",
                        "content": text,
                        "refusal": null,
                    },
                    "logprobs": null,
                    "finish_reason": finish,
                }),
            ),
            Endpoint::Completions => (
                "text_completion",
                json!({
                    "index": 0,
                    "text": text,
                    "logprobs": null,
                    "finish_reason": finish,
                }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
    }

    /// Creates the encoder of a streamed response.
    pub fn chunk_encoder(&self, includes_usage: bool) -> ChunkEncoder {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Completions => "text_completion",
        };
        let head = format!(
            "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{},\
             \"model\":{},\"choices\":[",
            json_string(&self.id),
            self.created,
            json_string(&self.model),
        );
        // OpenAI API: if usage is requested, it is null in all chunks but the
        // last.
        let tail =
            if includes_usage { "],\"usage\":null}\n\n" } else { "]}\n\n" };
        ChunkEncoder { endpoint: self.endpoint, head, tail, includes_usage }
    }
}

/// Encodes streamed chunks, each as one event on one line.
pub struct ChunkEncoder {
    endpoint: Endpoint,
    head: String,
    tail: &'static str,
    includes_usage: bool,
}

impl ChunkEncoder {
    /// Encodes the first chunk of a chat response, which sets the role; a
    /// completion has none.
    pub fn first_chunk(&self) -> Option<Vec<u8>> {
        match self.endpoint {
            Endpoint::Chat => {
                let delta = "{\"role\":\"assistant\",\"content\":\"\"}";
                Some(self.chunk(&format!("\"delta\":{delta}"), None))
            }
            Endpoint::Completions => None,
        }
    }

    /// Encodes a chunk with text.
    pub fn text_chunk(&self, text: &str) -> Vec<u8> {
        let text = json_string(text);
        let part = match self.endpoint {
            Endpoint::Chat => format!("\"delta\":{{\"content\":{text}}}"),
            Endpoint::Completions => format!("\"text\":{text}"),
        };
        self.chunk(&part, None)
    }

    /// Encodes the last events: the finish reason, the usage if requested, and
    /// the `[DONE]` marker.
    pub fn final_events(&self, finish: FinishReason, usage: Usage) -> Vec<u8> {
        let part = match self.endpoint {
            Endpoint::Chat => "\"delta\":{}",
            Endpoint::Completions => "\"text\":\"\"",
        };
        let mut out = self.chunk(part, Some(finish_reason(finish)));
        if self.includes_usage {
            let usage = json!(usage);
            let event = format!("{}],\"usage\":{usage}}}\n\n", self.head);
            out.extend_from_slice(event.as_bytes());
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        out
    }

    fn chunk(&self, part: &str, finish: Option<&str>) -> Vec<u8> {
        let finish = finish.map_or("null".to_owned(), json_string);
        format!(
            "{}{{\"index\":0,{part},\"logprobs\":null,\
             \"finish_reason\":{finish}}}{}",
            self.head, self.tail
        )
        .into_bytes()
    }
}

/// Encodes the error event of a streamed response that stays incomplete.
pub(crate) fn error_event(object: &serde_json::Value) -> Vec<u8> {
    let object = escape_line_terminators(object.to_string());
    format!("data: {object}\n\n").into_bytes()
}

fn json_string(text: &str) -> String {
    escape_line_terminators(serde_json::Value::from(text).to_string())
}

/// Escapes [`UNICODE_LINE_TERMINATORS`] in JSON, where they occur only inside
/// strings.
fn escape_line_terminators(json: String) -> String {
    if !json.contains(UNICODE_LINE_TERMINATORS) {
        return json;
    }
    let mut escaped = String::with_capacity(json.len() + 8);
    for char in json.chars() {
        if UNICODE_LINE_TERMINATORS.contains(&char) {
            escaped.push_str(&format!("\\u{:04x}", u32::from(char)));
        } else {
            escaped.push(char);
        }
    }
    escaped
}

fn finish_reason(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Length => "length",
        FinishReason::Stop | FinishReason::Unspecified => "stop",
    }
}
