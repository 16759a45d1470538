//! Intervals and timeouts of messages between entries.

use std::collections::BTreeMap;

use chestnutreach_membership::gossip::{
    BASE_INTERVAL_MS, PeerScope, RoundRobin, demand_timeout_ms,
    planner_timeout_ms, repeat_timeout_ms, report_delay_ms,
};
use rstest::rstest;

struct Case {
    scope: PeerScope,
    count: usize,
    interval_ms: u64,
}

#[rstest]
#[case::no_peers(Case {
    scope: PeerScope::SameDataCentre, count: 0, interval_ms: 200,
})]
#[case::few_in_the_same_data_centre(Case {
    scope: PeerScope::SameDataCentre, count: 13, interval_ms: 200,
})]
#[case::few_in_other_data_centres(Case {
    scope: PeerScope::OtherDataCentre, count: 4, interval_ms: 200,
})]
#[case::many_in_other_data_centres(Case {
    scope: PeerScope::OtherDataCentre, count: 54, interval_ms: 1_000,
})]
#[case::from_planner(Case {
    scope: PeerScope::FromPlanner, count: 300, interval_ms: 800,
})]
fn timeouts_allow_for_lost_messages_at_any_interval(#[case] case: Case) {
    let Case { scope, count, interval_ms } = case;
    assert_eq!(scope.interval_ms(count), interval_ms);
    // Three lost messages in a row are no absence.
    assert!(scope.absence_timeout_ms(count) > 4 * interval_ms);
    assert!(scope.expiry_ms(count) > 2 * scope.absence_timeout_ms(count));
    assert!(planner_timeout_ms(count) >= 3 * BASE_INTERVAL_MS);
}

/// A report has arrived within the delay even if one message is lost, at any
/// number of entries of five data centres.
#[rstest]
fn a_report_arrives_within_its_delay(
    #[values(5, 14, 70, 437, 1_000)] entries: usize,
) {
    let same = (entries - 1) / 5;
    let other = entries - 1 - same;
    let mut rounds = RoundRobin::default();
    let peers: Vec<usize> = (0..other).collect();
    let fan_out = PeerScope::OtherDataCentre.fan_out();
    let mut sent_ms: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for now_ms in (0..60_000).step_by(BASE_INTERVAL_MS as usize) {
        for peer in rounds.next_batch(&peers, fan_out) {
            sent_ms.entry(peer).or_default().push(now_ms);
        }
    }
    let delay_ms = report_delay_ms(same, other);
    // Between the first and the third message, the second one is lost.
    let spans = sent_ms.values().flat_map(|at| at.windows(3));
    let longest_ms = spans.map(|at| at[2] - at[0]).max().unwrap_or(0);
    assert!(longest_ms < delay_ms, "{longest_ms} ms, {delay_ms} ms");
    assert!(longest_ms < repeat_timeout_ms(same, other));
    // What is reported counts until it is reported again.
    let spans = sent_ms.values().flat_map(|at| at.windows(2));
    let longest_ms = spans.map(|at| at[1] - at[0]).max().unwrap_or(0);
    assert!(longest_ms < demand_timeout_ms(same, other), "{longest_ms} ms");
}

#[rstest]
#[case::fewer_than_a_batch(5, 24)]
#[case::several_batches(54, 12)]
#[case::many_batches(300, 24)]
fn each_peer_gets_a_message_in_every_round(
    #[case] count: usize,
    #[case] batch_size: usize,
) {
    let all: Vec<usize> = (0..count).collect();
    let mut round_robin = RoundRobin::default();
    let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
    let batches = 6 * count.div_ceil(batch_size);
    for _ in 0..batches {
        let batch = round_robin.next_batch(&all, batch_size);
        assert!(batch.len() <= batch_size);
        for peer in batch {
            *sent.entry(peer).or_default() += 1;
        }
    }
    assert_eq!(sent.len(), count);
    assert!(sent.values().all(|times| *times >= 6), "{sent:?}");
}

#[test]
fn a_list_that_shrinks_between_batches_skips_no_peer() {
    let mut round_robin = RoundRobin::default();
    round_robin.next_batch(&[1, 2, 3, 4, 5, 6], 5);
    assert_eq!(round_robin.next_batch(&[1, 2], 5).len(), 2);
    assert_eq!(round_robin.next_batch::<u32>(&[], 5), []);
    assert_eq!(round_robin.next_batch(&[7], 5), [7]);
}
