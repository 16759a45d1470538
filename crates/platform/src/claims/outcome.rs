//! Results of claims and updates.

use std::{error, fmt};

use super::Claim;

/// Result of claiming a key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(
    clippy::large_enum_variant,
    reason = "the caller matches on it immediately and never stores it"
)]
pub enum ClaimOutcome {
    /// The caller now holds the key.
    Acquired,
    /// Another claim holds the key; see [`decide`](super::decide()).
    Held(Claim),
}

/// Why a claim was not made or changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimError {
    /// The claim was certainly not written: a service is unavailable or too
    /// slow.
    StoreUnavailable,
    /// The claim may have been written. The request of such a new claim must
    /// not be dispatched; the claim is withdrawn once the service responds.
    Ambiguous,
    /// The claim was not changed because the row no longer belongs to the
    /// owner.
    NotOwner {
        /// The claim in the row; none if the row was removed.
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
