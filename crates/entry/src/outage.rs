//! How long the platform's table service has been failing.
//!
//! The suggested retry delay grows with the age of the outage, within limits:
//! a short outage is over soon, and during a long one callers should not all
//! retry every second.

use std::sync::atomic::{AtomicU64, Ordering};

use chestnutreach_node::Clock;

const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 30_000;
const NO_OUTAGE: u64 = 0;

/// The current outage of the table service, if any.
#[derive(Debug)]
pub(crate) struct Outage {
    clock: Clock,
    since_ms: AtomicU64,
}

impl Outage {
    pub(crate) fn new(clock: Clock) -> Outage {
        Outage { clock, since_ms: AtomicU64::new(NO_OUTAGE) }
    }

    /// Ends the outage: a call succeeded.
    pub(crate) fn record_success(&self) {
        self.since_ms.store(NO_OUTAGE, Ordering::Release);
    }

    /// Begins or continues the outage and returns the delay in milliseconds
    /// after which the caller should retry. The delay has random jitter.
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
