//! The clock of an entry.
//!
//! The clock includes the time for which the VM was suspended. A monotonic
//! clock without that time would make a confirmation from before a suspension
//! look recent.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the VM booted.
pub(crate) fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
