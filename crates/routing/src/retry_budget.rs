//! A budget of further attempts, so that a failure is not multiplied.
//!
//! A token bucket that requests fill and retries empty: each request adds
//! `percent` hundredths of an attempt, each retry takes a whole one. The
//! bucket starts with [`INITIAL_RETRIES`], so that a quiet entry outlives the
//! loss of a backend server that held a few requests; it holds at most
//! [`MAX_RETRIES`], so that a calm hour does not pay for a storm. Over
//! any run from the start, retries are at most
//! `INITIAL_RETRIES + requests * percent / 100`.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Attempts that are there at the start.
pub const INITIAL_RETRIES: u64 = 8;
/// Most attempts that the bucket holds.
pub const MAX_RETRIES: u64 = 100;

const CENTS_PER_ATTEMPT: u64 = 100;
const MAX_PERCENT: u32 = 100;

/// Token bucket of further attempts, shared by all threads.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    cents: AtomicU64,
}

impl RetryBudget {
    /// Allows `percent` further attempts for a hundred requests; more than
    /// 100 counts as 100.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            percent: u64::from(percent.min(MAX_PERCENT)),
            cents: AtomicU64::new(INITIAL_RETRIES * CENTS_PER_ATTEMPT),
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&self) {
        let limit = MAX_RETRIES * CENTS_PER_ATTEMPT;
        let add = |cents: u64| Some((cents + self.percent).min(limit));
        let _ = self.cents.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one further attempt, where there is one.
    pub fn try_take(&self) -> bool {
        let sub = |cents: u64| cents.checked_sub(CENTS_PER_ATTEMPT);
        self.cents.fetch_update(Relaxed, Relaxed, sub).is_ok()
    }

    /// Whole attempts that are left.
    pub fn remaining(&self) -> u64 {
        self.cents.load(Relaxed) / CENTS_PER_ATTEMPT
    }
}
