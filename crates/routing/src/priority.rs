//! Priority of a request.

use serde::{Deserialize, Serialize};

/// Urgency of a request among the requests of its account.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Look-ups and batch work.
    Low,
    /// Requests that state no priority.
    #[default]
    Normal,
    /// A person waits for the response.
    High,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Priority; 3] =
        [Priority::Low, Priority::Normal, Priority::High];

    pub(crate) fn level(self) -> usize {
        match self {
            Priority::Low => 0,
            Priority::Normal => 1,
            Priority::High => 2,
        }
    }
}
