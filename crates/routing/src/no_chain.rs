//! Error of a chain choice, with the time after which to retry.

use std::fmt;

const MIN_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 30_000;
/// Longer than the minimum, because the fleet has to change first.
const NO_CANDIDATE_RETRY_MS: u64 = 1_000;

/// No chain was found for a request, and nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoChain {
    /// Why no chain was found.
    pub reason: NoChainReason,
    /// When to retry, with jitter so that callers do not retry together.
    pub retry_after_ms: u64,
}

/// Why no chain was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum NoChainReason {
    /// No available server has a layer range that begins at this layer.
    NoCandidate {
        /// The layer.
        first_layer: u32,
    },
    /// Servers are available, but the request must avoid all of them.
    AllAvoided,
    /// The fastest chain misses the deadline.
    TooLate {
        /// Time that the fastest chain needs.
        needed_ms: u64,
    },
}

impl fmt::Display for NoChain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            NoChainReason::NoCandidate { first_layer } => {
                write!(f, "no backend server continues at layer {first_layer}")
            }
            NoChainReason::AllAvoided => {
                f.write_str("every backend server has been tried")
            }
            NoChainReason::TooLate { needed_ms } => {
                write!(f, "the fastest chain needs {needed_ms} ms")
            }
        }
    }
}

impl std::error::Error for NoChain {}

pub(crate) fn no_chain(
    reason: NoChainReason,
    rng: &mut fastrand::Rng,
) -> NoChain {
    let base_ms = match reason {
        NoChainReason::NoCandidate { .. } => NO_CANDIDATE_RETRY_MS,
        NoChainReason::AllAvoided => MIN_RETRY_MS,
        // Half of the time, because other requests finish meanwhile.
        NoChainReason::TooLate { needed_ms } => {
            (needed_ms / 2).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
        }
    };
    NoChain { reason, retry_after_ms: base_ms + rng.u64(0..=base_ms) }
}
