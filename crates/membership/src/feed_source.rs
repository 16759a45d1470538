//! Where an entry asks for what the store holds.
//!
//! Of the entries of a data centre that can be heard, the first for a feed
//! asks the store; the others ask it, or the second where it fails them. An
//! entry that is asked although it is not the first asks the store as well,
//! for as long as it is asked: whoever asks it was failed by the first.
//!
//! What a reader tells carries how long ago the store confirmed it. A reader
//! that the store turns away, or that is cut off, shows by that age. Who hears
//! an old age tries the store, and avoids that reader for a while. Where the
//! store fails it as well, it asks one entry after the other, any of which may
//! be served, and tries the store every two seconds, so that an outage does not
//! send all entries to the store again and again. A reader whom the store
//! fails does the same.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Fewest entries of a data centre that share a feed: with fewer, little is
/// saved for depending on another entry.
pub const MIN_SHARING_ENTRIES: usize = 4;
/// How long an entry that failed is not asked.
const AVOID_MS: u64 = 3_000;
/// How long an entry that was asked goes on asking the store.
const ASKED_MS: u64 = 5_000;
/// Time between tries of a store that failed.
const STORE_AGAIN_MS: u64 = 2_000;
/// Readers of a data centre that are asked.
const READERS: usize = 2;

/// Whom to ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// The store.
    Store,
    /// Another entry, by its boot id.
    Entry(u64),
}

/// What came of asking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// An answer that the store gave or confirmed of late.
    Fresh,
    /// An answer of an entry that the store has not confirmed of late.
    Stale,
    /// None.
    Failed,
}

/// Who asks, and whom it hears.
#[derive(Clone, Copy, Debug)]
pub struct FeedPeers<'a> {
    /// Boot id of this entry.
    pub own: u64,
    /// Boot ids of the other entries of the data centre that are heard and go
    /// on.
    pub peers: &'a [u64],
    /// Whether it must hear the store itself, as whoever plans does: it gives
    /// its lease up when it no longer reaches it.
    pub must_read_store: bool,
}

/// What an entry knows of its sources for one feed.
#[derive(Clone, Debug, Default)]
pub struct FeedSources {
    /// Until when each entry that failed is not asked.
    avoided: BTreeMap<u64, u64>,
    /// When another entry last asked this one.
    asked_ms: Option<u64>,
    /// When the store last failed this entry; none once it answers.
    store_failed_ms: Option<u64>,
    /// The entry whose answer was old, until the store was tried.
    stale: Option<u64>,
}

impl FeedSources {
    /// All may be asked.
    pub fn new() -> FeedSources {
        FeedSources::default()
    }

    /// Whom to ask next.
    pub fn choose(
        &mut self,
        around: &FeedPeers<'_>,
        feed: u64,
        now_ms: u64,
    ) -> FeedSource {
        if around.peers.len() + 1 < MIN_SHARING_ENTRIES {
            return FeedSource::Store;
        }
        self.avoided.retain(|_, until_ms| *until_ms > now_ms);
        let all = around.peers.iter().copied().chain([around.own]);
        let ranked = rendezvous::ranked(all, feed);
        let is_reader = ranked.first() == Some(&around.own)
            || around.must_read_store
            || self.is_asked(now_ms);
        let has_failed = self.has_failed_of_late(now_ms);
        if (is_reader || self.stale.is_some()) && !has_failed {
            return FeedSource::Store;
        }
        // Whom the store fails asks anybody who may hear of it.
        let most = if has_failed { ranked.len() } else { READERS };
        let is_usable = |entry: &u64| {
            *entry != around.own && !self.avoided.contains_key(entry)
        };
        let others = || ranked.iter().take(most).copied();
        let other = others().find(is_usable);
        // While the store is away for all, the first is as good as any.
        let first = others().find(|entry| *entry != around.own);
        let other = other.or(first.filter(|_| has_failed));
        other.map_or(FeedSource::Store, FeedSource::Entry)
    }

    /// Another entry asks this one.
    pub fn record_request(&mut self, now_ms: u64) {
        self.asked_ms = Some(now_ms);
    }

    /// What came of asking.
    pub fn record_outcome(
        &mut self,
        source: FeedSource,
        outcome: FetchOutcome,
        now_ms: u64,
    ) {
        match (source, outcome) {
            (FeedSource::Store, FetchOutcome::Failed) => {
                self.store_failed_ms = Some(now_ms);
                self.avoid_stale(now_ms);
            }
            (FeedSource::Store, _) => {
                self.store_failed_ms = None;
                self.avoid_stale(now_ms);
            }
            (FeedSource::Entry(entry), FetchOutcome::Failed) => {
                self.avoided.insert(entry, now_ms + AVOID_MS);
            }
            (FeedSource::Entry(entry), FetchOutcome::Stale) => {
                self.stale = Some(entry);
                if self.has_failed_of_late(now_ms) {
                    self.avoid_stale(now_ms);
                }
            }
            (FeedSource::Entry(_), FetchOutcome::Fresh) => self.stale = None,
        }
    }

    fn avoid_stale(&mut self, now_ms: u64) {
        if let Some(entry) = self.stale.take() {
            self.avoided.insert(entry, now_ms + AVOID_MS);
        }
    }

    fn is_asked(&self, now_ms: u64) -> bool {
        self.asked_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ASKED_MS)
    }

    fn has_failed_of_late(&self, now_ms: u64) -> bool {
        self.store_failed_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < STORE_AGAIN_MS)
    }
}
