//! The published shapes of requests and answers.
//!
//! Only what the router itself needs is read from a request; the engine gets
//! the caller's JSON as it came. Streamed chunks are written around the text
//! with parts that are made once a request.

use std::time::{SystemTime, UNIX_EPOCH};

use chestnutreach_protocol::{RequestId, wire::FinishReason};
use serde::{Deserialize, Serialize};

/// Answer tokens of a request that states no limit.
const DEFAULT_MAX_TOKENS: u32 = 1024;
/// Bytes of text that count as a token in estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Which of the two endpoints a request came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

/// What the router reads of a request.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) model: String,
    pub(crate) max_tokens: u32,
    pub(crate) is_stream: bool,
    pub(crate) includes_usage: bool,
    pub(crate) prompt_tokens_estimate: u32,
}

/// A request that is not of the published shape.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct ShapeError {
    /// The field at fault, if it is known.
    pub(crate) param: Option<String>,
    pub(crate) message: String,
}

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    max_completion_tokens: Option<u32>,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
struct CompletionBody {
    prompt: Prompt,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
struct Common {
    model: String,
    max_tokens: Option<u32>,
    n: Option<u32>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
}

#[derive(Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: String,
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    text: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

impl Asked {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// The body is no JSON, or not of the published shape.
    pub(crate) fn try_parse(
        endpoint: Endpoint,
        body: &[u8],
    ) -> Result<Asked, ShapeError> {
        let (common, max_completion_tokens, bytes) = match endpoint {
            Endpoint::Chat => {
                let body: ChatBody = parse(body)?;
                if body.messages.is_empty() {
                    return Err(wrong("messages", "must not be empty"));
                }
                let bytes = body.messages.iter().map(Message::bytes).sum();
                (body.common, body.max_completion_tokens, bytes)
            }
            Endpoint::Completions => {
                let body: CompletionBody = parse(body)?;
                (body.common, None, body.prompt.bytes()?)
            }
        };
        let max_tokens = max_completion_tokens.or(common.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(wrong("max_tokens", "must be 1 token or more"));
        }
        if common.n.is_some_and(|n| n != 1) {
            return Err(wrong("n", "only 1 answer a request is served"));
        }
        let options = common.stream_options;
        Ok(Asked {
            model: common.model,
            max_tokens,
            is_stream: common.stream.unwrap_or(false),
            includes_usage: options
                .and_then(|o| o.include_usage)
                .unwrap_or(false),
            prompt_tokens_estimate: (bytes / BYTES_PER_TOKEN + 1) as u32,
        })
    }
}

impl Message {
    fn bytes(&self) -> usize {
        match &self.content {
            None => 0,
            Some(Content::Text(text)) => text.len(),
            Some(Content::Parts(parts)) => parts
                .iter()
                .map(|part| part.text.as_ref().map_or(0, String::len))
                .sum(),
        }
    }
}

impl Prompt {
    fn bytes(&self) -> Result<usize, ShapeError> {
        match self {
            Prompt::One(text) => Ok(text.len()),
            Prompt::Many(texts) if texts.len() == 1 => Ok(texts[0].len()),
            Prompt::Many(_) => {
                Err(wrong("prompt", "only 1 prompt a request is served"))
            }
        }
    }
}

fn wrong(param: &str, message: &str) -> ShapeError {
    ShapeError {
        param: Some(param.to_owned()),
        message: format!("{param}: {message}"),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, ShapeError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let value = parsed.map_err(|e| {
        let path = e.path().to_string();
        let message = e.inner().to_string();
        let param = if path == "." {
            missing_field(&message)
        } else {
            Some(path.clone())
        };
        let message = match &param {
            Some(param) => format!("{param}: {message}"),
            None => message,
        };
        ShapeError { param, message }
    })?;
    json.end()
        .map_err(|e| ShapeError { param: None, message: e.to_string() })?;
    Ok(value)
}

/// The field that a serde message says is missing.
fn missing_field(message: &str) -> Option<String> {
    let rest = message.strip_prefix("missing field `")?;
    let (field, _) = rest.split_once('`')?;
    Some(field.to_owned())
}

/// Tokens that a request took.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
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
    pub(crate) fn new(prompt: u32, cached: u32, completion: u32) -> Usage {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt + completion,
            prompt_tokens_details: PromptDetails { cached_tokens: cached },
        }
    }
}

/// Names of an answer, the same in all its parts.
pub(crate) struct AnswerShape {
    endpoint: Endpoint,
    id: String,
    created: u64,
    model: String,
}

impl AnswerShape {
    pub(crate) fn new(
        endpoint: Endpoint,
        request: RequestId,
        model: &str,
    ) -> AnswerShape {
        let prefix = match endpoint {
            Endpoint::Chat => "chatcmpl",
            Endpoint::Completions => "cmpl",
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        AnswerShape {
            endpoint,
            id: format!("{prefix}-{request}"),
            created: now.map_or(0, |since| since.as_secs()),
            model: model.to_owned(),
        }
    }

    /// The whole answer as one JSON object.
    pub(crate) fn whole(
        &self,
        text: &str,
        finish: FinishReason,
        usage: Usage,
    ) -> serde_json::Value {
        let finish = finish_word(finish);
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "logprobs": null,
                    "finish_reason": finish,
                }),
            ),
            Endpoint::Completions => (
                "text_completion",
                serde_json::json!({
                    "index": 0,
                    "text": text,
                    "logprobs": null,
                    "finish_reason": finish,
                }),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
    }

    /// The parts that streamed chunks are written with.
    pub(crate) fn chunks(&self) -> Chunks {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Completions => "text_completion",
        };
        let names = format!(
            "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{},\
             \"model\":{},\"choices\":[",
            json_string(&self.id),
            self.created,
            json_string(&self.model),
        );
        Chunks { endpoint: self.endpoint, names }
    }
}

/// Writes streamed chunks.
pub(crate) struct Chunks {
    endpoint: Endpoint,
    names: String,
}

impl Chunks {
    /// The first chunk of a chat answer, which names the role.
    pub(crate) fn opening(&self) -> Option<Vec<u8>> {
        match self.endpoint {
            Endpoint::Chat => {
                let delta = "{\"role\":\"assistant\",\"content\":\"\"}";
                Some(self.chunk(&format!("\"delta\":{delta}"), None))
            }
            Endpoint::Completions => None,
        }
    }

    /// A chunk with text.
    pub(crate) fn text(&self, text: &str) -> Vec<u8> {
        let text = json_string(text);
        let part = match self.endpoint {
            Endpoint::Chat => format!("\"delta\":{{\"content\":{text}}}"),
            Endpoint::Completions => format!("\"text\":{text}"),
        };
        self.chunk(&part, None)
    }

    /// The last chunks: why it ended, the usage if asked for, the end mark.
    pub(crate) fn closing(
        &self,
        finish: FinishReason,
        usage: Option<Usage>,
    ) -> Vec<u8> {
        let part = match self.endpoint {
            Endpoint::Chat => "\"delta\":{}",
            Endpoint::Completions => "\"text\":\"\"",
        };
        let mut out = self.chunk(part, Some(finish_word(finish)));
        if let Some(usage) = usage {
            let usage = serde_json::to_string(&usage).unwrap_or_default();
            let chunk = format!("{}],\"usage\":{usage}}}\n\n", self.names);
            out.extend_from_slice(chunk.as_bytes());
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
        out
    }

    fn chunk(&self, part: &str, finish: Option<&str>) -> Vec<u8> {
        let finish = finish.map_or("null".to_owned(), json_string);
        format!(
            "{}{{\"index\":0,{part},\"logprobs\":null,\
             \"finish_reason\":{finish}}}]}}\n\n",
            self.names
        )
        .into_bytes()
    }
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn finish_word(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Length => "length",
        FinishReason::Stop | FinishReason::Unspecified => "stop",
    }
}
