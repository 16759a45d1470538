//! The lease's row, and what passes between a process and the table service.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Orders holders of one lease: a later holder has a higher number.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FencingNumber(u64);

impl FencingNumber {
    /// The number as orders carry it.
    pub fn from_u64(number: u64) -> FencingNumber {
        FencingNumber(number)
    }

    /// The number itself.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The row in the table service; every write changes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// Boot id of the holder's process; 0 once it was given back.
    pub holder: u64,
    /// Number of this holder's turn.
    pub fencing_number: FencingNumber,
    /// Counts the writes of this turn.
    pub renewal: u64,
    /// How long the row must stand unchanged before another may take it.
    pub duration_ms: u64,
}

/// What the table service is to do; one command is out at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseCommand {
    /// Read the row.
    Read,
    /// Write `row` if the row is as expected; none where there is no row.
    Write {
        /// The row as it must stand.
        expected: Option<LeaseRow>,
        /// The row to write.
        row: LeaseRow,
    },
}

/// How the table service answered a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// The row as read; none where there is none.
    Row(Option<LeaseRow>),
    /// The write took effect.
    Written,
    /// The row was not as expected.
    Conflict,
    /// The command did not take effect, and will not.
    Unavailable,
    /// The command may have taken effect, or may yet.
    Ambiguous,
}
