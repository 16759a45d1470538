//! Tables of the store that belong to us.

/// Entries find each other here: a row each, by name of the VM, with the
/// address for messages between entries.
pub const ENTRIES: &str = "chestnutreach-entries";
/// The planner's lease.
pub const LEASE: &str = "chestnutreach-lease";
/// Key of the lease's row.
pub const LEASE_KEY: &str = "planner";
