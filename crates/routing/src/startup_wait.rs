//! How long a request waits for the first configuration of an entry.
//!
//! When all entries start together, the callers of all aborted streams
//! reconnect at once. A small entry takes a third of a second to read a large
//! configuration; if it refused these callers meanwhile, they would all retry
//! at the same time. While the store is unavailable, waiting gains nothing.

/// Uptime after which the read counts as failed even without an error.
const MAX_UPTIME_MS: u64 = 1_000;
/// Divisor of the caller's remaining time for which a request waits: one half,
/// so that as much is left for an attempt at another entry.
const CALLER_TIME_DIVISOR: u64 = 2;

/// State of an entry that has no configuration yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartupWait {
    /// Time since the entry started.
    pub uptime_ms: u64,
    /// Whether a read of the store has failed.
    pub is_store_unavailable: bool,
    /// Time for which the caller will still wait.
    pub caller_remaining_ms: u64,
}

impl StartupWait {
    /// How long the request may wait, in milliseconds, or `None` if it is to
    /// be refused at once.
    pub fn max_wait_ms(&self) -> Option<u64> {
        if self.is_store_unavailable {
            return None;
        }
        let until_max_ms = MAX_UPTIME_MS.saturating_sub(self.uptime_ms);
        let wait_ms =
            until_max_ms.min(self.caller_remaining_ms / CALLER_TIME_DIVISOR);
        (wait_ms > 0).then_some(wait_ms)
    }
}
