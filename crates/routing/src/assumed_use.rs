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
pub struct KnownUse {
    /// Its own use.
    pub own: u64,
    /// The sum of what others told.
    pub told: u64,
    /// Entries that are there and have not told.
    pub untold_entries: u64,
}

impl KnownUse {
    /// The use to plan with.
    pub fn planned(&self) -> u64 {
        self.own + self.told + self.untold_entries * self.own
    }
}
