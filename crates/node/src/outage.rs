//! Outages of the platform's services: events and backoff between polls.

use std::time::{Duration, Instant};

use chestnutreach_telemetry::{Event, emit};

/// Maximum interval between polls during an outage. The end of an outage is
/// detected at most this much later.
const MAX_BACKOFF_MS: u64 = 5_000;
/// The first backoff is the poll interval divided by this number, since most
/// failures are short.
const FIRST_BACKOFF_DIVISOR: u64 = 4;

/// Logs the start and the end of an outage of a service once each.
#[derive(Debug)]
pub(crate) struct Outage {
    store: &'static str,
    since: Option<Instant>,
}

impl Outage {
    pub(crate) fn new(store: &'static str) -> Outage {
        Outage { store, since: None }
    }

    pub(crate) fn record_failure(&mut self, error: &dyn std::fmt::Display) {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            emit(
                Event::StoreUnavailable,
                &[("store", &self.store), ("error", error)],
            );
        }
    }

    pub(crate) fn record_success(&mut self) {
        if let Some(since) = self.since.take() {
            emit(
                Event::StoreBack,
                &[
                    ("store", &self.store),
                    ("down_ms", &since.elapsed().as_millis()),
                ],
            );
        }
    }
}

/// Interval between polls, with exponential backoff after failures.
#[derive(Debug)]
pub(crate) struct PollInterval {
    poll_ms: u64,
    failures: u32,
}

impl PollInterval {
    /// Creates an interval of `poll_ms` while polls succeed.
    pub(crate) fn new(poll_ms: u64) -> PollInterval {
        PollInterval { poll_ms, failures: 0 }
    }

    /// Returns the wait after a poll: a random time between half of the
    /// interval and the whole interval, so that many processes do not poll at
    /// the same time.
    pub(crate) fn next(&mut self, has_succeeded: bool) -> Duration {
        if has_succeeded {
            self.failures = 0;
            return with_jitter(self.poll_ms);
        }
        let first_ms = (self.poll_ms / FIRST_BACKOFF_DIVISOR).max(1);
        let doubled_ms = first_ms << self.failures.min(u64::BITS / 4);
        self.failures = self.failures.saturating_add(1);
        with_jitter(doubled_ms.min(self.poll_ms.max(MAX_BACKOFF_MS)))
    }
}

fn with_jitter(interval_ms: u64) -> Duration {
    Duration::from_millis(fastrand::u64(interval_ms / 2..=interval_ms))
}
