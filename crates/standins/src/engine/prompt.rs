//! Prompt tokens of a caller's request.
//!
//! Each word of the messages of a chat, or of the prompt of a completion, is a
//! token. A request without words has the empty word as its only token.

use serde::Deserialize;

use super::model::token_of_word;

/// The fields of a request that the engine uses.
pub(super) struct Prompt {
    /// Tokens of the prompt, at least one.
    pub(super) tokens: Vec<u32>,
    /// Token of the answer after which the engine stops, counted from 1.
    pub(super) stop_after: Option<u32>,
}

#[derive(Deserialize)]
struct RequestBody {
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Content>,
    #[serde(default)]
    x_stop_after: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Part {
    Text(String),
    Object {
        #[serde(default)]
        text: String,
    },
}

impl Content {
    fn texts(&self) -> Vec<&str> {
        match self {
            Content::Text(text) => vec![text],
            Content::Parts(parts) => parts.iter().map(Part::text).collect(),
        }
    }
}

impl Part {
    fn text(&self) -> &str {
        match self {
            Part::Text(text) | Part::Object { text } => text,
        }
    }
}

impl Prompt {
    pub(super) fn parse(
        request_json: &[u8],
    ) -> Result<Prompt, serde_json::Error> {
        let body: RequestBody = serde_json::from_slice(request_json)?;
        let messages = body.messages.iter().filter_map(|m| m.content.as_ref());
        let contents = messages.chain(&body.prompt);
        let mut tokens = Vec::new();
        for text in contents.flat_map(Content::texts) {
            tokens.extend(text.split_whitespace().map(token_of_word));
        }
        if tokens.is_empty() {
            tokens.push(token_of_word(""));
        }
        Ok(Prompt { tokens, stop_after: body.x_stop_after })
    }
}
