//! The rate limit that a server announces in its responses.

use chestnutreach_routing::{ServerRateLimit, rate_limit::MIN_PER_S};
use proptest::prelude::*;
use rstest::rstest;

/// Content of one response.
#[derive(Clone, Copy, Debug)]
enum Response {
    Limit { per_s: f64, received_ms: u64 },
    NoLimit { sent_ms: u64 },
}

fn record(limit: &mut ServerRateLimit, response: Response) {
    match response {
        Response::Limit { per_s, received_ms } => {
            limit.record_announced(per_s, received_ms);
        }
        Response::NoLimit { sent_ms } => limit.record_absent(sent_ms),
    }
}

struct Case {
    responses: &'static [Response],
    current_per_s: Option<f64>,
}

#[rstest]
#[case::nothing_known(Case { responses: &[], current_per_s: None })]
#[case::announced(Case {
    responses: &[Response::Limit { per_s: 5.0, received_ms: 100 }],
    current_per_s: Some(5.0),
})]
#[case::no_limit_in_a_response_to_an_earlier_request(Case {
    responses: &[
        Response::Limit { per_s: 5.0, received_ms: 100 },
        Response::NoLimit { sent_ms: 90 },
    ],
    current_per_s: Some(5.0),
})]
#[case::no_limit_in_a_response_to_a_later_request(Case {
    responses: &[
        Response::Limit { per_s: 5.0, received_ms: 100 },
        Response::NoLimit { sent_ms: 101 },
    ],
    current_per_s: None,
})]
#[case::announced_again(Case {
    responses: &[
        Response::Limit { per_s: 5.0, received_ms: 100 },
        Response::NoLimit { sent_ms: 101 },
        Response::Limit { per_s: 2.0, received_ms: 130 },
    ],
    current_per_s: Some(2.0),
})]
#[case::zero_is_raised_to_the_minimum(Case {
    responses: &[Response::Limit { per_s: 0.0, received_ms: 100 }],
    current_per_s: Some(MIN_PER_S),
})]
fn a_limit_applies_until_a_later_request_gets_no_limit(#[case] case: Case) {
    let mut limit = ServerRateLimit::new();
    for response in case.responses {
        record(&mut limit, *response);
    }
    let current_per_s = limit.current().map(|announced| announced.per_s);
    assert_eq!(current_per_s, case.current_per_s);
}

fn response() -> impl Strategy<Value = Response> {
    prop_oneof![
        (0.0..100.0, 0_u64..200).prop_map(|(per_s, received_ms)| {
            Response::Limit { per_s, received_ms }
        }),
        (0_u64..200).prop_map(|sent_ms| Response::NoLimit { sent_ms }),
    ]
}

proptest! {
    /// Entries that recorded the same responses have the same state.
    #[test]
    fn order_and_repetition_of_responses_do_not_matter(
        responses in prop::collection::vec(response(), 0..12),
        shuffled in any::<prop::sample::Index>(),
    ) {
        let mut limit = ServerRateLimit::new();
        responses.iter().for_each(|response| record(&mut limit, *response));
        let mut reordered = responses.clone();
        if !reordered.is_empty() {
            let at = shuffled.index(reordered.len());
            reordered.rotate_left(at);
            reordered.push(reordered[at]);
            reordered.reverse();
        }
        let mut reordered_limit = ServerRateLimit::new();
        reordered
            .iter()
            .for_each(|response| record(&mut reordered_limit, *response));
        prop_assert_eq!(limit, reordered_limit);
    }

    /// A response that the server may have begun before its limit does not end
    /// the limit.
    #[test]
    fn only_a_request_sent_after_the_last_limit_was_received_ends_it(
        responses in prop::collection::vec(response(), 1..12),
    ) {
        let mut limit = ServerRateLimit::new();
        responses.iter().for_each(|response| record(&mut limit, *response));
        let announced = responses.iter().filter_map(|response| match response {
            Response::Limit { received_ms, .. } => Some(*received_ms),
            Response::NoLimit { .. } => None,
        });
        let absent = responses.iter().filter_map(|response| match response {
            Response::Limit { .. } => None,
            Response::NoLimit { sent_ms } => Some(*sent_ms),
        });
        let applies = match (announced.max(), absent.max()) {
            (None, _) => false,
            (Some(announced), absent) => {
                absent.is_none_or(|at| at <= announced)
            }
        };
        prop_assert_eq!(limit.current().is_some(), applies);
    }
}
