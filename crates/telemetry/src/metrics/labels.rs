//! Closed sets of label values.

/// A call to the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableOperation {
    /// Reads rows.
    Read,
    /// Writes rows.
    Write,
}

impl TableOperation {
    /// Word for the label.
    pub fn as_str(self) -> &'static str {
        match self {
            TableOperation::Read => "read",
            TableOperation::Write => "write",
        }
    }
}

/// What became of a call to the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableResult {
    /// It was done.
    Done,
    /// Its condition did not hold.
    Conflict,
    /// It was not done.
    Failed,
    /// It may or may not have been done.
    Unknown,
}

impl TableResult {
    /// Word for the label.
    pub fn as_str(self) -> &'static str {
        match self {
            TableResult::Done => "done",
            TableResult::Conflict => "conflict",
            TableResult::Failed => "failed",
            TableResult::Unknown => "unknown",
        }
    }
}

/// What became of a claim of an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request may run.
    Acquired,
    /// The same request was claimed before.
    Repeated,
    /// The key belongs to another request.
    KeyReused,
    /// Whether it was written is not known.
    Unsettled,
    /// The store did not take it.
    Refused,
}

impl ClaimResult {
    /// Word for the label.
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
