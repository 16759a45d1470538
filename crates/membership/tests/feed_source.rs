//! The entries of a data centre that follow a feed, on a virtual clock, while
//! readers end, freeze or are cut off and the store is away.

use std::collections::BTreeSet;

use chestnutreach_membership::{
    FeedPeers, FeedSource, FeedSources, FetchOutcome,
};
use rstest::rstest;

const FEED: u64 = 1;
/// How long a reader's call waits at the store, and one at an entry.
const STORE_WAIT_MS: u64 = 1_200;
const ENTRY_WAIT_MS: u64 = 600;
/// Time after which a call at an entry, beyond its wait, or at a silent store
/// is given up.
const ENTRY_SLACK_MS: u64 = 250;
const STORE_SLACK_MS: u64 = 500;
const RETRY_PAUSE_MS: u64 = 200;
/// Age of what is known from which on a call hardly waits.
const OLD_MS: u64 = 1_000;
const STALE_MS: u64 = 2_000;
/// Silence after which an entry no longer counts as heard.
const ABSENT_MS: u64 = 2_700;
/// Age up to which keys are trusted where the bound on withdrawn ones is 5 s.
const TRUSTED_MS: u64 = 4_600;
const FAULT_AT_MS: u64 = 6_000;
const LENGTH_MS: u64 = 24_000;

/// What goes wrong from [`FAULT_AT_MS`] on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The first readers end, so many.
    Ended(usize),
    /// The first readers freeze for so long.
    Frozen(usize, u64),
    /// The first readers are refused by the store for so long.
    Refused(usize, u64),
    /// Calls of the first readers get no answer of the store for so long.
    Silent(usize, u64),
    /// The store refuses all for so long.
    Away(u64),
}

#[derive(Debug)]
struct Entry {
    boot_id: u64,
    sources: FeedSources,
    confirmed_ms: u64,
    asking: Option<Asking>,
    next_ms: u64,
    store_calls: u64,
    oldest_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Asking {
    source: FeedSource,
    until_ms: u64,
    result: Option<u64>,
}

struct World {
    fault: Fault,
    /// Age from which on what is told is old.
    stale_ms: u64,
    entries: Vec<Entry>,
    /// Readers in their order.
    ranked: Vec<u64>,
}

impl World {
    fn new(fault: Fault, count: u64, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entry = |_| Entry {
            boot_id: rng.u64(1..),
            sources: FeedSources::new(),
            confirmed_ms: 0,
            asking: None,
            next_ms: rng.u64(..500),
            store_calls: 0,
            oldest_ms: 0,
        };
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let ids = entries.iter().map(|e| e.boot_id);
        let ranked = chestnutreach_membership::rendezvous::ranked(ids, FEED);
        World { fault, stale_ms: STALE_MS, entries, ranked }
    }

    fn is_first(&self, boot_id: u64, count: usize) -> bool {
        self.ranked[..count].contains(&boot_id)
    }

    fn has_ended(&self, boot_id: u64, now_ms: u64) -> bool {
        match self.fault {
            Fault::Ended(count) => {
                now_ms >= FAULT_AT_MS && self.is_first(boot_id, count)
            }
            _ => false,
        }
    }

    fn is_frozen(&self, boot_id: u64, now_ms: u64) -> bool {
        match self.fault {
            Fault::Frozen(count, for_ms) => {
                (FAULT_AT_MS..FAULT_AT_MS + for_ms).contains(&now_ms)
                    && self.is_first(boot_id, count)
            }
            _ => false,
        }
    }

    /// Until when a call of the store that begins now takes, and whether it
    /// is answered.
    fn ask_store(&self, boot_id: u64, now_ms: u64) -> (u64, bool) {
        let asks = self.entries.iter().find(|e| e.boot_id == boot_id);
        let known_ms = asks.map_or(0, |entry| entry.confirmed_ms);
        let is_old = now_ms - known_ms > OLD_MS;
        let wait_ms = if is_old { 50 } else { STORE_WAIT_MS };
        let is_on = |for_ms: u64| {
            now_ms >= FAULT_AT_MS && now_ms < FAULT_AT_MS + for_ms
        };
        match self.fault {
            Fault::Away(for_ms) if is_on(for_ms) => (now_ms + 10, false),
            Fault::Refused(count, for_ms)
                if is_on(for_ms) && self.is_first(boot_id, count) =>
            {
                (now_ms + 10, false)
            }
            Fault::Silent(count, for_ms)
                if is_on(for_ms) && self.is_first(boot_id, count) =>
            {
                (now_ms + wait_ms + STORE_SLACK_MS, false)
            }
            _ => (now_ms + wait_ms, true),
        }
    }

    fn ask_entry(
        &mut self,
        at: u64,
        age_ms: u64,
        now_ms: u64,
    ) -> (u64, Option<u64>) {
        let is_old = age_ms > STALE_MS;
        let wait_ms = if is_old { 150 } else { ENTRY_WAIT_MS };
        if self.has_ended(at, now_ms) {
            return (now_ms + 1, None);
        }
        if self.is_frozen(at, now_ms) {
            return (now_ms + wait_ms + ENTRY_SLACK_MS, None);
        }
        let asked = self.entries.iter_mut().find(|e| e.boot_id == at);
        let asked = asked.expect("only entries are asked");
        asked.sources.record_request(now_ms);
        (now_ms + wait_ms, Some(asked.confirmed_ms))
    }

    fn begin(&mut self, at: usize, now_ms: u64) {
        let boot_id = self.entries[at].boot_id;
        let is_heard = |entry: &&Entry| {
            let long_ago_ms = now_ms.saturating_sub(ABSENT_MS);
            entry.boot_id != boot_id
                && !self.has_ended(entry.boot_id, long_ago_ms)
        };
        let others: Vec<u64> =
            self.entries.iter().filter(is_heard).map(|e| e.boot_id).collect();
        let around =
            FeedPeers { own: boot_id, peers: &others, must_read_store: false };
        let source = self.entries[at].sources.choose(&around, FEED, now_ms);
        let (until_ms, result) = match source {
            FeedSource::Store => {
                self.entries[at].store_calls += 1;
                let (until_ms, is_ok) = self.ask_store(boot_id, now_ms);
                (until_ms, is_ok.then_some(until_ms))
            }
            FeedSource::Entry(entry) => {
                let age_ms = now_ms - self.entries[at].confirmed_ms;
                self.ask_entry(entry, age_ms, now_ms)
            }
        };
        self.entries[at].asking = Some(Asking { source, until_ms, result });
    }

    fn end(&mut self, at: usize, mut asking: Asking, now_ms: u64) {
        // The answer of an entry is made at the end of the wait.
        if let FeedSource::Entry(asked) = asking.source
            && asking.result.is_some()
        {
            let is_there = !self.has_ended(asked, now_ms)
                && !self.is_frozen(asked, now_ms);
            let asked = self.entries.iter().find(|e| e.boot_id == asked);
            let confirmed_ms = asked.map(|entry| entry.confirmed_ms);
            asking.result = confirmed_ms.filter(|_| is_there);
        }
        let entry = &mut self.entries[at];
        entry.asking = None;
        entry.next_ms = now_ms;
        let outcome = match asking.result {
            None => FetchOutcome::Failed,
            Some(confirmed_ms) => {
                entry.confirmed_ms = entry.confirmed_ms.max(confirmed_ms);
                match now_ms - confirmed_ms > self.stale_ms {
                    true => FetchOutcome::Stale,
                    false => FetchOutcome::Fresh,
                }
            }
        };
        if outcome == FetchOutcome::Failed {
            entry.next_ms = now_ms + RETRY_PAUSE_MS;
        }
        entry.sources.record_outcome(asking.source, outcome, now_ms);
    }

    fn play(mut self) -> World {
        for now_ms in 0..LENGTH_MS {
            for at in 0..self.entries.len() {
                let boot_id = self.entries[at].boot_id;
                if self.has_ended(boot_id, now_ms)
                    || self.is_frozen(boot_id, now_ms)
                {
                    continue;
                }
                match self.entries[at].asking {
                    Some(asking) if asking.until_ms <= now_ms => {
                        self.end(at, asking, now_ms);
                    }
                    Some(_) => {}
                    None if self.entries[at].next_ms <= now_ms => {
                        self.begin(at, now_ms);
                    }
                    None => {}
                }
                let entry = &mut self.entries[at];
                if now_ms >= FAULT_AT_MS - 1_000 {
                    let age_ms = now_ms - entry.confirmed_ms;
                    entry.oldest_ms = entry.oldest_ms.max(age_ms);
                }
            }
        }
        self
    }

    /// Oldest knowledge of an entry that the fault leaves alone.
    fn oldest_ms(&self) -> u64 {
        let struck: BTreeSet<u64> = match self.fault {
            Fault::None | Fault::Away(_) => BTreeSet::new(),
            Fault::Ended(count) | Fault::Frozen(count, _) => {
                self.ranked[..count].iter().copied().collect()
            }
            // Those that the store refuses hear of it from others.
            Fault::Refused(..) | Fault::Silent(..) => BTreeSet::new(),
        };
        let calm = self.entries.iter();
        let calm = calm.filter(|e| !struck.contains(&e.boot_id));
        calm.map(|entry| entry.oldest_ms).max().unwrap_or(0)
    }

    fn store_calls(&self) -> u64 {
        self.entries.iter().map(|entry| entry.store_calls).sum()
    }
}

struct Case {
    entries: u64,
    fault: Fault,
    /// Oldest knowledge that is allowed.
    oldest_ms: u64,
    /// Most calls of the store a second.
    calls_per_s: f64,
}

#[rstest]
#[case::calm(Case {
    entries: 14, fault: Fault::None, oldest_ms: 3_000, calls_per_s: 1.5,
})]
#[case::four(Case {
    entries: 4, fault: Fault::None, oldest_ms: 3_000, calls_per_s: 1.5,
})]
#[case::three_ask_for_themselves(Case {
    entries: 3, fault: Fault::None, oldest_ms: 3_000, calls_per_s: 3.0,
})]
#[case::the_reader_ends(Case {
    entries: 14, fault: Fault::Ended(1), oldest_ms: TRUSTED_MS,
    calls_per_s: 3.0,
})]
#[case::both_readers_end(Case {
    entries: 14, fault: Fault::Ended(2), oldest_ms: TRUSTED_MS,
    calls_per_s: 6.0,
})]
#[case::the_reader_freezes(Case {
    entries: 14, fault: Fault::Frozen(1, 5_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 4.0,
})]
#[case::both_readers_freeze(Case {
    entries: 14, fault: Fault::Frozen(2, 5_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 8.0,
})]
#[case::the_store_refuses_the_reader(Case {
    entries: 14, fault: Fault::Refused(1, 8_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 4.0,
})]
#[case::the_store_refuses_a_third(Case {
    entries: 14, fault: Fault::Refused(5, 8_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 8.0,
})]
#[case::the_reader_is_cut_from_the_store(Case {
    entries: 14, fault: Fault::Silent(1, 8_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 4.0,
})]
#[case::a_third_is_cut_from_the_store(Case {
    entries: 14, fault: Fault::Silent(5, 8_000), oldest_ms: TRUSTED_MS,
    calls_per_s: 8.0,
})]
#[case::the_store_is_away(Case {
    entries: 14, fault: Fault::Away(8_000), oldest_ms: 8_000 + TRUSTED_MS,
    calls_per_s: 8.0,
})]
fn knowledge_stays_young_and_calls_few(#[case] case: Case) {
    for seed in 0..20 {
        let world = World::new(case.fault, case.entries, seed).play();
        let calls = world.store_calls() as f64 * 1_000.0 / LENGTH_MS as f64;
        let oldest_ms = world.oldest_ms();
        println!("{seed}: oldest {oldest_ms} ms, {calls:.1} calls/s");
        assert!(oldest_ms <= case.oldest_ms, "{seed}: {oldest_ms} ms");
        assert!(calls <= case.calls_per_s, "{seed}: {calls:.1} a second");
    }
}

/// What the ages are for: where nobody heeds them, two readers that the store
/// refuses leave all others with what they had.
#[test]
fn without_ages_refused_readers_keep_all_others_back() {
    let fault = Fault::Refused(2, 8_000);
    let world = World { stale_ms: u64::MAX, ..World::new(fault, 14, 1) };
    let oldest_ms = world.play().oldest_ms();
    assert!(oldest_ms > TRUSTED_MS, "{oldest_ms} ms");
}
