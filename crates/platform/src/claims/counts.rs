//! Counters of a claim store.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the store was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounts {
    /// Transactions sent, including repeats.
    pub transactions: u64,
    /// Claims and updates known to be written.
    pub written: u64,
    /// Transactions whose response was lost.
    pub lost_responses: u64,
    /// Claims withdrawn.
    pub withdrawn: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) transactions: AtomicU64,
    pub(super) written: AtomicU64,
    pub(super) lost_responses: AtomicU64,
    pub(super) withdrawn: AtomicU64,
}

impl Counters {
    pub(super) fn read(&self) -> ClaimCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ClaimCounts {
            transactions: load(&self.transactions),
            written: load(&self.written),
            lost_responses: load(&self.lost_responses),
            withdrawn: load(&self.withdrawn),
        }
    }
}

/// Adds one to a counter.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
