//! Requests that come until the process of a stopping entry is gone, for
//! graces of different lengths.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_emulator::{
    backend_servers::Observations,
    caller::{Attempt, AttemptEnd, Outcome, RequestKind, RequestSpec},
    running::RunningSite,
    site::Site,
    store::StoreFault,
};
use chestnutreach_http::relay::Outbound;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::{executor, send_at_rate, wait_until, with_site};

/// Requests per second, of three kinds in turn.
const PER_S: f64 = 24.0;
/// Time before the stop.
const WARM_UP: Duration = Duration::from_secs(4);
/// Callers that keep their connection.
const KEPT_CONNECTIONS: usize = 4;
/// Interval between two signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);
/// How long a kept connection waits for an answer.
const KEPT_TIMEOUT: Duration = Duration::from_secs(20);

/// A stop, and what the requests take.
struct StopCase {
    grace_s: u64,
    plain_ms: u64,
    events: u64,
    /// Whether the store answers nothing during the stop.
    is_store_silent: bool,
    /// Signals, 300 ms apart.
    signals: u32,
}

impl StopCase {
    fn new(grace_s: u64, plain_ms: u64, events: u64) -> StopCase {
        StopCase {
            grace_s,
            plain_ms,
            events,
            is_store_silent: false,
            signals: 1,
        }
    }
}

impl StopCase {
    fn site(&self) -> Site {
        Site {
            plain_servers: 4,
            plain_ms: self.plain_ms,
            plain_timeout_ms: 12_000,
            // No attempt is abandoned for its duration.
            plain_target_ms: 20_000,
            events: self.events,
            grace_s: self.grace_s,
            // The keys stay fresh while the store is silent.
            revoke_ms: 60_000,
            ..Site::small()
        }
    }

    fn request(&self, number: usize) -> (RequestSpec, usize) {
        let kinds =
            [RequestKind::Stream, RequestKind::Idempotent, RequestKind::Once];
        let kind = kinds[number % kinds.len()];
        let token = format!("g{number}");
        let deadline = Duration::from_secs(12);
        let spec = RequestSpec::new(kind, &token, self.events);
        (RequestSpec { deadline, ..spec }, 0)
    }
}

/// What callers of a stopping entry saw.
#[derive(Debug, Default)]
struct Seen {
    /// Requests that ran and whose connection ended without an answer.
    cut: Vec<String>,
    /// Requests that were sent after the stop began, ran, and got no answer
    /// or one that leaves the outcome open.
    in_doubt: Vec<String>,
    /// Requests that were sent after the stop began and not served elsewhere.
    unserved: Vec<String>,
    violations: Vec<String>,
    answers: BTreeMap<String, usize>,
}

impl Seen {
    fn record(&mut self, outcome: &Outcome, stopped_at: Instant) {
        self.violations.extend(outcome.violations.clone());
        let first = &outcome.attempts[0];
        let name = format!("{} {:?}", outcome.kind.name(), first.end);
        *self.answers.entry(name).or_default() += 1;
        let after = first.sent_at.checked_duration_since(stopped_at);
        let after = after.map(|after| after.as_millis());
        let text = || format!("{} {:?} {after:?}", first.id, first.end);
        if first.end == AttemptEnd::Cut && outcome.time_to_first.is_none() {
            self.cut.push(text());
        }
        let is_open = matches!(
            first.end,
            AttemptEnd::Cut | AttemptEnd::Left | AttemptEnd::Status(502 | 504)
        );
        if is_open && after.is_some() {
            self.in_doubt.push(text());
        }
        // Those that came before may need more time than the grace leaves.
        if !outcome.is_served() && after.is_some() {
            let second = outcome.attempts.get(1).map(|a: &Attempt| &a.end);
            self.unserved.push(format!("{} then {second:?}", text()));
        }
    }
}

/// Requests of a caller that keeps its connection, one after another, until
/// the entry closes it. Returns the id of a request without an answer.
async fn use_kept_connection(
    entry: SocketAddr,
    caller: usize,
) -> Option<String> {
    let connect = Outbound::connect(entry, Duration::from_secs(1));
    let mut connection = connect.await.ok()?;
    for number in 0.. {
        let id = format!("{caller:04x}{number:012x}");
        let bytes = format!(
            "GET /lookup/k HTTP/1.1\r\nHost: desk.example\r\n\
             X-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
             Authorization: Bearer key-one\r\n\r\n"
        );
        if connection.send(bytes.as_bytes()).await.is_err() {
            return Some(id);
        }
        let answer = async {
            let head = connection.read_head().await.ok()?;
            let body = head.body("GET");
            connection.read_body(body, 1 << 16).await.ok()?;
            Some(head.header("connection") == Some("close"))
        };
        let limit = async {
            Timer::after(KEPT_TIMEOUT).await;
            None
        };
        match futures_lite::future::or(answer, limit).await {
            Some(false) => {}
            Some(true) => return None,
            None => return Some(id),
        }
    }
    None
}

fn has_run(observed: &Observations, id: &str) -> bool {
    observed.run_counts.contains_key(id)
}

async fn play(running: &RunningSite, case: &StopCase) -> Seen {
    let start = Instant::now();
    let stop = async {
        Timer::after(WARM_UP).await;
        if case.is_store_silent {
            running.store.set_fault(StoreFault::Silent);
        }
        let stopped_at = Instant::now();
        for _ in 0..case.signals {
            running.signal(0, Signal::TERM);
            Timer::after(SIGNAL_INTERVAL).await;
        }
        wait_until("the entry exits", async || running.exit_code(0).is_some())
            .await;
        (stopped_at, running.exit_code(0))
    };
    let period = WARM_UP + Duration::from_secs(case.grace_s);
    let load = send_at_rate(running, PER_S, period, |n| case.request(n));
    let entry = running.addresses[0];
    let callers = (0..KEPT_CONNECTIONS)
        .map(|caller| executor().spawn(use_kept_connection(entry, caller)));
    let callers: Vec<_> = callers.collect();
    let kept = async {
        let mut unanswered = Vec::new();
        for caller in callers {
            unanswered.extend(caller.await);
        }
        unanswered
    };
    let load = futures_lite::future::zip(load, kept);
    let ((outcomes, kept), (stopped_at, exit)) =
        futures_lite::future::zip(load, stop).await;
    let mut seen = Seen::default();
    outcomes.iter().for_each(|outcome| seen.record(outcome, stopped_at));
    let observed = running.backends.observations();
    seen.cut.retain(|text| has_run(&observed, &text[..16]));
    seen.in_doubt.retain(|text| has_run(&observed, &text[..16]));
    seen.cut.extend(kept.into_iter().filter(|id| has_run(&observed, id)));
    let elapsed = start.elapsed();
    println!("{seen:?}, exit {exit:?} after {elapsed:?}");
    seen
}

#[rstest]
#[case::short_requests(StopCase::new(5, 20, 30))]
#[case::long_requests(StopCase::new(5, 3_000, 200))]
#[case::longer_requests(StopCase::new(8, 6_500, 300))]
#[case::short_grace(StopCase::new(3, 900, 60))]
#[case::long_requests_in_a_short_grace(StopCase::new(3, 3_000, 200))]
#[case::very_short_grace(StopCase::new(2, 20, 30))]
#[case::one_second(StopCase::new(1, 20, 30))]
#[case::store_silent(StopCase {
    is_store_silent: true, ..StopCase::new(4, 900, 60)
})]
#[case::repeated_signals(StopCase { signals: 4, ..StopCase::new(4, 900, 60) })]
fn a_stop_leaves_no_request_without_an_answer(#[case] case: StopCase) {
    with_site(&case.site(), async |running| {
        let seen = play(running, &case).await;
        assert!(seen.violations.is_empty(), "{seen:?}");
        assert!(seen.cut.is_empty(), "{seen:?}");
        assert!(seen.in_doubt.is_empty(), "{seen:?}");
        assert!(seen.unserved.is_empty(), "{seen:?}");
    });
}
