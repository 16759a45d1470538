//! Answers to claims and updates.

use std::{error, fmt};

use super::Claim;

/// Answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "taken apart by the caller at once and never stored"
)]
pub enum ClaimOutcome {
    /// The key is the caller's.
    Acquired,
    /// The key is held by this claim; see [`decide`](super::decide()).
    Held(Claim),
}

/// Why a claim was not made or changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimError {
    /// Surely not written: a service is down or too slow.
    StoreUnavailable,
    /// It may have been written. A new claim of this kind must not be
    /// dispatched; it is withdrawn once the service answers.
    Ambiguous,
    /// Not changed, since the row is no longer the owner's.
    NotOwner {
        /// What the row holds; none when it is gone.
        current: Option<Box<Claim>>,
    },
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClaimError::StoreUnavailable => "the claim was not written",
            ClaimError::Ambiguous => "the claim may have been written",
            ClaimError::NotOwner { .. } => "the claim is held by another",
        })
    }
}

impl error::Error for ClaimError {}
