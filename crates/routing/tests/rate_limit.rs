//! The limit that a server names in its answers.

use chestnutreach_routing::{ServerRateLimit, rate_limit::MIN_PER_S};
use proptest::prelude::*;
use rstest::rstest;

/// What one answer says.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Named { per_s: f64, received_ms: u64 },
    Unnamed { sent_ms: u64 },
}

fn take(limit: &mut ServerRateLimit, answer: Answer) {
    match answer {
        Answer::Named { per_s, received_ms } => {
            limit.record_announced(per_s, received_ms);
        }
        Answer::Unnamed { sent_ms } => limit.record_absent(sent_ms),
    }
}

struct Case {
    answers: &'static [Answer],
    in_force: Option<f64>,
}

#[rstest]
#[case::nothing_known(Case { answers: &[], in_force: None })]
#[case::named(Case {
    answers: &[Answer::Named { per_s: 5.0, received_ms: 100 }],
    in_force: Some(5.0),
})]
#[case::sent_before_it_was_named(Case {
    answers: &[
        Answer::Named { per_s: 5.0, received_ms: 100 },
        Answer::Unnamed { sent_ms: 90 },
    ],
    in_force: Some(5.0),
})]
#[case::sent_after(Case {
    answers: &[
        Answer::Named { per_s: 5.0, received_ms: 100 },
        Answer::Unnamed { sent_ms: 101 },
    ],
    in_force: None,
})]
#[case::named_anew(Case {
    answers: &[
        Answer::Named { per_s: 5.0, received_ms: 100 },
        Answer::Unnamed { sent_ms: 101 },
        Answer::Named { per_s: 2.0, received_ms: 130 },
    ],
    in_force: Some(2.0),
})]
#[case::zero_lets_some_through(Case {
    answers: &[Answer::Named { per_s: 0.0, received_ms: 100 }],
    in_force: Some(MIN_PER_S),
})]
fn a_limit_holds_until_a_later_answer_names_none(#[case] case: Case) {
    let mut limit = ServerRateLimit::new();
    for answer in case.answers {
        take(&mut limit, *answer);
    }
    let in_force = limit.current().map(|named| named.per_s);
    assert_eq!(in_force, case.in_force);
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        (0.0..100.0, 0_u64..200).prop_map(|(per_s, received_ms)| {
            Answer::Named { per_s, received_ms }
        }),
        (0_u64..200).prop_map(|sent_ms| Answer::Unnamed { sent_ms }),
    ]
}

proptest! {
    /// Entries that heard the same know the same.
    #[test]
    fn order_and_repetition_of_news_do_not_matter(
        answers in prop::collection::vec(answer(), 0..12),
        shuffled in any::<prop::sample::Index>(),
    ) {
        let mut limit = ServerRateLimit::new();
        answers.iter().for_each(|answer| take(&mut limit, *answer));
        let mut other = answers.clone();
        if !other.is_empty() {
            let at = shuffled.index(other.len());
            other.rotate_left(at);
            other.push(other[at]);
            other.reverse();
        }
        let mut changed = ServerRateLimit::new();
        other.iter().for_each(|answer| take(&mut changed, *answer));
        prop_assert_eq!(limit, changed);
    }

    /// An answer that may have begun before the need does not end it.
    #[test]
    fn only_a_request_sent_after_the_last_named_answer_ends_it(
        answers in prop::collection::vec(answer(), 1..12),
    ) {
        let mut limit = ServerRateLimit::new();
        answers.iter().for_each(|answer| take(&mut limit, *answer));
        let named = answers.iter().filter_map(|answer| match answer {
            Answer::Named { received_ms, .. } => Some(*received_ms),
            Answer::Unnamed { .. } => None,
        });
        let unnamed = answers.iter().filter_map(|answer| match answer {
            Answer::Named { .. } => None,
            Answer::Unnamed { sent_ms } => Some(*sent_ms),
        });
        let holds = match (named.max(), unnamed.max()) {
            (None, _) => false,
            (Some(named), unnamed) => unnamed.is_none_or(|at| at <= named),
        };
        prop_assert_eq!(limit.current().is_some(), holds);
    }
}
