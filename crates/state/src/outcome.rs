//! The outcomes of a request.

use std::fmt;

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was delivered.
    Completed,
    /// No backend server ran any part of the request. This is a fact, not an
    /// assumption.
    NotRun {
        /// Why the request was not run.
        reason: NotRunReason,
        /// Time after which a retry may succeed; `None` if a retry is useless.
        retry_after_ms: Option<u64>,
    },
    /// The request began, and no complete answer can be delivered.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Label for headers, logs and metrics.
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
    /// The request is invalid, and would be invalid again.
    BadRequest,
    /// No backend server has capacity for the request.
    Full,
    /// The client account has used its share while others wait.
    ShareUsed,
    /// The request could not finish by its deadline.
    TooLate,
    /// No complete chain of backend servers is reachable.
    NoChain,
    /// The platform's table service did not accept the claim of the request.
    StoreDown,
    /// This VM is shutting down.
    Stopping,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The same request is running.
    InProgress,
}

impl NotRunReason {
    /// Label for the error object, logs and metrics.
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
