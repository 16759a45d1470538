//! What the headers of a request say of how it is to be served.

use std::{error, fmt};

use chestnutreach_routing::Priority;
use http_types::Request;

/// Header with the caller's time in milliseconds.
pub const DEADLINE_HEADER: &str = "chestnutreach-deadline-ms";
/// Header that marks a request as non-idempotent.
pub const NON_IDEMPOTENT_HEADER: &str = "chestnutreach-non-idempotent";
/// Header with the request's priority.
pub const PRIORITY_HEADER: &str = "chestnutreach-priority";
/// Published header with the key of a request that runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Longest key.
pub const MAX_KEY_BYTES: usize = 255;

/// What the headers of a request say of how it is to be served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// The caller's time.
    pub deadline_ms: u64,
    /// Priority among the requests of its account.
    pub priority: Priority,
    /// None where the caller does not say.
    pub is_non_idempotent: Option<bool>,
    /// Key of a request that runs at most once.
    pub key: Option<String>,
}

/// Deadlines of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineLimits {
    /// For a caller that states none.
    pub default_ms: u64,
    /// The longest that may be asked for.
    pub max_ms: u64,
}

/// A header whose value is not one that it may have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderError {
    /// Name of the header.
    pub name: &'static str,
    /// What is wrong with it, for the caller.
    pub message: String,
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for HeaderError {}

impl RequestOptions {
    /// Reads the terms of a request.
    ///
    /// # Errors
    ///
    /// A header is given twice or has a value that it may not have.
    pub fn try_new(
        request: &Request,
        limits: DeadlineLimits,
    ) -> Result<RequestOptions, HeaderError> {
        Ok(RequestOptions {
            deadline_ms: deadline_ms(request, limits)?,
            priority: priority(request)?,
            is_non_idempotent: is_non_idempotent(request)?,
            key: key(request)?,
        })
    }
}

fn deadline_ms(
    request: &Request,
    limits: DeadlineLimits,
) -> Result<u64, HeaderError> {
    let Some(text) = single_value(request, DEADLINE_HEADER)? else {
        return Ok(limits.default_ms);
    };
    let max_ms = limits.max_ms;
    // `parse` alone would take a sign.
    let is_digits = text.bytes().all(|b| b.is_ascii_digit());
    let deadline_ms = text.parse().ok().filter(|_| is_digits);
    deadline_ms.filter(|ms| (1..=max_ms).contains(ms)).ok_or_else(|| {
        let expected = format!("a number of ms from 1 to {max_ms}");
        invalid(DEADLINE_HEADER, text, &expected)
    })
}

fn priority(request: &Request) -> Result<Priority, HeaderError> {
    match single_value(request, PRIORITY_HEADER)? {
        None | Some("normal") => Ok(Priority::Normal),
        Some("low") => Ok(Priority::Low),
        Some("high") => Ok(Priority::High),
        Some(text) => {
            Err(invalid(PRIORITY_HEADER, text, "low, normal or high"))
        }
    }
}

fn is_non_idempotent(request: &Request) -> Result<Option<bool>, HeaderError> {
    match single_value(request, NON_IDEMPOTENT_HEADER)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(text) => {
            Err(invalid(NON_IDEMPOTENT_HEADER, text, "true or false"))
        }
    }
}

fn key(request: &Request) -> Result<Option<String>, HeaderError> {
    match single_value(request, KEY_HEADER)? {
        None => Ok(None),
        Some(text) if is_valid_key(text) => Ok(Some(text.to_owned())),
        Some(text) => {
            let expected = format!("1 to {MAX_KEY_BYTES} visible characters");
            Err(invalid(KEY_HEADER, text, &expected))
        }
    }
}

fn is_valid_key(text: &str) -> bool {
    let is_visible = text.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    (1..=MAX_KEY_BYTES).contains(&text.len()) && is_visible
}

/// The one value of a header. Two would leave open which of them the caller
/// meant, and one that is not seen might be the mark of a letter.
fn single_value<'a>(
    request: &'a Request,
    name: &'static str,
) -> Result<Option<&'a str>, HeaderError> {
    let Some(values) = request.header(name) else {
        return Ok(None);
    };
    let count = values.iter().count();
    if count > 1 {
        let message = format!("header {name} is given {count} times, not 1");
        return Err(HeaderError { name, message });
    }
    Ok(Some(values.last().as_str().trim()))
}

fn invalid(name: &'static str, value: &str, expected: &str) -> HeaderError {
    let message = format!("header {name} is {value:?}, not {expected}");
    HeaderError { name, message }
}
