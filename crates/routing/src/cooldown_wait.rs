//! Whether a request waits while all servers that could take it are in
//! cooldown.
//!
//! A server that refuses a request may request a cooldown, in which this entry
//! sends it no requests. This decision applies only if no other server takes
//! the request. The request waits if the first server leaves its cooldown
//! within the time for which the request may wait. Otherwise it is refused at
//! once, and the response states when to retry. Callers that retried together
//! would be refused together, so that time has jitter.

/// Upper limit of the jitter, in milliseconds.
const MAX_JITTER_MS: u64 = 1_000;
/// Jitter as a share of the time until a server leaves its cooldown.
const JITTER_SHARE: f64 = 0.5;

/// Decision for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CooldownWait {
    /// The request waits: a server leaves its cooldown soon enough.
    Wait,
    /// The request is refused; the caller may retry after this many
    /// milliseconds.
    Refuse(u64),
}

/// Decides by the time until the first server leaves its cooldown and the time
/// for which the request may wait, in milliseconds.
pub fn cooldown_wait(
    ready_in_ms: u64,
    may_wait_ms: u64,
    rng: &mut fastrand::Rng,
) -> CooldownWait {
    if ready_in_ms <= may_wait_ms {
        return CooldownWait::Wait;
    }
    let jitter_ms = (JITTER_SHARE * ready_in_ms as f64) as u64;
    let jitter_ms = rng.u64(0..=jitter_ms.min(MAX_JITTER_MS));
    CooldownWait::Refuse(ready_in_ms + jitter_ms)
}
