//! Whose duty something is, by rendezvous hashing over the live entries.
//!
//! Every process ranks the entries that it hears, so nobody assigns anything
//! and nothing is stored. Two processes that hear different entries differ
//! about few duties: then two hold one, which costs a duplicate, or one asks
//! an entry that does not hold it, which then takes it up. A loss moves only
//! the duties of the entry that was lost.

/// Entries by their rank for a duty, the first of them its holder.
pub fn ranked(
    entries: impl IntoIterator<Item = u64>,
    assignment: u64,
) -> Vec<u64> {
    let mut ranked: Vec<u64> = entries.into_iter().collect();
    ranked.sort_unstable_by_key(|entry| (score(*entry, assignment), *entry));
    ranked.dedup();
    ranked
}

/// Whether an entry is among the first `holders` for a duty.
pub fn is_assigned(
    entry: u64,
    others: impl IntoIterator<Item = u64>,
    assignment: u64,
    holders: usize,
) -> bool {
    let own = (score(entry, assignment), entry);
    let goes_before = |other: &u64| {
        *other != entry && (score(*other, assignment), *other) < own
    };
    others.into_iter().filter(goes_before).take(holders).count() < holders
}

fn score(entry: u64, assignment: u64) -> u64 {
    mixed(entry ^ mixed(assignment))
}

/// The finalizer of SplitMix64: every bit of the result depends on all.
fn mixed(value: u64) -> u64 {
    let mut value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
