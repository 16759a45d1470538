//! Steps of a sequence, their outputs and errors.
//!
//! A sequence is one attempt at a request on a chain of engines. Its steps
//! cover positions in order: the first covers the prompt and the tokens
//! delivered before, each later one a single token. The first engine of the
//! chain takes prompts and tokens, every other one the activations of the
//! engine before it.

use std::{error, fmt, num::ParseIntError, str::FromStr};

/// Least urgent priority.
pub const MIN_PRIORITY: u8 = 1;
/// Most urgent priority.
pub const MAX_PRIORITY: u8 = 3;

/// An attempt at a request; written `<request in hex>/<attempt>`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SequenceId {
    /// The request.
    pub request: u128,
    /// Which attempt at it.
    pub attempt: u32,
}

impl fmt::Display for SequenceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}/{}", self.request, self.attempt)
    }
}

impl FromStr for SequenceId {
    type Err = ParseSequenceIdError;

    fn from_str(text: &str) -> Result<SequenceId, ParseSequenceIdError> {
        let error = || ParseSequenceIdError { text: text.to_owned() };
        let (request, attempt) = text.split_once('/').ok_or_else(error)?;
        let parse = || -> Result<SequenceId, ParseIntError> {
            let request = u128::from_str_radix(request, 16)?;
            Ok(SequenceId { request, attempt: attempt.parse()? })
        };
        parse().map_err(|_| error())
    }
}

/// A text that names no sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseSequenceIdError {
    text: String,
}

impl fmt::Display for ParseSequenceIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sequence {:?} is not \"<request in hex>/<attempt>\"",
            self.text
        )
    }
}

impl error::Error for ParseSequenceIdError {}

/// One step of a sequence on one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SequenceStep {
    /// The sequence.
    pub sequence: SequenceId,
    /// First position the step covers.
    pub position: u32,
    /// Urgency, from [`MIN_PRIORITY`] to [`MAX_PRIORITY`], the greatest.
    pub priority: u8,
    /// What the layers run on.
    pub input: StepInput,
    /// Sampling settings; empty after the first step.
    pub parameters_json: Vec<u8>,
}

/// What the layers of a step run on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepInput {
    /// A request, and the tokens of its answer delivered before.
    Prompt {
        /// The caller's request.
        request_json: Vec<u8>,
        /// Tokens of earlier attempts, in order.
        delivered_tokens: Vec<u32>,
    },
    /// The token sampled by the step before.
    Token(u32),
    /// The output of the layers before.
    Activation {
        /// Positions covered.
        span: u32,
        /// Opaque to everything but the engines.
        bytes: Vec<u8>,
    },
}

/// What came of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SequenceOutput {
    /// Positions the step covered.
    pub span: u32,
    /// Tokens of the prompt without delivered ones; 0 but for a prompt step.
    pub prompt_tokens: u32,
    /// Positions taken from the engine's prefix cache.
    pub cached_tokens: u32,
    /// The output of the layers.
    pub output: StepOutput,
}

/// The output of the layers of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepOutput {
    /// Input of the layers that follow.
    Activation(Vec<u8>),
    /// A token, from the last layer.
    Token {
        /// The token.
        token: u32,
        /// What it adds to the answer.
        text: String,
        /// The answer ends with it.
        is_stop: bool,
    },
}

/// Why an engine did not run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum SequenceError {
    /// The step makes no sense to this engine.
    BadRequest(String),
    /// The position is not the one the sequence comes to next.
    OutOfOrder(String),
    /// The engine's KV memory is full.
    NoMemory,
    /// Anything else.
    Other(String),
}

impl fmt::Display for SequenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SequenceError::BadRequest(why) => write!(f, "bad request: {why}"),
            SequenceError::OutOfOrder(why) => write!(f, "out of order: {why}"),
            SequenceError::NoMemory => f.write_str("no memory for the step"),
            SequenceError::Other(why) => f.write_str(why),
        }
    }
}

impl error::Error for SequenceError {}
