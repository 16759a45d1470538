//! Why a call to the table service failed.

use std::{error, fmt};

/// Why a call to the table service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// The call was certainly not applied.
    Unavailable {
        /// Cause of the failure.
        detail: String,
        /// The service is available, but the call exceeded its rate limit.
        is_throttled: bool,
    },
    /// The write may have been applied.
    Ambiguous {
        /// Cause of the failure.
        detail: String,
    },
    /// The writes were not applied because conditions failed.
    Conflict {
        /// Indexes of the writes whose condition failed.
        failed: Vec<usize>,
    },
    /// The request or the response is invalid; a write was not applied.
    Protocol {
        /// Cause of the failure.
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
                write!(f, "the conditions of writes {failed:?} failed")
            }
            TableError::Protocol { detail } => {
                write!(f, "protocol error of the table service: {detail}")
            }
        }
    }
}

impl error::Error for TableError {}
