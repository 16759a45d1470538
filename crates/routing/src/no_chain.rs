//! Why there is no chain, and when to come back.

use std::fmt;

const MIN_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 30_000;
/// Without a server the fleet has to change first.
const NO_CANDIDATE_RETRY_MS: u64 = 1_000;

/// No chain for a request: nothing was sent anywhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoChain {
    /// Why.
    pub reason: NoChainReason,
    /// When to come back, spread so that callers do not come together.
    pub retry_after_ms: u64,
}

/// Why there is no chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum NoChainReason {
    /// No server that is there continues from a layer.
    NoCandidate {
        /// The layer.
        first_layer: u32,
    },
    /// There are servers, but the request has to avoid all of them.
    AllAvoided,
    /// The fastest chain found is too slow.
    TooLate {
        /// What it needs.
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
        // Half of it: others finish while this caller waits.
        NoChainReason::TooLate { needed_ms } => {
            (needed_ms / 2).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
        }
    };
    NoChain { reason, retry_after_ms: base_ms + rng.u64(0..=base_ms) }
}
