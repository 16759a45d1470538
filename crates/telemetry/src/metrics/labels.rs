//! Label values that come from fixed sets.

/// Kind of call to the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableOperation {
    /// Reads rows.
    Read,
    /// Writes rows.
    Write,
}

impl TableOperation {
    /// Label value.
    pub fn as_str(self) -> &'static str {
        match self {
            TableOperation::Read => "read",
            TableOperation::Write => "write",
        }
    }
}

/// Result of a call to the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableResult {
    /// The call succeeded.
    Done,
    /// The condition of the call did not hold.
    Conflict,
    /// The call had no effect.
    Failed,
    /// The call may or may not have taken effect.
    Unknown,
}

impl TableResult {
    /// Label value.
    pub fn as_str(self) -> &'static str {
        match self {
            TableResult::Done => "done",
            TableResult::Conflict => "conflict",
            TableResult::Failed => "failed",
            TableResult::Unknown => "unknown",
        }
    }
}

/// Result of claiming an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim was written and the request may run.
    Acquired,
    /// The same request claimed the key before.
    Repeated,
    /// A different request holds the key.
    KeyReused,
    /// The claim may or may not have been written.
    Unsettled,
    /// The claim was not written.
    Refused,
}

impl ClaimResult {
    /// Label value.
    pub fn as_str(self) -> &'static str {
        match self {
            ClaimResult::Acquired => "taken",
            ClaimResult::Repeated => "repeated",
            ClaimResult::KeyReused => "key_reused",
            ClaimResult::Unsettled => "unsettled",
            ClaimResult::Refused => "refused",
        }
    }
}
