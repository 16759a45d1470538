//! Simulates entries that start at once, on a virtual clock: how many calls of
//! the table of entries it takes until all are introduced.

use chestnutreach_membership::{
    gossip::PeerScope,
    startup::{StartPlan, heard_ms, pause_after_ms},
};
use rstest::rstest;

/// Time a message takes, and a call of the store.
const MESSAGE_MS: u64 = 2;
const CALL_MS: u64 = 6;
/// Time until the process of a large and of a small VM runs.
const LARGE_START_MS: u64 = 30;
const SMALL_START_MS: u64 = 400;
/// All VMs start within this time of each other.
const SPREAD_MS: u64 = 300;
const LENGTH_MS: u64 = 6_000;
/// Entries that may turn to the store for one cause in a second.
const MAX_TURNED: usize = 30;
/// Reads of the two readers after their first, within the simulated time.
const READS_OF_READERS: usize = 2 * 6;

#[derive(Clone, Copy, Debug)]
struct Case {
    large: usize,
    small: usize,
    /// Thousandths of a core of a small VM.
    small_milli_cores: u32,
    /// Entries that run already and send to all others.
    running: usize,
    max_writes: usize,
    max_reads: usize,
    /// Limit on the time until all are introduced.
    max_introduced_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    start_ms: u64,
    plan: StartPlan,
    is_listed: bool,
    reads: usize,
    next_read_ms: Option<u64>,
    met_ms: Option<u64>,
}

struct Counts {
    writes: usize,
    reads: usize,
    introduced_ms: u64,
}

/// Entries that read the table send a message to all rows that they find. A
/// reader reads again while others may still list themselves.
fn start(case: Case, seed: u64) -> Counts {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = case.large + case.small;
    let entry = |at| {
        let is_large = at < case.large;
        let (milli_cores, delay_ms) = match is_large {
            true => (1_000, LARGE_START_MS),
            false => (case.small_milli_cores, SMALL_START_MS),
        };
        Entry {
            start_ms: rng.u64(..SPREAD_MS) + delay_ms,
            plan: StartPlan::new(milli_cores, [rng.f64(), rng.f64()]),
            is_listed: false,
            reads: 0,
            next_read_ms: None,
            met_ms: None,
        }
    };
    let mut entries: Vec<Entry> = (0..count).map(entry).collect();
    if case.running > 0 {
        // Those that run send to each address in turns of 12 in 0.2 s.
        let turn_ms = 200 * (count as u64).div_ceil(12);
        for entry in &mut entries {
            let first = (0..case.running).map(|_| rng.u64(..turn_ms)).min();
            entry.met_ms = first.map(|ms| entry.start_ms + ms);
        }
    }
    // Two readers go on; here those that read first.
    let mut readers = 0;
    let mut counts = Counts { writes: 0, reads: 0, introduced_ms: 0 };
    for now_ms in 0..LENGTH_MS {
        for at in 0..count {
            let entry = entries[at].clone();
            let is_met = entry.met_ms.is_some_and(|ms| ms <= now_ms);
            let age_ms = now_ms.checked_sub(entry.start_ms);
            let Some(age_ms) = age_ms else { continue };
            if !is_met && !entry.is_listed && age_ms >= entry.plan.list_ms {
                entries[at].is_listed = true;
                counts.writes += 1;
            }
            let is_first_read = entry.reads == 0
                && !is_met
                && age_ms >= entry.plan.read_ms + CALL_MS;
            let is_due = entry.next_read_ms.is_some_and(|ms| ms <= now_ms);
            if !is_first_read && !is_due {
                continue;
            }
            counts.reads += 1;
            entries[at].reads += 1;
            entries[at].next_read_ms = None;
            if is_due || readers < 2 {
                readers += usize::from(!is_due);
                let pause_ms = pause_after_ms(entries[at].reads, true);
                entries[at].next_read_ms = Some(now_ms + pause_ms);
            }
            let met_ms = now_ms + CALL_MS + MESSAGE_MS;
            entries[at].met_ms.get_or_insert(met_ms);
            for other in entries.iter_mut().filter(|e| e.is_listed) {
                let met_ms = other.met_ms.unwrap_or(u64::MAX).min(met_ms);
                other.met_ms = Some(met_ms);
            }
        }
    }
    let introduced = entries.iter().map(|entry| {
        entry.met_ms.map_or(u64::MAX, |ms| ms.saturating_sub(entry.start_ms))
    });
    counts.introduced_ms = introduced.max().unwrap_or(0);
    counts
}

#[rstest]
#[case::five_alike(Case {
    large: 0, small: 5, small_milli_cores: 190, running: 0,
    max_writes: 5, max_reads: 5 + 12, max_introduced_ms: 1_300,
})]
#[case::of_437_all_at_once(Case {
    large: 65, small: 372, small_milli_cores: 90, running: 0,
    max_writes: 437, max_reads: 437 / 2, max_introduced_ms: 1_800,
})]
#[case::of_1000_all_at_once(Case {
    large: 150, small: 850, small_milli_cores: 90, running: 0,
    max_writes: 1_000, max_reads: 1_000 / 2, max_introduced_ms: 1_800,
})]
#[case::half_of_437_restart(Case {
    large: 32, small: 186, small_milli_cores: 90, running: 219,
    max_writes: MAX_TURNED,
    max_reads: MAX_TURNED + READS_OF_READERS, max_introduced_ms: 1_000,
})]
#[case::half_of_1000_restart(Case {
    large: 75, small: 425, small_milli_cores: 90, running: 500,
    max_writes: MAX_TURNED,
    max_reads: MAX_TURNED + READS_OF_READERS, max_introduced_ms: 1_000,
})]
fn entries_that_start_find_each_other_with_few_calls(#[case] case: Case) {
    for seed in 0..10 {
        let counts = start(case, seed);
        let Counts { writes, reads, introduced_ms } = counts;
        println!("{seed}: {writes} writes, {reads} reads, {introduced_ms} ms");
        assert!(writes <= case.max_writes, "{seed}: {writes} writes");
        assert!(reads <= case.max_reads, "{seed}: {reads} reads");
        assert!(
            introduced_ms <= case.max_introduced_ms,
            "{seed}: {introduced_ms} ms"
        );
    }
}

/// Entries that ask each other for their lists forget one that has ended when
/// the last of them alone would.
#[rstest]
#[case::with_its_silence(heard_ms, true)]
#[case::as_if_heard_now(|_, now_ms| now_ms, false)]
fn entries_do_not_name_an_ended_entry_to_each_other_for_good(
    #[case] heard: fn(u64, u64) -> u64,
    #[case] is_forgotten: bool,
) {
    const COUNT: usize = 100;
    let mut rng = fastrand::Rng::with_seed(5);
    let expiry_ms = PeerScope::OtherDataCentre.expiry_ms(350);
    // When each of them last heard the one that ends.
    let last_ms = PeerScope::OtherDataCentre.interval_ms(350);
    let mut heard_at_ms: Vec<Option<u64>> =
        (0..COUNT).map(|_| Some(rng.u64(..last_ms))).collect();
    let pause_ms = pause_after_ms(9, false);
    let mut known_until_ms = 0;
    let mut next_read_ms: Vec<u64> =
        (0..COUNT).map(|_| rng.u64(..pause_ms)).collect();
    for now_ms in (last_ms..20 * pause_ms).step_by(100) {
        for at in 0..COUNT {
            let is_over = |ms: &u64| now_ms - ms > expiry_ms;
            if heard_at_ms[at].as_ref().is_some_and(is_over) {
                heard_at_ms[at] = None;
            }
            if now_ms < next_read_ms[at] {
                continue;
            }
            next_read_ms[at] = now_ms + pause_ms;
            let named = heard_at_ms[rng.usize(..COUNT)];
            if heard_at_ms[at].is_none() {
                heard_at_ms[at] = named.map(|ms| heard(now_ms - ms, now_ms));
            }
        }
        if heard_at_ms.iter().any(Option::is_some) {
            known_until_ms = now_ms;
        }
    }
    let limit_ms = last_ms + expiry_ms + 200;
    println!("known until {known_until_ms} ms, alone {limit_ms} ms");
    assert_eq!(known_until_ms <= limit_ms, is_forgotten);
}
