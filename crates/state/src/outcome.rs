//! The closed set of outcomes of a request.

use std::fmt;

/// What became of a request, as its caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was given.
    Completed,
    /// No backend server ran any of it; a fact, never a guess.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back; none where it will not help.
        retry_after_ms: Option<u64>,
    },
    /// It began, and no whole answer can be given.
    Failed,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// Word for headers, logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun { .. } => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NotRunReason {
    /// The request is wrong; it will be wrong again.
    BadRequest,
    /// No backend server has room for it.
    Full,
    /// Its account has used its share while others wait.
    ShareUsed,
    /// It could not finish within its time.
    TooLate,
    /// No complete chain of backend servers is reachable.
    NoChain,
    /// The platform's table service did not take its claim.
    StoreDown,
    /// This VM is stopping.
    Stopping,
    /// Its key was used with another request.
    KeyReused,
    /// The same request runs at this moment.
    InProgress,
}

impl NotRunReason {
    /// Word for the error object, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::BadRequest => "bad_request",
            NotRunReason::Full => "full",
            NotRunReason::ShareUsed => "share_used",
            NotRunReason::TooLate => "too_late",
            NotRunReason::NoChain => "no_chain",
            NotRunReason::StoreDown => "store_down",
            NotRunReason::Stopping => "stopping",
            NotRunReason::KeyReused => "key_reused",
            NotRunReason::InProgress => "in_progress",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
