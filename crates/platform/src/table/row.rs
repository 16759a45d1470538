//! Rows, and writes of them.

/// A row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// 1 for a new row, one more with each write. A row that was deleted
    /// begins at 1 again.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new value; none deletes the row.
    pub value: Option<Vec<u8>>,
    /// When it may happen.
    pub condition: Condition,
}

/// When a write may happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Always.
    Any,
    /// There is no such row.
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

/// A write whose row may be forgotten.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiringWrite {
    /// The write.
    pub write: Write,
    /// The service deletes the row some time after this; none keeps it.
    pub expires_at_unix_s: Option<u64>,
}

impl From<Write> for ExpiringWrite {
    fn from(write: Write) -> ExpiringWrite {
        ExpiringWrite { write, expires_at_unix_s: None }
    }
}
