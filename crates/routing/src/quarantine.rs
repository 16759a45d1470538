//! Isolation of requests that crash the servers that run them.
//!
//! A crash ends all runs on a server, up to 192 streams, of which one caused
//! it. The caller of that stream retries with another id at another of
//! hundreds of entries, where that id is unknown. Or callers send different
//! requests that share the part of the prompt that crashes servers.
//!
//! A request therefore has several fingerprints
//! ([`Fingerprint`](crate::Fingerprint)): its own, and those of the parts of
//! its prompt ([`RequestKeys`]). A crash counts against all of them, wherever
//! the run was: one crash makes a suspect if the run had only just begun
//! ([`RunProgress`]), else several do. A request with a suspect runs in a trial
//! ([`Trials`]): one for each suspect at a time in the whole fleet, on a server
//! where no other request is on trial. A run that comes past the point of a
//! crash voids it under all that the request has, so what harmless requests
//! share is a suspect for some milliseconds only. Crashes in trials lead to
//! quarantine ([`Suspects`]), in which requests with the fingerprint are
//! refused.
//!
//! A crash under a harmful part also counts against what other requests on
//! the server have. Their suspects are ignored once the part is quarantined,
//! because it explains the same crashes and more.
//!
//! For each fingerprint, entries keep a set of crashes that only grows until
//! it expires, and flags on them that are only ever set. Reports may therefore
//! arrive in any order, repeatedly, or by way of other entries.

mod crash_record;
mod request_keys;
mod run_progress;
mod suspects;
mod trials;
mod verdict;

pub use crash_record::CrashReport;
pub use request_keys::{MAX_PARTS, RequestKeys};
pub use run_progress::{RunPoint, RunProgress, RunSuspicion};
pub use suspects::{MAX_SUSPECTS, RunCrash, SuspectReport, Suspects};
pub use trials::{TRIAL_MS, Trials};
pub use verdict::Verdict;

/// Crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Length of the first quarantine, from the last crash.
pub const QUARANTINE_MS: u64 = 600_000;
/// Length of the quarantine of a part with which runs survived before, until
/// another trial confirms that the part has become harmful.
pub const PROBATION_MS: u64 = 2_000;
