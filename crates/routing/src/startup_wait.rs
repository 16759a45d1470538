//! How long a request that comes before the first configuration waits for it.
//!
//! The load that it answers: all entries start together, and the clients of
//! all streams that were cut come back at once. A small entry takes a third of
//! a second to read a large configuration; refusing these clients before
//! would send them away, and them all back at the same time. Where the store
//! does not answer, waiting gains nothing.

/// Time after the start of an entry from which on the read has failed, though
/// nothing says so.
const LONGEST_MS: u64 = 1_000;
/// Share of the client's time that it waits, so that as much is left for
/// another entry.
const CLIENT_SHARE: u64 = 2;

/// What an entry without a configuration knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartupWait {
    /// Time since the entry started.
    pub uptime_ms: u64,
    /// Whether the store has failed to answer.
    pub is_store_unavailable: bool,
    /// Time that the client still waits.
    pub client_remaining_ms: u64,
}

impl StartupWait {
    /// How long the request waits, in milliseconds; none if it is to be
    /// refused at once.
    pub fn max_wait_ms(&self) -> Option<u64> {
        if self.is_store_unavailable {
            return None;
        }
        let left_ms = LONGEST_MS.saturating_sub(self.uptime_ms);
        let wait_ms = left_ms.min(self.client_remaining_ms / CLIENT_SHARE);
        (wait_ms > 0).then_some(wait_ms)
    }
}
