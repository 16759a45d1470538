//! Messages to and from JSON.
//!
//! A batch is a set of tensors of one dimension, one element for each row.
//! Bytes travel as base64, since JSON has no other way to carry them. Both
//! directions of both messages are here, so that an engine written in Rust
//! shares them with the client.

mod request;
mod response;
mod tensor;

use std::{error, fmt};

use base64::{Engine as _, engine::general_purpose::STANDARD};

pub use self::{
    request::{InferCall, InferRow, decode_request, encode_request},
    response::{InferResult, decode_response, encode_response},
};

/// A message that is not what the protocol asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireError {
    message: String,
}

impl WireError {
    pub(crate) fn new(message: impl Into<String>) -> WireError {
        WireError { message: message.into() }
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for WireError {}

impl From<serde_json::Error> for WireError {
    fn from(e: serde_json::Error) -> WireError {
        WireError::new(e.to_string())
    }
}

fn to_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn from_base64(text: &str, name: &str) -> Result<Vec<u8>, WireError> {
    STANDARD
        .decode(text)
        .map_err(|e| WireError::new(format!("tensor {name:?}: {e}")))
}
