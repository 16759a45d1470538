//! What an entry may send between data centres.
//!
//! Entries tell each other what they send there, but only some time later:
//! where a data centre lacks layers, all its entries begin to cross at once,
//! and each sees a join that is hardly used. So each entry also has a part of
//! the join of its own, which it can't go beyond: an even one among those
//! that cross, as far as they have told, and never more than a few times an
//! even one among all.

/// Share of the join that requests may use: above it whatever crosses waits,
/// and holds memory in all data centres meanwhile.
pub const MAX_UTILISATION: f64 = 0.6;
/// Most of an entry's part, as a multiple of an even one among all entries:
/// what it sends before it hears that others cross as well.
const PARTS: f64 = 3.0;
/// Time for which an unused part adds up, in milliseconds.
const ADDS_UP_MS: f64 = 500.0;

/// What joins data centres, and between how many it is shared.
#[derive(Clone, Copy, Debug)]
pub struct InterconnectLimits {
    /// Rate of the join, in bytes a second.
    pub bytes_per_s: f64,
    /// Entries that may use it.
    pub entries: usize,
    /// Those that have told of late that they do, with this one.
    pub active_entries: usize,
}

impl InterconnectLimits {
    /// An entry's part, in bytes a millisecond.
    fn part_per_ms(&self) -> f64 {
        let fewest = self.entries as f64 / PARTS;
        let sharers = fewest.max(self.active_entries as f64).max(1.0);
        MAX_UTILISATION * self.bytes_per_s / sharers / 1e3
    }
}

/// What one entry has left of its part.
#[derive(Clone, Copy, Debug, Default)]
pub struct InterconnectQuota {
    /// Bytes; below zero after a request that was larger than what was left.
    left: f64,
    at_ms: Option<u64>,
}

impl InterconnectQuota {
    /// A part of which nothing was used.
    pub fn new() -> InterconnectQuota {
        InterconnectQuota::default()
    }

    /// Whether a further request may cross.
    pub fn has_remaining(
        &mut self,
        bounds: &InterconnectLimits,
        now_ms: u64,
    ) -> bool {
        self.refill(bounds, now_ms);
        self.left > 0.0
    }

    /// Counts what a request sends.
    pub fn consume(
        &mut self,
        bounds: &InterconnectLimits,
        bytes: f64,
        now_ms: u64,
    ) {
        self.refill(bounds, now_ms);
        self.left -= bytes;
    }

    fn refill(&mut self, bounds: &InterconnectLimits, now_ms: u64) {
        let per_ms = bounds.part_per_ms();
        let most = per_ms * ADDS_UP_MS;
        let Some(at_ms) = self.at_ms.replace(now_ms) else {
            self.left = most;
            return;
        };
        let added = per_ms * now_ms.saturating_sub(at_ms) as f64;
        self.left = (self.left + added).min(most);
    }
}
