//! How a request may be run.

use crate::Fingerprint;

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may run anywhere.
    Free,
    /// The request may only run in a trial.
    Suspect {
        /// What servers crashed under: the request or a part of its prompt.
        cause: Fingerprint,
        /// Crashes that count.
        crashes: usize,
    },
    /// The request may not run.
    Quarantined {
        /// What servers crashed under: the request or a part of its prompt.
        cause: Fingerprint,
        /// Crashes that count.
        crashes: usize,
        /// When the quarantine ends.
        until_ms: u64,
    },
}

impl Verdict {
    /// Number of crashes that count.
    pub fn crashes(self) -> usize {
        match self {
            Verdict::Free => 0,
            Verdict::Suspect { crashes, .. }
            | Verdict::Quarantined { crashes, .. } => crashes,
        }
    }

    /// What servers crashed under.
    pub fn cause(self) -> Option<Fingerprint> {
        match self {
            Verdict::Free => None,
            Verdict::Suspect { cause, .. }
            | Verdict::Quarantined { cause, .. } => Some(cause),
        }
    }

    /// Remaining time of the quarantine, if there is one.
    pub fn quarantine_left_ms(self, now_ms: u64) -> Option<u64> {
        match self {
            Verdict::Quarantined { until_ms, .. } => {
                Some(until_ms.saturating_sub(now_ms))
            }
            Verdict::Free | Verdict::Suspect { .. } => None,
        }
    }

    /// The stricter of two verdicts: of two alike, the one with more crashes,
    /// then `other`.
    pub(super) fn stricter(self, other: Verdict) -> Verdict {
        let rank = |verdict: Verdict| (verdict.severity(), verdict.crashes());
        if rank(other) >= rank(self) { other } else { self }
    }

    pub(super) fn severity(self) -> u8 {
        match self {
            Verdict::Free => 0,
            Verdict::Suspect { .. } => 1,
            Verdict::Quarantined { .. } => 2,
        }
    }
}
