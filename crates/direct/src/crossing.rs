//! What requests send between data centres.
//!
//! All engines share what joins data centres. How full it is shows nowhere
//! before requests wait for it, so each entry counts what its own requests
//! send and tells the others.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

/// Time over which bytes are counted.
const WINDOW_MS: u64 = 1_500;

/// Bytes that an entry's requests sent of late.
#[derive(Debug, Default)]
pub(crate) struct CrossingCount {
    sent: Mutex<VecDeque<(u64, f64)>>,
}

impl CrossingCount {
    pub(crate) fn note(&self, bytes: f64, now_ms: u64) {
        if bytes > 0.0 {
            self.fresh(now_ms).push_back((now_ms, bytes));
        }
    }

    pub(crate) fn bytes_per_s(&self, now_ms: u64) -> f64 {
        let bytes: f64 = self.fresh(now_ms).iter().map(|sent| sent.1).sum();
        bytes * 1e3 / WINDOW_MS as f64
    }

    fn fresh(&self, now_ms: u64) -> MutexGuard<'_, VecDeque<(u64, f64)>> {
        let mut sent = self.sent.lock().expect("no holder panics");
        while sent.front().is_some_and(|s| s.0 + WINDOW_MS < now_ms) {
            sent.pop_front();
        }
        sent
    }
}
