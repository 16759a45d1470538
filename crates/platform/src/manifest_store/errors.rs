//! Why a manifest was not accepted or could not be read.

use std::{error, fmt};

use chestnutreach_config::parts::PartsError;

use super::Head;
use crate::{objects::ObjectError, table::TableError};

/// Why a submission was not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitError {
    /// It was made for another generation than the accepted one.
    Stale {
        /// Generation it was made for.
        base_generation: u64,
        /// The accepted one.
        current: Option<Head>,
    },
    /// Another submission for the same generation was accepted first.
    LostRace {
        /// The generation accepted now.
        winner: Head,
    },
    /// The id was accepted before with other sections.
    IdReused {
        /// Generation accepted with the id.
        generation: u64,
    },
    /// The id cannot be used.
    Invalid {
        /// What is wrong with it.
        detail: String,
    },
    /// Not accepted, since a service is down.
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// It may have been accepted. Submitting the same id again settles it.
    Unknown {
        /// What went wrong.
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
                f.write_str("another submission came first: ")?;
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
    /// The object store is down.
    Unavailable {
        /// What went wrong.
        detail: String,
    },
    /// The object store lacks an object.
    Missing {
        /// Key of the object.
        object: String,
    },
    /// The content of an object does not fit its digest.
    Corrupt {
        /// Key of the object.
        object: String,
    },
    /// The objects are intact but make no manifest.
    InvalidParts {
        /// Why not.
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
                write!(f, "the object store lacks {object:?}")
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
