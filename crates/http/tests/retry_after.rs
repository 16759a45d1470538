//! Cooldowns that responses request with `Retry-After`.

use std::time::Duration;

use chestnutreach_http::retry_after::{RetryAfter, parse};
use rstest::rstest;

struct Case {
    status: u16,
    values: &'static [&'static str],
    parsed: RetryAfter,
}

#[rstest]
#[case::absent(Case { status: 503, values: &[], parsed: RetryAfter::Absent })]
#[case::whole_number(Case {
    status: 503, values: &["3"], parsed: RetryAfter::Delay(Duration::from_millis(3000)),
})]
#[case::fraction(Case {
    status: 503, values: &["0.25"], parsed: RetryAfter::Delay(Duration::from_millis(250)),
})]
#[case::other_status(Case {
    status: 500, values: &["3"], parsed: RetryAfter::Absent,
})]
#[case::date(Case {
    status: 503,
    values: &["Fri, 04 Dec 2026 10:00:00 GMT"],
    parsed: RetryAfter::Malformed,
})]
#[case::negative(Case {
    status: 503, values: &["-3"], parsed: RetryAfter::Malformed,
})]
#[case::empty(Case {
    status: 503, values: &[""], parsed: RetryAfter::Malformed,
})]
#[case::longest_of_several(Case {
    status: 503, values: &["3", "x", "5"], parsed: RetryAfter::Delay(Duration::from_millis(5000)),
})]
#[case::beyond_an_hour(Case {
    status: 503,
    values: &["99999999999999999999999999999999"],
    parsed: RetryAfter::Delay(Duration::from_secs(3_600)),
})]
#[case::exponent(Case {
    status: 503, values: &["1e308"], parsed: RetryAfter::Malformed,
})]
fn cooldown_is_a_number_of_seconds(#[case] case: Case) {
    let values = case.values.iter().copied();
    assert_eq!(parse(case.status, values), case.parsed);
}
