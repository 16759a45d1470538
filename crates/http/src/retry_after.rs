//! For how long a server that turns a call away wants nothing.
//!
//! A server says so by `Retry-After` beside 503, in seconds. Both ways to run
//! read it here. A date says nothing: clocks of two machines differ by more
//! than what servers ask for.

use std::time::Duration;

use http_types::Response;

/// Header that says so.
pub const RETRY_AFTER: &str = "retry-after";

/// Status with which it may be said.
const TURNED_AWAY: u16 = 503;
/// Longest rest that is kept: a server that asked for more is asked again
/// after this time.
const MOST_REST_S: f64 = 3_600.0;
/// Longest number that is read.
const MAX_NUMBER_BYTES: usize = 32;

/// What an answer says of a rest that its server wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfter {
    /// Nothing: it wants none.
    Absent,
    /// For so long, an hour at most.
    Delay(Duration),
    /// Something that is no number of seconds.
    Malformed,
}

/// Reads the values of [`RETRY_AFTER`] in an answer with this status; of
/// several the longest counts.
pub fn parse<'a>(
    status: u16,
    values: impl IntoIterator<Item = &'a str>,
) -> RetryAfter {
    if status != TURNED_AWAY {
        return RetryAfter::Absent;
    }
    values.into_iter().map(read).fold(RetryAfter::Absent, longest)
}

fn read(value: &str) -> RetryAfter {
    let seconds = parse_decimal(value);
    let rest = seconds.map(|s| Duration::from_secs_f64(s.min(MOST_REST_S)));
    rest.map_or(RetryAfter::Malformed, RetryAfter::Delay)
}

fn longest(a: RetryAfter, b: RetryAfter) -> RetryAfter {
    match (a, b) {
        (RetryAfter::Delay(a), RetryAfter::Delay(b)) => {
            RetryAfter::Delay(a.max(b))
        }
        (rest @ RetryAfter::Delay(_), _)
        | (_, rest @ RetryAfter::Delay(_)) => rest,
        (RetryAfter::Absent, other) => other,
        (malformed, _) => malformed,
    }
}

/// For how long the server of an answer wants nothing, if it says so.
pub fn from_response(response: &Response) -> Option<Duration> {
    let values = response.header(RETRY_AFTER);
    let values = values.into_iter().flatten().map(|value| value.as_str());
    match parse(response.status().into(), values) {
        RetryAfter::Delay(rest) => Some(rest),
        RetryAfter::Absent | RetryAfter::Malformed => None,
    }
}

/// Reads digits with at most one point: no sign, exponent or word.
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
