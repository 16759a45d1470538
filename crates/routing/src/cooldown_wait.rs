//! What a request does where all servers that could take it are at rest.
//!
//! A server that turned a request away may say for how long it wants nothing
//! of this entry. Where another server takes the request nothing is decided
//! here. Where all are at rest, a request waits only if the first of them is
//! surely ready within the time that it may wait; else it is refused at once,
//! and its client told when that is. What came back together would be turned
//! away together, so that time is spread.

/// Longest spread of the time to come back, in milliseconds.
const MOST_SPREAD_MS: u64 = 1_000;
/// Share of that time over which clients are spread.
const SPREAD_SHARE: f64 = 0.5;

/// What a request does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CooldownWait {
    /// It waits: a server is ready in time.
    Wait,
    /// It is refused; its client is to come back after so many milliseconds.
    Refuse(u64),
}

/// Decides by the time until the first server is ready, and the time that the
/// request may wait, in milliseconds.
pub fn cooldown_wait(
    ready_in_ms: u64,
    may_wait_ms: u64,
    rng: &mut fastrand::Rng,
) -> CooldownWait {
    if ready_in_ms <= may_wait_ms {
        return CooldownWait::Wait;
    }
    let spread_ms = (SPREAD_SHARE * ready_in_ms as f64) as u64;
    let spread_ms = rng.u64(0..=spread_ms.min(MOST_SPREAD_MS));
    CooldownWait::Refuse(ready_in_ms + spread_ms)
}
