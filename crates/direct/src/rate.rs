//! Amounts a second, over the last moment.
//!
//! How full engines and what joins data centres are shows nowhere before
//! requests wait, so each entry counts what its own requests bring and tells
//! the others.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

/// Time over which amounts are counted.
const WINDOW_MS: u64 = 1_000;

/// Amounts of late.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    amounts: Mutex<VecDeque<(u64, f64)>>,
}

impl Rate {
    pub(crate) fn record(&self, amount: f64, now_ms: u64) {
        if amount > 0.0 {
            self.fresh(now_ms).push_back((now_ms, amount));
        }
    }

    pub(crate) fn per_s(&self, now_ms: u64) -> f64 {
        let sum: f64 = self.fresh(now_ms).iter().map(|a| a.1).sum();
        sum * 1e3 / WINDOW_MS as f64
    }

    fn fresh(&self, now_ms: u64) -> MutexGuard<'_, VecDeque<(u64, f64)>> {
        let mut amounts = self.amounts.lock().expect("no holder panics");
        while amounts.front().is_some_and(|a| a.0 + WINDOW_MS < now_ms) {
            amounts.pop_front();
        }
        amounts
    }
}
