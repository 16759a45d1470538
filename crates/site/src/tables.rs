//! Names of the store tables that this system owns.

/// Table for discovery between entries: one row per entry, keyed by the name
/// of the VM, with the address for messages between entries.
pub const ENTRIES: &str = "chestnutreach-entries";
/// Table that holds the planner's lease.
pub const LEASE: &str = "chestnutreach-lease";
/// Table of requests that crash backend servers, by fingerprint.
pub const SUSPECTS: &str = "chestnutreach-suspects";
/// Key of the row that holds the lease.
pub const LEASE_KEY: &str = "planner";
