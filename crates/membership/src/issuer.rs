//! Which entry grants what all entries share, and how much of it.
//!
//! All rank the entries that they hear in the same way, so usually one
//! issues. Where entries do not hear each other, two may: so an issuer grants
//! only the part that is that of the entries which choose it, of all that are
//! known. Each entry chooses one and tells which, so the parts of all issuers
//! never add up to more than the whole, however the entries are cut from each
//! other. An entry that was just lost still counts among those that are
//! known ([`sharing_count`]), so for a moment less is granted.

use std::collections::BTreeMap;

use crate::rendezvous::ranked;

/// How long an entry that fell silent counts: a process that ended is back
/// sooner.
const LOST_COUNTS_MS: u64 = 30_000;
/// The same for who hears no more than were lost: it is rather cut off
/// itself, and those that it lost go on to share.
pub const PARTITION_TIMEOUT_MS: u64 = 600_000;

/// How many others share, of those that run and those that were lost so long
/// ago, in milliseconds.
pub fn sharing_count(
    running: usize,
    lost_for_ms: impl IntoIterator<Item = u64>,
) -> usize {
    let lost = lost_for_ms.into_iter().filter(|ms| *ms < PARTITION_TIMEOUT_MS);
    let lost: Vec<u64> = lost.collect();
    let hears_most = 1 + running > lost.len();
    let counts_ms =
        if hears_most { LOST_COUNTS_MS } else { PARTITION_TIMEOUT_MS };
    running + lost.iter().filter(|ms| **ms < counts_ms).count()
}

/// What an entry knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct IssuerView<'a> {
    /// The entry itself.
    pub own: u64,
    /// Whether it leaves: it issues only where nobody else is heard.
    pub is_leaving: bool,
    /// Others that it hears and that go on.
    pub live: &'a [u64],
    /// Others that run, as far as is known, heard or not.
    pub known_count: usize,
    /// Whom others that it hears chose, as they last told.
    pub choices: &'a BTreeMap<u64, u64>,
}

impl IssuerView<'_> {
    /// Whom this entry chooses, but for those that do not answer it.
    pub fn choose_issuer(&self, assignment: u64, unanswering: &[u64]) -> u64 {
        let others = self.live.iter().copied();
        let answering = others.filter(|entry| !unanswering.contains(entry));
        let own = (!self.is_leaving).then_some(self.own);
        let ranked = ranked(answering.chain(own), assignment);
        ranked.first().copied().unwrap_or(self.own)
    }

    /// The part that this entry may grant, from 0 to 1, where it chose
    /// itself: an entry that has not told yet chooses as this one does.
    pub fn share(&self) -> f64 {
        let chooses_this = |entry: &&u64| {
            let choice = self.choices.get(entry);
            choice.is_none_or(|choice| *choice == self.own)
        };
        let backers = 1 + self.live.iter().filter(chooses_this).count();
        let all = 1 + self.known_count.max(self.live.len());
        backers as f64 / all as f64
    }
}
