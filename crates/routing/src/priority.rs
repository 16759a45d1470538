//! Priority of a request.

use serde::{Deserialize, Serialize};

/// How urgent a request is among those of its account.
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
    /// Lookups and batch work.
    Low,
    /// What states nothing.
    #[default]
    Normal,
    /// A person waits.
    High,
}

impl Priority {
    /// Every priority, lowest first.
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
