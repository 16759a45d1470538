//! Responses of inference calls.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{
    WireError, from_base64,
    request::Id,
    tensor::{Column, Tensor, Tensors},
    to_base64, to_json,
};
use crate::sequence::{
    SequenceError, SequenceId, SequenceOutput, SequenceStep, StepOutput,
};

const KIND_ACTIVATION: &str = "activation";
const KIND_TOKEN: &str = "token";
/// Kind of a row whose step failed.
const KIND_NONE: &str = "";
const FINISH_STOP: &str = "stop";
const BAD_REQUEST: &str = "bad_request";
const OUT_OF_ORDER: &str = "out_of_order";
const NO_MEMORY: &str = "no_memory";
const OTHER: &str = "other";

/// Result of a row.
pub type InferResult = Result<SequenceOutput, SequenceError>;

#[derive(Serialize)]
struct ResponseBody<'a, T> {
    model_name: &'a str,
    id: &'a str,
    outputs: T,
}

/// Encodes the body of the response to the call `id`.
pub fn encode_response(
    model: &str,
    id: &str,
    results: &[(SequenceId, InferResult)],
) -> Vec<u8> {
    let rows = results.len();
    let ids = results.iter().map(|(id, _)| Id(*id));
    let each = results.iter().map(|(_, result)| result);
    let counts = |of: fn(&SequenceOutput) -> u32| {
        each.clone().map(move |r| r.as_ref().map_or(0, of))
    };
    let outputs = (
        Column::bytes("sequence", rows, ids),
        Column::bytes("kind", rows, each.clone().map(kind)),
        Column::uint32("span", rows, counts(|o| o.span)),
        Column::uint32("prompt_tokens", rows, counts(|o| o.prompt_tokens)),
        Column::uint32("cached_tokens", rows, counts(|o| o.cached_tokens)),
        Column::bytes("output", rows, each.clone().map(activation)),
        Column::uint32("token", rows, each.clone().map(token)),
        Column::bytes("text", rows, each.clone().map(text)),
        Column::bytes("finish", rows, each.clone().map(finish)),
        Column::bytes("error", rows, each.clone().map(error)),
    );
    let body = ResponseBody { model_name: model, id, outputs };
    let payload_bytes = each.map(payload_bytes).sum();
    to_json(&body, rows, payload_bytes)
}

fn output(result: &InferResult) -> Option<&StepOutput> {
    result.as_ref().ok().map(|o| &o.output)
}

fn kind(result: &InferResult) -> &'static str {
    match output(result) {
        Some(StepOutput::Activation(_)) => KIND_ACTIVATION,
        Some(StepOutput::Token { .. }) => KIND_TOKEN,
        None => KIND_NONE,
    }
}

fn activation(result: &InferResult) -> Box<RawValue> {
    match output(result) {
        Some(StepOutput::Activation(bytes)) => to_base64(bytes),
        _ => to_base64(&[]),
    }
}

fn payload_bytes(result: &InferResult) -> usize {
    match output(result) {
        Some(StepOutput::Activation(bytes)) => bytes.len(),
        _ => 0,
    }
}

fn token(result: &InferResult) -> u32 {
    match output(result) {
        Some(StepOutput::Token { token, .. }) => *token,
        _ => 0,
    }
}

fn text(result: &InferResult) -> &str {
    match output(result) {
        Some(StepOutput::Token { text, .. }) => text,
        _ => "",
    }
}

fn finish(result: &InferResult) -> &'static str {
    match output(result) {
        Some(StepOutput::Token { is_stop: true, .. }) => FINISH_STOP,
        _ => "",
    }
}

/// `<code>: <message>` for a failed row, or an empty string.
fn error(result: &InferResult) -> String {
    match result {
        Ok(_) => String::new(),
        Err(SequenceError::BadRequest(why)) => {
            format!("{BAD_REQUEST}: {why}")
        }
        Err(SequenceError::OutOfOrder(why)) => {
            format!("{OUT_OF_ORDER}: {why}")
        }
        Err(SequenceError::NoMemory) => NO_MEMORY.to_owned(),
        Err(SequenceError::Other(why)) => format!("{OTHER}: {why}"),
    }
}

fn parse_error(text: &str) -> SequenceError {
    let (code, why) = text.split_once(": ").unwrap_or((text, ""));
    match code {
        BAD_REQUEST => SequenceError::BadRequest(why.to_owned()),
        OUT_OF_ORDER => SequenceError::OutOfOrder(why.to_owned()),
        NO_MEMORY => SequenceError::NoMemory,
        OTHER => SequenceError::Other(why.to_owned()),
        _ => SequenceError::Other(text.to_owned()),
    }
}

#[derive(Deserialize)]
struct ReceivedBody<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    outputs: Vec<Tensor<'a>>,
}

/// Decodes the response to the call `id` with the given steps. A response to
/// another call or with other sequences is rejected, so that no output reaches
/// the wrong caller.
///
/// # Errors
///
/// The body is not a response to this call.
pub fn decode_response(
    body: &[u8],
    id: &str,
    steps: &[SequenceStep],
) -> Result<Vec<InferResult>, WireError> {
    let received: ReceivedBody<'_> = serde_json::from_slice(body)?;
    if received.id != id {
        let message =
            format!("the answer is to call {:?}, not {id:?}", received.id);
        return Err(WireError::new(message));
    }
    let tensors = Tensors::new(received.outputs, steps.len())?;
    let outputs = Outputs::new(&tensors)?;
    let each = steps.iter().enumerate();
    each.map(|(row, step)| outputs.row(row, step.sequence)).collect()
}

/// The tensors of a response by name.
struct Outputs<'a> {
    sequence: &'a Tensor<'a>,
    kind: &'a Tensor<'a>,
    span: &'a Tensor<'a>,
    prompt_tokens: &'a Tensor<'a>,
    cached_tokens: &'a Tensor<'a>,
    output: &'a Tensor<'a>,
    token: &'a Tensor<'a>,
    text: &'a Tensor<'a>,
    finish: &'a Tensor<'a>,
    error: &'a Tensor<'a>,
}

impl<'a> Outputs<'a> {
    fn new(tensors: &'a Tensors<'a>) -> Result<Outputs<'a>, WireError> {
        Ok(Outputs {
            sequence: tensors.require("sequence")?,
            kind: tensors.require("kind")?,
            span: tensors.require("span")?,
            prompt_tokens: tensors.require("prompt_tokens")?,
            cached_tokens: tensors.require("cached_tokens")?,
            output: tensors.require("output")?,
            token: tensors.require("token")?,
            text: tensors.require("text")?,
            finish: tensors.require("finish")?,
            error: tensors.require("error")?,
        })
    }

    fn row(
        &self,
        row: usize,
        expected: SequenceId,
    ) -> Result<InferResult, WireError> {
        let sequence = self.sequence.text(row)?;
        if sequence.parse() != Ok(expected) {
            return Err(WireError::new(format!(
                "row {row} is of sequence {sequence:?}, not {expected}"
            )));
        }
        let error = self.error.text(row)?;
        if !error.is_empty() {
            return Ok(Err(parse_error(error)));
        }
        Ok(Ok(SequenceOutput {
            span: self.span.number(row)?,
            prompt_tokens: self.prompt_tokens.number(row)?,
            cached_tokens: self.cached_tokens.number(row)?,
            output: self.output(row)?,
        }))
    }

    fn output(&self, row: usize) -> Result<StepOutput, WireError> {
        match self.kind.text(row)? {
            KIND_ACTIVATION => {
                let bytes = from_base64(self.output.text(row)?, "output")?;
                Ok(StepOutput::Activation(bytes))
            }
            KIND_TOKEN => Ok(StepOutput::Token {
                token: self.token.number(row)?,
                text: self.text.text(row)?.to_owned(),
                is_stop: self.finish.text(row)? == FINISH_STOP,
            }),
            other => {
                Err(WireError::new(format!("no kind of output {other:?}")))
            }
        }
    }
}
