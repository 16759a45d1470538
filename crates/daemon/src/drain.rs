//! A planned stop: no new work, then wait for what is in progress.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_telemetry::{Event, emit};

/// Time between two looks at what is left.
const LOOK: Duration = Duration::from_millis(20);
/// How long nothing must be left before the process ends: frames that were
/// on their way when the stop began are still answered.
const QUIET: Duration = Duration::from_millis(300);
/// How long a process that has cut its requests goes on, so that those who
/// sent them are told.
const TELL: Duration = Duration::from_millis(1_000);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stopped {
    /// Every request in progress came to its end.
    Whole,
    /// The bound passed with requests in progress.
    Cut,
}

/// A stop under way, with its bound.
pub(crate) struct Drain {
    started: Instant,
    limit_ms: u64,
}

impl Drain {
    /// A stop that begins now.
    pub(crate) fn start(limit_ms: u64) -> Drain {
        Drain { started: Instant::now(), limit_ms }
    }

    /// Waits until nothing is left; at the bound the rest is cut.
    pub(crate) async fn finish(
        &self,
        left: impl Fn() -> usize,
        cut: impl FnOnce(),
    ) -> Stopped {
        let limit = Duration::from_millis(self.limit_ms);
        if wait_until_quiet(self.started + limit, &left).await {
            let elapsed_ms = self.started.elapsed().as_millis();
            emit(Event::DrainEnded, &[("elapsed_ms", &elapsed_ms)]);
            return Stopped::Whole;
        }
        emit(
            Event::DrainCut,
            &[("in_flight", &left()), ("limit_ms", &self.limit_ms)],
        );
        cut();
        wait_until_quiet(Instant::now() + TELL, &left).await;
        Stopped::Cut
    }
}

/// Whether nothing was left for a while before the end of the time. With
/// nothing left at that end, the while is still waited for.
async fn wait_until_quiet(until: Instant, left: impl Fn() -> usize) -> bool {
    let mut idle_since = None;
    loop {
        if left() > 0 {
            idle_since = None;
            if Instant::now() >= until {
                return false;
            }
        } else {
            let since: Instant = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= QUIET {
                return true;
            }
        }
        Timer::after(LOOK).await;
    }
}
