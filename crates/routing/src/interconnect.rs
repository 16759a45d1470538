//! Quota of an entry for the interconnect between data centres.
//!
//! Entries report to each other how much they send, with some delay. When a
//! data centre loses layers, all its entries start to use the interconnect at
//! once and each of them sees it as nearly idle. A token bucket therefore
//! limits each entry to its own quota: an equal share among the entries that
//! reported cross-data-centre traffic, and at most a few equal shares among
//! all entries.

/// Share of the bandwidth that requests may use. Above this, requests queue at
/// the interconnect and hold memory in all data centres meanwhile.
pub const MAX_UTILISATION: f64 = 0.6;
/// Limit on the quota of an entry before other entries report traffic, in
/// equal shares among all entries.
const MAX_EVEN_SHARES: f64 = 3.0;
/// Time for which unused quota accumulates.
const BURST_MS: f64 = 500.0;

/// Bandwidth of the interconnect and the entries that share it.
#[derive(Clone, Copy, Debug)]
pub struct InterconnectLimits {
    /// Bandwidth in bytes per second.
    pub bytes_per_s: f64,
    /// Entries that may use the interconnect.
    pub entries: usize,
    /// Entries that recently reported traffic, including this one.
    pub active_entries: usize,
}

impl InterconnectLimits {
    /// Quota of one entry, in bytes per millisecond.
    fn rate_per_ms(&self) -> f64 {
        let min_sharers = self.entries as f64 / MAX_EVEN_SHARES;
        let sharers = min_sharers.max(self.active_entries as f64).max(1.0);
        MAX_UTILISATION * self.bytes_per_s / sharers / 1e3
    }
}

/// Token bucket with the remaining quota of one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterconnectQuota {
    /// Negative after a request that was larger than the remaining quota.
    remaining_bytes: f64,
    updated_ms: Option<u64>,
}

impl InterconnectQuota {
    /// An unused quota.
    pub fn new() -> InterconnectQuota {
        InterconnectQuota::default()
    }

    /// Whether another request may use the interconnect.
    pub fn has_remaining(
        &mut self,
        limits: &InterconnectLimits,
        now_ms: u64,
    ) -> bool {
        self.refill(limits, now_ms);
        self.remaining_bytes > 0.0
    }

    /// Subtracts the bytes that a request sends.
    pub fn consume(
        &mut self,
        limits: &InterconnectLimits,
        bytes: f64,
        now_ms: u64,
    ) {
        self.refill(limits, now_ms);
        self.remaining_bytes -= bytes;
    }

    fn refill(&mut self, limits: &InterconnectLimits, now_ms: u64) {
        let per_ms = limits.rate_per_ms();
        let capacity = per_ms * BURST_MS;
        let Some(updated_ms) = self.updated_ms.replace(now_ms) else {
            self.remaining_bytes = capacity;
            return;
        };
        let refill = per_ms * now_ms.saturating_sub(updated_ms) as f64;
        self.remaining_bytes = (self.remaining_bytes + refill).min(capacity);
    }
}
