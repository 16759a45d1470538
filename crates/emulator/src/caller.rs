//! Sends one request as a caller does and checks the responses.
//!
//! The caller behaves like the platform's callers: it waits until its
//! deadline, abandons a stalled stream, and retries once where that is
//! allowed, each attempt with a new id and on a new connection. A stream
//! resumes after the last event received.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::{
    Outbound, ResponseHead, find_header, push_header,
};
use futures_lite::FutureExt as _;

use crate::{
    engines::{event_text, signature},
    site::{
        HOST, IDEMPOTENT_PATH, KEY, ONCE_PATH, STREAM_PATH, URGENT_STREAM_PATH,
    },
};

/// Time without bytes after which the caller abandons a stream.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A caller waits for `Retry-After` at most this fraction of the time until
/// its deadline: 1 / `RETRY_AFTER_DIVISOR`.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestKind {
    /// A resumable stream.
    Stream,
    /// A resumable stream that goes before others where capacity is short.
    UrgentStream,
    /// A request that may run more than once.
    Idempotent,
    /// A request that runs at most once.
    Once,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Stream,
        RequestKind::UrgentStream,
        RequestKind::Idempotent,
        RequestKind::Once,
    ];

    /// Whether requests of the kind are streams.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::UrgentStream)
    }

    /// Name of the kind in experiments and reports.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Stream => "stream",
            RequestKind::UrgentStream => "urgent-stream",
            RequestKind::Idempotent => "idempotent",
            RequestKind::Once => "once",
        }
    }

    fn path(self) -> &'static str {
        match self {
            RequestKind::Stream => STREAM_PATH,
            RequestKind::UrgentStream => URGENT_STREAM_PATH,
            RequestKind::Idempotent => IDEMPOTENT_PATH,
            RequestKind::Once => ONCE_PATH,
        }
    }

    /// Usual time from the first attempt to the deadline.
    pub fn deadline(self) -> Duration {
        match self {
            RequestKind::Stream | RequestKind::UrgentStream => {
                Duration::from_secs(15)
            }
            RequestKind::Idempotent | RequestKind::Once => {
                Duration::from_millis(1_500)
            }
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Token that the response must repeat.
    pub token: String,
    /// API key of the client account.
    pub key: String,
    /// Number of events of a complete stream.
    pub events: u64,
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// Ids of the parts of the prompt that other requests may share.
    pub shared_parts: Vec<String>,
    /// Length of the body, for requests that have one.
    pub body_bytes: usize,
    /// Time from the first attempt to the deadline.
    pub deadline: Duration,
    /// How long the caller waits beyond the deadline that it states.
    pub patience: Duration,
}

impl RequestSpec {
    /// Creates a request with the site's key and one retry.
    pub fn new(kind: RequestKind, token: &str, events: u64) -> RequestSpec {
        let (token, key) = (token.to_owned(), KEY.to_owned());
        RequestSpec {
            kind,
            token,
            key,
            events,
            max_attempts: 2,
            shared_parts: Vec::new(),
            body_bytes: 5,
            deadline: kind.deadline(),
            patience: Duration::ZERO,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// With a complete response.
    Whole,
    /// With a response of this status.
    Status(u16),
    /// No connection could be opened.
    NoConnection,
    /// The connection closed before the response was complete.
    Cut,
    /// The caller abandoned the attempt.
    Left,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request id of the attempt.
    pub id: String,
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Start time.
    pub sent_at: Instant,
    /// Time that the caller still waits, as it states.
    pub deadline: Duration,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Value of `Retry-After` in the response.
    pub retry_after: Option<Duration>,
    /// End time.
    pub ended_at: Instant,
}

/// Outcome of a request over all attempts.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Scheduled time, from the start of the load.
    pub at: Duration,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// Time to the first event or to the body of a plain response.
    pub time_to_first: Option<Duration>,
    /// Time to the end of the complete response.
    pub total_time: Option<Duration>,
    /// Longest gap between events.
    pub max_gap: Duration,
    /// Violations of invariants.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Whether a complete response arrived.
    pub fn is_served(&self) -> bool {
        self.total_time.is_some()
    }
}

/// Progress of a request over its attempts.
struct RequestProgress {
    start: Instant,
    last_progress: Instant,
    events: u64,
    outcome: Outcome,
}

/// Sends a request. Attempts go to the entries in order, starting with
/// `first_entry`.
pub async fn send_request(
    spec: &RequestSpec,
    entries: &[SocketAddr],
    first_entry: usize,
    at: Duration,
) -> Outcome {
    let start = Instant::now();
    let mut progress = RequestProgress {
        start,
        last_progress: start,
        events: 0,
        outcome: Outcome {
            kind: spec.kind,
            at,
            attempts: Vec::new(),
            time_to_first: None,
            total_time: None,
            max_gap: Duration::ZERO,
            violations: Vec::new(),
        },
    };
    for index in 0..spec.max_attempts {
        let entry = entries[(first_entry + index) % entries.len()];
        let id = format!("{:016x}", fastrand::u64(..));
        let sent_at = Instant::now();
        let stated = spec.deadline.saturating_sub(start.elapsed());
        let (end, retry_after) =
            attempt_once(spec, entry, &id, &mut progress).await;
        let will_retry =
            may_retry(spec.kind, &end) && index + 1 < spec.max_attempts;
        let ended_at = Instant::now();
        let attempt = Attempt {
            id,
            entry,
            sent_at,
            deadline: stated,
            end,
            retry_after,
            ended_at,
        };
        progress.outcome.attempts.push(attempt);
        if !will_retry {
            break;
        }
        let remaining = spec.deadline.saturating_sub(start.elapsed());
        let retry_after = retry_after.unwrap_or_default();
        Timer::after(retry_after.min(remaining / RETRY_AFTER_DIVISOR)).await;
    }
    progress.outcome
}

fn may_retry(kind: RequestKind, end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Whole => false,
        AttemptEnd::Status(408 | 421 | 429 | 503)
        | AttemptEnd::NoConnection => true,
        AttemptEnd::Status(400 | 401 | 404 | 413 | 431) => false,
        AttemptEnd::Status(_) | AttemptEnd::Cut | AttemptEnd::Left => {
            kind != RequestKind::Once
        }
    }
}

async fn attempt_once(
    spec: &RequestSpec,
    entry: SocketAddr,
    id: &str,
    progress: &mut RequestProgress,
) -> (AttemptEnd, Option<Duration>) {
    let remaining = spec.deadline.saturating_sub(progress.start.elapsed());
    let bytes = request_bytes(spec, id, progress.events, remaining);
    let Ok(mut connection) = Outbound::connect(entry, CONNECT_TIMEOUT).await
    else {
        return (AttemptEnd::NoConnection, None);
    };
    progress.last_progress = Instant::now();
    let exchange = async {
        if connection.send(&bytes).await.is_err() {
            return (AttemptEnd::Cut, None);
        }
        read_response(spec, id, &mut connection, progress).await
    };
    let limit = async {
        Timer::after(remaining + spec.patience).await;
        (AttemptEnd::Left, None)
    };
    exchange.or(limit).await
}

fn request_bytes(
    spec: &RequestSpec,
    id: &str,
    events: u64,
    remaining: Duration,
) -> Vec<u8> {
    let method = match spec.kind {
        RequestKind::Idempotent => "GET",
        _ => "POST",
    };
    let target = format!("{}{}", spec.kind.path(), spec.token);
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    push_header(&mut out, "Host", HOST);
    push_header(&mut out, "X-Request-Id", id);
    push_header(&mut out, "X-Deadline-Ms", &remaining.as_millis().to_string());
    push_header(&mut out, "Authorization", &format!("Bearer {}", spec.key));
    // The entry must replace an account that the caller claims.
    push_header(&mut out, "X-Tenant", "somebody-else");
    if spec.kind.is_stream() || !spec.shared_parts.is_empty() {
        push_header(&mut out, "X-Model", "m");
        push_header(&mut out, "X-Token-Count", "100,30");
        push_header(&mut out, "X-Prompt-Prefix", &prompt_parts(spec));
    }
    if events > 0 {
        push_header(&mut out, "Last-Event-Id", &events.to_string());
    }
    if method == "POST" {
        push_header(&mut out, "Content-Length", &spec.body_bytes.to_string());
        out.extend_from_slice(b"\r\n");
        out.resize(out.len() + spec.body_bytes, b'x');
    } else {
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The shared parts of a prompt, and the part of the request itself.
fn prompt_parts(spec: &RequestSpec) -> String {
    let mut own = 0;
    for byte in spec.token.bytes() {
        own = 31_u32.wrapping_mul(own).wrapping_add(byte.into());
    }
    let shared = spec.shared_parts.iter().map(|id| format!("{id}:20,"));
    format!("{}{own:08x}:60", shared.collect::<String>())
}

async fn read_response(
    spec: &RequestSpec,
    id: &str,
    connection: &mut Outbound,
    progress: &mut RequestProgress,
) -> (AttemptEnd, Option<Duration>) {
    let head = match with_gap_timeout(spec, connection.read_head()).await {
        None => return (AttemptEnd::Left, None),
        Some(Err(_)) => return (AttemptEnd::Cut, None),
        Some(Ok(head)) => head,
    };
    for name in ["server-limit", "server-leaving"] {
        if head.header(name).is_some() {
            let text = format!("{id}: was passed on {name}");
            progress.outcome.violations.push(text);
        }
    }
    if head.status != 200 {
        let retry_after = head.header("retry-after");
        let retry_after = retry_after.and_then(|v| v.parse().ok());
        let end = AttemptEnd::Status(head.status);
        return (end, retry_after.map(Duration::from_secs_f64));
    }
    check_signature(id, &head, progress);
    let end = match spec.kind {
        RequestKind::Stream | RequestKind::UrgentStream => {
            read_stream(spec, &head, connection, progress).await
        }
        _ => read_plain(spec, &head, connection, progress).await,
    };
    if end == AttemptEnd::Whole {
        progress.outcome.total_time = Some(progress.start.elapsed());
    }
    (end, None)
}

fn check_signature(
    id: &str,
    head: &ResponseHead,
    progress: &mut RequestProgress,
) {
    let signed = find_header(&head.headers, "x-response-signature");
    if signed != Some(signature(id).as_str()) {
        let text = format!("{id}: signature {signed:?}");
        progress.outcome.violations.push(text);
    }
}

async fn read_plain(
    spec: &RequestSpec,
    head: &ResponseHead,
    connection: &mut Outbound,
    progress: &mut RequestProgress,
) -> AttemptEnd {
    let method =
        if spec.kind == RequestKind::Idempotent { "GET" } else { "POST" };
    let Ok(body) = connection.read_body(head.body(method), 1 << 20).await
    else {
        return AttemptEnd::Cut;
    };
    progress.outcome.time_to_first = Some(progress.start.elapsed());
    if body != spec.token.as_bytes() {
        let body = String::from_utf8_lossy(&body).into_owned();
        let text = format!("{}: answer {body:?}", spec.token);
        progress.outcome.violations.push(text);
    }
    AttemptEnd::Whole
}

async fn read_stream(
    spec: &RequestSpec,
    head: &ResponseHead,
    connection: &mut Outbound,
    progress: &mut RequestProgress,
) -> AttemptEnd {
    let mut body = head.body("POST");
    let mut unread = Vec::new();
    loop {
        let chunk = connection.next_bytes(&mut body);
        let chunk = match with_gap_timeout(spec, chunk).await {
            None => return AttemptEnd::Left,
            Some(Err(_)) => return AttemptEnd::Cut,
            Some(Ok(chunk)) => chunk,
        };
        let Some(chunk) = chunk else {
            return check_complete(spec, &unread, progress);
        };
        unread.extend_from_slice(&chunk);
        check_events(spec, &mut unread, progress);
    }
}

fn check_events(
    spec: &RequestSpec,
    unread: &mut Vec<u8>,
    progress: &mut RequestProgress,
) {
    let end = |bytes: &[u8]| bytes.windows(2).position(|w| w == b"\n\n");
    while let Some(at) = end(unread) {
        let event: Vec<u8> = unread.drain(..at + 2).collect();
        progress.events += 1;
        let expected = event_text(&spec.token, progress.events);
        if event != expected.as_bytes() {
            let event = String::from_utf8_lossy(&event).into_owned();
            let text = format!("event {event:?} in place of {expected:?}");
            progress.outcome.violations.push(text);
        }
        let now = Instant::now();
        match progress.outcome.time_to_first {
            None => {
                progress.outcome.time_to_first = Some(progress.start.elapsed())
            }
            Some(_) => {
                let gap = now - progress.last_progress;
                let max_gap = &mut progress.outcome.max_gap;
                *max_gap = gap.max(*max_gap);
            }
        }
        progress.last_progress = now;
    }
}

fn check_complete(
    spec: &RequestSpec,
    unread: &[u8],
    progress: &mut RequestProgress,
) -> AttemptEnd {
    if progress.events != spec.events || !unread.is_empty() {
        let text = format!(
            "{}: ended as whole after {} of {} events",
            spec.token, progress.events, spec.events
        );
        progress.outcome.violations.push(text);
    }
    AttemptEnd::Whole
}

/// Limits a wait for the next bytes of a response.
async fn with_gap_timeout<T>(
    spec: &RequestSpec,
    work: impl Future<Output = T>,
) -> Option<T> {
    let limit = match spec.kind {
        RequestKind::Stream | RequestKind::UrgentStream => GAP_TIMEOUT,
        RequestKind::Idempotent | RequestKind::Once => {
            spec.deadline + spec.patience
        }
    };
    let work = async { Some(work.await) };
    let limit = async {
        Timer::after(limit).await;
        None
    };
    work.or(limit).await
}
