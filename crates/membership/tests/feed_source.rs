//! Simulates the entries of a data centre that follow a feed on a virtual
//! clock, while entries exit, pause or are partitioned, the store is
//! unavailable, and the whole table changes at once.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_membership::{
    FeedPeers, FeedSource, FeedSources, FetchOutcome,
    rendezvous::{Candidate, CapacityClass, ranked_by_capacity},
    short_rows::compress,
};
use rstest::rstest;

const FEED: u64 = 1;
/// How long a call waits for a change at the store, and at an entry.
const STORE_WAIT_MS: u64 = 1_200;
const ENTRY_WAIT_MS: u64 = 600;
const STALE_ENTRY_WAIT_MS: u64 = 60;
const OUTAGE_ENTRY_WAIT_MS: u64 = 200;
const OUTAGE_AGE_MS: u64 = 6_000;
/// Time after which a call is given up: beyond its wait at an entry, and at a
/// store that does not respond.
const ENTRY_TIMEOUT_SLACK_MS: u64 = 250;
const STORE_TIMEOUT_SLACK_MS: u64 = 500;
const STORE_RETRY_DELAY_MS: u64 = 200;
const ENTRY_RETRY_DELAY_MS: u64 = 50;
/// Age of the known data above which a call hardly waits for a change.
const LONG_POLL_MAX_AGE_MS: u64 = 1_000;
const STALE_MS: u64 = 2_000;
/// Silence after which an entry no longer counts as live.
const ABSENCE_TIMEOUT_MS: u64 = 2_700;
/// Age up to which keys are trusted if a withdrawn key may be used for 5 s.
const MAX_KEY_AGE_MS: u64 = 4_600;
const FAULT_AT_MS: u64 = 6_000;
const LENGTH_MS: u64 = 24_000;
/// Links of a large and of a small VM, in bytes per millisecond.
const LARGE_LINK: u64 = 125_000;
const SMALL_LINK: u64 = 2_500;

/// The fault that begins at [`FAULT_AT_MS`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// This many of the first ranks exit.
    Exited(usize),
    /// This many of the first ranks pause for a time.
    Paused(usize, u64),
    /// The store refuses this many of the first ranks for a time.
    StoreRefuses(usize, u64),
    /// The store does not respond to this many first ranks for a time.
    StoreSilent(usize, u64),
    /// The store refuses all entries for a time.
    StoreUnavailable(u64),
    /// All rows change, which makes a response of so many bytes.
    WholeTableChanges(u64),
    /// One row changes, which makes responses of these lengths.
    LongRowChanges(ResponseBytes),
}

/// Lengths of the responses of the store, and of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ResponseBytes {
    of_store: u64,
    of_entry: u64,
}

impl Fault {
    /// End of an outage of the store.
    fn end_ms(self) -> Option<u64> {
        match self {
            Fault::StoreUnavailable(for_ms) => Some(FAULT_AT_MS + for_ms),
            _ => None,
        }
    }

    /// Version of the table at the store.
    fn version(self, now_ms: u64) -> u64 {
        match self {
            Fault::WholeTableChanges(_) | Fault::LongRowChanges(_) => {
                u64::from(now_ms >= FAULT_AT_MS)
            }
            _ => 0,
        }
    }

    /// Lengths of the responses with the change.
    fn change_bytes(self) -> ResponseBytes {
        match self {
            Fault::WholeTableChanges(of_entry) => {
                ResponseBytes { of_store: 0, of_entry }
            }
            Fault::LongRowChanges(bytes) => bytes,
            _ => ResponseBytes::default(),
        }
    }
}

#[derive(Debug)]
struct Entry {
    candidate: Candidate,
    sources: FeedSources,
    confirmed_ms: u64,
    version: u64,
    /// When it had the change.
    changed_ms: Option<u64>,
    /// When it first had data that the store confirmed after the fault.
    recovered_ms: Option<u64>,
    /// Bytes per millisecond.
    link: u64,
    call: Option<Call>,
    next_ms: u64,
    store_calls: u64,
    /// When its source changed from an entry to the store.
    turned_ms: Vec<u64>,
    has_asked_entry: bool,
    max_age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    source: FeedSource,
    /// End of the wait, or of the response once that is sent.
    until_ms: u64,
    is_answered: bool,
    /// What the source had when the call began.
    source_confirmed_ms: u64,
    /// The response: time of its confirmation, and version.
    response: Option<(u64, u64)>,
    /// Bytes of the response that have not arrived.
    missing_bytes: f64,
}

/// Numbers of large and small VMs.
#[derive(Clone, Copy, Debug)]
struct Vms {
    large: usize,
    small: usize,
}

impl Vms {
    const fn alike(count: usize) -> Vms {
        Vms { large: count, small: 0 }
    }
}

struct Simulation {
    fault: Fault,
    /// Whether entries ignore the age of data.
    ignores_ages: bool,
    entries: Vec<Entry>,
    by_id: BTreeMap<u64, usize>,
    /// Entries by their rank in the tree.
    ranked: Vec<u64>,
}

impl Simulation {
    fn new(fault: Fault, vms: Vms, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entry = |at| {
            let is_large = at < vms.large;
            let milli_cores = if is_large { 1_000 } else { 90 };
            Entry {
                candidate: Candidate {
                    entry: rng.u64(1..),
                    capacity: CapacityClass::from_milli_cores(milli_cores),
                },
                sources: FeedSources::new(),
                confirmed_ms: 0,
                version: 0,
                changed_ms: None,
                recovered_ms: None,
                link: if is_large { LARGE_LINK } else { SMALL_LINK },
                call: None,
                next_ms: rng.u64(..500),
                store_calls: 0,
                turned_ms: Vec::new(),
                has_asked_entry: false,
                max_age_ms: 0,
            }
        };
        let entries: Vec<Entry> =
            (0..vms.large + vms.small).map(entry).collect();
        let ids = entries.iter().enumerate();
        let by_id = ids.map(|(at, e)| (e.candidate.entry, at)).collect();
        let candidates = entries.iter().map(|e| e.candidate);
        let ranked = ranked_by_capacity(candidates, FEED);
        Simulation { fault, ignores_ages: false, entries, by_id, ranked }
    }

    fn is_among_first(&self, boot_id: u64, count: usize) -> bool {
        self.ranked[..count].contains(&boot_id)
    }

    fn has_exited(&self, boot_id: u64, now_ms: u64) -> bool {
        match self.fault {
            Fault::Exited(count) => {
                now_ms >= FAULT_AT_MS && self.is_among_first(boot_id, count)
            }
            _ => false,
        }
    }

    fn is_paused(&self, boot_id: u64, now_ms: u64) -> bool {
        match self.fault {
            Fault::Paused(count, for_ms) => {
                (FAULT_AT_MS..FAULT_AT_MS + for_ms).contains(&now_ms)
                    && self.is_among_first(boot_id, count)
            }
            _ => false,
        }
    }

    /// Time for which a call of the store waits that begins now, and whether
    /// the store responds.
    fn call_store(&self, at: usize, now_ms: u64) -> (u64, bool) {
        let boot_id = self.entries[at].candidate.entry;
        let is_old =
            now_ms - self.entries[at].confirmed_ms > LONG_POLL_MAX_AGE_MS;
        let wait_ms = if is_old { 50 } else { STORE_WAIT_MS };
        let is_on = |for_ms: u64| {
            now_ms >= FAULT_AT_MS && now_ms < FAULT_AT_MS + for_ms
        };
        match self.fault {
            Fault::StoreUnavailable(for_ms) if is_on(for_ms) => (10, false),
            Fault::StoreRefuses(count, for_ms)
                if is_on(for_ms) && self.is_among_first(boot_id, count) =>
            {
                (10, false)
            }
            Fault::StoreSilent(count, for_ms)
                if is_on(for_ms) && self.is_among_first(boot_id, count) =>
            {
                (wait_ms + STORE_TIMEOUT_SLACK_MS, false)
            }
            _ => (wait_ms, true),
        }
    }

    fn begin_call(&mut self, at: usize, now_ms: u64) {
        let own = self.entries[at].candidate;
        let timeout_ago_ms = now_ms.saturating_sub(ABSENCE_TIMEOUT_MS);
        let is_live = |candidate: &Candidate| {
            *candidate != own
                && !self.has_exited(candidate.entry, timeout_ago_ms)
        };
        let others = self.entries.iter().map(|e| e.candidate);
        let others: Vec<Candidate> = others.filter(is_live).collect();
        let age_ms = now_ms - self.entries[at].confirmed_ms;
        let feed_peers = FeedPeers {
            own,
            peers: &others,
            must_read_store: false,
            may_lack_peers: false,
            roots: &[],
            age_ms: if self.ignores_ages { 0 } else { age_ms },
        };
        let source =
            self.entries[at].sources.choose(&feed_peers, FEED, now_ms);
        let mut source_confirmed_ms = 0;
        let (wait_ms, is_ok) = match source {
            FeedSource::Store => self.call_store(at, now_ms),
            FeedSource::Entry(asked) => {
                let wait_ms = match age_ms {
                    ..STALE_MS => ENTRY_WAIT_MS,
                    STALE_MS..OUTAGE_AGE_MS => STALE_ENTRY_WAIT_MS,
                    OUTAGE_AGE_MS.. => OUTAGE_ENTRY_WAIT_MS,
                };
                let asked_at = self.by_id[&asked];
                source_confirmed_ms = self.entries[asked_at].confirmed_ms;
                match self.has_exited(asked, now_ms) {
                    true => (1, false),
                    false => (wait_ms, true),
                }
            }
        };
        let entry = &mut self.entries[at];
        if source == FeedSource::Store {
            entry.store_calls += 1;
            if std::mem::take(&mut entry.has_asked_entry) {
                entry.turned_ms.push(now_ms);
            }
        } else {
            entry.has_asked_entry = true;
        }
        entry.call = Some(Call {
            source,
            until_ms: now_ms + wait_ms,
            is_answered: !is_ok,
            source_confirmed_ms,
            response: None,
            missing_bytes: 0.0,
        });
    }

    /// Lets the source of a call respond if it has something, or if the wait
    /// is over.
    fn answer(&mut self, at: usize, call: &mut Call, now_ms: u64) {
        let is_over = now_ms >= call.until_ms;
        let known_version = self.entries[at].version;
        match call.source {
            FeedSource::Store => {
                let version = self.fault.version(now_ms);
                if is_over || version > known_version {
                    call.response = Some((now_ms, version));
                    if version > known_version {
                        let bytes = self.fault.change_bytes().of_store;
                        call.missing_bytes = bytes as f64;
                    }
                    call.is_answered = true;
                }
            }
            FeedSource::Entry(asked) => {
                if self.has_exited(asked, now_ms) {
                    call.until_ms = now_ms;
                    call.is_answered = true;
                    return;
                }
                if self.is_paused(asked, now_ms) {
                    let limit_ms = call.until_ms + ENTRY_TIMEOUT_SLACK_MS;
                    call.is_answered = now_ms >= limit_ms;
                    return;
                }
                let asked_at = self.by_id[&asked];
                let source = &self.entries[asked_at];
                let has_change = source.version > known_version;
                let has_news = source.confirmed_ms > call.source_confirmed_ms;
                if !(is_over || has_change || has_news) {
                    return;
                }
                call.is_answered = true;
                call.response = Some((source.confirmed_ms, source.version));
                if has_change {
                    let bytes = self.fault.change_bytes().of_entry;
                    call.missing_bytes = bytes as f64;
                }
            }
        }
    }

    fn end_call(&mut self, at: usize, call: Call, now_ms: u64) {
        let entry = &mut self.entries[at];
        entry.call = None;
        entry.next_ms = now_ms;
        let outcome = match call.response {
            None => FetchOutcome::Failed,
            Some((confirmed_ms, version)) => {
                entry.confirmed_ms = entry.confirmed_ms.max(confirmed_ms);
                if version > entry.version {
                    entry.version = version;
                    entry.changed_ms = Some(now_ms);
                }
                let is_stale = now_ms - confirmed_ms > STALE_MS;
                match is_stale && !self.ignores_ages {
                    true => FetchOutcome::Stale,
                    false => FetchOutcome::Fresh,
                }
            }
        };
        if outcome == FetchOutcome::Failed {
            entry.next_ms = now_ms
                + match call.source {
                    FeedSource::Store => STORE_RETRY_DELAY_MS,
                    FeedSource::Entry(_) => ENTRY_RETRY_DELAY_MS,
                };
        }
        entry.sources.record_outcome(call.source, outcome, now_ms);
    }

    fn step(&mut self, at: usize, now_ms: u64) {
        let Some(mut call) = self.entries[at].call else {
            if self.entries[at].next_ms <= now_ms {
                self.begin_call(at, now_ms);
            }
            return;
        };
        if !call.is_answered {
            self.answer(at, &mut call, now_ms);
        }
        self.entries[at].call = Some(call);
        // A response that has begun lasts until all of it has arrived.
        let is_over = match call.response {
            Some(_) => call.missing_bytes <= 0.0,
            None => call.until_ms <= now_ms,
        };
        if call.is_answered && is_over {
            self.end_call(at, call, now_ms);
        }
    }

    /// Moves what the links carry in a millisecond. Transfers of an entry
    /// share its link.
    fn transfer(&mut self) {
        let source = |call: &Call| match call.source {
            FeedSource::Entry(entry) if call.missing_bytes > 0.0 => {
                Some(entry)
            }
            _ => None,
        };
        let calls = self.entries.iter().filter_map(|e| e.call.as_ref());
        let mut transfers: BTreeMap<u64, u64> = BTreeMap::new();
        for entry in calls.filter_map(source) {
            *transfers.entry(entry).or_default() += 1;
        }
        for at in 0..self.entries.len() {
            let own_link = self.entries[at].link;
            let Some(call) = &self.entries[at].call else { continue };
            let rate = source(call).map_or(own_link, |entry| {
                let link = self.entries[self.by_id[&entry]].link;
                own_link.min(link / transfers[&entry])
            });
            let call = self.entries[at].call.as_mut().expect("as above");
            call.missing_bytes = (call.missing_bytes - rate as f64).max(0.0);
        }
    }

    fn run(mut self) -> Simulation {
        for now_ms in 0..LENGTH_MS {
            self.transfer();
            for at in 0..self.entries.len() {
                let boot_id = self.entries[at].candidate.entry;
                if self.has_exited(boot_id, now_ms)
                    || self.is_paused(boot_id, now_ms)
                {
                    continue;
                }
                self.step(at, now_ms);
                let entry = &mut self.entries[at];
                if self
                    .fault
                    .end_ms()
                    .is_some_and(|end_ms| entry.confirmed_ms >= end_ms)
                {
                    entry.recovered_ms.get_or_insert(now_ms);
                }
                if now_ms >= FAULT_AT_MS - 1_000 {
                    let age_ms = now_ms - entry.confirmed_ms;
                    entry.max_age_ms = entry.max_age_ms.max(age_ms);
                }
            }
        }
        self
    }

    /// Maximum age of the data of entries that the fault does not affect.
    fn max_age_ms(&self) -> u64 {
        let affected: BTreeSet<u64> = match self.fault {
            Fault::None
            | Fault::StoreUnavailable(_)
            | Fault::WholeTableChanges(_)
            | Fault::LongRowChanges(_) => BTreeSet::new(),
            Fault::Exited(count) | Fault::Paused(count, _) => {
                self.ranked[..count].iter().copied().collect()
            }
            // Entries that the store refuses get the data from other entries.
            Fault::StoreRefuses(..) | Fault::StoreSilent(..) => {
                BTreeSet::new()
            }
        };
        let unaffected = self.entries.iter();
        let unaffected =
            unaffected.filter(|e| !affected.contains(&e.candidate.entry));
        unaffected.map(|entry| entry.max_age_ms).max().unwrap_or(0)
    }

    /// Times from the end of an outage until entries have recent data again,
    /// in order.
    fn recovery_times_ms(&self) -> Vec<u64> {
        let end_ms = self.fault.end_ms().unwrap_or(0);
        let recovered = |entry: &Entry| {
            entry.recovered_ms.map_or(u64::MAX, |ms| ms - end_ms)
        };
        let mut times: Vec<u64> = self.entries.iter().map(recovered).collect();
        times.sort_unstable();
        times
    }

    /// Times from the change until entries have it, in order.
    fn change_times_ms(&self) -> Vec<u64> {
        let time = |entry: &Entry| {
            entry.changed_ms.map_or(u64::MAX, |ms| ms - FAULT_AT_MS)
        };
        let mut times: Vec<u64> = self.entries.iter().map(time).collect();
        times.sort_unstable();
        times
    }

    fn store_calls(&self) -> u64 {
        self.entries.iter().map(|entry| entry.store_calls).sum()
    }

    /// Most entries that turned to the store within a second after the fault,
    /// besides the root.
    fn most_turned_in_1s(&self) -> usize {
        let others = self.entries.iter();
        let others = others.filter(|e| e.candidate.entry != self.ranked[0]);
        let turned = others.flat_map(|e| {
            e.turned_ms.iter().map(|ms| (*ms, e.candidate.entry))
        });
        let turned: Vec<(u64, u64)> =
            turned.filter(|(ms, _)| *ms >= FAULT_AT_MS).collect();
        let within = |from: u64| {
            let span = from..from + 1_000;
            let entries = turned.iter().filter(|(ms, _)| span.contains(ms));
            entries.map(|t| t.1).collect::<BTreeSet<u64>>().len()
        };
        turned.iter().map(|(ms, _)| within(*ms)).max().unwrap_or(0)
    }
}

struct Case {
    entries: usize,
    fault: Fault,
    /// Limit on the age of the data.
    max_age_ms: u64,
    /// Limit on calls of the store per second.
    max_calls_per_s: f64,
}

#[rstest]
#[case::no_fault(Case {
    entries: 14, fault: Fault::None, max_age_ms: 3_000, max_calls_per_s: 1.5,
})]
#[case::four_entries(Case {
    entries: 4, fault: Fault::None, max_age_ms: 3_000, max_calls_per_s: 1.5,
})]
#[case::three_read_the_store_themselves(Case {
    entries: 3, fault: Fault::None, max_age_ms: 3_000, max_calls_per_s: 3.0,
})]
#[case::three_and_the_store_refuses_one(Case {
    entries: 3, fault: Fault::StoreRefuses(1, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 6.0,
})]
#[case::three_and_one_is_partitioned_from_the_store(Case {
    entries: 3, fault: Fault::StoreSilent(1, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 6.0,
})]
#[case::the_reader_exits(Case {
    entries: 14, fault: Fault::Exited(1), max_age_ms: MAX_KEY_AGE_MS,
    max_calls_per_s: 3.0,
})]
#[case::both_readers_exit(Case {
    entries: 14, fault: Fault::Exited(2), max_age_ms: MAX_KEY_AGE_MS,
    max_calls_per_s: 6.0,
})]
#[case::the_reader_pauses(Case {
    entries: 14, fault: Fault::Paused(1, 5_000), max_age_ms: MAX_KEY_AGE_MS,
    max_calls_per_s: 4.0,
})]
#[case::both_readers_pause(Case {
    entries: 14, fault: Fault::Paused(2, 5_000), max_age_ms: MAX_KEY_AGE_MS,
    max_calls_per_s: 8.0,
})]
#[case::the_store_refuses_the_reader(Case {
    entries: 14, fault: Fault::StoreRefuses(1, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 4.0,
})]
#[case::the_store_refuses_a_third(Case {
    entries: 14, fault: Fault::StoreRefuses(5, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 8.0,
})]
#[case::the_reader_is_partitioned_from_the_store(Case {
    entries: 14, fault: Fault::StoreSilent(1, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 4.0,
})]
#[case::a_third_is_partitioned_from_the_store(Case {
    entries: 14, fault: Fault::StoreSilent(5, 8_000),
    max_age_ms: MAX_KEY_AGE_MS, max_calls_per_s: 8.0,
})]
#[case::the_store_is_unavailable(Case {
    entries: 14, fault: Fault::StoreUnavailable(8_000),
    max_age_ms: 8_000 + MAX_KEY_AGE_MS, max_calls_per_s: 8.0,
})]
fn data_stays_recent_with_few_store_calls(#[case] case: Case) {
    for seed in 0..20 {
        let simulation =
            Simulation::new(case.fault, Vms::alike(case.entries), seed).run();
        let calls =
            simulation.store_calls() as f64 * 1_000.0 / LENGTH_MS as f64;
        let max_age_ms = simulation.max_age_ms();
        println!("{seed}: oldest {max_age_ms} ms, {calls:.1} calls/s");
        assert!(max_age_ms <= case.max_age_ms, "{seed}: {max_age_ms} ms");
        assert!(calls <= case.max_calls_per_s, "{seed}: {calls:.1} a second");
    }
}

/// Guards the use of ages: if entries ignore the age of received data, two
/// readers that the store refuses leave all other entries with old data.
#[test]
fn without_ages_readers_refused_by_the_store_leave_others_with_old_data() {
    let fault = Fault::StoreRefuses(2, 8_000);
    let simulation = Simulation {
        ignores_ages: true,
        ..Simulation::new(fault, Vms::alike(14), 1)
    };
    let max_age_ms = simulation.run().max_age_ms();
    assert!(max_age_ms > MAX_KEY_AGE_MS, "{max_age_ms} ms");
}

/// Time within which a change must be in force at all entries; half of them
/// have it in half of the time.
const MAX_APPLY_MS: u64 = 2_000;

struct Outage {
    entries: usize,
    duration_ms: u64,
}

#[rstest]
#[case::too_few_to_share(Outage { entries: 3, duration_ms: 8_000 })]
#[case::few_entries(Outage { entries: 4, duration_ms: 3_000 })]
#[case::some_seconds(Outage { entries: 14, duration_ms: 3_000 })]
#[case::long(Outage { entries: 14, duration_ms: 8_000 })]
#[case::many_entries(Outage { entries: 70, duration_ms: 3_000 })]
fn entries_have_recent_data_soon_after_an_outage(#[case] case: Outage) {
    let fault = Fault::StoreUnavailable(case.duration_ms);
    for seed in 0..20 {
        let simulation =
            Simulation::new(fault, Vms::alike(case.entries), seed).run();
        let times = simulation.recovery_times_ms();
        let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
        assert!(median <= MAX_APPLY_MS / 2, "{seed}: {median} ms");
        assert!(last <= MAX_APPLY_MS, "{seed}: {last} ms");
    }
}

/// A reader that pauses for longer than its interval between attempts at the
/// store must not wait for the store alone.
#[test]
fn a_reader_asks_an_entry_between_two_attempts_at_a_failing_store() {
    let candidate = |entry| Candidate {
        entry,
        capacity: CapacityClass::from_milli_cores(190),
    };
    let peers = [11, 12, 13, 14].map(candidate);
    for own in 1..40 {
        let own = candidate(own);
        let feed_peers = FeedPeers {
            own,
            peers: &peers,
            must_read_store: false,
            may_lack_peers: false,
            roots: &[],
            age_ms: 60_000,
        };
        let mut sources = FeedSources::new();
        let mut now_ms = 0;
        for _ in 0..20 {
            now_ms += 10_000;
            let source = sources.choose(&feed_peers, FEED, now_ms);
            let outcome = match source {
                FeedSource::Store => FetchOutcome::Failed,
                FeedSource::Entry(_) => FetchOutcome::Fresh,
            };
            sources.record_outcome(source, outcome, now_ms);
            if outcome == FetchOutcome::Failed {
                let next = sources.choose(&feed_peers, FEED, now_ms + 5_000);
                assert_ne!(next, FeedSource::Store, "{own:?}");
            }
        }
    }
}

/// Entries of one data centre of five: 437 and 1,000 entries in all.
const OF_437: Vms = Vms { large: 13, small: 76 };
const OF_1000: Vms = Vms { large: 30, small: 170 };
/// Of 30 entries of five data centres that may turn to the store in a second.
const MAX_TURNED_IN_1S: usize = 6;

struct LargeCase {
    vms: Vms,
    fault: Fault,
    max_age_ms: u64,
}

#[rstest]
fn in_a_large_fleet_few_entries_turn_to_the_store_at_once(
    #[values(OF_437, OF_1000, Vms { large: 0, small: 89 })] vms: Vms,
    #[values(
        (Fault::WholeTableChanges(200_000), 4_000),
        (Fault::Exited(1), MAX_KEY_AGE_MS),
        (Fault::Exited(13), MAX_KEY_AGE_MS),
        (Fault::Paused(1, 5_000), MAX_KEY_AGE_MS),
        (Fault::Paused(13, 5_000), MAX_KEY_AGE_MS),
        (Fault::StoreRefuses(1, 9_000), MAX_KEY_AGE_MS),
        (Fault::StoreRefuses(13, 9_000), MAX_KEY_AGE_MS),
        (Fault::StoreRefuses(29, 9_000), MAX_KEY_AGE_MS),
        (Fault::StoreSilent(13, 9_000), MAX_KEY_AGE_MS),
        (Fault::StoreUnavailable(8_000), 8_000 + MAX_KEY_AGE_MS),
    )]
    fault: (Fault, u64),
) {
    let (fault, max_age_ms) = fault;
    let case = LargeCase { vms, fault, max_age_ms };
    for seed in 0..3 {
        let simulation = Simulation::new(case.fault, case.vms, seed).run();
        let turned = simulation.most_turned_in_1s();
        let age_ms = simulation.max_age_ms();
        let calls = simulation.store_calls();
        println!("{seed}: {turned} in 1 s, {calls} calls, {age_ms} ms");
        assert!(turned <= MAX_TURNED_IN_1S, "{seed}: {turned} in 1 s");
        assert!(age_ms <= case.max_age_ms, "{seed}: {age_ms} ms");
    }
}

/// Time in which a change must be known to the middle entry, and to the last.
const MEDIAN_CHANGE_MS: u64 = 1_000;
const LAST_CHANGE_MS: u64 = 1_500;

#[rstest]
#[case::of_437(OF_437)]
#[case::of_1000(OF_1000)]
fn a_change_of_all_rows_reaches_a_large_fleet(#[case] vms: Vms) {
    for seed in 0..3 {
        let fault = Fault::WholeTableChanges(200_000);
        let simulation = Simulation::new(fault, vms, seed).run();
        let times = simulation.change_times_ms();
        let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{seed}: {median} ms, {last} ms");
        assert!(median <= MEDIAN_CHANGE_MS, "{seed}: {median} ms");
        assert!(last <= LAST_CHANGE_MS, "{seed}: {last} ms");
    }
}

/// What the root of a data centre does about the first of all roots.
struct RootCase {
    /// The first of all roots; the own entry is 1.
    first_root: u64,
    /// How the first root responded to the last call, if it was asked.
    outcome: Option<FetchOutcome>,
    age_ms: u64,
    expected: FeedSource,
}

#[rstest]
#[case::it_is_the_first(RootCase {
    first_root: 1, outcome: None, age_ms: 900, expected: FeedSource::Store,
})]
#[case::another_is_the_first(RootCase {
    first_root: 99, outcome: None, age_ms: 900,
    expected: FeedSource::Entry(99),
})]
#[case::the_first_responds(RootCase {
    first_root: 99, outcome: Some(FetchOutcome::Fresh), age_ms: 900,
    expected: FeedSource::Entry(99),
})]
#[case::the_first_fails(RootCase {
    first_root: 99, outcome: Some(FetchOutcome::Failed), age_ms: 900,
    expected: FeedSource::Store,
})]
#[case::the_first_has_old_data(RootCase {
    first_root: 99, outcome: Some(FetchOutcome::Stale), age_ms: 2_100,
    expected: FeedSource::Store,
})]
fn a_root_asks_the_first_root_while_that_responds(#[case] case: RootCase) {
    let candidate = |entry, milli_cores| Candidate {
        entry,
        capacity: CapacityClass::from_milli_cores(milli_cores),
    };
    let peers = [2, 3, 4, 5].map(|entry| candidate(entry, 90));
    let roots = [case.first_root, 50, 1];
    let feed_peers = FeedPeers {
        own: candidate(1, 1_000),
        peers: &peers,
        must_read_store: false,
        may_lack_peers: false,
        roots: &roots,
        age_ms: case.age_ms,
    };
    let mut sources = FeedSources::new();
    if let Some(outcome) = case.outcome {
        let source = FeedSource::Entry(case.first_root);
        sources.record_outcome(source, outcome, 9_000);
    }
    assert_eq!(sources.choose(&feed_peers, FEED, 9_100), case.expected);
}

/// Configurations like those of an operator, one route a line.
struct Routes {
    count: usize,
    added: usize,
    changed: usize,
}

impl Routes {
    /// The configuration before and after the change.
    fn configurations(&self) -> (Vec<u8>, Vec<u8>) {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut name = |length| -> String {
            (0..length).map(|_| rng.lowercase()).collect()
        };
        let mut route = || {
            format!(
                "{{\"name\":\"r-{}\",\"hostname\":\"{}.example\",\
                 \"prefix\":\"/{}/\",\"kind\":\"idempotent\",\
                 \"timeout-ms\":800,\"target-latency-ms\":150,\
                 \"priority\":2,\"service\":\"catalogue-app\",\
                 \"max-attempts\":2,\"public\":false}}",
                name(7),
                name(6),
                name(8)
            )
        };
        let mut routes: Vec<String> =
            (0..self.count).map(|_| route()).collect();
        let before = routes.join(",").into_bytes();
        for at in 0..self.changed {
            routes[at * self.count / self.changed] = route();
        }
        routes.extend((0..self.added).map(|_| route()));
        (before, routes.join(",").into_bytes())
    }

    /// Lengths of the responses with the change.
    fn response_bytes(&self) -> ResponseBytes {
        let (before, after) = self.configurations();
        // The store sends base64.
        let of_store = after.len() as u64 * 4 / 3;
        let of_entry = compress(&after, &before).len() as u64;
        ResponseBytes { of_store, of_entry }
    }
}

/// Entries of a data centre without a large VM.
const FEW_SMALL: Vms = Vms { large: 0, small: 14 };
const MANY_SMALL: Vms = Vms { large: 0, small: 200 };

/// A change is in force everywhere in time, however small the links and
/// however large the configuration is beside what changed.
#[rstest]
#[case::one_route(Routes { count: 5_600, added: 0, changed: 1 })]
#[case::many_routes_more(Routes { count: 4_200, added: 1_400, changed: 0 })]
#[case::one_route_of_twice_as_many(Routes {
    count: 11_200, added: 0, changed: 1,
})]
fn a_change_of_a_large_configuration_reaches_entries_with_small_links(
    #[case] routes: Routes,
    #[values(FEW_SMALL, MANY_SMALL, OF_437)] vms: Vms,
) {
    let fault = Fault::LongRowChanges(routes.response_bytes());
    for seed in 0..3 {
        let simulation = Simulation::new(fault, vms, seed).run();
        let times = simulation.change_times_ms();
        let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{seed}: {median} ms, {last} ms");
        assert!(last <= MAX_APPLY_MS, "{seed}: {last} ms");
    }
}
