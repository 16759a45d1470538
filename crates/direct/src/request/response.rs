//! Responses that the entry generates, and heads of forwarded responses.

use std::time::Duration;

use chestnutreach_adapter::{caller, engine, notices};
use chestnutreach_http::relay::{ResponseHead, is_end_to_end, push_header};
use chestnutreach_routing::{CooldownWait, cooldown_wait};

/// Default time after which a refused caller may retry. A slot is usually free
/// again after a few responses.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;
/// Random addition to that time, so that callers do not retry together.
const RETRY_AFTER_JITTER_MS: u64 = 300;

/// Time after which a caller may retry, where nothing better is known.
pub(crate) fn default_retry_after_ms() -> u64 {
    DEFAULT_RETRY_AFTER_MS + fastrand::u64(0..=RETRY_AFTER_JITTER_MS)
}

/// Time after which a caller may retry whose request finds all servers in
/// cooldown. `None` if a server is not in cooldown, or if the first cooldown
/// ends in time for the request to wait.
pub(crate) fn cooldown_retry_after_ms(
    cooldown_left_ms: Option<u64>,
    max_wait_ms: u64,
) -> Option<u64> {
    let mut rng = fastrand::Rng::new();
    match cooldown_wait(cooldown_left_ms?, max_wait_ms, &mut rng) {
        CooldownWait::Wait => None,
        CooldownWait::Refuse(retry_after_ms) => Some(retry_after_ms),
    }
}

/// Why the entry ends a request with an error response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ErrorReason {
    /// No route matches the host and path.
    NoRoute,
    /// The access key is missing or unknown.
    NoKey,
    /// No configuration was received yet.
    NoConfiguration,
    /// The entry can't tell whether the key or route was added, or knows that
    /// others have a newer configuration.
    ConfigurationStale,
    /// The entry can't tell whether access keys have been revoked.
    KeysStale,
    /// The entry is stopping.
    Stopping,
    /// No backend server can accept the request now.
    NoBackend,
    /// The request would start too late, since the requests queued before it
    /// use the capacity.
    NoCapacity,
    /// All backend servers that could accept the request are in cooldown.
    ServersInCooldown,
    /// The deadline passed before the request could be sent.
    TooLate,
    /// The request was sent and may have run, and its response is lost.
    ResponseLost,
    /// The deadline passed, and the request may have run.
    DeadlineExceeded,
    /// Equal requests crashed backend servers.
    Quarantined,
    /// This request crashed backend servers.
    CrashedServers,
}

impl ErrorReason {
    /// Reason for a request that can't be sent again.
    pub(crate) fn for_exhausted(
        may_have_run: bool,
        remaining_ms: u64,
    ) -> ErrorReason {
        match (may_have_run, remaining_ms) {
            (true, 0) => ErrorReason::DeadlineExceeded,
            (true, _) => ErrorReason::ResponseLost,
            (false, 0) => ErrorReason::TooLate,
            (false, _) => ErrorReason::NoBackend,
        }
    }

    /// Reason for a quarantined request.
    pub(crate) fn for_quarantined(may_have_run: bool) -> ErrorReason {
        match may_have_run {
            true => ErrorReason::CrashedServers,
            false => ErrorReason::Quarantined,
        }
    }

    pub(crate) fn status(self) -> u16 {
        match self {
            ErrorReason::NoRoute => 404,
            ErrorReason::NoKey => 401,
            ErrorReason::NoConfiguration
            | ErrorReason::ConfigurationStale
            | ErrorReason::KeysStale
            | ErrorReason::Stopping
            | ErrorReason::NoBackend
            | ErrorReason::NoCapacity
            | ErrorReason::ServersInCooldown
            | ErrorReason::TooLate
            | ErrorReason::Quarantined => 503,
            ErrorReason::ResponseLost | ErrorReason::CrashedServers => 502,
            ErrorReason::DeadlineExceeded => 504,
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ErrorReason::NoRoute => "no_route",
            ErrorReason::NoKey => "no_key",
            ErrorReason::NoConfiguration => "no_configuration",
            ErrorReason::ConfigurationStale => "configuration_stale",
            ErrorReason::KeysStale => "keys_stale",
            ErrorReason::Stopping => "stopping",
            ErrorReason::NoBackend => "no_backend",
            ErrorReason::NoCapacity => "no_room",
            ErrorReason::ServersInCooldown => "servers_rest",
            ErrorReason::TooLate => "too_late",
            ErrorReason::ResponseLost => "unknown",
            ErrorReason::DeadlineExceeded => "time_over",
            ErrorReason::Quarantined => "quarantined",
            ErrorReason::CrashedServers => "crashed_servers",
        }
    }

    pub(crate) fn outcome(self) -> &'static str {
        match self {
            ErrorReason::ResponseLost | ErrorReason::DeadlineExceeded => {
                "unknown"
            }
            ErrorReason::CrashedServers => "failed",
            _ => "not_run",
        }
    }
}

/// Whether a status guarantees to the caller that the request did not run.
/// Such a status must not be forwarded for a request that may have run.
pub(crate) fn guarantees_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// An error response of the entry.
pub(crate) fn error_response(
    reason: ErrorReason,
    request_id: Option<&str>,
    retry_after_ms: u64,
    is_last_request: bool,
) -> Vec<u8> {
    let status = reason.status();
    let body = format!("{{\"error\":{{\"code\":\"{}\"}}}}", reason.as_str());
    let mut out = status_line(status);
    push_header(&mut out, "content-type", "application/json");
    push_header(&mut out, "content-length", &body.len().to_string());
    if let Some(id) = request_id {
        push_header(&mut out, caller::REQUEST_ID, id);
    }
    if status == 503 {
        let after_s = Duration::from_millis(retry_after_ms).as_secs_f64();
        let after = format!("{after_s:.2}");
        push_header(&mut out, caller::RETRY_AFTER, &after);
    }
    if is_last_request {
        push_header(&mut out, "connection", "close");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.as_bytes());
    out
}

/// The response to a request that was rejected before it was received whole.
pub(crate) fn rejection(status: u16, message: &str) -> Vec<u8> {
    let mut out = status_line(status);
    push_header(&mut out, "content-type", "text/plain");
    push_header(&mut out, "content-length", &message.len().to_string());
    push_header(&mut out, "connection", "close");
    if status == 503 {
        let retry_after_s = default_retry_after_ms() as f64 / 1e3;
        push_header(&mut out, caller::RETRY_AFTER, &retry_after_s.to_string());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(message.as_bytes());
    out
}

/// How the body of a forwarded response is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    None,
}

/// The head of an engine's response as forwarded to the caller.
pub(crate) fn forwarded_head(
    head: &ResponseHead,
    framing: Framing,
    is_last_request: bool,
) -> Vec<u8> {
    let mut out = status_line(head.status);
    let connection = head.header("connection");
    for header in &head.headers {
        let is = |other: &str| header.name.eq_ignore_ascii_case(other);
        let is_kept = !is("content-length")
            && !is(engine::NOT_RUN)
            && !notices::INTERNAL_HEADERS.iter().any(|n| is(n))
            && is_end_to_end(&header.name, connection);
        if is_kept {
            push_header(&mut out, &header.name, &header.value);
        }
    }
    match framing {
        Framing::Length(length) => {
            push_header(&mut out, "content-length", &length.to_string());
        }
        Framing::Chunked => {
            push_header(&mut out, "transfer-encoding", "chunked");
        }
        Framing::None => {}
    }
    if is_last_request {
        push_header(&mut out, "connection", "close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn status_line(status: u16) -> Vec<u8> {
    let phrase = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    format!("HTTP/1.1 {status} {phrase}\r\n").into_bytes()
}
