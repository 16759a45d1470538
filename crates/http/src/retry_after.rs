//! Parses `Retry-After`, by which a server requests a cooldown.
//!
//! The header counts only in a response with status 503, as a number of
//! seconds. Both operating modes use this parser. A date is rejected, because
//! the clocks of two machines differ by more than a typical cooldown.

use std::time::Duration;

use http_types::Response;

/// Header that requests a cooldown.
pub const RETRY_AFTER: &str = "retry-after";

/// Status in which the header counts.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Longest cooldown. A server that requests more gets requests again after
/// this time.
const MAX_COOLDOWN_S: f64 = 3_600.0;
/// Longest number that the parser accepts.
const MAX_NUMBER_BYTES: usize = 32;

/// The cooldown that a response requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// The response requests no cooldown.
    Absent,
    /// A cooldown of this time, an hour at most.
    Delay(Duration),
    /// The header is not a number of seconds.
    Malformed,
}

/// Parses the values of [`RETRY_AFTER`] in a response with this status. The
/// longest of several values counts.
pub fn parse<'a>(
    status: u16,
    values: impl IntoIterator<Item = &'a str>,
) -> RetryAfter {
    if status != SERVICE_UNAVAILABLE {
        return RetryAfter::Absent;
    }
    values.into_iter().map(parse_value).fold(RetryAfter::Absent, longest)
}

fn parse_value(value: &str) -> RetryAfter {
    let seconds = parse_decimal(value);
    let delay =
        seconds.map(|s| Duration::from_secs_f64(s.min(MAX_COOLDOWN_S)));
    delay.map_or(RetryAfter::Malformed, RetryAfter::Delay)
}

fn longest(a: RetryAfter, b: RetryAfter) -> RetryAfter {
    match (a, b) {
        (RetryAfter::Delay(a), RetryAfter::Delay(b)) => {
            RetryAfter::Delay(a.max(b))
        }
        (delay @ RetryAfter::Delay(_), _)
        | (_, delay @ RetryAfter::Delay(_)) => delay,
        (RetryAfter::Absent, other) => other,
        (malformed, _) => malformed,
    }
}

/// The cooldown that a response requests, if any.
pub fn from_response(response: &Response) -> Option<Duration> {
    let values = response.header(RETRY_AFTER);
    let values = values.into_iter().flatten().map(|value| value.as_str());
    match parse(response.status().into(), values) {
        RetryAfter::Delay(delay) => Some(delay),
        RetryAfter::Absent | RetryAfter::Malformed => None,
    }
}

/// Parses digits with at most one decimal point; no sign, exponent or word.
pub fn parse_decimal(value: &str) -> Option<f64> {
    let value = value.trim();
    let is_number = value.len() <= MAX_NUMBER_BYTES
        && value.starts_with(|c: char| c.is_ascii_digit())
        && value.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_number {
        return None;
    }
    value.parse().ok()
}
