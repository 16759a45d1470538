//! Whether the process of a backend server has surely ended.
//!
//! One that has ended no longer counts among those that may have run a
//! request, so a mistake lets a request run on more of them than its route
//! allows. A busy entry misses the answers of several dials at the same
//! moment and hears them a moment later, so silence proves an end only after
//! it has lasted.

/// What speaks for a backend server being dead or out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It refuses connections: its process has ended.
    Refused,
    /// It does not answer at all.
    Silent,
    /// Another backend server waits for it.
    Stalled,
}

impl Evidence {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Silent => "silent",
            Evidence::Stalled => "stalled",
        }
    }
}

/// Silence that has lasted so long proves an end: twelve times the time that
/// a dial is given, and an entry that is only busy hears answers before.
pub const SILENCE_PROVES_MS: u64 = 300;

/// What evidence proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndProof {
    /// The process has ended, or is out of reach of everybody.
    Ended,
    /// Nothing yet; a dial of [`SILENCE_PROVES_MS`] would.
    Unsure,
    /// It may go on.
    Lives,
}

/// What evidence proves that has stood for so long.
pub fn end_proof(evidence: Option<Evidence>, lasted_ms: u64) -> EndProof {
    match evidence {
        Some(Evidence::Refused) => EndProof::Ended,
        Some(Evidence::Silent) if lasted_ms >= SILENCE_PROVES_MS => {
            EndProof::Ended
        }
        Some(Evidence::Silent) => EndProof::Unsure,
        Some(Evidence::Stalled) | None => EndProof::Lives,
    }
}
