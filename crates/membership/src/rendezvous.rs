//! Rendezvous hashing of assignments over the live entries.
//!
//! Every process ranks the entries that it receives messages from, so nothing
//! is coordinated or stored. Two processes with different lists of live
//! entries disagree about few assignments. Then either two entries hold the
//! same assignment, which costs a duplicate, or a process asks an entry that
//! does not hold the assignment, and that entry takes it over. The loss of an
//! entry moves only the assignments of that entry.

/// Entries by rank for an assignment; the first entry is the assignee.
pub fn ranked(
    entries: impl IntoIterator<Item = u64>,
    assignment: u64,
) -> Vec<u64> {
    let mut ranked: Vec<u64> = entries.into_iter().collect();
    ranked.sort_unstable_by_key(|entry| (score(*entry, assignment), *entry));
    ranked.dedup();
    ranked
}

/// Whether an entry is among the first `assignees` for an assignment.
pub fn is_assigned(
    entry: u64,
    others: impl IntoIterator<Item = u64>,
    assignment: u64,
    assignees: usize,
) -> bool {
    let own = (score(entry, assignment), entry);
    let ranks_higher = |other: &u64| {
        *other != entry && (score(*other, assignment), *other) < own
    };
    others.into_iter().filter(ranks_higher).take(assignees).count() < assignees
}

fn score(entry: u64, assignment: u64) -> u64 {
    mix(entry ^ mix(assignment))
}

/// The finalizer of SplitMix64: every output bit depends on all input bits.
fn mix(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
