//! Requests of inference calls.

use std::{borrow::Cow, fmt::Write as _};

use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::RawValue;

use super::{
    WireError, from_base64,
    tensor::{Column, Tensor, Tensors},
    to_base64, to_json,
};
use crate::sequence::{
    MAX_PRIORITY, MIN_PRIORITY, SequenceError, SequenceId, SequenceStep,
    StepInput,
};

const KIND_PROMPT: &str = "prompt";
const KIND_TOKEN: &str = "token";
const KIND_ACTIVATION: &str = "activation";

/// Layers that a call runs.
#[derive(Deserialize, Serialize)]
struct LayerRange {
    first_layer: u32,
    end_layer: u32,
}

#[derive(Serialize)]
struct RequestBody<'a, T> {
    id: &'a str,
    parameters: LayerRange,
    inputs: T,
}

/// Encodes the body of an inference call.
pub fn encode_request(
    id: &str,
    first_layer: u32,
    end_layer: u32,
    steps: &[SequenceStep],
) -> Vec<u8> {
    let rows = steps.len();
    let each = steps.iter();
    let inputs = (
        Column::bytes("sequence", rows, each.clone().map(|s| Id(s.sequence))),
        Column::uint32("position", rows, each.clone().map(|s| s.position)),
        Column::uint32("span", rows, each.clone().map(|s| span(&s.input))),
        Column::uint32("priority", rows, each.clone().map(|s| s.priority)),
        Column::bytes("kind", rows, each.clone().map(|s| kind(&s.input))),
        Column::uint32("token", rows, each.clone().map(|s| token(&s.input))),
        Column::bytes("input", rows, each.clone().map(|s| input(&s.input))),
        Column::bytes(
            "delivered",
            rows,
            each.clone().map(|s| delivered(&s.input)),
        ),
        Column::bytes(
            "parameters",
            rows,
            each.clone().map(|s| to_base64(&s.parameters_json)),
        ),
    );
    let parameters = LayerRange { first_layer, end_layer };
    let body = RequestBody { id, parameters, inputs };
    let payload_bytes = each.map(|s| payload_bytes(&s.input)).sum();
    to_json(&body, rows, payload_bytes)
}

/// A sequence id, serialized in its text form.
pub(super) struct Id(pub(super) SequenceId);

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(&self.0)
    }
}

fn kind(input: &StepInput) -> &'static str {
    match input {
        StepInput::Prompt { .. } => KIND_PROMPT,
        StepInput::Token(_) => KIND_TOKEN,
        StepInput::Activation { .. } => KIND_ACTIVATION,
    }
}

/// Number of positions covered; 0 for a prompt, as only the engine knows its
/// tokens.
fn span(input: &StepInput) -> u32 {
    match input {
        StepInput::Prompt { .. } => 0,
        StepInput::Token(_) => 1,
        StepInput::Activation { span, .. } => *span,
    }
}

fn token(input: &StepInput) -> u32 {
    match input {
        StepInput::Token(token) => *token,
        _ => 0,
    }
}

fn input(input: &StepInput) -> Box<RawValue> {
    match input {
        StepInput::Prompt { request_json, .. } => to_base64(request_json),
        StepInput::Token(_) => to_base64(&[]),
        StepInput::Activation { bytes, .. } => to_base64(bytes),
    }
}

fn payload_bytes(input: &StepInput) -> usize {
    match input {
        StepInput::Prompt { request_json, .. } => request_json.len(),
        StepInput::Token(_) => 0,
        StepInput::Activation { bytes, .. } => bytes.len(),
    }
}

/// Delivered tokens as decimal numbers separated by commas.
fn delivered(input: &StepInput) -> String {
    let StepInput::Prompt { delivered_tokens, .. } = input else {
        return String::new();
    };
    let mut text = String::new();
    for token in delivered_tokens {
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{token}");
    }
    text
}

/// An inference call as decoded by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InferCall {
    /// Id of the call, which the response repeats.
    pub id: String,
    /// First layer to run.
    pub first_layer: u32,
    /// Layer after the last one to run.
    pub end_layer: u32,
    /// The rows of the batch.
    pub rows: Vec<InferRow>,
}

/// One row of a batch as decoded by an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InferRow {
    /// The sequence.
    pub sequence: SequenceId,
    /// The step, or why the row is invalid.
    pub step: Result<SequenceStep, SequenceError>,
}

#[derive(Deserialize)]
struct ReceivedBody<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    parameters: LayerRange,
    #[serde(borrow)]
    inputs: Vec<Tensor<'a>>,
}

/// Decodes the body of an inference call. An invalid row does not affect the
/// other rows, as long as its sequence id is valid.
///
/// # Errors
///
/// The body is not an inference call, a sequence id is invalid, or the tensors
/// differ in length.
pub fn decode_request(body: &[u8]) -> Result<InferCall, WireError> {
    let received: ReceivedBody<'_> = serde_json::from_slice(body)?;
    let LayerRange { first_layer, end_layer } = received.parameters;
    if first_layer >= end_layer {
        let message =
            format!("layers {first_layer}..{end_layer} are no range");
        return Err(WireError::new(message));
    }
    let tensors = Tensors::with_equal_rows(received.inputs)?;
    let inputs = Inputs::new(&tensors)?;
    let rows = (0..tensors.rows())
        .map(|row| inputs.row(row))
        .collect::<Result<Vec<InferRow>, WireError>>()?;
    let id = received.id.into_owned();
    Ok(InferCall { id, first_layer, end_layer, rows })
}

/// The tensors of a call by name.
struct Inputs<'a> {
    sequence: &'a Tensor<'a>,
    position: &'a Tensor<'a>,
    span: &'a Tensor<'a>,
    priority: &'a Tensor<'a>,
    kind: &'a Tensor<'a>,
    token: &'a Tensor<'a>,
    input: &'a Tensor<'a>,
    delivered: Option<&'a Tensor<'a>>,
    parameters: Option<&'a Tensor<'a>>,
}

impl<'a> Inputs<'a> {
    fn new(tensors: &'a Tensors<'a>) -> Result<Inputs<'a>, WireError> {
        Ok(Inputs {
            sequence: tensors.require("sequence")?,
            position: tensors.require("position")?,
            span: tensors.require("span")?,
            priority: tensors.require("priority")?,
            kind: tensors.require("kind")?,
            token: tensors.require("token")?,
            input: tensors.require("input")?,
            delivered: tensors.find("delivered"),
            parameters: tensors.find("parameters"),
        })
    }

    fn row(&self, row: usize) -> Result<InferRow, WireError> {
        let sequence = self
            .sequence
            .text(row)?
            .parse::<SequenceId>()
            .map_err(|e| WireError::new(e.to_string()))?;
        let step = self
            .step(row, sequence)
            .map_err(|e| SequenceError::BadRequest(e.to_string()));
        Ok(InferRow { sequence, step })
    }

    fn step(
        &self,
        row: usize,
        sequence: SequenceId,
    ) -> Result<SequenceStep, WireError> {
        let parameters = match self.parameters {
            Some(tensor) => tensor.text(row)?,
            None => "",
        };
        Ok(SequenceStep {
            sequence,
            position: self.position.number(row)?,
            priority: priority(self.priority.number(row)?)?,
            input: self.input(row)?,
            parameters_json: from_base64(parameters, "parameters")?,
        })
    }

    fn input(&self, row: usize) -> Result<StepInput, WireError> {
        match self.kind.text(row)? {
            KIND_PROMPT => Ok(StepInput::Prompt {
                request_json: from_base64(self.input.text(row)?, "input")?,
                delivered_tokens: self.delivered(row)?,
            }),
            KIND_TOKEN => Ok(StepInput::Token(self.token.number(row)?)),
            KIND_ACTIVATION => Ok(StepInput::Activation {
                span: self.span.number(row)?,
                bytes: from_base64(self.input.text(row)?, "input")?,
            }),
            other => Err(WireError::new(format!("no kind of step {other:?}"))),
        }
    }

    fn delivered(&self, row: usize) -> Result<Vec<u32>, WireError> {
        let text = match self.delivered {
            Some(tensor) => tensor.text(row)?,
            None => "",
        };
        if text.is_empty() {
            return Ok(Vec::new());
        }
        let error = |e| WireError::new(format!("delivered {text:?}: {e}"));
        text.split(',').map(|t| t.parse().map_err(error)).collect()
    }
}

fn priority(value: u32) -> Result<u8, WireError> {
    let range = MIN_PRIORITY..=MAX_PRIORITY;
    match u8::try_from(value) {
        Ok(priority) if range.contains(&priority) => Ok(priority),
        _ => Err(WireError::new(format!(
            "priority {value} is not in {MIN_PRIORITY}..={MAX_PRIORITY}"
        ))),
    }
}
