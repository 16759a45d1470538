//! The clock of an entry.
//!
//! It counts the time that the VM was suspended: what was confirmed before a
//! suspension is older after it, which the usual steady clock would hide.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the VM started.
pub(crate) fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
