//! When the messages of other entries were sent.

use chestnutreach_membership::send_times::SendTimes;
use rstest::rstest;

/// Difference between the clocks of two VMs.
const OFFSET_MS: u64 = 1_000_000;

/// Messages of one process as times of sending and of arrival, and when the
/// last one was sent in the view of the receiver.
struct Case {
    messages: Vec<(u64, u64)>,
    last_sent_ms: u64,
}

#[rstest]
#[case::the_first_counts_as_new(Case {
    messages: vec![(100, 400)], last_sent_ms: 400,
})]
#[case::one_that_waited_is_older(Case {
    messages: vec![(100, 101), (300, 2_301)], last_sent_ms: 301,
})]
#[case::the_quickest_sets_the_offset(Case {
    messages: vec![(100, 900), (300, 301), (500, 2_000)],
    last_sent_ms: 501,
})]
#[case::a_clock_that_runs_ahead_by_little(Case {
    messages: vec![(100, 100), (300_000, 300_000), (700_000, 700_030),
        (1_400_000, 1_400_060), (2_100_000, 2_100_090)],
    last_sent_ms: 2_100_060,
})]
fn a_message_is_as_old_as_it_came_later(
    #[case] case: Case,
    #[values(0, OFFSET_MS)] sender_ahead_ms: u64,
    #[values(0, OFFSET_MS)] receiver_ahead_ms: u64,
) {
    let mut times = SendTimes::new();
    let mut sent_ms = 0;
    for (sent, received) in case.messages {
        sent_ms = times.sent_ms(
            7,
            sent + sender_ahead_ms,
            received + receiver_ahead_ms,
        );
    }
    assert_eq!(sent_ms, case.last_sent_ms + receiver_ahead_ms);
}

#[test]
fn a_message_without_a_time_counts_as_new() {
    let mut times = SendTimes::new();
    assert_eq!(times.sent_ms(7, 5, 10), 10);
    assert_eq!(times.sent_ms(7, 0, 500), 500);
}

#[test]
fn each_process_has_its_own_clock() {
    let mut times = SendTimes::new();
    assert_eq!(times.sent_ms(7, 5, 10), 10);
    assert_eq!(times.sent_ms(8, 5, 900), 900);
    assert_eq!(times.sent_ms(7, 105, 900), 110);
}

/// Where all messages wait, only those to itself show it.
#[test]
fn a_message_is_as_old_as_one_of_the_process_to_itself() {
    let mut times = SendTimes::new();
    times.record_own(3_000, 5_000);
    assert_eq!(times.sent_ms(7, 100, 5_000), 3_000);
    assert_eq!(times.sent_ms(7, 0, 5_000), 3_000);
    times.record_own(5_000, 5_001);
    assert_eq!(times.sent_ms(7, 3_200, 6_000), 5_999);
}
