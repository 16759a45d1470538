//! What entries that have not told yet are taken to use of an engine.
//!
//! The load that it answers: all entries start together, the clients of all
//! streams that were cut come back within some milliseconds, and nobody has
//! told anybody what it uses. Each entry alone finds the same engines empty,
//! the fastest ones above all; together they send many times what those have
//! room for, and each refusal takes a further arrival of the shared bound.
//! So an entry takes each one that is listed and has not told to use as much
//! as itself, until it tells.

/// What an entry knows of the use of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageEstimate {
    /// Its own use.
    pub own: u64,
    /// The sum of what others told.
    pub reported: u64,
    /// Entries that are there and have not told.
    pub entries_without_report: u64,
}

impl UsageEstimate {
    /// The use to plan with.
    pub fn total(&self) -> u64 {
        self.own + self.reported + self.entries_without_report * self.own
    }
}
