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
use serde::Serialize;
use serde_json::value::RawValue;

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

/// Bytes of a message besides its rows.
const MESSAGE_BYTES: usize = 1024;
/// Bytes of a row besides what it carries.
const ROW_BYTES: usize = 128;

/// A message whose rows carry `carried_bytes` before base64. The buffer is
/// made large enough at once, since long activations would grow it often.
fn to_json<T: Serialize>(
    message: &T,
    rows: usize,
    carried_bytes: usize,
) -> Vec<u8> {
    let base64_bytes = carried_bytes.div_ceil(3) * 4;
    let capacity = MESSAGE_BYTES + rows * ROW_BYTES + base64_bytes;
    let mut json = Vec::with_capacity(capacity);
    serde_json::to_writer(&mut json, message).expect("tensors make JSON");
    json
}

/// Bytes as a JSON string. Base64 holds nothing that JSON escapes, so that
/// the scan for it, byte by byte, is left out.
fn to_base64(bytes: &[u8]) -> Box<RawValue> {
    let length = base64::encoded_len(bytes.len(), true).unwrap_or(0);
    let mut json = String::with_capacity(length + 2);
    json.push('"');
    STANDARD.encode_string(bytes, &mut json);
    json.push('"');
    RawValue::from_string(json).expect("quoted base64 is a JSON string")
}

fn from_base64(text: &str, name: &str) -> Result<Vec<u8>, WireError> {
    STANDARD
        .decode(text)
        .map_err(|e| WireError::new(format!("tensor {name:?}: {e}")))
}
