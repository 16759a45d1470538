//! Estimated usage of an engine by entries that have not reported yet.
//!
//! When all entries start at the same time, the callers of all aborted streams
//! retry within some milliseconds, before any entry has reported its usage.
//! Each entry alone sees the same engines as empty and prefers the fastest
//! ones. Together the entries would send many times the capacity of these
//! engines, and each refusal uses up a retry of the shared retry limit. An
//! entry therefore assumes that each listed entry without a report uses as
//! much of an engine as itself.

/// Usage of an engine as seen by one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageEstimate {
    /// Usage of this entry.
    pub own: u64,
    /// Sum of the usage that other entries reported.
    pub reported: u64,
    /// Number of listed entries that have not reported their usage.
    pub entries_without_report: u64,
}

impl UsageEstimate {
    /// Estimated usage by all entries.
    pub fn total(&self) -> u64 {
        self.own + self.reported + self.entries_without_report * self.own
    }
}
