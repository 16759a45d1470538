//! Steps of a sequence, their outputs and errors.
//!
//! A sequence is one attempt at a request on a chain of engines. Its steps
//! cover consecutive positions: the first step covers the prompt and the
//! tokens delivered by earlier attempts, each later step a single token. The
//! first engine of the chain takes prompts and tokens as input, every other
//! engine the activations of its predecessor.

use std::{error, fmt, num::ParseIntError, str::FromStr};

/// The least urgent priority.
pub const MIN_PRIORITY: u8 = 1;
/// The most urgent priority.
pub const MAX_PRIORITY: u8 = 3;

/// Identifies an attempt at a request; formatted as
/// `<request in hex>/<attempt>`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SequenceId {
    /// Id of the request.
    pub request: u128,
    /// Number of the attempt.
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

/// Error for a text that is not a sequence id.
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
    /// First position that the step covers.
    pub position: u32,
    /// Priority, from [`MIN_PRIORITY`] to [`MAX_PRIORITY`].
    pub priority: u8,
    /// Input of the layers.
    pub input: StepInput,
    /// Sampling parameters; empty after the first step.
    pub parameters_json: Vec<u8>,
}

/// Input of the layers of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepInput {
    /// A request, and the output tokens that earlier attempts delivered.
    Prompt {
        /// The caller's request.
        request_json: Vec<u8>,
        /// Tokens of earlier attempts, in order.
        delivered_tokens: Vec<u32>,
    },
    /// The token sampled by the previous step.
    Token(u32),
    /// The output of the preceding layers.
    Activation {
        /// Number of positions covered.
        span: u32,
        /// Activations, in a format that only the engines interpret.
        bytes: Vec<u8>,
    },
}

/// Result of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SequenceOutput {
    /// Number of positions that the step covered.
    pub span: u32,
    /// Tokens of the prompt, without delivered tokens; 0 except for a prompt
    /// step.
    pub prompt_tokens: u32,
    /// Number of positions taken from the engine's prefix cache.
    pub cached_tokens: u32,
    /// The output of the layers.
    pub output: StepOutput,
}

/// The output of the layers of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepOutput {
    /// Input of the following layers.
    Activation(Vec<u8>),
    /// A token, from the last layer.
    Token {
        /// The token.
        token: u32,
        /// Text that the token adds to the output.
        text: String,
        /// Whether the token ends the output.
        is_stop: bool,
    },
}

/// Why an engine did not run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum SequenceError {
    /// The engine cannot run the step as requested.
    BadRequest(String),
    /// The position is not the next one of the sequence.
    OutOfOrder(String),
    /// The engine's KV cache is full.
    NoMemory,
    /// Any other error.
    Other(String),
}

impl fmt::Display for SequenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SequenceError::BadRequest(why) => write!(f, "bad request: {why}"),
            SequenceError::OutOfOrder(why) => write!(f, "out of order: {why}"),
            SequenceError::NoMemory => f.write_str("the KV cache is full"),
            SequenceError::Other(why) => f.write_str(why),
        }
    }
}

impl error::Error for SequenceError {}
