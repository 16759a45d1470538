//! What answers say of the rest that their servers want.

use std::time::Duration;

use chestnutreach_http::retry_after::{RetryAfter, parse};
use rstest::rstest;

struct Rest {
    status: u16,
    values: &'static [&'static str],
    read: RetryAfter,
}

#[rstest]
#[case::absent(Rest { status: 503, values: &[], read: RetryAfter::Absent })]
#[case::whole(Rest {
    status: 503, values: &["3"], read: RetryAfter::Delay(Duration::from_millis(3000)),
})]
#[case::fraction(Rest {
    status: 503, values: &["0.25"], read: RetryAfter::Delay(Duration::from_millis(250)),
})]
#[case::other_status(Rest {
    status: 500, values: &["3"], read: RetryAfter::Absent,
})]
#[case::date(Rest {
    status: 503,
    values: &["Fri, 04 Dec 2026 10:00:00 GMT"],
    read: RetryAfter::Malformed,
})]
#[case::negative(Rest {
    status: 503, values: &["-3"], read: RetryAfter::Malformed,
})]
#[case::nothing(Rest {
    status: 503, values: &[""], read: RetryAfter::Malformed,
})]
#[case::twice(Rest {
    status: 503, values: &["3", "x", "5"], read: RetryAfter::Delay(Duration::from_millis(5000)),
})]
#[case::beyond_an_hour(Rest {
    status: 503,
    values: &["99999999999999999999999999999999"],
    read: RetryAfter::Delay(Duration::from_secs(3_600)),
})]
#[case::exponent(Rest {
    status: 503, values: &["1e308"], read: RetryAfter::Malformed,
})]
fn a_rest_is_a_number_of_seconds(#[case] case: Rest) {
    let values = case.values.iter().copied();
    assert_eq!(parse(case.status, values), case.read);
}
