//! Planned stop: accepts no new work and waits for the work in progress.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_telemetry::{Event, emit};

/// Interval at which the remaining work is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long no work may remain before the process exits, so that frames which
/// were in transit when the stop began still get a response.
const IDLE_PERIOD: Duration = Duration::from_millis(300);
/// Longest time between aborting the requests and the exit of the process, in
/// which their senders are informed.
const ABORT_GRACE: Duration = Duration::from_millis(1_000);

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainOutcome {
    /// Every request in progress finished.
    Completed,
    /// Requests were still in progress at the time limit and were aborted.
    Aborted,
}

/// A planned stop in progress and its time limit.
pub(crate) struct Drain {
    started: Instant,
    limit_ms: u64,
}

impl Drain {
    /// Starts the time limit of a stop.
    pub(crate) fn start(limit_ms: u64) -> Drain {
        Drain { started: Instant::now(), limit_ms }
    }

    /// Waits until no work remains and calls `abort` at the time limit.
    pub(crate) async fn finish(
        &self,
        remaining: impl Fn() -> usize,
        abort: impl FnOnce(),
    ) -> DrainOutcome {
        let limit = Duration::from_millis(self.limit_ms);
        if wait_until_idle(self.started + limit, &remaining).await {
            let elapsed_ms = self.started.elapsed().as_millis();
            emit(Event::DrainEnded, &[("elapsed_ms", &elapsed_ms)]);
            return DrainOutcome::Completed;
        }
        emit(
            Event::DrainCut,
            &[("in_flight", &remaining()), ("limit_ms", &self.limit_ms)],
        );
        abort();
        wait_until_idle(Instant::now() + ABORT_GRACE, &remaining).await;
        DrainOutcome::Aborted
    }
}

/// Waits until no work has remained for [`IDLE_PERIOD`] and returns true, or
/// returns false if work remains at `until`. An idle period that is running at
/// `until` is still waited for.
async fn wait_until_idle(
    until: Instant,
    remaining: impl Fn() -> usize,
) -> bool {
    let mut idle_since = None;
    loop {
        if remaining() > 0 {
            idle_since = None;
            if Instant::now() >= until {
                return false;
            }
        } else {
            let since: Instant = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= IDLE_PERIOD {
                return true;
            }
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
