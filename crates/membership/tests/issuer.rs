//! Who grants what all entries share.

use std::collections::BTreeMap;

use chestnutreach_membership::issuer::{IssuerView, sharing_count};
use proptest::prelude::*;
use rstest::rstest;

const DUTY: u64 = 5;

/// Who hears whom, as one bit for each pair.
fn hears(pairs: &[bool], entries: usize, own: usize, other: usize) -> bool {
    own != other && pairs[own * entries + other]
}

proptest! {
    /// However entries hear each other, the parts of all issuers are at most
    /// the whole.
    #[test]
    fn parts_never_add_up_to_more_than_the_whole(
        entries in 2_usize..9,
        pairs in prop::collection::vec(any::<bool>(), 81),
        duty in any::<u64>(),
    ) {
        let id = |at: usize| at as u64 + 100;
        let live_of = |own: usize| -> Vec<u64> {
            let heard =
                (0..entries).filter(|o| hears(&pairs, entries, own, *o));
            heard.map(id).collect()
        };
        let none = BTreeMap::new();
        let choice = |own: usize| {
            let live = live_of(own);
            let known_count = entries - 1;
            let view =
                IssuerView { own: id(own), is_leaving: false, live: &live, known_count, choices: &none };
            view.choose_issuer(duty, &[])
        };
        let choices: BTreeMap<u64, u64> =
            (0..entries).map(|own| (id(own), choice(own))).collect();
        let mut whole = 0.0;
        for own in 0..entries {
            if choice(own) != id(own) {
                continue;
            }
            let live = live_of(own);
            let known_count = entries - 1;
            let choices = &choices;
            let view = IssuerView { own: id(own), is_leaving: false, live: &live, known_count, choices };
            whole += view.share();
        }
        prop_assert!(whole <= 1.0 + 1e-9, "parts add up to {}", whole);
    }
}

#[test]
fn entries_that_hear_each_other_choose_the_same() {
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
        view.choose_issuer(DUTY, &[])
    });
    assert!(chosen.iter().all(|c| *c == chosen[0]), "{chosen:?}");
}

#[test]
fn one_that_does_not_answer_is_not_chosen() {
    let choices = BTreeMap::new();
    let live = [8, 11, 40];
    let view = IssuerView {
        own: 3,
        is_leaving: false,
        live: &live,
        known_count: 3,
        choices: &choices,
    };
    let first = view.choose_issuer(DUTY, &[]);
    assert_ne!(view.choose_issuer(DUTY, &[first]), first);
}

#[test]
fn an_entry_that_was_lost_still_counts() {
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

/// Entries that were cut into two groups.
struct Cut {
    groups: [usize; 2],
    /// How long ago.
    age_ms: u64,
    /// Parts that both grant together.
    together: f64,
}

impl Cut {
    /// The part that the issuer of a group grants.
    fn part(&self, own: usize, others: usize) -> f64 {
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

/// A group that is not the larger one goes on to count the others while they
/// are cut off, and the larger one takes what is left a while later.
#[rstest]
#[case::one_of_three(Cut { groups: [1, 2], age_ms: 29_000, together: 1.0 })]
#[case::for_long(Cut { groups: [1, 2], age_ms: 31_000, together: 4.0 / 3.0 })]
#[case::one_of_seventy(Cut {
    groups: [1, 69], age_ms: 590_000, together: 71.0 / 70.0,
})]
#[case::halves(Cut { groups: [35, 35], age_ms: 590_000, together: 1.0 })]
#[case::regions(Cut {
    groups: [30, 40], age_ms: 590_000, together: 1.0 + 3.0 / 7.0,
})]
fn a_long_cut_does_not_double_what_is_granted(#[case] cut: Cut) {
    let [one, other] = cut.groups;
    let together = cut.part(one, other) + cut.part(other, one);
    assert!((together - cut.together).abs() < 1e-9, "{together}");
}

/// Those that are left take the whole limit.
#[test]
fn a_lost_entry_counts_for_a_while_only() {
    assert_eq!(sharing_count(2, [29_000]), 3);
    assert_eq!(sharing_count(2, [31_000]), 2);
    assert_eq!(sharing_count(0, [31_000, 31_000]), 2);
    assert_eq!(sharing_count(0, [601_000, 601_000]), 0);
}
