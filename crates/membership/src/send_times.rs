//! When the messages of other entries were sent.
//!
//! A message may wait in a socket while the receiver stands still, or on a full
//! link, and then tells of an old state. The clocks of two VMs agree in nothing
//! but their rate. The message of a process that took the shortest time shows
//! the offset between the two clocks, and any other is as old as it arrived
//! later than that one. Where all messages of a process waited, this shows
//! nothing: a process therefore also sends messages to itself, which wait in
//! its socket as long as the others.

use std::collections::BTreeMap;

/// Time after which an offset is measured anew, because clocks drift.
const EPOCH_MS: u64 = 600_000;

/// Offsets between the clocks of other processes and that of this one.
#[derive(Clone, Debug, Default)]
pub struct SendTimes {
    offsets: BTreeMap<u64, ClockOffset>,
    /// How long the last message of this process to itself took.
    own_delay_ms: u64,
}

/// Least time on this clock minus that on the other, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    epoch_began_ms: u64,
    least_ms: i64,
    /// The same in the epoch before, if there was one.
    previous_ms: Option<i64>,
}

impl ClockOffset {
    fn least_ms(&self) -> i64 {
        let previous_ms = self.previous_ms.unwrap_or(self.least_ms);
        self.least_ms.min(previous_ms)
    }

    fn record(&mut self, offset_ms: i64, now_ms: u64) {
        if now_ms.saturating_sub(self.epoch_began_ms) >= EPOCH_MS {
            *self = ClockOffset {
                epoch_began_ms: now_ms,
                least_ms: offset_ms,
                previous_ms: Some(self.least_ms),
            };
        }
        self.least_ms = self.least_ms.min(offset_ms);
    }

    fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.epoch_began_ms) >= 2 * EPOCH_MS
    }
}

impl SendTimes {
    /// Starts without messages.
    pub fn new() -> SendTimes {
        SendTimes::default()
    }

    /// Records a message of this process to itself.
    pub fn record_own(&mut self, sent_ms: u64, now_ms: u64) {
        self.own_delay_ms = now_ms.saturating_sub(sent_ms);
    }

    /// When a message of a process was sent, on this clock. `stated_ms` is the
    /// time on the clock of the sender; 0 if it states none.
    pub fn sent_ms(
        &mut self,
        boot_id: u64,
        stated_ms: u64,
        now_ms: u64,
    ) -> u64 {
        if stated_ms == 0 {
            return now_ms.saturating_sub(self.own_delay_ms);
        }
        let offset_ms = now_ms.wrapping_sub(stated_ms).cast_signed();
        let first = ClockOffset {
            epoch_began_ms: now_ms,
            least_ms: offset_ms,
            previous_ms: None,
        };
        if !self.offsets.contains_key(&boot_id) {
            self.offsets.retain(|_, offset| !offset.is_outdated(now_ms));
        }
        let offset = self.offsets.entry(boot_id).or_insert(first);
        offset.record(offset_ms, now_ms);
        let latest_ms = now_ms.saturating_sub(self.own_delay_ms);
        stated_ms.wrapping_add_signed(offset.least_ms()).min(latest_ms)
    }
}
