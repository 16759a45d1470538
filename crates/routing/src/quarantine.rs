//! Isolation of requests that crash the servers that run them.
//!
//! A crash ends all runs on a server, up to 192 streams, of which one caused
//! it. The caller of that stream retries with another id at another of
//! hundreds of entries, where that id is unknown.
//!
//! A request is therefore identified by its
//! [`Fingerprint`](crate::Fingerprint). A request that had only just begun on
//! a server that crashed becomes a suspect ([`RunProgress`]). A suspect runs
//! in a trial ([`Trials`]): one copy at a time in the whole fleet, on a server
//! where no other suspect is on trial. A run that survives shows that the
//! request is harmless. Crashes in trials send the request to quarantine
//! ([`Suspects`]), where it is refused until the quarantine ends.
//!
//! For each request, entries keep a set of crashes that only grows until it
//! expires, and flags on them that are only ever set. Reports may therefore
//! arrive in any order, repeatedly, or by way of other entries.

mod run_progress;
mod suspects;
mod trials;

pub use run_progress::RunProgress;
pub use suspects::{
    CrashReport, MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_MS,
    SuspectReport, Suspects, Verdict,
};
pub use trials::{TRIAL_MS, Trials};
