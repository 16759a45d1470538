//! Rates over a short sliding window.
//!
//! The load on engines and on the interconnect is not observable until
//! requests queue. Each entry therefore measures the load of its own requests
//! and reports it to its peers.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

/// Length of the sliding window.
const WINDOW_MS: u64 = 1_000;

/// Amounts recorded within the window, with their times.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    amounts: Mutex<VecDeque<(u64, f64)>>,
}

impl Rate {
    pub(crate) fn record(&self, amount: f64, now_ms: u64) {
        if amount > 0.0 {
            self.recent(now_ms).push_back((now_ms, amount));
        }
    }

    pub(crate) fn per_s(&self, now_ms: u64) -> f64 {
        let sum: f64 = self.recent(now_ms).iter().map(|a| a.1).sum();
        sum * 1e3 / WINDOW_MS as f64
    }

    fn recent(&self, now_ms: u64) -> MutexGuard<'_, VecDeque<(u64, f64)>> {
        let mut amounts = self.amounts.lock().expect("no holder panics");
        while amounts.front().is_some_and(|a| a.0 + WINDOW_MS < now_ms) {
            amounts.pop_front();
        }
        amounts
    }
}
