//! Whether the process of a backend server has surely ended.
//!
//! One that has ended no longer counts among those that may have run a
//! request, so a mistake lets a request run on more of them than its route
//! allows. A busy entry misses the answers of several dials at the same
//! moment and hears them a moment later, so silence proves an end only after
//! it has lasted.

/// What speaks for a backend server being dead or out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureEvidence {
    /// It refuses connections: its process has ended.
    Refused,
    /// It does not answer at all.
    Silent,
    /// Another backend server waits for it.
    Stalled,
}

impl FailureEvidence {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureEvidence::Refused => "refused",
            FailureEvidence::Silent => "silent",
            FailureEvidence::Stalled => "stalled",
        }
    }
}

/// Silence that has lasted so long proves an end: twelve times the time that
/// a dial is given, and an entry that is only busy hears answers before.
pub const SILENCE_TIMEOUT_MS: u64 = 300;

/// What evidence proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The process has ended, or is out of reach of everybody.
    Exited,
    /// Nothing yet; a dial of [`SILENCE_TIMEOUT_MS`] would.
    Unknown,
    /// It may go on.
    Alive,
}

/// What evidence proves that has stood for so long.
pub fn detect_exit(
    evidence: Option<FailureEvidence>,
    lasted_ms: u64,
) -> ExitStatus {
    match evidence {
        Some(FailureEvidence::Refused) => ExitStatus::Exited,
        Some(FailureEvidence::Silent) if lasted_ms >= SILENCE_TIMEOUT_MS => {
            ExitStatus::Exited
        }
        Some(FailureEvidence::Silent) => ExitStatus::Unknown,
        Some(FailureEvidence::Stalled) | None => ExitStatus::Alive,
    }
}
