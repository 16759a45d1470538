//! Decides whether the process of a backend server has exited.
//!
//! A server that has exited no longer counts among those that may have run a
//! request, so a wrong verdict lets a request run on more servers than its
//! route allows. A server that is about to leave may close its port and go on
//! with the requests that it has: a refused connect proves an exit only
//! together with the end of the request's own connection, which the kernel
//! closes with the process. An entry whose processor is busy or throttled misses the
//! responses to any number of connection attempts, however long ago the first
//! one was. A lost packet makes one attempt fail at a server that runs.
//! Silence therefore proves an exit only by a check of its own
//! ([`SilenceCheck`]): several attempts that overlap, over
//! [`SILENCE_TIMEOUT_MS`] in which the entry itself ran.

use std::io;

/// Observation that suggests that a backend server has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureEvidence {
    /// It refuses connections: its process has exited.
    Refused,
    /// It does not respond at all.
    Silent,
    /// Another backend server waits for it.
    Stalled,
}

impl FailureEvidence {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureEvidence::Refused => "refused",
            FailureEvidence::Silent => "silent",
            FailureEvidence::Stalled => "stalled",
        }
    }
}

/// A connection attempt that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedConnect {
    /// Kind of the error.
    pub kind: io::ErrorKind,
    /// Time for which the attempt should have waited, in milliseconds.
    pub timeout_ms: u64,
    /// Time until the entry saw the failure, in milliseconds.
    pub waited_ms: u64,
}

impl FailedConnect {
    /// What the failure shows about a server through which a stream last made
    /// progress `quiet_ms` ago; `None` if nothing.
    ///
    /// A timeout that is noticed late shows that the entry did not run, and an
    /// answer may have been there in time. An error other than a refusal comes
    /// from a process that runs, such as a reset because of too many
    /// connections, or from this VM, such as a lack of descriptors.
    pub fn evidence(&self, quiet_ms: u64) -> Option<FailureEvidence> {
        let is_late = self.waited_ms > MAX_LATENESS * self.timeout_ms;
        let has_progress = quiet_ms < self.waited_ms;
        match self.kind {
            io::ErrorKind::ConnectionRefused => Some(FailureEvidence::Refused),
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => {
                (!is_late && !has_progress).then_some(FailureEvidence::Silent)
            }
            _ => None,
        }
    }
}

/// Ratio of the time until a timeout is noticed to the timeout, above which
/// the entry did not run for a part of the time.
const MAX_LATENESS: u64 = 2;

/// What the evidence proves about the process of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The process has exited.
    Exited,
    /// Undecided: a [`SilenceCheck`] would decide.
    Unknown,
    /// The process may still run.
    Alive,
}

/// Decides what evidence proves. `has_connection_ended` states whether the
/// server ended the connection on which it ran the request.
pub fn detect_exit(
    evidence: Option<FailureEvidence>,
    has_connection_ended: bool,
) -> ExitStatus {
    match evidence {
        Some(FailureEvidence::Refused) if has_connection_ended => {
            ExitStatus::Exited
        }
        Some(FailureEvidence::Refused) => ExitStatus::Alive,
        Some(FailureEvidence::Silent) => ExitStatus::Unknown,
        Some(FailureEvidence::Stalled) | None => ExitStatus::Alive,
    }
}

/// Silence, observed by an entry that runs, after which a backend server
/// counts as exited: network delays are below 2 ms and servers accept within
/// 1 ms.
pub const SILENCE_TIMEOUT_MS: u64 = 300;
/// Interval between connection attempts of a check. Six attempts overlap, so
/// that a few lost packets do not look like an exit.
pub const ATTEMPT_INTERVAL_MS: u64 = 50;
/// Longest interval that counts as silence. In a longer one, the entry itself
/// did not run for a part of the time.
const MAX_OBSERVED_INTERVAL_MS: u64 = 2 * ATTEMPT_INTERVAL_MS;
/// Time after which a check ends undecided, because the entry hardly ran.
const MAX_CHECK_MS: u64 = 1_200;

/// State of a check after an interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceVerdict {
    /// Another interval is needed.
    Undecided,
    /// The server is silent: it counts as exited.
    Silent,
    /// The entry can't tell: the server counts as running.
    Inconclusive,
}

/// Silence of a backend server while connection attempts are made.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceCheck {
    observed_ms: u64,
    elapsed_ms: u64,
}

impl SilenceCheck {
    /// Starts a check.
    pub fn new() -> SilenceCheck {
        SilenceCheck::default()
    }

    /// Records an interval of [`ATTEMPT_INTERVAL_MS`], which took
    /// `elapsed_ms`, and in which no attempt was answered.
    pub fn record_interval(&mut self, elapsed_ms: u64) -> SilenceVerdict {
        self.elapsed_ms += elapsed_ms;
        if elapsed_ms <= MAX_OBSERVED_INTERVAL_MS {
            self.observed_ms += ATTEMPT_INTERVAL_MS;
        }
        match () {
            _ if self.observed_ms >= SILENCE_TIMEOUT_MS => {
                SilenceVerdict::Silent
            }
            _ if self.elapsed_ms >= MAX_CHECK_MS => {
                SilenceVerdict::Inconclusive
            }
            _ => SilenceVerdict::Undecided,
        }
    }
}
