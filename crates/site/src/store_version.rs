//! Versions of the platform's store.
//!
//! The store counts its changes. A store that is restored from an older copy
//! gives the numbers since that copy out again, for other changes, and raises
//! its era. A number therefore identifies a state of the store only together
//! with its era, and numbers of different eras say nothing about each other.

use std::fmt;

/// A state of the store: a history, and the count of changes within it.
///
/// States are ordered by era, then by number: every state of a later history
/// is newer than all states of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct StoreVersion {
    era: u64,
    number: u64,
}

impl StoreVersion {
    /// A version within the history with this era.
    pub fn new(era: u64, number: u64) -> StoreVersion {
        StoreVersion { era, number }
    }

    /// Number of the history.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Count of changes within the history, as the store writes it.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Whether both versions count the changes of the same history. Only then
    /// do the changes between them exist.
    pub fn is_same_history(self, other: StoreVersion) -> bool {
        self.era == other.era
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
