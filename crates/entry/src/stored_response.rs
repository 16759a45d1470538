//! Responses of keyed requests, stored for repeated requests.

use std::collections::BTreeMap;

use chestnutreach_platform::claims::StoredResponse;
use chestnutreach_protocol::wire::{self, FinishReason};
use serde::{Deserialize, Serialize};

use crate::session::Progress;

/// Marks the stored response of a model, whose body is a [`StoredText`].
const STORED_TEXT_HEADER: &str = "chestnutreach-kept-text";

/// Stored form of a model's output.
#[derive(Deserialize, Serialize)]
struct StoredText {
    text: String,
    is_length: bool,
    output_count: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

/// Collects a response while it is passed on to the caller.
#[derive(Default)]
pub(crate) struct ResponseRecorder {
    text: String,
    head: Option<wire::PlainHead>,
    data: Vec<u8>,
}

impl ResponseRecorder {
    pub(crate) fn record(&mut self, progress: &Progress) {
        match progress {
            Progress::Token(token) => self.text.push_str(&token.text),
            Progress::Head(head) => self.head = Some(head.clone()),
            Progress::Data(data) => self.data.extend_from_slice(data),
            _ => {}
        }
    }

    pub(crate) fn into_stored_response(
        self,
        finished: &wire::Finished,
    ) -> StoredResponse {
        if let Some(head) = self.head {
            let headers = head.headers.into_iter().map(|h| (h.name, h.value));
            return StoredResponse {
                status: head.status as u16,
                headers: headers.collect(),
                body: self.data,
            };
        }
        let stored = StoredText {
            text: self.text,
            is_length: finished.finish() == FinishReason::Length,
            output_count: finished.output_count,
            prompt_tokens: finished.prompt_tokens,
            cached_tokens: finished.cached_tokens,
        };
        let marker = (STORED_TEXT_HEADER.to_owned(), "1".to_owned());
        StoredResponse {
            status: 200,
            headers: BTreeMap::from([marker]),
            body: serde_json::to_vec(&stored).unwrap_or_default(),
        }
    }
}

/// Turns a stored response back into the progress of a request. The text of
/// a model becomes a single token.
pub(crate) fn replay(response: &StoredResponse) -> Vec<Progress> {
    let stored = response
        .headers
        .contains_key(STORED_TEXT_HEADER)
        .then(|| serde_json::from_slice::<StoredText>(&response.body).ok());
    if let Some(Some(stored)) = stored {
        let finish = if stored.is_length {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let finished = wire::Finished {
            output_count: stored.output_count,
            finish: finish.into(),
            prompt_tokens: stored.prompt_tokens,
            cached_tokens: stored.cached_tokens,
            ..wire::Finished::default()
        };
        let token = wire::Token { token: 0, text: stored.text };
        return vec![Progress::Token(token), Progress::Finished(finished)];
    }
    let headers = response.headers.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), value.clone());
        wire::Header { name, value }
    });
    let head = wire::PlainHead {
        status: response.status.into(),
        headers: headers.collect(),
    };
    vec![
        Progress::Head(head),
        Progress::Data(response.body.clone()),
        Progress::Finished(wire::Finished::default()),
    ]
}
