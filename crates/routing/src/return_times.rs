//! When a refused caller is to return.
//!
//! A caller that returns is late for its target and takes what requests within
//! their target leave. Those who are told the same time compete again. So each
//! refused caller is promised a part of the capacity that is left at a later
//! time, and the next one gets a later time. Where nothing will be left in the
//! time for which a caller waits, it is told to return at a random time of the
//! last quarter of that time: a peak may have ended by then.

use std::collections::VecDeque;

/// Length of a slot of promises.
const SLOT_MS: u64 = 250;
/// Earliest return: some requests have ended by then.
const MIN_RETURN_MS: u64 = 500;
/// Latest return. A caller states how long it waits, and the work of a promise
/// must not follow from a number that a caller sends.
const MAX_RETURN_MS: u64 = 60_000;
/// Fraction of the remaining time that callers wait at most before they
/// return.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Promises of one entry for a service.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    /// Number of the first slot.
    first_slot: u64,
    /// Tokens promised by slot.
    promised: VecDeque<f64>,
}

impl ReturnTimes {
    /// Time after which a caller is to return, in milliseconds.
    ///
    /// `spare_per_s` is this entry's part of the capacity that returning
    /// callers may use, in tokens per second.
    pub fn promise(
        &mut self,
        tokens: u64,
        remaining_ms: u64,
        spare_per_s: f64,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> u64 {
        let max_ms = (remaining_ms as f64 * MAX_WAIT_SHARE) as u64;
        let max_ms = max_ms.min(MAX_RETURN_MS);
        if max_ms <= MIN_RETURN_MS {
            return MIN_RETURN_MS;
        }
        self.remove_past(now_ms);
        let per_slot = spare_per_s * SLOT_MS as f64 / 1e3;
        let slot_at = |ms: u64| ((now_ms + ms) / SLOT_MS) - self.first_slot;
        let slots = slot_at(MIN_RETURN_MS)..slot_at(max_ms);
        for slot in slots {
            let slot = slot as usize;
            if self.promised.len() <= slot {
                self.promised.resize(slot + 1, 0.0);
            }
            if self.promised[slot] + tokens as f64 <= per_slot {
                self.promised[slot] += tokens as f64;
                let starts_ms = (self.first_slot + slot as u64) * SLOT_MS;
                let after_ms = starts_ms.saturating_sub(now_ms);
                let after_ms = after_ms + rng.u64(0..SLOT_MS);
                return after_ms.clamp(MIN_RETURN_MS, max_ms);
            }
        }
        rng.u64(max_ms * 3 / 4..=max_ms).max(MIN_RETURN_MS)
    }

    fn remove_past(&mut self, now_ms: u64) {
        let now_slot = now_ms / SLOT_MS;
        while self.first_slot < now_slot && !self.promised.is_empty() {
            self.promised.pop_front();
            self.first_slot += 1;
        }
        self.first_slot = now_slot;
    }
}
