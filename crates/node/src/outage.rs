//! Outages of the platform's services: telling them, and waiting longer.

use std::time::{Duration, Instant};

use chestnutreach_telemetry::{Event, emit};

/// Longest wait between two tries during an outage; also how late its end
/// may be noticed.
const LONGEST_MS: u64 = 5_000;
/// First wait after a failure, as a part of the ordinary one: most failures
/// are over at once.
const FIRST_PART: u64 = 4;

/// Tells once that a service does not answer, and once that it does again.
#[derive(Debug)]
pub(crate) struct Outage {
    store: &'static str,
    since: Option<Instant>,
}

impl Outage {
    pub(crate) fn new(store: &'static str) -> Outage {
        Outage { store, since: None }
    }

    pub(crate) fn failed(&mut self, error: &dyn std::fmt::Display) {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            emit(
                Event::StoreUnavailable,
                &[("store", &self.store), ("error", error)],
            );
        }
    }

    pub(crate) fn worked(&mut self) {
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

/// How long to wait until the next look.
#[derive(Debug)]
pub(crate) struct Pause {
    poll_ms: u64,
    failures: u32,
}

impl Pause {
    /// Looks this often while all is well.
    pub(crate) fn new(poll_ms: u64) -> Pause {
        Pause { poll_ms, failures: 0 }
    }

    /// The wait after a look, spread over half to all of it, so that many
    /// processes do not look at the same moment.
    pub(crate) fn after(&mut self, has_worked: bool) -> Duration {
        if has_worked {
            self.failures = 0;
            return spread(self.poll_ms);
        }
        let first_ms = (self.poll_ms / FIRST_PART).max(1);
        let doubled_ms = first_ms << self.failures.min(u64::BITS / 4);
        self.failures = self.failures.saturating_add(1);
        spread(doubled_ms.min(self.poll_ms.max(LONGEST_MS)))
    }
}

fn spread(interval_ms: u64) -> Duration {
    Duration::from_millis(fastrand::u64(interval_ms / 2..=interval_ms))
}
