//! A small site and what tests do with it.

use std::{
    path::Path,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Outcome, RequestKind, RequestSpec, send_request},
    load::Load,
    report::Report,
    running::{RunningSite, start},
    site::Site,
    start_executor,
};

pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_chestnutreachd");

/// The stand-ins of all tests of this process run on one thread.
pub(crate) fn executor() -> &'static Arc<Executor<'static>> {
    static EXECUTOR: OnceLock<Arc<Executor<'static>>> = OnceLock::new();
    EXECUTOR.get_or_init(|| start_executor().expect("a thread is left"))
}

/// Plays on a small site.
pub(crate) fn on_site<T>(play: impl AsyncFnOnce(&RunningSite) -> T) -> T {
    on(&Site::small(), play)
}

/// Plays on a site.
pub(crate) fn on<T>(
    site: &Site,
    play: impl AsyncFnOnce(&RunningSite) -> T,
) -> T {
    async_io::block_on(async {
        let started = start(executor(), Path::new(BINARY), site).await;
        let running = started.expect("the site starts");
        play(&running).await
    })
}

/// Makes one request at an entry.
pub(crate) async fn one(
    running: &RunningSite,
    entry: usize,
    wish: &RequestSpec,
) -> Outcome {
    let own = [running.addresses[entry]];
    send_request(wish, &own, 0, Duration::ZERO).await
}

/// Streams at a steady rate.
pub(crate) fn streams(per_s: f64, duration: Duration) -> Load {
    Load {
        per_s: [(RequestKind::Stream, per_s)].into(),
        duration,
        events: Site::small().events,
        seed: 11,
    }
}

/// Plays streams while first engines end, one after another, each under a
/// stream.
pub(crate) async fn play_while_first_engines_end(
    running: &RunningSite,
    count: u64,
) -> Report {
    let load = streams(25.0, Duration::from_secs(3));
    let end = async {
        for _ in 0..count {
            Timer::after(Duration::from_millis(400)).await;
            running
                .terminate_first_stage_engine(Duration::from_millis(300))
                .await;
        }
    };
    let played = running.run(&load, &[]);
    futures_lite::future::zip(played, end).await.0
}

/// Fails with the report unless no promise was broken.
pub(crate) fn assert_kept(report: &Report) {
    let violations = report.violations();
    assert!(violations.is_empty(), "{}", report.to_text());
}

/// Fails with the report unless every request was served.
pub(crate) fn assert_all_served(report: &Report) {
    assert_kept(report);
    let served = report.outcomes.iter().all(Outcome::is_served);
    assert!(served, "{}", report.to_text());
}

/// The same, with what the entries told of requests that were not served.
pub(crate) fn assert_all_served_at(running: &RunningSite, report: &Report) {
    let unserved = report.outcomes.iter().filter(|o| !o.is_served());
    let attempts = unserved.flat_map(|outcome| &outcome.attempts);
    let ids: Vec<&str> = attempts.map(|t| t.id.as_str()).collect();
    if ids.is_empty() {
        return assert_kept(report);
    }
    let logs = running.logs();
    let is_told = |line: &&str| ids.iter().any(|id| line.contains(id));
    let told: Vec<&str> = logs.lines().filter(is_told).collect();
    panic!("{}\n{}", report.to_text(), told.join("\n"));
}

/// Waits until something is as wished.
pub(crate) async fn wait_until(
    what: &str,
    mut is_so: impl AsyncFnMut() -> bool,
) {
    let until = Instant::now() + Duration::from_secs(20);
    while !is_so().await {
        assert!(Instant::now() < until, "not in time: {what}");
        Timer::after(Duration::from_millis(30)).await;
    }
}
