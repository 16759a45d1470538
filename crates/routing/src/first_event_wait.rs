//! Detects a stream whose first event takes longer than its queue explains.
//!
//! An engine may run a request and lose its response without any sign. Such a
//! request differs from one that waits in a queue: requests sent later have
//! begun meanwhile, and at most one of the recent requests waited nearly as
//! long. Under overload all requests wait long, and none is overdue.

use std::collections::VecDeque;

/// Number of recent first events that are kept.
const WINDOW_LEN: usize = 8;
/// Minimum number of later requests that must have begun.
const MIN_OVERTAKING: usize = 2;
/// Multiple of the second longest recent wait. The longest one is ignored,
/// because a single request may have been rerouted around a failure.
const OVERDUE_FACTOR: u64 = 3;
const SECOND_LONGEST: usize = WINDOW_LEN - 2;

/// Waits for the first event of recent requests of a service.
#[derive(Clone, Debug, Default)]
pub struct FirstEventWaits {
    /// Send time and wait of each request.
    recent: VecDeque<(u64, u64)>,
}

impl FirstEventWaits {
    /// Starts without recorded waits.
    pub fn new() -> FirstEventWaits {
        FirstEventWaits::default()
    }

    /// Records that a request sent at `sent_ms` has received its first event.
    pub fn record(&mut self, sent_ms: u64, now_ms: u64) {
        if self.recent.len() == WINDOW_LEN {
            self.recent.pop_front();
        }
        self.recent.push_back((sent_ms, now_ms.saturating_sub(sent_ms)));
    }

    /// Median wait of recent requests after they were sent, if any.
    pub fn median_ms(&self) -> Option<u64> {
        let mut waits: Vec<u64> =
            self.recent.iter().map(|wait| wait.1).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// Whether a request that was sent at `sent_ms` and has no event yet is
    /// unlikely to get an event. No request is overdue before `min_wait_ms`.
    pub fn is_overdue(
        &self,
        sent_ms: u64,
        min_wait_ms: u64,
        now_ms: u64,
    ) -> bool {
        let waited_ms = now_ms.saturating_sub(sent_ms);
        let mut waits: Vec<u64> =
            self.recent.iter().map(|wait| wait.1).collect();
        waits.sort_unstable();
        let overtaking =
            self.recent.iter().filter(|recent| recent.0 > sent_ms).count();
        self.recent.len() == WINDOW_LEN
            && overtaking >= MIN_OVERTAKING
            && waited_ms >= min_wait_ms
            && waited_ms >= OVERDUE_FACTOR * waits[SECOND_LONGEST]
    }
}
