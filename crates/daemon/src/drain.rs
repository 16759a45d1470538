//! A planned stop: no new work, then wait for what is in progress.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_telemetry::{Event, emit};

/// Time between two looks at what is left.
const LOOK: Duration = Duration::from_millis(20);
/// How long nothing must be in flight before the process ends: frames that
/// were on their way when the stop began are still answered.
const QUIET: Duration = Duration::from_millis(300);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stopped {
    /// Every request in progress came to its end.
    Whole,
    /// The bound passed with requests in progress.
    Cut,
}

/// Waits until nothing is in flight, at most for the bound.
pub(crate) async fn wait_until_idle(
    limit_ms: u64,
    in_flight: impl Fn() -> usize,
) -> Stopped {
    let started = Instant::now();
    let limit = Duration::from_millis(limit_ms);
    let mut idle_since = None;
    loop {
        let left = in_flight();
        if left > 0 {
            idle_since = None;
        } else {
            let since: Instant = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= QUIET {
                break;
            }
        }
        if started.elapsed() >= limit && left > 0 {
            emit(
                Event::DrainCut,
                &[("in_flight", &left), ("limit_ms", &limit_ms)],
            );
            return Stopped::Cut;
        }
        Timer::after(LOOK).await;
    }
    let elapsed_ms = started.elapsed().as_millis();
    emit(Event::DrainEnded, &[("elapsed_ms", &elapsed_ms)]);
    Stopped::Whole
}
