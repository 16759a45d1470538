//! Checks of a request head before it is handled.
//!
//! `async-h1` closes the connection on a malformed head without an answer
//! and takes the last of two different lengths. Both are refused here, with
//! the published status, before the library sees the request.

use std::{error, fmt};

/// Longest head taken, in bytes; `async-h1` refuses 8192 without an answer.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Most header lines taken; the limit of `async-h1`.
pub const MAX_HEADERS: usize = 128;

/// How the end of a request's body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
}

/// What a well-formed head says of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestHeadInfo {
    /// How the body's end is known.
    pub framing: BodyFraming,
    /// The caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The caller wants the connection closed after the answer.
    pub wants_close: bool,
}

/// A request that is refused unhandled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Status of the answer.
    pub status: u16,
    /// What was wrong, for the caller.
    pub message: String,
}

impl RequestError {
    /// A request refused with this status.
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

/// Checks a whole head, up to and with its empty line.
///
/// # Errors
///
/// The head is malformed (400), of another HTTP version (505), or has a
/// transfer coding that is not known (501).
pub fn check_request(head: &[u8]) -> Result<RequestHeadInfo, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    check_parsed(request.parse(head), head)?;
    if request.version != Some(1) {
        let message = "only HTTP/1.1 is served here";
        return Err(RequestError::new(505, message));
    }
    let mut found = Found::default();
    for header in request.headers.iter() {
        found.add(header)?;
    }
    if found.host_count != 1 {
        return Err(malformed("exactly one host header is needed"));
    }
    Ok(RequestHeadInfo {
        framing: found.framing()?.unwrap_or(BodyFraming::None),
        expects_continue: found.expects_continue,
        wants_close: found.wants_close,
    })
}

/// What a well-formed head of an answer says of its body and connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ResponseHeadInfo {
    pub(crate) status: u16,
    /// None where only the end of the connection would end the body.
    pub(crate) framing: Option<BodyFraming>,
    pub(crate) wants_close: bool,
}

/// Checks a whole head of an answer; the status of an error means nothing.
pub(crate) fn check_response(
    head: &[u8],
) -> Result<ResponseHeadInfo, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    check_parsed(answer.parse(head), head)?;
    let mut found = Found::default();
    for header in answer.headers.iter() {
        found.add(header)?;
    }
    Ok(ResponseHeadInfo {
        status: answer.code.unwrap_or_default(),
        framing: found.framing()?,
        wants_close: found.wants_close,
    })
}

/// Whether a list of tokens, as in `Connection`, has this one.
pub(crate) fn has_token(value: &str, token: &str) -> bool {
    value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// The head must end where the parser ends it: the parser also takes bare
/// line feeds, and would leave what follows an empty line unread.
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

/// Overwrites the value of each `Expect` header by blanks. `async-h1` would
/// answer it from an executor of its own; the server answers it itself.
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

/// The headers that matter for framing, as they are met.
#[derive(Default)]
struct Found {
    length: Option<u64>,
    is_chunked: bool,
    expects_continue: bool,
    wants_close: bool,
    host_count: usize,
}

impl Found {
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
            "transfer-encoding" => self.add_coding(value)?,
            "host" => self.add_host(value)?,
            "expect" => self.expects_continue = is_continue(value)?,
            "connection" => self.wants_close |= has_token(value, "close"),
            _ => {}
        }
        Ok(())
    }

    /// `async-h1` makes a URL of the host and the path, in which some
    /// characters of the host would count as path or query.
    fn add_host(&mut self, value: &str) -> Result<(), RequestError> {
        let is_delimiter = |c: char| "/?#@\\".contains(c);
        if value.is_empty() || value.contains(is_delimiter) {
            return Err(malformed(&format!("host {value:?} is no host")));
        }
        self.host_count += 1;
        Ok(())
    }

    fn add_length(&mut self, value: &str) -> Result<(), RequestError> {
        // `parse` alone would take a sign.
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

    fn add_coding(&mut self, value: &str) -> Result<(), RequestError> {
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

fn is_continue(value: &str) -> Result<bool, RequestError> {
    if value.eq_ignore_ascii_case("100-continue") {
        return Ok(true);
    }
    let message = format!("expectation {value:?} is not known");
    Err(RequestError::new(417, &message))
}

fn malformed(message: &str) -> RequestError {
    RequestError::new(400, message)
}
