//! Assignments by rendezvous hashing.

use std::collections::BTreeMap;

use chestnutreach_membership::rendezvous::{is_assigned, ranked};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_loss_moves_only_assignments_of_the_lost_entry(
        entries in prop::collection::btree_set(any::<u64>(), 2..40),
        assignment in any::<u64>(),
        lost in any::<prop::sample::Index>(),
    ) {
        let before = ranked(entries.iter().copied(), assignment);
        let lost = before[lost.index(before.len())];
        let remaining = entries.iter().copied().filter(|e| *e != lost);
        let mut expected = before;
        expected.retain(|entry| *entry != lost);
        prop_assert_eq!(ranked(remaining, assignment), expected);
    }

    #[test]
    fn is_assigned_agrees_with_the_ranks(
        entries in prop::collection::btree_set(any::<u64>(), 1..40),
        assignment in any::<u64>(),
        assignees in 1_usize..4,
    ) {
        let ranked = ranked(entries.iter().copied(), assignment);
        for entry in &entries {
            let others = entries.iter().copied();
            let is_among = ranked.iter().take(assignees).any(|e| e == entry);
            prop_assert_eq!(
                is_assigned(*entry, others, assignment, assignees),
                is_among
            );
        }
    }
}

#[test]
fn assignments_are_distributed_evenly() {
    let mut rng = fastrand::Rng::with_seed(3);
    let entries: Vec<u64> = (0..14).map(|_| rng.u64(..)).collect();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for assignment in 0..2_800 {
        let first = ranked(entries.iter().copied(), assignment)[0];
        *counts.entry(first).or_default() += 1;
    }
    // 200 each on average; five standard deviations are 68.
    assert!(counts.values().all(|c| (132..=268).contains(c)), "{counts:?}");
}
