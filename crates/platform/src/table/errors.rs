//! Why a call to the table service failed.

use std::{error, fmt};

/// Why a call to the table service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// Surely not applied.
    Unavailable {
        /// What went wrong.
        detail: String,
        /// The service is up, and the call was over its rate.
        is_throttled: bool,
    },
    /// A write that may have been applied.
    Ambiguous {
        /// What went wrong.
        detail: String,
    },
    /// Not applied, since conditions failed.
    Conflict {
        /// Indexes of the writes whose condition failed.
        failed: Vec<usize>,
    },
    /// Not applied, since the two ends do not understand each other.
    Protocol {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::Unavailable { detail, .. } => {
                write!(f, "the table service is unavailable: {detail}")
            }
            TableError::Ambiguous { detail } => {
                write!(f, "a write may have been applied: {detail}")
            }
            TableError::Conflict { failed } => {
                write!(f, "conditions of writes {failed:?} failed")
            }
            TableError::Protocol { detail } => {
                write!(f, "the table service's answer is wrong: {detail}")
            }
        }
    }
}

impl error::Error for TableError {}
