//! Whether a stream waits for its first event for longer than its queue
//! explains.
//!
//! An engine may run a request and lose its answer without a sign. What
//! tells it apart from one that waits its turn: later ones have begun
//! meanwhile, and none of the last ones but one waited nearly as long. Under
//! overload all wait long, and nobody is overdue.

use std::collections::VecDeque;

/// First events that are remembered.
const REMEMBERED: usize = 8;
/// Requests that must have overtaken.
const OVERTAKERS: usize = 2;
/// Multiple of a long one of the remembered waits, the second longest: one
/// alone may have been led around a failure.
const FACTOR: u64 = 3;
const LONG_ONE: usize = REMEMBERED - 2;

/// Waits of the requests of a service that began last.
#[derive(Clone, Debug, Default)]
pub struct FirstEventWaits {
    /// When each was sent, and how long it waited.
    last: VecDeque<(u64, u64)>,
}

impl FirstEventWaits {
    /// None yet.
    pub fn new() -> FirstEventWaits {
        FirstEventWaits::default()
    }

    /// A request that was sent then has its first event.
    pub fn record(&mut self, sent_ms: u64, now_ms: u64) {
        if self.last.len() == REMEMBERED {
            self.last.pop_front();
        }
        self.last.push_back((sent_ms, now_ms.saturating_sub(sent_ms)));
    }

    /// How long requests of late waited once they were sent, the middle one;
    /// none before any.
    pub fn median_ms(&self) -> Option<u64> {
        let mut waits: Vec<u64> = self.last.iter().map(|l| l.1).collect();
        waits.sort_unstable();
        waits.get(waits.len() / 2).copied()
    }

    /// Whether a request that was sent then and has no event yet will hardly
    /// get one. It is given `least_ms` in any case.
    pub fn is_overdue(
        &self,
        sent_ms: u64,
        least_ms: u64,
        now_ms: u64,
    ) -> bool {
        let waited_ms = now_ms.saturating_sub(sent_ms);
        let mut waits: Vec<u64> = self.last.iter().map(|l| l.1).collect();
        waits.sort_unstable();
        let later = self.last.iter().filter(|last| last.0 > sent_ms).count();
        self.last.len() == REMEMBERED
            && later >= OVERTAKERS
            && waited_ms >= least_ms
            && waited_ms >= FACTOR * waits[LONG_ONE]
    }
}
