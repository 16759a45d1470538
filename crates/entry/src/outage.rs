//! How long the platform's store has been failing.
//!
//! A caller is told to come back after about as long as the outage has
//! lasted already, within bounds: a short one is over soon, and a long one
//! should not be met by all callers every second.

use std::sync::atomic::{AtomicU64, Ordering};

use chestnutreach_node::Clock;

const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 30_000;
/// Stands for "no outage".
const NO_OUTAGE: u64 = 0;

/// The outage of a store, if there is one.
#[derive(Debug)]
pub(crate) struct Outage {
    clock: Clock,
    since_ms: AtomicU64,
}

impl Outage {
    pub(crate) fn new(clock: Clock) -> Outage {
        Outage { clock, since_ms: AtomicU64::new(NO_OUTAGE) }
    }

    /// A call worked.
    pub(crate) fn record_success(&self) {
        self.since_ms.store(NO_OUTAGE, Ordering::Release);
    }

    /// A call failed; when to come back, in milliseconds.
    pub(crate) fn record_failure(&self) -> u64 {
        let now_ms = self.clock.now_ms().max(NO_OUTAGE + 1);
        let since_ms = match self.since_ms.compare_exchange(
            NO_OUTAGE,
            now_ms,
            Ordering::AcqRel,
            Ordering::Acquire,
        ) {
            Ok(_) => now_ms,
            Err(since_ms) => since_ms,
        };
        let age_ms = now_ms.saturating_sub(since_ms);
        let base_ms = age_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        base_ms + fastrand::u64(0..=base_ms)
    }
}
