//! JSON encoding of messages.
//!
//! A batch is a set of one-dimensional tensors with one element per row. Bytes
//! are sent as base64, since JSON has no type for them. The module both
//! encodes and decodes requests and responses, so that the client and engines
//! written in Rust share the code.

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

/// Error for a message that violates the protocol.
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

/// Estimated size of a message without its rows.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;
/// Estimated size of a row without its payload.
const ROW_OVERHEAD_BYTES: usize = 128;

/// Serializes a message whose rows carry `payload_bytes` before base64. The
/// buffer is allocated in full, since long activations would grow it often.
fn to_json<T: Serialize>(
    message: &T,
    rows: usize,
    payload_bytes: usize,
) -> Vec<u8> {
    let base64_bytes = payload_bytes.div_ceil(3) * 4;
    let capacity =
        MESSAGE_OVERHEAD_BYTES + rows * ROW_OVERHEAD_BYTES + base64_bytes;
    let mut json = Vec::with_capacity(capacity);
    serde_json::to_writer(&mut json, message)
        .expect("tensors serialize to JSON");
    json
}

/// Encodes bytes as a JSON string. Base64 contains no characters that JSON
/// escapes, so the scan for such characters is skipped.
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
