//! The platform's table service as a model: shared counters at its price.
//!
//! A request costs a read and a write before it is sent and a write when it
//! ends. Writes are taken one after another at the rate of the table; a
//! request waits for its turn. Counts are exact, whatever entry asks.

const READ_US: u64 = 2_000;
const WRITE_US: u64 = 4_000;
/// Several hundred writes a second.
const WRITES_PER_S: u64 = 500;
const WRITE_SLOT_US: u64 = 1_000_000 / WRITES_PER_S;

/// Rate limit and latency of the table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    free_at_us: u64,
}

impl Table {
    /// How long the count before a request takes.
    pub(crate) fn count_up_us(&mut self, now_us: u64) -> u64 {
        let wait_us = self.reserve_write(now_us);
        wait_us + READ_US + WRITE_US
    }

    /// Counts a request's end; nobody waits for it.
    pub(crate) fn count_down(&mut self, now_us: u64) {
        self.reserve_write(now_us);
    }

    fn reserve_write(&mut self, now_us: u64) -> u64 {
        let at_us = self.free_at_us.max(now_us);
        self.free_at_us = at_us + WRITE_SLOT_US;
        at_us - now_us
    }
}
