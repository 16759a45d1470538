//! Whether a caller has asked before, from the time that it still waits.
//!
//! A caller states how long it will wait for the answer. One that returns
//! after a refusal has less time left than at first, and can't be served
//! within its target any more. Callers do not all start with the same time, so
//! only one with clearly less than what is usual on the route counts. One with
//! less than half of it is of another sort: callers return after at most a
//! third of the time that they have left.

use std::collections::VecDeque;

/// Number of requests of a route that are remembered.
const REMEMBERED: usize = 64;
/// Share of the usual time by which callers differ at first.
const SPREAD: f64 = 0.2;
/// Share of the usual time that callers that have returned once waited at
/// most.
const MAX_WAITED_SHARE: f64 = 0.5;

/// Times that callers of a route stated recently.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    recent: VecDeque<u64>,
}

impl CallerAges {
    /// Records the time that a caller still waits. Returns whether the caller
    /// has been waiting for longer than the target.
    pub fn record(&mut self, remaining_ms: u64, target_ms: u64) -> bool {
        if self.recent.len() == REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(remaining_ms);
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        // The upper quartile: some of the recent callers have returned.
        let usual_ms = sorted[sorted.len() * 3 / 4];
        let waited_ms = usual_ms.saturating_sub(remaining_ms);
        let share = waited_ms as f64 / usual_ms.max(1) as f64;
        waited_ms > target_ms && share > SPREAD && share <= MAX_WAITED_SHARE
    }
}
