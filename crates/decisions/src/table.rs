//! Model of shared counters in the platform's table service.
//!
//! A request costs a read and a write before it is sent, and a write when it
//! ends. Writes are serialised at the write rate of the table, and a request
//! waits for its write. All entries see exact counts.

const READ_US: u64 = 2_000;
const WRITE_US: u64 = 4_000;
/// The table service serves several hundred writes per second.
const WRITES_PER_S: u64 = 500;
const WRITE_SLOT_US: u64 = 1_000_000 / WRITES_PER_S;

/// Write rate and latency of the table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    free_at_us: u64,
}

impl Table {
    /// Time to read and increment the counters before a request.
    pub(crate) fn count_up_us(&mut self, now_us: u64) -> u64 {
        let wait_us = self.reserve_write(now_us);
        wait_us + READ_US + WRITE_US
    }

    /// Decrements the counters when a request ends, without waiting.
    pub(crate) fn count_down(&mut self, now_us: u64) {
        self.reserve_write(now_us);
    }

    fn reserve_write(&mut self, now_us: u64) -> u64 {
        let at_us = self.free_at_us.max(now_us);
        self.free_at_us = at_us + WRITE_SLOT_US;
        at_us - now_us
    }
}
