//! Which entry issues permits, and for which share of the limit.
//!
//! All entries rank the entries that they receive messages from in the same
//! way, so usually a single entry issues permits. During a network partition,
//! several entries may issue permits. An issuer therefore grants only the
//! fraction of the limit that corresponds to the entries that choose it, out
//! of all known entries. Each entry chooses one issuer and reports its choice,
//! so the shares of all issuers never add up to more than the whole, however
//! the network is partitioned. A recently lost entry still counts as known
//! ([`sharing_count`]), so less is granted for a while.

use std::collections::BTreeMap;

use crate::rendezvous::ranked;

/// How long a silent entry counts as known; an entry whose process exited is
/// restarted sooner.
const LOSS_TIMEOUT_MS: u64 = 30_000;
/// The same for an entry that has lost at least half of all entries: it is
/// probably partitioned itself, and the entries that it lost still share.
pub const PARTITION_TIMEOUT_MS: u64 = 600_000;

/// Number of other entries that share the limit: those that run, and those
/// that were lost within the timeout. `lost_for_ms` holds the time since each
/// loss.
pub fn sharing_count(
    running: usize,
    lost_for_ms: impl IntoIterator<Item = u64>,
) -> usize {
    let lost = lost_for_ms.into_iter().filter(|ms| *ms < PARTITION_TIMEOUT_MS);
    let lost: Vec<u64> = lost.collect();
    let sees_majority = 1 + running > lost.len();
    let timeout_ms =
        if sees_majority { LOSS_TIMEOUT_MS } else { PARTITION_TIMEOUT_MS };
    running + lost.iter().filter(|ms| **ms < timeout_ms).count()
}

/// What an entry knows of the other entries.
#[derive(Clone, Copy, Debug)]
pub struct IssuerView<'a> {
    /// This entry.
    pub own: u64,
    /// Whether this entry is shutting down; it then issues only if it
    /// receives messages from no other entry.
    pub is_leaving: bool,
    /// Other live entries that are not shutting down.
    pub live: &'a [u64],
    /// Other entries that run as far as is known, live or not.
    pub known_count: usize,
    /// The issuers that other live entries last reported to have chosen.
    pub choices: &'a BTreeMap<u64, u64>,
}

impl IssuerView<'_> {
    /// The issuer that this entry chooses among the entries that respond to
    /// it.
    pub fn choose_issuer(&self, assignment: u64, unresponsive: &[u64]) -> u64 {
        let others = self.live.iter().copied();
        let responsive = others.filter(|entry| !unresponsive.contains(entry));
        let own = (!self.is_leaving).then_some(self.own);
        let ranked = ranked(responsive.chain(own), assignment);
        ranked.first().copied().unwrap_or(self.own)
    }

    /// Share of the limit that this entry may grant if it chose itself, from 0
    /// to 1. An entry that has not reported a choice counts as choosing this
    /// entry.
    pub fn share(&self) -> f64 {
        let chooses_own = |entry: &&u64| {
            let choice = self.choices.get(entry);
            choice.is_none_or(|choice| *choice == self.own)
        };
        let supporters = 1 + self.live.iter().filter(chooses_own).count();
        let all = 1 + self.known_count.max(self.live.len());
        supporters as f64 / all as f64
    }
}
