//! Which entry issues permits, and for which share of the limit.

use std::collections::BTreeMap;

use chestnutreach_membership::issuer::{IssuerView, sharing_count};
use proptest::prelude::*;
use rstest::rstest;

const ASSIGNMENT: u64 = 5;

/// Whether `own` receives messages of `other`; one flag for each pair.
fn receives_from(
    links: &[bool],
    entries: usize,
    own: usize,
    other: usize,
) -> bool {
    own != other && links[own * entries + other]
}

proptest! {
    /// Whichever entries receive each other's messages, the shares of all
    /// issuers add up to at most the whole.
    #[test]
    fn shares_never_add_up_to_more_than_the_whole(
        entries in 2_usize..9,
        links in prop::collection::vec(any::<bool>(), 81),
        assignment in any::<u64>(),
    ) {
        let id = |at: usize| at as u64 + 100;
        let live_of = |own: usize| -> Vec<u64> {
            let live = (0..entries)
                .filter(|o| receives_from(&links, entries, own, *o));
            live.map(id).collect()
        };
        let none = BTreeMap::new();
        let choice = |own: usize| {
            let live = live_of(own);
            let known_count = entries - 1;
            let view = IssuerView {
                own: id(own),
                is_leaving: false,
                live: &live,
                known_count,
                choices: &none,
            };
            view.choose_issuer(assignment, &[])
        };
        let choices: BTreeMap<u64, u64> =
            (0..entries).map(|own| (id(own), choice(own))).collect();
        let mut total_share = 0.0;
        for own in 0..entries {
            if choice(own) != id(own) {
                continue;
            }
            let live = live_of(own);
            let known_count = entries - 1;
            let choices = &choices;
            let view = IssuerView {
                own: id(own),
                is_leaving: false,
                live: &live,
                known_count,
                choices,
            };
            total_share += view.share();
        }
        prop_assert!(
            total_share <= 1.0 + 1e-9,
            "shares add up to {}", total_share
        );
    }
}

#[test]
fn connected_entries_choose_the_same_issuer() {
    let entries = [3_u64, 8, 11, 40];
    let choices = BTreeMap::new();
    let chosen = entries.map(|own| {
        let live: Vec<u64> =
            entries.into_iter().filter(|e| *e != own).collect();
        let view = IssuerView {
            own,
            is_leaving: false,
            live: &live,
            known_count: 3,
            choices: &choices,
        };
        view.choose_issuer(ASSIGNMENT, &[])
    });
    assert!(chosen.iter().all(|c| *c == chosen[0]), "{chosen:?}");
}

#[test]
fn an_unresponsive_issuer_is_not_chosen() {
    let choices = BTreeMap::new();
    let live = [8, 11, 40];
    let view = IssuerView {
        own: 3,
        is_leaving: false,
        live: &live,
        known_count: 3,
        choices: &choices,
    };
    let first = view.choose_issuer(ASSIGNMENT, &[]);
    assert_ne!(view.choose_issuer(ASSIGNMENT, &[first]), first);
}

#[test]
fn a_lost_entry_still_counts_as_known() {
    let choices = BTreeMap::new();
    let live = [8, 11];
    let view = IssuerView {
        own: 3,
        is_leaving: false,
        live: &live,
        known_count: 3,
        choices: &choices,
    };
    assert!((view.share() - 0.75).abs() < 1e-9);
}

/// Entries that a partition separates into two groups.
struct Partition {
    groups: [usize; 2],
    /// Time since the partition began.
    age_ms: u64,
    /// Sum of the shares that both groups grant.
    total_share: f64,
}

impl Partition {
    /// Share that the issuer of a group grants.
    fn share(&self, own: usize, others: usize) -> f64 {
        let choices = BTreeMap::new();
        let live: Vec<u64> = (1..own as u64).collect();
        let lost_for_ms = std::iter::repeat_n(self.age_ms, others);
        let view = IssuerView {
            own: 0,
            is_leaving: false,
            live: &live,
            known_count: sharing_count(own - 1, lost_for_ms),
            choices: &choices,
        };
        view.share()
    }
}

/// Guards against two groups that each grant the whole limit for long: a group
/// without a majority keeps counting the lost entries, and a majority takes
/// over their share only after a while.
#[rstest]
#[case::one_of_three_shortly(Partition {
    groups: [1, 2], age_ms: 29_000, total_share: 1.0,
})]
#[case::one_of_three_for_longer(Partition {
    groups: [1, 2], age_ms: 31_000, total_share: 4.0 / 3.0,
})]
#[case::one_of_seventy(Partition {
    groups: [1, 69], age_ms: 590_000, total_share: 71.0 / 70.0,
})]
#[case::halves(Partition {
    groups: [35, 35], age_ms: 590_000, total_share: 1.0,
})]
#[case::regions(Partition {
    groups: [30, 40], age_ms: 590_000, total_share: 1.0 + 3.0 / 7.0,
})]
fn a_long_partition_does_not_double_the_limit(#[case] partition: Partition) {
    let [one, other] = partition.groups;
    let total_share =
        partition.share(one, other) + partition.share(other, one);
    assert!(
        (total_share - partition.total_share).abs() < 1e-9,
        "{total_share}"
    );
}

/// The remaining entries take over the whole limit after the timeout.
#[test]
fn a_lost_entry_counts_only_until_its_timeout() {
    assert_eq!(sharing_count(2, [29_000]), 3);
    assert_eq!(sharing_count(2, [31_000]), 2);
    assert_eq!(sharing_count(0, [31_000, 31_000]), 2);
    assert_eq!(sharing_count(0, [601_000, 601_000]), 0);
}
