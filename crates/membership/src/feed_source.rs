//! Where an entry reads a feed of the store from.
//!
//! The live entries of a data centre are ranked for each feed. The first one
//! reads the store; the others ask the first, or the second if the first
//! fails them. An entry that is asked although it is not the first reads the
//! store for as long as it is asked, because the first has failed the entry
//! that asks.
//!
//! A response of such a reader carries the time since the store confirmed its
//! data, so a reader that the store refuses or that is partitioned can be
//! recognised by that age. An entry that receives old data tries the store and
//! avoids that reader for a while. If the store fails it as well, the entry
//! asks one entry after the other, any of which may still reach the store. It
//! tries the store only every two seconds, so that all entries together do not
//! flood the store in an outage. A reader that the store fails does the same,
//! but the first one tries several times a second: one entry of each data
//! centre must notice the end of an outage soon.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Minimum number of entries of a data centre that share a feed; with fewer
/// entries, the savings do not justify a dependency on another entry.
pub const MIN_SHARING_ENTRIES: usize = 4;
/// How long an entry that failed is not asked.
const AVOIDANCE_MS: u64 = 3_000;
/// How long the first reader is not asked after it sent old data, if the store
/// fails this entry as well. Short, because that reader notices first that
/// the store has returned; the entries in between are asked meanwhile.
const READER_AVOIDANCE_MS: u64 = 500;
/// How long an entry reads the store after it was asked.
const READ_ON_REQUEST_MS: u64 = 5_000;
/// Interval between attempts at a store that failed.
const STORE_RETRY_MS: u64 = 2_000;
/// The same for the first entry, which the others ask during an outage: they
/// have recent data soon after this entry has.
const READER_RETRY_MS: u64 = 250;
/// Number of readers of a data centre that other entries ask.
const MAX_READERS: usize = 2;

/// Where to read a feed from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// The store.
    Store,
    /// Another entry, by its boot id.
    Entry(u64),
}

/// Result of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// Data that the store sent or confirmed recently.
    Fresh,
    /// Data of an entry that the store has not confirmed recently.
    Stale,
    /// No response.
    Failed,
}

/// An entry and its live peers in the data centre.
#[derive(Clone, Copy, Debug)]
pub struct FeedPeers<'a> {
    /// Boot id of this entry.
    pub own: u64,
    /// Boot ids of the other entries of the data centre that are live and not
    /// shutting down.
    pub peers: &'a [u64],
    /// Whether this entry must read the store itself, as the planner must: it
    /// releases its lease when it cannot reach the store.
    pub must_read_store: bool,
}

/// Why and since when an entry is not asked.
#[derive(Clone, Copy, Debug)]
struct Avoidance {
    since_ms: u64,
    /// Whether the entry responded, with old data.
    is_stale: bool,
}

impl Avoidance {
    fn is_over(self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.since_ms) >= AVOIDANCE_MS
    }

    /// The same for the first reader during an outage of the store.
    fn is_over_for_reader(self, now_ms: u64) -> bool {
        self.is_stale
            && now_ms.saturating_sub(self.since_ms) >= READER_AVOIDANCE_MS
    }
}

/// What an entry knows of its sources for one feed.
#[derive(Clone, Debug, Default)]
pub struct FeedSources {
    /// Entries that are not asked for a while.
    avoidances: BTreeMap<u64, Avoidance>,
    /// When another entry last asked this one.
    requested_ms: Option<u64>,
    /// When the store last failed this entry; reset once the store responds.
    store_failed_ms: Option<u64>,
    /// Whether an entry was asked since then.
    has_asked_entry: bool,
    /// The entry that sent old data, until the store has been tried.
    stale_entry: Option<u64>,
}

impl FeedSources {
    /// Starts without failures.
    pub fn new() -> FeedSources {
        FeedSources::default()
    }

    /// Chooses the source of the next read.
    pub fn choose(
        &mut self,
        group: &FeedPeers<'_>,
        feed: u64,
        now_ms: u64,
    ) -> FeedSource {
        if group.peers.len() + 1 < MIN_SHARING_ENTRIES {
            return FeedSource::Store;
        }
        self.avoidances.retain(|_, avoidance| !avoidance.is_over(now_ms));
        let all = group.peers.iter().copied().chain([group.own]);
        let ranked = rendezvous::ranked(all, feed);
        let first_reader = ranked.first().copied();
        let is_first = first_reader == Some(group.own);
        let is_reader = is_first
            || group.must_read_store
            || self.was_recently_requested(now_ms);
        let retry_ms = match is_first {
            true => READER_RETRY_MS,
            false => STORE_RETRY_MS,
        };
        // The caller may pause for longer than the interval, and would then
        // try the store each time and never ask an entry.
        let store_failed_recently = self
            .has_store_failed_within(retry_ms, now_ms)
            || self.store_failed_ms.is_some() && !self.has_asked_entry;
        if (is_reader || self.stale_entry.is_some()) && !store_failed_recently
        {
            return FeedSource::Store;
        }
        // If the store failed, any entry may still have recent data.
        let max_entries =
            if store_failed_recently { ranked.len() } else { MAX_READERS };
        let is_usable = |entry: &u64| {
            *entry != group.own
                && self.avoidances.get(entry).is_none_or(|avoidance| {
                    store_failed_recently
                        && Some(*entry) == first_reader
                        && avoidance.is_over_for_reader(now_ms)
                })
        };
        let others = || ranked.iter().take(max_entries).copied();
        let other = others().find(is_usable);
        // While the store is unavailable to all, use the first entry even if
        // it is avoided.
        let first = others().find(|entry| *entry != group.own);
        let other = other.or(first.filter(|_| store_failed_recently));
        other.map_or(FeedSource::Store, FeedSource::Entry)
    }

    /// Records that another entry asked this one.
    pub fn record_request(&mut self, now_ms: u64) {
        self.requested_ms = Some(now_ms);
    }

    /// Records the result of a read.
    pub fn record_outcome(
        &mut self,
        source: FeedSource,
        outcome: FetchOutcome,
        now_ms: u64,
    ) {
        self.has_asked_entry |= matches!(source, FeedSource::Entry(_));
        match (source, outcome) {
            (FeedSource::Store, FetchOutcome::Failed) => {
                self.store_failed_ms = Some(now_ms);
                self.has_asked_entry = false;
                self.avoid_stale_entry(now_ms);
            }
            (FeedSource::Store, _) => {
                self.store_failed_ms = None;
                self.avoid_stale_entry(now_ms);
            }
            (FeedSource::Entry(entry), FetchOutcome::Failed) => {
                let avoidance =
                    Avoidance { since_ms: now_ms, is_stale: false };
                self.avoidances.insert(entry, avoidance);
            }
            (FeedSource::Entry(entry), FetchOutcome::Stale) => {
                self.stale_entry = Some(entry);
                if self.has_store_failed_within(STORE_RETRY_MS, now_ms) {
                    self.avoid_stale_entry(now_ms);
                }
            }
            (FeedSource::Entry(_), FetchOutcome::Fresh) => {
                self.stale_entry = None
            }
        }
    }

    fn avoid_stale_entry(&mut self, now_ms: u64) {
        if let Some(entry) = self.stale_entry.take() {
            let avoidance = Avoidance { since_ms: now_ms, is_stale: true };
            self.avoidances.insert(entry, avoidance);
        }
    }

    fn was_recently_requested(&self, now_ms: u64) -> bool {
        self.requested_ms.is_some_and(|at_ms| {
            now_ms.saturating_sub(at_ms) < READ_ON_REQUEST_MS
        })
    }

    fn has_store_failed_within(&self, period_ms: u64, now_ms: u64) -> bool {
        self.store_failed_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < period_ms)
    }
}
