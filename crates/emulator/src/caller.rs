//! One request of a client, and its checks.
//!
//! The client does as the platform's clients do: it waits until its deadline,
//! leaves a stream that stands still, and tries once more where that is
//! allowed, each time with a new id and on a new connection. A stream goes on
//! after the last event that it has.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::{AnswerHead, Outbound, find, push_header};
use futures_lite::FutureExt as _;

use crate::{
    engines::{event_text, signature},
    site::{HOST, IDEMPOTENT_PATH, KEY, ONCE_PATH, STREAM_PATH},
};

/// A stream is left after a gap of this length.
const GAP: Duration = Duration::from_secs(2);
/// Time for a new connection.
const DIAL: Duration = Duration::from_secs(1);
/// A client that is told when to come back waits for at most one part in so
/// many of the time that it has left.
const COME_BACK_PART: u32 = 3;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestKind {
    /// A stream that may be resumed.
    Stream,
    /// A request that may run more than once.
    Idempotent,
    /// A request that runs at most once.
    Once,
}

impl RequestKind {
    /// Every kind.
    pub const ALL: [RequestKind; 3] =
        [RequestKind::Stream, RequestKind::Idempotent, RequestKind::Once];

    /// Its name in experiments and reports.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Stream => "stream",
            RequestKind::Idempotent => "idempotent",
            RequestKind::Once => "once",
        }
    }

    fn path(self) -> &'static str {
        match self {
            RequestKind::Stream => STREAM_PATH,
            RequestKind::Idempotent => IDEMPOTENT_PATH,
            RequestKind::Once => ONCE_PATH,
        }
    }

    fn deadline(self) -> Duration {
        match self {
            RequestKind::Stream => Duration::from_secs(15),
            RequestKind::Idempotent | RequestKind::Once => {
                Duration::from_millis(1_500)
            }
        }
    }
}

/// A request to make.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its kind.
    pub kind: RequestKind,
    /// What it is about; the answer is made of it.
    pub token: String,
    /// Key of the client account.
    pub key: String,
    /// Events of a whole stream.
    pub events: u64,
    /// Tries at most.
    pub max_attempts: usize,
}

impl RequestSpec {
    /// A request with the site's key and one retry.
    pub fn new(kind: RequestKind, token: &str, events: u64) -> RequestSpec {
        let (token, key) = (token.to_owned(), KEY.to_owned());
        RequestSpec { kind, token, key, events, max_attempts: 2 }
    }
}

/// How a try ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A whole answer.
    Whole,
    /// An answer with this status.
    Status(u16),
    /// No connection was made.
    NoConnection,
    /// The connection ended without a whole answer.
    Cut,
    /// The client left.
    Left,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Which entry it went to.
    pub entry: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// How it ended.
    pub end: AttemptEnd,
    /// When it is to come back, as it was told.
    pub retry_after: Option<Duration>,
    /// When.
    pub ended_at: Instant,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub kind: RequestKind,
    /// When it began, from the start of the load.
    pub at: Duration,
    /// Its tries.
    pub attempts: Vec<Attempt>,
    /// Time to the first event or answer.
    pub time_to_first: Option<Duration>,
    /// Time to the whole answer.
    pub total_time: Option<Duration>,
    /// Longest pause between events.
    pub max_gap: Duration,
    /// What must not happen and did.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Whether the answer came whole.
    pub fn is_served(&self) -> bool {
        self.total_time.is_some()
    }
}

struct Reading {
    start: Instant,
    last: Instant,
    events: u64,
    outcome: Outcome,
}

/// Makes a request, trying the entries in turn from this one on.
pub async fn send_request(
    wish: &RequestSpec,
    entries: &[SocketAddr],
    first_entry: usize,
    at: Duration,
) -> Outcome {
    let start = Instant::now();
    let mut reading = Reading {
        start,
        last: start,
        events: 0,
        outcome: Outcome {
            kind: wish.kind,
            at,
            attempts: Vec::new(),
            time_to_first: None,
            total_time: None,
            max_gap: Duration::ZERO,
            violations: Vec::new(),
        },
    };
    for index in 0..wish.max_attempts {
        let entry = entries[(first_entry + index) % entries.len()];
        let id = format!("{:016x}", fastrand::u64(..));
        let sent_at = Instant::now();
        let (end, retry_after) =
            try_once(wish, entry, &id, &mut reading).await;
        let may_again =
            may_try_again(wish.kind, &end) && index + 1 < wish.max_attempts;
        let ended_at = Instant::now();
        let ended = Attempt { id, entry, sent_at, end, retry_after, ended_at };
        reading.outcome.attempts.push(ended);
        if !may_again {
            break;
        }
        let deadline = wish.kind.deadline();
        let left = deadline.saturating_sub(start.elapsed());
        let retry_after = retry_after.unwrap_or_default();
        Timer::after(retry_after.min(left / COME_BACK_PART)).await;
    }
    reading.outcome
}

fn may_try_again(kind: RequestKind, end: &AttemptEnd) -> bool {
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

async fn try_once(
    wish: &RequestSpec,
    entry: SocketAddr,
    id: &str,
    reading: &mut Reading,
) -> (AttemptEnd, Option<Duration>) {
    let deadline = wish.kind.deadline();
    let left = deadline.saturating_sub(reading.start.elapsed());
    let bytes = request_bytes(wish, id, reading.events, left);
    let Ok(mut connection) = Outbound::connect(entry, DIAL).await else {
        return (AttemptEnd::NoConnection, None);
    };
    reading.last = Instant::now();
    let exchange = async {
        if connection.send(&bytes).await.is_err() {
            return (AttemptEnd::Cut, None);
        }
        read_answer(wish, id, &mut connection, reading).await
    };
    let limit = async {
        Timer::after(left).await;
        (AttemptEnd::Left, None)
    };
    exchange.or(limit).await
}

fn request_bytes(
    wish: &RequestSpec,
    id: &str,
    events: u64,
    left: Duration,
) -> Vec<u8> {
    let method = match wish.kind {
        RequestKind::Idempotent => "GET",
        RequestKind::Stream | RequestKind::Once => "POST",
    };
    let target = format!("{}{}", wish.kind.path(), wish.token);
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    push_header(&mut out, "Host", HOST);
    push_header(&mut out, "X-Request-Id", id);
    push_header(&mut out, "X-Deadline-Ms", &left.as_millis().to_string());
    push_header(&mut out, "Authorization", &format!("Bearer {}", wish.key));
    // A client may not name its own account.
    push_header(&mut out, "X-Tenant", "somebody-else");
    if wish.kind == RequestKind::Stream {
        push_header(&mut out, "X-Model", "m");
        push_header(&mut out, "X-Token-Count", "100,30");
        push_header(&mut out, "X-Prompt-Prefix", "5c1e07a2:100");
    }
    if events > 0 {
        push_header(&mut out, "Last-Event-Id", &events.to_string());
    }
    if method == "POST" {
        push_header(&mut out, "Content-Length", "5");
        out.extend_from_slice(b"\r\nhello");
    } else {
        out.extend_from_slice(b"\r\n");
    }
    out
}

async fn read_answer(
    wish: &RequestSpec,
    id: &str,
    connection: &mut Outbound,
    reading: &mut Reading,
) -> (AttemptEnd, Option<Duration>) {
    let head = match within_gap(wish, connection.read_head()).await {
        None => return (AttemptEnd::Left, None),
        Some(Err(_)) => return (AttemptEnd::Cut, None),
        Some(Ok(head)) => head,
    };
    for name in ["server-limit", "server-leaving"] {
        if head.header(name).is_some() {
            let text = format!("{id}: was passed on {name}");
            reading.outcome.violations.push(text);
        }
    }
    if head.status != 200 {
        let retry_after = head.header("retry-after");
        let retry_after = retry_after.and_then(|v| v.parse().ok());
        let end = AttemptEnd::Status(head.status);
        return (end, retry_after.map(Duration::from_secs_f64));
    }
    check_head(id, &head, reading);
    let end = match wish.kind {
        RequestKind::Stream => {
            read_stream(wish, &head, connection, reading).await
        }
        _ => read_plain(wish, &head, connection, reading).await,
    };
    if end == AttemptEnd::Whole {
        reading.outcome.total_time = Some(reading.start.elapsed());
    }
    (end, None)
}

fn check_head(id: &str, head: &AnswerHead, reading: &mut Reading) {
    let signed = find(&head.headers, "x-response-signature");
    if signed != Some(signature(id).as_str()) {
        let text = format!("{id}: signature {signed:?}");
        reading.outcome.violations.push(text);
    }
}

async fn read_plain(
    wish: &RequestSpec,
    head: &AnswerHead,
    connection: &mut Outbound,
    reading: &mut Reading,
) -> AttemptEnd {
    let method =
        if wish.kind == RequestKind::Idempotent { "GET" } else { "POST" };
    let Ok(body) = connection.read_body(head.body(method), 1 << 20).await
    else {
        return AttemptEnd::Cut;
    };
    reading.outcome.time_to_first = Some(reading.start.elapsed());
    if body != wish.token.as_bytes() {
        let body = String::from_utf8_lossy(&body).into_owned();
        let text = format!("{}: answer {body:?}", wish.token);
        reading.outcome.violations.push(text);
    }
    AttemptEnd::Whole
}

async fn read_stream(
    wish: &RequestSpec,
    head: &AnswerHead,
    connection: &mut Outbound,
    reading: &mut Reading,
) -> AttemptEnd {
    let mut body = head.body("POST");
    let mut unread = Vec::new();
    loop {
        let part = connection.next_part(&mut body);
        let part = match within_gap(wish, part).await {
            None => return AttemptEnd::Left,
            Some(Err(_)) => return AttemptEnd::Cut,
            Some(Ok(part)) => part,
        };
        let Some(part) = part else {
            return check_whole(wish, &unread, reading);
        };
        unread.extend_from_slice(&part);
        take_events(wish, &mut unread, reading);
    }
}

fn take_events(
    wish: &RequestSpec,
    unread: &mut Vec<u8>,
    reading: &mut Reading,
) {
    let end = |bytes: &[u8]| bytes.windows(2).position(|w| w == b"\n\n");
    while let Some(at) = end(unread) {
        let event: Vec<u8> = unread.drain(..at + 2).collect();
        reading.events += 1;
        let expected = event_text(&wish.token, reading.events);
        if event != expected.as_bytes() {
            let event = String::from_utf8_lossy(&event).into_owned();
            let text = format!("event {event:?} in place of {expected:?}");
            reading.outcome.violations.push(text);
        }
        let now = Instant::now();
        match reading.outcome.time_to_first {
            None => {
                reading.outcome.time_to_first = Some(reading.start.elapsed())
            }
            Some(_) => {
                let gap = now - reading.last;
                let longest = &mut reading.outcome.max_gap;
                *longest = gap.max(*longest);
            }
        }
        reading.last = now;
    }
}

fn check_whole(
    wish: &RequestSpec,
    unread: &[u8],
    reading: &mut Reading,
) -> AttemptEnd {
    if reading.events != wish.events || !unread.is_empty() {
        let text = format!(
            "{}: ended as whole after {} of {} events",
            wish.token, reading.events, wish.events
        );
        reading.outcome.violations.push(text);
    }
    AttemptEnd::Whole
}

/// Bounds a wait for the next piece of a stream.
async fn within_gap<T>(
    wish: &RequestSpec,
    work: impl Future<Output = T>,
) -> Option<T> {
    let limit = match wish.kind {
        RequestKind::Stream => GAP,
        RequestKind::Idempotent | RequestKind::Once => wish.kind.deadline(),
    };
    let work = async { Some(work.await) };
    let limit = async {
        Timer::after(limit).await;
        None
    };
    work.or(limit).await
}
