//! Requests and answers that are passed on as they came.
//!
//! A router that answers for others must not change a byte of a path, a
//! header or a body, and takes heads longer than `async-h1` does. So heads
//! are kept as lines here. The checks of heads and the ends of bodies are
//! those of the rest of this crate.
//!
//! | module | what it holds |
//! |---|---|
//! | `inbound` | the connection of a caller |
//! | `outbound` | a connection to a server |

mod inbound;
mod outbound;

pub use inbound::{Inbound, InboundError, InboundLimits};
pub use outbound::{Outbound, OutboundError, ResponseBody, ResponseHead};

/// Headers that concern only one connection.
const PER_CONNECTION: [&str; 8] = [
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
    /// Its name, as it came.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// A request as it came.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayRequest {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its headers, in their order.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
    /// The caller wants the connection closed after the answer.
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

/// The first value of a header among header lines.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

/// Whether a header may be passed on, given the values of `connection`.
pub fn is_end_to_end(name: &str, connection: Option<&str>) -> bool {
    if PER_CONNECTION.iter().any(|other| name.eq_ignore_ascii_case(other)) {
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

/// Appends a chunk of a body.
pub fn push_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk of a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn header_lines(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    let line = |h: &httparse::Header<'_>| Header {
        name: h.name.to_owned(),
        // Heads are checked to be ASCII before.
        value: String::from_utf8_lossy(h.value).into_owned(),
    };
    parsed.iter().map(line).collect()
}
