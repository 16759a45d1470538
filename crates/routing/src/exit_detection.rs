//! Decides whether the process of a backend server has exited.
//!
//! A server that has exited no longer counts among those that may have run a
//! request, so a wrong verdict lets a request run on more servers than its
//! route allows. A busy entry can miss the responses to several connection
//! attempts at once and process them a moment later. Silence therefore proves
//! an exit only after [`SILENCE_TIMEOUT_MS`].

/// Observation that suggests that a backend server has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureEvidence {
    /// It refuses connections: its process has exited.
    Refused,
    /// It does not respond at all.
    Silent,
    /// Another backend server waits for it.
    Stalled,
}

impl FailureEvidence {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureEvidence::Refused => "refused",
            FailureEvidence::Silent => "silent",
            FailureEvidence::Stalled => "stalled",
        }
    }
}

/// Silence after which a backend server counts as exited: twelve times the
/// connect timeout, because an entry that is only busy sees a response within
/// that time.
pub const SILENCE_TIMEOUT_MS: u64 = 300;

/// What the evidence proves about the process of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The process has exited, or no entry can reach it.
    Exited,
    /// Undecided: a connection attempt of [`SILENCE_TIMEOUT_MS`] would decide.
    Unknown,
    /// The process may still run.
    Alive,
}

/// Decides what evidence that has lasted for `lasted_ms` proves.
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
