//! The clock of an entry.
//!
//! The clock includes the time for which the VM was suspended. A monotonic
//! clock without that time would make a confirmation from before a suspension
//! look recent.

use rustix::time::{ClockId, clock_gettime};

/// Time of the boot of the VM on this clock. What another entry knows may be
/// older than this VM, and its time must not be cut to the boot.
const BOOT_MS: u64 = 1 << 40;

/// Milliseconds on the clock of this VM.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let since_boot_ms =
        now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000;
    BOOT_MS + since_boot_ms
}
