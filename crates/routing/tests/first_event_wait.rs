//! When a stream without a first event is overdue.

use chestnutreach_routing::FirstEventWaits;
use rstest::rstest;

const MIN_WAIT_MS: u64 = 350;

struct Case {
    name: &'static str,
    /// Send time and wait of each of the other streams.
    others: &'static [(u64, u64)],
    /// When the stream in question is checked; it was sent at 1,000 ms.
    now_ms: u64,
    is_overdue: bool,
}

const CALM: &[(u64, u64)] = &[
    (500, 50),
    (600, 60),
    (700, 40),
    (800, 55),
    (900, 90),
    (1_100, 50),
    (1_200, 60),
    (1_250, 45),
];

#[rstest]
#[case(Case {
    name: "overtaken, and waits far longer than the others",
    others: CALM, now_ms: 1_360, is_overdue: true,
})]
#[case(Case {
    name: "has not waited for the minimum time",
    others: CALM, now_ms: 1_340, is_overdue: false,
})]
#[case(Case {
    name: "too few others have begun",
    others: &[(1_100, 50), (1_200, 60)], now_ms: 1_900, is_overdue: false,
})]
#[case(Case {
    name: "not overtaken",
    others: &[
        (100, 50), (200, 60), (300, 40), (400, 55), (500, 90), (600, 50),
        (700, 60), (800, 45),
    ],
    now_ms: 1_900, is_overdue: false,
})]
#[case(Case {
    name: "all streams wait long",
    others: &[
        (500, 700), (600, 800), (700, 750), (800, 900), (900, 850),
        (1_100, 800), (1_150, 820), (1_200, 840),
    ],
    now_ms: 2_400, is_overdue: false,
})]
fn a_stream_is_overdue_only_if_later_ones_began_much_sooner(
    #[case] case: Case,
) {
    let mut waits = FirstEventWaits::new();
    for (sent_ms, waited_ms) in case.others {
        waits.record(*sent_ms, sent_ms + waited_ms);
    }
    let is_overdue = waits.is_overdue(1_000, MIN_WAIT_MS, case.now_ms);
    assert_eq!(is_overdue, case.is_overdue, "{}", case.name);
}
