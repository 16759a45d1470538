//! Request headers that set deadline, priority and idempotency.

use std::{error, fmt};

use chestnutreach_routing::Priority;
use http_types::Request;

/// Header with the deadline of the request, in milliseconds from its arrival.
pub const DEADLINE_HEADER: &str = "chestnutreach-deadline-ms";
/// Header that marks a request as non-idempotent.
pub const NON_IDEMPOTENT_HEADER: &str = "chestnutreach-non-idempotent";
/// Header with the request's priority.
pub const PRIORITY_HEADER: &str = "chestnutreach-priority";
/// Widely used header with the key of a request that runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 255;

/// Options that a request sets by its headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// Time from the arrival of the request to its deadline.
    pub deadline_ms: u64,
    /// Priority among the requests of its account.
    pub priority: Priority,
    /// `None` if the caller does not set the header.
    pub is_non_idempotent: Option<bool>,
    /// Key of a request that runs at most once.
    pub key: Option<String>,
}

/// Default and maximum deadline of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineLimits {
    /// Deadline of a request that does not set one.
    pub default_ms: u64,
    /// Longest deadline that a request may set.
    pub max_ms: u64,
}

/// A header that is repeated or has an invalid value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderError {
    /// Name of the header.
    pub name: &'static str,
    /// Description of the error, for the caller.
    pub message: String,
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for HeaderError {}

impl RequestOptions {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails if a header is repeated or has an invalid value.
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
    // `parse` alone would accept a sign.
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

/// The value of a header that must not be repeated. With two values it would
/// be unclear which one applies, and an ignored one could be the mark of a
/// non-idempotent request.
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
