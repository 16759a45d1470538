//! Requests and responses that are forwarded unchanged.
//!
//! A reverse proxy must not change a byte of a path, a header or a body, and
//! accepts longer heads than `async-h1` does. This module therefore keeps
//! heads as header lines. It shares the validation of heads and the detection
//! of body ends with the rest of this crate.
//!
//! | module | contents |
//! |---|---|
//! | `inbound` | the connection of a caller |
//! | `outbound` | a connection to a server |

mod inbound;
mod outbound;

pub use inbound::{Inbound, InboundError, InboundLimits};
pub use outbound::{Outbound, OutboundError, ResponseBody, ResponseHead};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// One header line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Header name, as received.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// A request as received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Vec<u8>,
    /// The caller asked to close the connection after the response.
    pub wants_close: bool,
}

impl RelayRequest {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

/// The first value of a header in a list of header lines.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    header.map(|h| h.value.as_str())
}

/// Whether a header may be forwarded, given the value of `Connection`.
pub fn is_end_to_end(name: &str, connection: Option<&str>) -> bool {
    if HOP_BY_HOP_HEADERS.iter().any(|h| name.eq_ignore_ascii_case(h)) {
        return false;
    }
    !connection.is_some_and(|v| crate::head::has_token(v, name))
}

/// Appends a header line.
pub fn push_header(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk of a chunked body.
pub fn push_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn header_lines(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    let line = |h: &httparse::Header<'_>| Header {
        name: h.name.to_owned(),
        // The head was checked to be ASCII before.
        value: String::from_utf8_lossy(h.value).into_owned(),
    };
    parsed.iter().map(line).collect()
}
