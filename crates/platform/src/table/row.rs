//! Rows and writes of rows.

/// A row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Version: 1 for a new row, incremented by each write. A row that is
    /// created again after a deletion starts at 1.
    pub version: u64,
    /// Value of the row.
    pub value: Vec<u8>,
}

/// A write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new value; none deletes the row.
    pub value: Option<Vec<u8>>,
    /// Precondition of the write.
    pub condition: Condition,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Always holds.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Condition {
    /// Whether the condition holds for a row as read.
    pub fn holds(self, row: Option<&Row>) -> bool {
        match self {
            Condition::Any => true,
            Condition::Absent => row.is_none(),
            Condition::Version(v) => row.is_some_and(|r| r.version == v),
        }
    }
}

/// A write of a row that can expire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiringWrite {
    /// The write.
    pub write: Write,
    /// The service deletes the row some time after this Unix time; none keeps
    /// the row.
    pub expires_at_unix_s: Option<u64>,
}

impl From<Write> for ExpiringWrite {
    fn from(write: Write) -> ExpiringWrite {
        ExpiringWrite { write, expires_at_unix_s: None }
    }
}
