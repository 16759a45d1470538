//! The row of the lease, and commands and responses of the table service.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a term of a lease; a later term has a higher number.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FencingNumber(u64);

impl FencingNumber {
    /// Creates the number that an order carries.
    pub fn from_u64(number: u64) -> FencingNumber {
        FencingNumber(number)
    }

    /// The number as an integer.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The row in the table service. Every write changes the row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Boot id of the holder; 0 once the lease is released.
    pub holder: u64,
    /// Number of the term.
    pub fencing_number: FencingNumber,
    /// Number of renewals in the term.
    pub renewal: u64,
    /// Time for which the row must not change before another process may take
    /// the lease over, in milliseconds.
    pub duration_ms: u64,
}

/// A command to the table service. One command is in flight at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseCommand {
    /// Read the row.
    Read,
    /// Write `row` if the stored row equals `expected`.
    Write {
        /// The expected row; `None` if there must not be a row.
        expected: Option<LeaseRow>,
        /// The row to write.
        row: LeaseRow,
    },
}

/// Response of the table service to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// The row that was read; `None` if there is no row.
    Row(Option<LeaseRow>),
    /// The write took effect.
    Written,
    /// The stored row was not the expected one.
    Conflict,
    /// The command did not take effect and will not.
    Unavailable,
    /// The command may have taken effect, or may still do so.
    Ambiguous,
}
