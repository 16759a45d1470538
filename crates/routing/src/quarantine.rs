//! Requests that crash the servers that run them.
//!
//! The load that this answers: a crash takes everything that ran on a server
//! with it, up to 192 streams, and one of them did it. Its caller asks again
//! under another id at another of hundreds of entries, where nothing of that
//! id is known.
//!
//! A request is known again by its [`Fingerprint`](crate::Fingerprint). What
//! had only just begun when a server crashed is a suspect ([`RunProgress`]).
//! A suspect runs in a trial ([`Trials`]): one copy of it at a time in the
//! whole fleet, on a server where no other suspect is on trial. A run that
//! lasts shows that it is harmless; crashes in trials send it to quarantine
//! ([`Suspects`]), where it is refused until a time is over.
//!
//! What entries know is a set of crashes for each request, which only grows
//! until it expires, and marks on them that are only ever set. So news may
//! come in any order, twice, or through others.

mod run_progress;
mod suspects;
mod trials;

pub use run_progress::RunProgress;
pub use suspects::{
    CrashReport, MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_MS,
    SuspectReport, Suspects, Verdict,
};
pub use trials::{TRIAL_MS, Trials};
