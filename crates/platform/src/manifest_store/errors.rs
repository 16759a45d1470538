//! Why a manifest was not accepted or could not be read.

use std::{error, fmt};

use chestnutreach_config::parts::PartsError;

use super::Head;
use crate::{objects::ObjectError, table::TableError};

/// Why a submission was not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// The submission is based on a generation that is not the current one.
    Stale {
        /// Generation that the submission is based on.
        base_generation: u64,
        /// The current generation, if any.
        current: Option<Head>,
    },
    /// Another submission for the same generation was accepted first.
    LostRace {
        /// Head of the current generation.
        winner: Head,
    },
    /// A submission with this id but other sections was accepted before.
    IdReused {
        /// Generation accepted with the id.
        generation: u64,
    },
    /// The id is invalid.
    Invalid {
        /// What is wrong with the id.
        detail: String,
    },
    /// The submission was not accepted because a service is unavailable.
    Unavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// The submission may have been accepted. Submitting the same id and
    /// sections again determines the outcome.
    Unknown {
        /// Cause of the failure.
        detail: String,
    },
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SubmitError::Stale { base_generation, current } => {
                write!(f, "made for generation {base_generation}, but ")?;
                match current {
                    None => f.write_str("there is none yet"),
                    Some(head) => write_head(f, head),
                }
            }
            SubmitError::LostRace { winner } => {
                f.write_str("another submission was accepted first: ")?;
                write_head(f, winner)
            }
            SubmitError::IdReused { generation } => write!(
                f,
                "the id was accepted with other sections as generation \
                 {generation}"
            ),
            SubmitError::Invalid { detail } => f.write_str(detail),
            SubmitError::Unavailable { detail } => {
                write!(f, "not accepted: {detail}")
            }
            SubmitError::Unknown { detail } => write!(
                f,
                "may have been accepted, submit the same id again: {detail}"
            ),
        }
    }
}

fn write_head(f: &mut fmt::Formatter<'_>, head: &Head) -> fmt::Result {
    let Head { generation, submission, .. } = head;
    write!(f, "generation {generation} of {submission:?} is accepted")
}

impl error::Error for SubmitError {}

impl From<TableError> for SubmitError {
    fn from(e: TableError) -> SubmitError {
        SubmitError::Unavailable { detail: e.to_string() }
    }
}

impl From<ObjectError> for SubmitError {
    fn from(e: ObjectError) -> SubmitError {
        SubmitError::Unavailable { detail: e.to_string() }
    }
}

/// Why the sections of a generation cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchError {
    /// The object store is unavailable.
    Unavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// The object store lacks an object.
    Missing {
        /// Key of the object.
        object: String,
    },
    /// The content of an object does not match its digest.
    Corrupt {
        /// Key of the object.
        object: String,
    },
    /// The objects are intact but do not form a valid manifest.
    InvalidParts {
        /// What is wrong with the parts.
        error: PartsError,
    },
}

impl FetchError {
    pub(super) fn missing(object: &str) -> FetchError {
        FetchError::Missing { object: object.to_owned() }
    }

    pub(super) fn corrupt(object: &str) -> FetchError {
        FetchError::Corrupt { object: object.to_owned() }
    }
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Unavailable { detail } => f.write_str(detail),
            FetchError::Missing { object } => {
                write!(f, "object {object:?} is missing from the object store")
            }
            FetchError::Corrupt { object } => {
                write!(f, "the content of {object:?} is corrupt")
            }
            FetchError::InvalidParts { error } => error.fmt(f),
        }
    }
}

impl error::Error for FetchError {}

impl From<PartsError> for FetchError {
    fn from(error: PartsError) -> FetchError {
        FetchError::InvalidParts { error }
    }
}

impl From<ObjectError> for FetchError {
    fn from(e: ObjectError) -> FetchError {
        FetchError::Unavailable { detail: e.to_string() }
    }
}
