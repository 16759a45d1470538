//! Rendezvous hashing of assignments over the live entries.
//!
//! Every process ranks the entries that it receives messages from, so nothing
//! is coordinated or stored. Two processes with different lists of live
//! entries disagree about few assignments. Then either two entries hold the
//! same assignment, which costs a duplicate, or a process asks an entry that
//! does not hold the assignment, and that entry takes it over. The loss of an
//! entry moves only the assignments of that entry.
//!
//! Assignments that send to many entries go to entries of the highest
//! [`CapacityClass`] first, because the VMs of a fleet can differ a
//! hundredfold. All others rank behind and take over if those are lost.

use std::cmp::Reverse;

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

/// Capacity of an entry's VM: the power of two below its share of a core. VMs
/// that differ by less than twice are usually in one class and share the
/// assignments.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CapacityClass(u32);

impl CapacityClass {
    /// The class of a VM with a share of a core, in thousandths; 0 if the
    /// share is not known.
    pub fn from_milli_cores(milli_cores: u32) -> CapacityClass {
        CapacityClass(milli_cores.checked_ilog2().map_or(0, |log| log + 1))
    }
}

/// An entry that assignments by capacity may go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Boot id of the entry.
    pub entry: u64,
    /// Capacity that the entry reported.
    pub capacity: CapacityClass,
}

impl Candidate {
    /// Sorts candidates by rank for an assignment.
    fn rank_key(self, assignment: u64) -> impl Ord {
        (Reverse(self.capacity), score(self.entry, assignment), self.entry)
    }
}

/// Entries by rank for an assignment: those of the highest class first, in the
/// order of [`ranked`] within a class.
pub fn ranked_by_capacity(
    candidates: impl IntoIterator<Item = Candidate>,
    assignment: u64,
) -> Vec<u64> {
    let mut ranked: Vec<Candidate> = candidates.into_iter().collect();
    ranked.sort_unstable_by_key(|c| c.rank_key(assignment));
    ranked.dedup_by_key(|c| c.entry);
    ranked.into_iter().map(|c| c.entry).collect()
}

/// The candidate that ranks first in [`ranked_by_capacity`].
pub fn first_by_capacity(
    candidates: impl IntoIterator<Item = Candidate>,
    assignment: u64,
) -> Option<Candidate> {
    candidates.into_iter().min_by_key(|c| c.rank_key(assignment))
}

/// Whether a candidate is among the first `assignees` in
/// [`ranked_by_capacity`].
pub fn is_assigned_by_capacity(
    own: Candidate,
    others: impl IntoIterator<Item = Candidate>,
    assignment: u64,
    assignees: usize,
) -> bool {
    let all = others.into_iter().chain([own]);
    let ranked = ranked_by_capacity(all, assignment);
    ranked.iter().take(assignees).any(|entry| *entry == own.entry)
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
