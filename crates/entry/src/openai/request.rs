//! Parsing and validation of requests.

use std::{error, fmt, ops::RangeInclusive};

use serde_json::Value;

use super::{
    endpoint::Endpoint,
    fields::{Body, Content, Message, Object, Part, Texts},
};

/// Output token limit of a chat request that does not set one.
pub const DEFAULT_CHAT_MAX_TOKENS: u32 = 1024;
/// Output token limit of a completion request that does not set one; the
/// default of the OpenAI API.
pub const DEFAULT_COMPLETION_MAX_TOKENS: u32 = 16;
/// Maximum number of stop sequences in the OpenAI API.
pub const MAX_STOP_SEQUENCES: usize = 4;
/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

const TEMPERATURE_RANGE: RangeInclusive<f64> = 0.0..=2.0;
const TOP_P_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const PENALTY_RANGE: RangeInclusive<f64> = -2.0..=2.0;

const ROLES: [&str; 6] =
    ["assistant", "developer", "function", "system", "tool", "user"];

/// The fields of a request that the router uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParsedRequest {
    /// Name of the model.
    pub model: String,
    /// Maximum number of output tokens; at least 1.
    pub max_tokens: u32,
    /// Field that set the limit; `None` for the default.
    pub max_tokens_field: Option<&'static str>,
    /// Whether the response is streamed.
    pub is_stream: bool,
    /// Whether a streamed response ends with its token usage.
    pub includes_usage: bool,
    /// Estimated number of prompt tokens.
    pub prompt_tokens_estimate: u32,
}

/// A request that is malformed or asks for an unsupported feature.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// The invalid field, if known.
    pub param: Option<String>,
    /// Description of the error, for the caller.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for ValidationError {}

impl ParsedRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON, does not have the format of the OpenAI
    /// API or asks for an unsupported feature.
    pub fn try_parse(
        endpoint: Endpoint,
        body: &[u8],
    ) -> Result<ParsedRequest, ValidationError> {
        let mut body = parse(body)?;
        let model =
            body.model.take().ok_or_else(|| invalid("model", "is missing"))?;
        let prompt_bytes = match endpoint {
            Endpoint::Chat => chat_bytes(body.messages.as_deref())?,
            Endpoint::Completions => prompt_bytes(body.prompt.as_ref())?,
        };
        check_numbers(&body)?;
        check_stop(body.stop.as_ref())?;
        check_supported(&body)?;
        let is_stream = body.stream.unwrap_or(false);
        let includes_usage = wants_usage(&body, is_stream)?;
        let (max_tokens, max_tokens_field) = token_limit(endpoint, &body)?;
        Ok(ParsedRequest {
            model,
            max_tokens,
            max_tokens_field,
            is_stream,
            includes_usage,
            prompt_tokens_estimate: estimate_tokens(prompt_bytes),
        })
    }

    /// Limits the output to the model's context length. The default limit is
    /// reduced to fit; an explicit limit that does not fit is refused.
    ///
    /// # Errors
    ///
    /// Fails if the explicit limit leaves no token for the prompt.
    pub fn limit_to_context(
        &mut self,
        max_context_tokens: u32,
    ) -> Result<(), ValidationError> {
        if self.max_tokens < max_context_tokens {
            return Ok(());
        }
        let Some(field) = self.max_tokens_field else {
            self.max_tokens = max_context_tokens.saturating_sub(1).max(1);
            return Ok(());
        };
        let message = format!(
            "is {} tokens, not less than the {max_context_tokens} tokens of \
             the model's context",
            self.max_tokens
        );
        Err(invalid(field, &message))
    }
}

fn invalid(param: &str, message: &str) -> ValidationError {
    ValidationError {
        param: Some(param.to_owned()),
        message: format!("{param}: {message}"),
    }
}

fn parse(body: &[u8]) -> Result<Body, ValidationError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let Object(value) = parsed.map_err(|e| to_validation_error(&e))?;
    json.end().map_err(|e| ValidationError {
        param: None,
        message: e.to_string(),
    })?;
    Ok(value)
}

fn to_validation_error(
    error: &serde_path_to_error::Error<serde_json::Error>,
) -> ValidationError {
    let path = error.path().to_string();
    let message = error.inner().to_string();
    // An error of the whole body or of the JSON syntax belongs to no field.
    if path == "." || !error.inner().is_data() {
        return ValidationError { param: None, message };
    }
    invalid(&path, &message)
}

fn chat_bytes(
    messages: Option<&[Object<Message>]>,
) -> Result<usize, ValidationError> {
    let messages =
        messages.ok_or_else(|| invalid("messages", "is missing"))?;
    if messages.is_empty() {
        return Err(invalid("messages", "must not be empty"));
    }
    let mut bytes: usize = 0;
    for (at, Object(message)) in messages.iter().enumerate() {
        bytes += message_bytes(message, &format!("messages[{at}]"))?;
    }
    Ok(bytes)
}

fn message_bytes(
    message: &Message,
    path: &str,
) -> Result<usize, ValidationError> {
    let role_path = format!("{path}.role");
    let role = message.role.as_deref();
    let role = role.ok_or_else(|| invalid(&role_path, "is missing"))?;
    if !ROLES.contains(&role) {
        let range = ROLES.join(", ");
        let message = format!("is {role:?}, not one of {range}");
        return Err(invalid(&role_path, &message));
    }
    match &message.content {
        Some(Content::Text(text)) => Ok(text.len()),
        Some(Content::Parts(parts)) => parts_bytes(parts, path),
        // The message may consist of tool calls only.
        None if role == "assistant" => Ok(0),
        None => Err(invalid(&format!("{path}.content"), "is missing")),
    }
}

fn parts_bytes(
    parts: &[Object<Part>],
    path: &str,
) -> Result<usize, ValidationError> {
    let mut bytes: usize = 0;
    for (at, Object(part)) in parts.iter().enumerate() {
        let path = format!("{path}.content[{at}]");
        match part.kind.as_deref() {
            Some("text") => {}
            Some(other) => {
                let message = format!("is {other:?}, not \"text\"");
                return Err(invalid(&format!("{path}.type"), &message));
            }
            None => {
                return Err(invalid(&format!("{path}.type"), "is missing"));
            }
        }
        let text = part.text.as_ref();
        let text = text
            .ok_or_else(|| invalid(&format!("{path}.text"), "is missing"))?;
        bytes += text.len();
    }
    Ok(bytes)
}

fn prompt_bytes(prompt: Option<&Texts>) -> Result<usize, ValidationError> {
    let prompt = prompt.ok_or_else(|| invalid("prompt", "is missing"))?;
    match prompt.as_slice() {
        [text] => Ok(text.len()),
        texts => {
            let message = format!(
                "has {} texts, but 1 a request is served",
                texts.len()
            );
            Err(invalid("prompt", &message))
        }
    }
}

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

fn check_numbers(body: &Body) -> Result<(), ValidationError> {
    let numbers = [
        ("temperature", body.temperature, TEMPERATURE_RANGE),
        ("top_p", body.top_p, TOP_P_RANGE),
        ("presence_penalty", body.presence_penalty, PENALTY_RANGE),
        ("frequency_penalty", body.frequency_penalty, PENALTY_RANGE),
    ];
    for (field, value, range) in numbers {
        if let Some(value) = value.filter(|v| !range.contains(v)) {
            let (min, max) = (range.start(), range.end());
            let message = format!("is {value}, not from {min} to {max}");
            return Err(invalid(field, &message));
        }
    }
    Ok(())
}

fn check_stop(stop: Option<&Texts>) -> Result<(), ValidationError> {
    let count = stop.map_or(0, |stop| stop.as_slice().len());
    if count <= MAX_STOP_SEQUENCES {
        return Ok(());
    }
    let message =
        format!("has {count} sequences, more than {MAX_STOP_SEQUENCES}");
    Err(invalid("stop", &message))
}

/// Refuses features that the response cannot represent.
fn check_supported(body: &Body) -> Result<(), ValidationError> {
    for (field, count) in [("n", body.n), ("best_of", body.best_of)] {
        if let Some(count) = count.filter(|count| *count != 1) {
            let message =
                format!("is {count}, but 1 answer a request is served");
            return Err(invalid(field, &message));
        }
    }
    let has_tools = body.tools.as_ref().is_some_and(|t| !t.is_empty());
    let has_functions = body.functions.as_ref().is_some_and(|f| !f.is_empty());
    let has_suffix = body.suffix.as_ref().is_some_and(|s| !s.is_empty());
    // In the completions API, 0 asks for the log probabilities of the chosen
    // tokens.
    let wants_logprobs =
        body.logprobs.as_ref().is_some_and(|l| *l != Value::Bool(false));
    let wants_other_modality = body
        .modalities
        .as_ref()
        .is_some_and(|m| m.iter().any(|m| m != "text"));
    let unsupported = [
        ("echo", body.echo.unwrap_or(false)),
        ("suffix", has_suffix),
        ("logprobs", wants_logprobs),
        ("top_logprobs", body.top_logprobs.unwrap_or(0) > 0),
        ("tools", has_tools),
        ("functions", has_functions),
        ("modalities", wants_other_modality),
    ];
    match unsupported.iter().find(|(_, is_requested)| *is_requested) {
        Some((field, _)) => Err(invalid(field, "is not served")),
        None => Ok(()),
    }
}

fn wants_usage(body: &Body, is_stream: bool) -> Result<bool, ValidationError> {
    match &body.stream_options {
        Some(_) if !is_stream => {
            Err(invalid("stream_options", "is only for a streamed answer"))
        }
        Some(Object(options)) => Ok(options.include_usage.unwrap_or(false)),
        None => Ok(false),
    }
}

/// The output token limit, and the field that sets it.
fn token_limit(
    endpoint: Endpoint,
    body: &Body,
) -> Result<(u32, Option<&'static str>), ValidationError> {
    let newer = match endpoint {
        Endpoint::Chat => body.max_completion_tokens,
        Endpoint::Completions => None,
    };
    let stated =
        [("max_completion_tokens", newer), ("max_tokens", body.max_tokens)];
    for (field, limit) in stated {
        match limit {
            Some(0) => {
                return Err(invalid(field, "is 0, not 1 token or more"));
            }
            Some(limit) => return Ok((limit, Some(field))),
            None => {}
        }
    }
    let default = match endpoint {
        Endpoint::Chat => DEFAULT_CHAT_MAX_TOKENS,
        Endpoint::Completions => DEFAULT_COMPLETION_MAX_TOKENS,
    };
    Ok((default, None))
}
