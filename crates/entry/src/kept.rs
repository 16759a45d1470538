//! Answers of keyed requests as they are kept for repeats.

use std::collections::BTreeMap;

use chestnutreach_platform::claims::StoredResponse;
use chestnutreach_protocol::wire::{self, FinishReason};
use serde::{Deserialize, Serialize};

use crate::session::Progress;

/// Header of a kept answer of a model; its body is a [`KeptText`].
const KEPT_TEXT_HEADER: &str = "chestnutreach-kept-text";

/// What is kept of a model's answer.
#[derive(Deserialize, Serialize)]
struct KeptText {
    text: String,
    is_length: bool,
    output_count: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

/// Collects an answer while it is handed on.
#[derive(Default)]
pub(crate) struct Recorder {
    text: String,
    head: Option<wire::PlainHead>,
    data: Vec<u8>,
}

impl Recorder {
    pub(crate) fn note(&mut self, progress: &Progress) {
        match progress {
            Progress::Token(token) => self.text.push_str(&token.text),
            Progress::Head(head) => self.head = Some(head.clone()),
            Progress::Data(data) => self.data.extend_from_slice(data),
            _ => {}
        }
    }

    pub(crate) fn into_answer(
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
        let kept = KeptText {
            text: self.text,
            is_length: finished.finish() == FinishReason::Length,
            output_count: finished.output_count,
            prompt_tokens: finished.prompt_tokens,
            cached_tokens: finished.cached_tokens,
        };
        let marker = (KEPT_TEXT_HEADER.to_owned(), "1".to_owned());
        StoredResponse {
            status: 200,
            headers: BTreeMap::from([marker]),
            body: serde_json::to_vec(&kept).unwrap_or_default(),
        }
    }
}

/// A kept answer as the progress that it once was.
pub(crate) fn replay(answer: &StoredResponse) -> Vec<Progress> {
    let kept = answer
        .headers
        .contains_key(KEPT_TEXT_HEADER)
        .then(|| serde_json::from_slice::<KeptText>(&answer.body).ok());
    if let Some(Some(kept)) = kept {
        let finish = if kept.is_length {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let finished = wire::Finished {
            output_count: kept.output_count,
            finish: finish.into(),
            prompt_tokens: kept.prompt_tokens,
            cached_tokens: kept.cached_tokens,
            ..wire::Finished::default()
        };
        let token = wire::Token { token: 0, text: kept.text };
        return vec![Progress::Token(token), Progress::Whole(finished)];
    }
    let headers = answer.headers.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), value.clone());
        wire::Header { name, value }
    });
    let head = wire::PlainHead {
        status: answer.status.into(),
        headers: headers.collect(),
    };
    vec![
        Progress::Head(head),
        Progress::Data(answer.body.clone()),
        Progress::Whole(wire::Finished::default()),
    ]
}
