//! Validation of HTTP heads.
//!
//! `async-h1` closes the connection on a malformed head without a response,
//! and uses the last of two different lengths. This module rejects both with
//! the documented status before the library reads the request.

use std::{error, fmt};

/// Longest accepted head; `async-h1` refuses 8192 bytes without a response.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Limit of `async-h1` on header lines.
pub const MAX_HEADERS: usize = 128;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The message has no body.
    None,
    /// The body has this length, in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
}

/// Body framing and connection options of a valid request head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestHeadInfo {
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// The caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The caller asked to close the connection after the response.
    pub wants_close: bool,
}

/// A request that is rejected before a handler sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Status of the response.
    pub status: u16,
    /// Error message for the caller.
    pub message: String,
}

impl RequestError {
    /// Creates an error with a status and a message.
    pub fn new(status: u16, message: &str) -> RequestError {
        RequestError { status, message: message.to_owned() }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.status, self.message)
    }
}

impl error::Error for RequestError {}

/// Checks a complete request head, including its final empty line.
///
/// # Errors
///
/// The head is malformed (400) or has too many header lines (431), another
/// HTTP version (505), an unknown transfer coding (501) or an unknown
/// expectation (417).
pub fn check_request(head: &[u8]) -> Result<RequestHeadInfo, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    check_parsed(request.parse(head), head)?;
    if request.version != Some(1) {
        let message = "only HTTP/1.1 is served here";
        return Err(RequestError::new(505, message));
    }
    let mut framing = FramingHeaders::default();
    for header in request.headers.iter() {
        framing.add(header)?;
    }
    if framing.host_count != 1 {
        return Err(malformed("exactly one host header is needed"));
    }
    Ok(RequestHeadInfo {
        framing: framing.framing()?.unwrap_or(BodyFraming::None),
        expects_continue: framing.expects_continue,
        wants_close: framing.wants_close,
    })
}

/// Body framing and connection options of a valid response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ResponseHeadInfo {
    pub(crate) status: u16,
    /// None if the body ends only when the connection closes.
    pub(crate) framing: Option<BodyFraming>,
    pub(crate) wants_close: bool,
}

/// Checks a complete response head. The status of an error is meaningless.
pub(crate) fn check_response(
    head: &[u8],
) -> Result<ResponseHeadInfo, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    check_parsed(response.parse(head), head)?;
    let mut framing = FramingHeaders::default();
    for header in response.headers.iter() {
        framing.add(header)?;
    }
    Ok(ResponseHeadInfo {
        status: response.code.unwrap_or_default(),
        framing: framing.framing()?,
        wants_close: framing.wants_close,
    })
}

/// Whether a comma-separated list, as in `Connection`, contains a token.
pub(crate) fn has_token(value: &str, token: &str) -> bool {
    value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// Checks that the parser consumed the whole head. The parser also accepts
/// bare line feeds, and would leave the bytes after such an empty line unread.
fn check_parsed(
    parsed: httparse::Result<usize>,
    head: &[u8],
) -> Result<(), RequestError> {
    match parsed {
        Ok(httparse::Status::Complete(read)) if read == head.len() => Ok(()),
        Ok(_) => Err(malformed("the head is not complete")),
        Err(httparse::Error::TooManyHeaders) => {
            let message = format!("more than {MAX_HEADERS} header lines");
            Err(RequestError::new(431, &message))
        }
        Err(e) => Err(malformed(&e.to_string())),
    }
}

/// Overwrites the value of each `Expect` header with blanks. `async-h1` would
/// respond to the header on an executor of its own; the server sends the
/// interim response instead.
pub(crate) fn blank_expect(head: &mut [u8]) {
    let mut line_start = 0;
    for index in 0..head.len() {
        if head[index] != b'\n' {
            continue;
        }
        let line = &mut head[line_start..index];
        line_start = index + 1;
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            continue;
        };
        if line[..colon].eq_ignore_ascii_case(b"expect") {
            let value = &mut line[colon + 1..];
            let end = value.len() - usize::from(value.ends_with(b"\r"));
            value[..end].fill(b' ');
        }
    }
}

/// Headers that determine the body framing and the connection options.
#[derive(Default)]
struct FramingHeaders {
    length: Option<u64>,
    is_chunked: bool,
    expects_continue: bool,
    wants_close: bool,
    host_count: usize,
}

impl FramingHeaders {
    fn add(
        &mut self,
        header: &httparse::Header<'_>,
    ) -> Result<(), RequestError> {
        // `http-types` panics on a value that is not ASCII.
        let value = std::str::from_utf8(header.value)
            .ok()
            .filter(|value| value.is_ascii());
        let value = value.ok_or_else(|| {
            malformed(&format!("header {} is not ASCII", header.name))
        })?;
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => self.add_length(value)?,
            "transfer-encoding" => self.add_transfer_coding(value)?,
            "host" => self.add_host(value)?,
            "expect" => self.expects_continue = parse_expectation(value)?,
            "connection" => self.wants_close |= has_token(value, "close"),
            _ => {}
        }
        Ok(())
    }

    /// `async-h1` builds a URL from the host and the path, so delimiters in the
    /// host would become part of the path or the query.
    fn add_host(&mut self, value: &str) -> Result<(), RequestError> {
        let is_delimiter = |c: char| "/?#@\\".contains(c);
        if value.is_empty() || value.contains(is_delimiter) {
            return Err(malformed(&format!("host {value:?} is no host")));
        }
        self.host_count += 1;
        Ok(())
    }

    fn add_length(&mut self, value: &str) -> Result<(), RequestError> {
        // `parse` alone accepts a sign.
        let is_digits = value.bytes().all(|b| b.is_ascii_digit());
        let length = value.parse().ok().filter(|_| is_digits);
        let length = length.ok_or_else(|| {
            malformed(&format!("content-length {value:?} is no length"))
        })?;
        if self.length.is_some_and(|first| first != length) {
            return Err(malformed("two different content-length headers"));
        }
        self.length = Some(length);
        Ok(())
    }

    fn add_transfer_coding(
        &mut self,
        value: &str,
    ) -> Result<(), RequestError> {
        if self.is_chunked || !value.eq_ignore_ascii_case("chunked") {
            let message = format!("transfer coding {value:?} is not known");
            return Err(RequestError::new(501, &message));
        }
        self.is_chunked = true;
        Ok(())
    }

    fn framing(&self) -> Result<Option<BodyFraming>, RequestError> {
        match (self.length, self.is_chunked) {
            (Some(_), true) => {
                Err(malformed("content-length and transfer-encoding together"))
            }
            (None, true) => Ok(Some(BodyFraming::Chunked)),
            (Some(0), false) => Ok(Some(BodyFraming::None)),
            (Some(length), false) => Ok(Some(BodyFraming::Length(length))),
            (None, false) => Ok(None),
        }
    }
}

fn parse_expectation(value: &str) -> Result<bool, RequestError> {
    if value.eq_ignore_ascii_case("100-continue") {
        return Ok(true);
    }
    let message = format!("expectation {value:?} is not known");
    Err(RequestError::new(417, &message))
}

fn malformed(message: &str) -> RequestError {
    RequestError::new(400, message)
}
