//! How often entries tell each other.

use std::collections::BTreeMap;

use chestnutreach_membership::gossip::{
    BASE_INTERVAL_MS, PeerScope, RoundRobin, planner_timeout_ms,
};
use rstest::rstest;

struct Case {
    whom: PeerScope,
    count: usize,
    interval_ms: u64,
}

#[rstest]
#[case::none(Case { whom: PeerScope::SameDataCentre, count: 0, interval_ms: 200 })]
#[case::few(Case { whom: PeerScope::SameDataCentre, count: 13, interval_ms: 200 })]
#[case::some_far(Case { whom: PeerScope::OtherDataCentre, count: 4, interval_ms: 200 })]
#[case::many_far(Case { whom: PeerScope::OtherDataCentre, count: 54, interval_ms: 1_000 })]
#[case::by_planner(Case {
    whom: PeerScope::FromPlanner, count: 300, interval_ms: 800,
})]
fn silence_is_counted_in_messages(#[case] case: Case) {
    let Case { whom, count, interval_ms } = case;
    assert_eq!(whom.interval_ms(count), interval_ms);
    // Three lost messages in a row are no absence.
    assert!(whom.absence_timeout_ms(count) > 4 * interval_ms);
    assert!(whom.expiry_ms(count) > 2 * whom.absence_timeout_ms(count));
    assert!(planner_timeout_ms(count) >= 3 * BASE_INTERVAL_MS);
}

#[rstest]
#[case::fewer_than_at_once(5, 24)]
#[case::more(54, 12)]
#[case::many(300, 24)]
fn each_is_told_once_in_an_interval(
    #[case] count: usize,
    #[case] at_once: usize,
) {
    let all: Vec<usize> = (0..count).collect();
    let mut rounds = RoundRobin::default();
    let mut told: BTreeMap<usize, usize> = BTreeMap::new();
    let laps = 6 * count.div_ceil(at_once);
    for _ in 0..laps {
        let now = rounds.next_batch(&all, at_once);
        assert!(now.len() <= at_once);
        for one in now {
            *told.entry(one).or_default() += 1;
        }
    }
    assert_eq!(told.len(), count);
    assert!(told.values().all(|times| *times >= 6), "{told:?}");
}

#[test]
fn a_list_that_shrinks_loses_nobody() {
    let mut rounds = RoundRobin::default();
    rounds.next_batch(&[1, 2, 3, 4, 5, 6], 5);
    assert_eq!(rounds.next_batch(&[1, 2], 5).len(), 2);
    assert_eq!(rounds.next_batch::<u32>(&[], 5), []);
    assert_eq!(rounds.next_batch(&[7], 5), [7]);
}
