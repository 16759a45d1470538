//! Entries that start together, replayed: the streams that were cut come back
//! to all of them before anybody has told what it uses.

use chestnutreach_routing::UsageEstimate;
use rstest::rstest;

/// Room of the fast engine and of all slower ones, in streams.
const FAST_ROOM: u64 = 160;
const SLOW_ROOM: u64 = 350;
/// Streams that came back to each entry on average.
const BACK: u64 = 12;

struct Case {
    entries: u64,
    /// Streams that the fast engine may refuse in all.
    most_refused: u64,
    /// Streams that it must get.
    least_sent: u64,
}

/// Streams that are sent to the fast engine, if each entry prefers it while
/// it sees room.
fn sent_to_fast(entries: u64, knows_others: bool) -> u64 {
    let mut rng = fastrand::Rng::with_seed(entries);
    let mut sent = 0;
    for _ in 0..entries {
        let streams = rng.u64(BACK / 2..=BACK + BACK / 2);
        let mut own = 0;
        for _ in 0..streams {
            let entries_without_report =
                if knows_others { entries - 1 } else { 0 };
            let with = UsageEstimate {
                own: own + 1,
                reported: 0,
                entries_without_report,
            };
            own += u64::from(with.total() <= FAST_ROOM);
        }
        sent += own;
    }
    sent
}

#[rstest]
#[case::alone(Case { entries: 1, most_refused: 0, least_sent: BACK / 2 })]
#[case::five(Case { entries: 5, most_refused: 0, least_sent: 5 * BACK / 2 })]
#[case::today(Case { entries: 23, most_refused: 0, least_sent: 120 })]
#[case::seventy(Case { entries: 70, most_refused: 0, least_sent: 120 })]
fn no_more_go_to_an_engine_than_it_has_room_for(#[case] case: Case) {
    let sent = sent_to_fast(case.entries, true);
    assert!(sent.saturating_sub(FAST_ROOM) <= case.most_refused, "{sent}");
    assert!(sent >= case.least_sent, "{sent}");
}

/// What the test above finds: where nobody thinks of the others, all go to
/// the fast engine, more than it and the slower ones have room for together.
#[test]
fn without_it_all_go_to_the_same() {
    let sent = sent_to_fast(70, false);
    assert!(sent > FAST_ROOM + SLOW_ROOM, "{sent}");
}

#[test]
fn what_is_told_replaces_what_was_assumed() {
    let before =
        UsageEstimate { own: 3, reported: 0, entries_without_report: 22 };
    let after =
        UsageEstimate { own: 3, reported: 20, entries_without_report: 0 };
    assert_eq!(before.total(), 69);
    assert_eq!(after.total(), 23);
}
