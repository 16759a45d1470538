//! Where an entry reads a feed of the store from.
//!
//! The live entries of a data centre form a tree for each feed, by their rank:
//! the first reads the store, and each other entry asks its parent. An entry
//! has at most [`FAN_OUT`] children, so a change costs no entry more than so
//! many responses, however many entries there are. The entries with the most
//! capacity rank first and are the parents.
//!
//! The roots of the data centres share a feed in the same way: the planner, or
//! else the first root by rank, reads the store, and the other roots ask it.
//! They read the store themselves as soon as it fails them.
//!
//! In a data centre with too few entries for that, each entry reads the store.
//! While the store fails it, and its data is old, it asks any other entry
//! between two attempts.
//!
//! An entry whose parent fails asks the other ancestors, then the first entries
//! in the order of turns (below) and those near the root. The next rank takes
//! over a failed root, and all others find the data there.
//!
//! A response carries the time since the store confirmed its data, so an entry
//! that the store refuses or that is partitioned can be recognised by that
//! age. Entries whose data is old may try the store one after the other
//! ([`TURN_INTERVAL_MS`]), in an order that does not depend on capacity: what
//! refuses the entries with the most capacity may still serve others. The rest
//! ask entries near the root and the first of that order, so that an outage of
//! the store or the loss of a root is never met by all entries in the same
//! second. While the store fails, the root tries it several times a second,
//! because one entry of each data centre must notice the end of an outage
//! soon.

use std::collections::BTreeMap;

use crate::rendezvous::{self, Candidate};

/// Minimum number of entries of a data centre that share a feed; with fewer
/// entries, the savings do not justify a dependency on another entry.
pub const MIN_SHARING_ENTRIES: usize = 4;
/// Most children of an entry in the tree: a whole list of 600 backend servers
/// for each of them takes a link of 20 Mbit/s about half a second.
pub const FAN_OUT: usize = 8;
/// How long an entry that failed or sent old data is asked after the others.
const AVOIDANCE_MS: u64 = 3_000;
/// How long an entry reads the store after it has taken its turn, so that the
/// others find recent data there.
const TURN_MS: u64 = 5_000;
/// Age of the copy at which the first entry that is not the root tries the
/// store. Longer than two polls of the root take.
const FIRST_TURN_AGE_MS: u64 = 2_000;
/// Time between the turns of two entries of a data centre.
const TURN_INTERVAL_MS: u64 = 250;
/// Number of entries in the order of turns that others ask for recent data.
/// Enough for one of them to reach a store that refuses a third of all.
const ASKED_BY_TURN: usize = 6;
/// Makes the order of turns independent of that of the tree.
const TURN_ASSIGNMENT: u64 = 1 << 32;
/// Interval between attempts of the root at a store that failed.
const ROOT_RETRY_MS: u64 = 250;
/// Interval between attempts of another entry, if it is one of `FAN_OUT` or
/// fewer; it grows with the number of entries.
const RETRY_MS: u64 = 2_000;

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
    /// This entry.
    pub own: Candidate,
    /// The other entries of the data centre that are live and not shutting
    /// down.
    pub peers: &'a [Candidate],
    /// Whether this entry must read the store itself, as the planner must: it
    /// releases its lease when it cannot reach the store.
    pub must_read_store: bool,
    /// Whether this entry does not know all entries yet. It shares feeds then
    /// with those that it knows.
    pub may_lack_peers: bool,
    /// The entries that serve the roots of the data centres, by rank: the
    /// planner, and the roots. Empty if this entry is not a root. In a data
    /// centre with too few entries to share a feed: all entries.
    pub roots: &'a [u64],
    /// Time since the store confirmed this entry's copy, or since the process
    /// started if it has no copy yet.
    pub age_ms: u64,
}

impl FeedPeers<'_> {
    /// Number of entries from which they share feeds.
    fn min_count(&self) -> usize {
        match self.may_lack_peers {
            true => 2,
            false => MIN_SHARING_ENTRIES,
        }
    }
}

/// Why and since when an entry is asked after the others.
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
}

/// What an entry knows of its sources for one feed.
#[derive(Clone, Debug, Default)]
pub struct FeedSources {
    /// Entries that are asked after the others for a while.
    avoidances: BTreeMap<u64, Avoidance>,
    /// Whether the parent was asked last while all sources are avoided.
    asks_parent: bool,
    /// Until when this entry reads the store because its turn came.
    turn_until_ms: u64,
    /// When the store last failed this entry; reset once the store responds.
    store_failed_ms: Option<u64>,
    /// Whether an entry was asked since then.
    has_asked_entry: bool,
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
        let place = Place::new(group, feed);
        let is_alone = place.count() < group.min_count();
        if is_alone && !self.needs_others(&place, now_ms) {
            return FeedSource::Store;
        }
        self.avoidances.retain(|_, avoidance| !avoidance.is_over(now_ms));
        let has_turn = self.has_turn(&place, now_ms);
        let is_root = place.rank == 0 && !self.has_usable_root(group);
        let reads_store = is_root || group.must_read_store || has_turn;
        let is_cut_off =
            place.must_respond().iter().all(|entry| self.failed(*entry));
        let may_read_store =
            is_alone || reads_store || place.rank > 0 && is_cut_off;
        if may_read_store && !self.is_store_avoided(&place, now_ms) {
            return FeedSource::Store;
        }
        let is_usable = |e: &&u64| !self.avoidances.contains_key(e);
        let entry = place.sources.iter().find(is_usable).copied();
        let entry = entry.or_else(|| self.choose_avoided(&place.sources));
        entry.map_or(FeedSource::Store, FeedSource::Entry)
    }

    /// Whether an entry that does not share the feed asks others: its data is
    /// old, and the store failed it.
    fn needs_others(&self, place: &Place<'_>, now_ms: u64) -> bool {
        place.group.age_ms >= FIRST_TURN_AGE_MS
            && self.is_store_avoided(place, now_ms)
    }

    /// Whether this entry may try the store because its data is old. A turn
    /// that can be used lasts for a while.
    fn has_turn(&mut self, place: &Place<'_>, now_ms: u64) -> bool {
        if now_ms < self.turn_until_ms {
            return true;
        }
        let has_turn = place.group.age_ms >= place.turn_age_ms;
        if has_turn && !self.is_store_avoided(place, now_ms) {
            self.turn_until_ms = now_ms + TURN_MS;
        }
        has_turn
    }

    /// Whether a root may depend on the first of all roots: that is another
    /// entry, and it has not failed or sent old data.
    fn has_usable_root(&self, group: &FeedPeers<'_>) -> bool {
        let first = group.roots.first();
        first.is_some_and(|first| {
            *first != group.own.entry && !self.avoidances.contains_key(first)
        })
    }

    /// Chooses among sources that have all failed or sent old data. Any of
    /// them may have recent data again first, but most likely the parent.
    fn choose_avoided(&mut self, sources: &[u64]) -> Option<u64> {
        self.asks_parent = !self.asks_parent;
        if self.asks_parent {
            return sources.first().copied();
        }
        let since_ms = |entry: &&u64| {
            self.avoidances.get(entry).map(|avoidance| avoidance.since_ms)
        };
        sources.iter().min_by_key(since_ms).copied()
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
            }
            (FeedSource::Store, _) => self.store_failed_ms = None,
            (FeedSource::Entry(entry), FetchOutcome::Fresh) => {
                self.avoidances.remove(&entry);
            }
            (FeedSource::Entry(entry), outcome) => {
                let is_stale = outcome == FetchOutcome::Stale;
                let avoidance = Avoidance { since_ms: now_ms, is_stale };
                self.avoidances.insert(entry, avoidance);
            }
        }
    }

    /// Whether an entry did not respond to the last call.
    fn failed(&self, entry: u64) -> bool {
        self.avoidances.get(&entry).is_some_and(|a| !a.is_stale)
    }

    /// Whether the store failed this entry so recently that it is not tried.
    fn is_store_avoided(&self, place: &Place<'_>, now_ms: u64) -> bool {
        let Some(failed_ms) = self.store_failed_ms else { return false };
        // The caller may pause for longer than the interval, and would then
        // try the store each time and never ask an entry.
        !self.has_asked_entry
            || now_ms.saturating_sub(failed_ms) < place.retry_ms()
    }
}

/// An entry's place in the tree and in the order of turns.
#[derive(Debug)]
struct Place<'a> {
    group: &'a FeedPeers<'a>,
    /// Entries of the data centre by rank.
    ranked: Vec<u64>,
    /// Rank of this entry.
    rank: usize,
    /// Age of the copy from which this entry may try the store.
    turn_age_ms: u64,
    /// Entries to ask, in this order.
    sources: Vec<u64>,
}

impl<'a> Place<'a> {
    fn new(group: &'a FeedPeers<'a>, feed: u64) -> Place<'a> {
        let own = group.own.entry;
        let all = group.peers.iter().copied().chain([group.own]);
        let ranked = rendezvous::ranked_by_capacity(all, feed);
        let rank = ranked.iter().position(|e| *e == own).unwrap_or(0);
        let turns = feed ^ TURN_ASSIGNMENT;
        let by_turn = rendezvous::ranked(ranked.iter().copied(), turns);
        let turn = by_turn.iter().position(|e| *e == own).unwrap_or(0);
        let sources = ancestors(rank)
            .map(|rank| ranked[rank])
            .chain(group.roots.iter().copied())
            .chain(by_turn.into_iter().take(ASKED_BY_TURN))
            .chain(ranked.iter().copied().take(FAN_OUT + 1))
            .filter(|entry| *entry != own)
            .collect();
        Place {
            group,
            ranked,
            rank,
            turn_age_ms: FIRST_TURN_AGE_MS + TURN_INTERVAL_MS * turn as u64,
            sources,
        }
    }

    fn count(&self) -> usize {
        self.ranked.len()
    }

    /// Entries of which one must respond, or else this entry depends on the
    /// store. The ranks near the root replace a failed one without waiting.
    fn must_respond(&self) -> &[u64] {
        match self.rank <= FAN_OUT {
            true => &self.ranked[..self.rank],
            false => &self.sources,
        }
    }

    /// Interval between attempts at a store that failed.
    fn retry_ms(&self) -> u64 {
        let is_alone = self.count() < self.group.min_count();
        match self.rank == 0 || self.group.must_read_store || is_alone {
            true => ROOT_RETRY_MS,
            false => RETRY_MS * self.count().div_ceil(FAN_OUT) as u64,
        }
    }
}

/// Ranks of an entry's parent, of the parent's parent, and so on.
fn ancestors(rank: usize) -> impl Iterator<Item = usize> {
    let parent = |rank: &usize| rank.checked_sub(1).map(|r| r / FAN_OUT);
    std::iter::successors(parent(&rank), parent)
}
