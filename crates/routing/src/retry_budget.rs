//! A budget of retries that keeps a failure from multiplying the load.
//!
//! The budget is a token bucket that requests fill and retries empty: each
//! request adds `percent` hundredths of a retry, each retry takes 100
//! hundredths. The bucket starts with [`INITIAL_RETRIES`], so that an entry
//! with little traffic can retry the few requests lost with a backend server.
//! It holds at most [`MAX_RETRIES`], so that a quiet hour does not pay for a
//! retry storm. Over any run from the start, retries are at most
//! `INITIAL_RETRIES + requests * percent / 100`.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Retries in the bucket at the start.
pub const INITIAL_RETRIES: u64 = 8;
/// Limit on retries in the bucket.
pub const MAX_RETRIES: u64 = 100;

const CENTS_PER_RETRY: u64 = 100;
const MAX_PERCENT: u32 = 100;

/// Token bucket of retries, shared by all threads.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    cents: AtomicU64,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred requests; more than 100 counts as
    /// 100.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            percent: u64::from(percent.min(MAX_PERCENT)),
            cents: AtomicU64::new(INITIAL_RETRIES * CENTS_PER_RETRY),
        }
    }

    /// Records a first attempt.
    pub fn record_request(&self) {
        let limit = MAX_RETRIES * CENTS_PER_RETRY;
        let add = |cents: u64| Some((cents + self.percent).min(limit));
        let _ = self.cents.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a retry from the bucket; false if there is none.
    pub fn try_take(&self) -> bool {
        let sub = |cents: u64| cents.checked_sub(CENTS_PER_RETRY);
        self.cents.fetch_update(Relaxed, Relaxed, sub).is_ok()
    }

    /// Number of whole retries left.
    pub fn remaining(&self) -> u64 {
        self.cents.load(Relaxed) / CENTS_PER_RETRY
    }
}
