//! Whose duty something is.

use std::collections::BTreeMap;

use chestnutreach_membership::rendezvous::{is_assigned, ranked};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_loss_moves_only_what_was_of_the_lost(
        entries in prop::collection::btree_set(any::<u64>(), 2..40),
        duty in any::<u64>(),
        lost in any::<prop::sample::Index>(),
    ) {
        let before = ranked(entries.iter().copied(), duty);
        let lost = before[lost.index(before.len())];
        let left = entries.iter().copied().filter(|e| *e != lost);
        let mut expected = before;
        expected.retain(|entry| *entry != lost);
        prop_assert_eq!(ranked(left, duty), expected);
    }

    #[test]
    fn who_holds_a_duty_agrees_with_the_ranks(
        entries in prop::collection::btree_set(any::<u64>(), 1..40),
        duty in any::<u64>(),
        holders in 1_usize..4,
    ) {
        let ranked = ranked(entries.iter().copied(), duty);
        for entry in &entries {
            let others = entries.iter().copied();
            let is_among = ranked.iter().take(holders).any(|e| e == entry);
            prop_assert_eq!(is_assigned(*entry, others, duty, holders), is_among);
        }
    }
}

#[test]
fn duties_are_dealt_evenly() {
    let mut rng = fastrand::Rng::with_seed(3);
    let entries: Vec<u64> = (0..14).map(|_| rng.u64(..)).collect();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for duty in 0..2_800 {
        let first = ranked(entries.iter().copied(), duty)[0];
        *counts.entry(first).or_default() += 1;
    }
    // 200 each; five standard deviations are 68.
    assert!(counts.values().all(|c| (132..=268).contains(c)), "{counts:?}");
}
