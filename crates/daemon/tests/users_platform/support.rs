//! Helpers that run tests on a simulated site.

use std::{
    path::Path,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;
use chestnutreach_emulator::{
    caller::{self, Outcome, RequestKind, RequestSpec},
    load::Load,
    report::Report,
    running::{RunningSite, start},
    site::Site,
    start_executor,
};
use serde_json::Value;

pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_chestnutreachd");

/// Returns the executor of the stand-ins: one thread for all tests of this
/// process.
pub(crate) fn executor() -> &'static Arc<Executor<'static>> {
    static EXECUTOR: OnceLock<Arc<Executor<'static>>> = OnceLock::new();
    EXECUTOR.get_or_init(|| start_executor().expect("the thread starts"))
}

/// Runs a test on a small site.
pub(crate) fn with_small_site<T>(
    test: impl AsyncFnOnce(&RunningSite) -> T,
) -> T {
    with_site(&Site::small(), test)
}

/// Runs a test on a site.
pub(crate) fn with_site<T>(
    site: &Site,
    test: impl AsyncFnOnce(&RunningSite) -> T,
) -> T {
    async_io::block_on(async {
        let started = start(executor(), Path::new(BINARY), site).await;
        let running = started.expect("the site starts");
        test(&running).await
    })
}

/// Sends one request to an entry.
pub(crate) async fn send_request(
    running: &RunningSite,
    entry: usize,
    wish: &RequestSpec,
) -> Outcome {
    let addresses = [running.addresses[entry]];
    caller::send_request(wish, &addresses, 0, Duration::ZERO).await
}

/// Sends requests at a steady rate without waiting for their responses, and
/// returns the outcomes in that order. `request` returns the request with a
/// number, and the entry of its first attempt; further attempts go to the next
/// entries.
pub(crate) async fn send_at_rate(
    running: &RunningSite,
    per_s: f64,
    period: Duration,
    request: impl Fn(usize) -> (RequestSpec, usize),
) -> Vec<Outcome> {
    let start = Instant::now();
    let count = (period.as_secs_f64() * per_s) as usize;
    let send = |number: usize| {
        let (spec, first_entry) = request(number);
        let entries = running.addresses.clone();
        let at = Duration::from_secs_f64(number as f64 / per_s);
        executor().spawn(async move {
            Timer::at(start + at).await;
            caller::send_request(&spec, &entries, first_entry, at).await
        })
    };
    let sent: Vec<_> = (0..count).map(send).collect();
    let mut outcomes = Vec::new();
    for outcome in sent {
        outcomes.push(outcome.await);
    }
    outcomes
}

/// Returns a load of streams at a steady rate.
pub(crate) fn stream_load(per_s: f64, duration: Duration) -> Load {
    Load {
        per_s: [(RequestKind::Stream, per_s)].into(),
        duration,
        events: Site::small().events,
        seed: 11,
    }
}

/// Runs streams while engines of the first stage exit one after another, each
/// during a stream.
pub(crate) async fn run_streams_while_first_engines_exit(
    running: &RunningSite,
    count: u64,
) -> Report {
    let load = stream_load(25.0, Duration::from_secs(3));
    let exits = async {
        for _ in 0..count {
            Timer::after(Duration::from_millis(400)).await;
            running
                .terminate_first_stage_engine(Duration::from_millis(300))
                .await;
        }
    };
    let played = running.run(&load, &[]);
    futures_lite::future::zip(played, exits).await.0
}

/// Fails with the report if an invariant was violated.
pub(crate) fn assert_no_violation(report: &Report) {
    let violations = report.violations();
    assert!(violations.is_empty(), "{}", report.to_text());
}

/// Fails with the report if an invariant was violated or a request was not
/// served.
pub(crate) fn assert_all_served(report: &Report) {
    assert_no_violation(report);
    let served = report.outcomes.iter().all(Outcome::is_served);
    assert!(served, "{}", report.to_text());
}

/// Like [`assert_all_served`], and prints the log lines of the requests that
/// were not served.
pub(crate) fn assert_all_served_or_log(
    running: &RunningSite,
    report: &Report,
) {
    let unserved = report.outcomes.iter().filter(|o| !o.is_served());
    let attempts = unserved.flat_map(|outcome| &outcome.attempts);
    let ids: Vec<&str> = attempts.map(|t| t.id.as_str()).collect();
    if ids.is_empty() {
        return assert_no_violation(report);
    }
    let logs = running.logs();
    let is_about = |line: &&str| ids.iter().any(|id| line.contains(id));
    let lines: Vec<&str> = logs.lines().filter(is_about).collect();
    panic!("{}\n{}", report.to_text(), lines.join("\n"));
}

/// A line of an entry's log.
pub(crate) struct LogLine {
    /// Time since the begin of the month.
    pub(crate) at_ms: u64,
    fields: Value,
}

impl LogLine {
    /// Name of the event.
    pub(crate) fn name(&self) -> &str {
        self.text("name")
    }

    /// Value of a field; empty if it is missing.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("")
    }

    /// Value of a field; `None` if it is missing or no integer.
    pub(crate) fn number(&self, field: &str) -> Option<u64> {
        self.text(field).parse().ok()
    }
}

/// Parses a log; lines that are not events are left out.
pub(crate) fn parse_log(log: &str) -> Vec<LogLine> {
    let parse = |line: &str| {
        let mut line: Value = serde_json::from_str(line).ok()?;
        let at_ms = time_of_month_ms(line["timestamp"].as_str()?)?;
        Some(LogLine { at_ms, fields: line["kvs"].take() })
    };
    log.lines().filter_map(parse).collect()
}

/// Milliseconds since the begin of the month, of a time stamp such as
/// `2026-01-18T03:03:18.633848+00:00`.
fn time_of_month_ms(stamp: &str) -> Option<u64> {
    let part = |from: usize, to: usize| stamp.get(from..to)?.parse().ok();
    let (days, hours): (u64, u64) = (part(8, 10)?, part(11, 13)?);
    let (minutes, seconds): (u64, u64) = (part(14, 16)?, part(17, 19)?);
    let millis: u64 = part(20, 23)?;
    let minutes = (days * 24 + hours) * 60 + minutes;
    Some((minutes * 60 + seconds) * 1_000 + millis)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let until = Instant::now() + Duration::from_secs(20);
    while !condition().await {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        Timer::after(Duration::from_millis(30)).await;
    }
}
