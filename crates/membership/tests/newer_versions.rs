//! When an entry is known to lack a version that others have.

use chestnutreach_membership::{NewerVersions, newer_versions::grace_ms};
use proptest::prelude::*;
use rstest::rstest;

struct Case {
    /// Versions and when they were reported.
    reports: &'static [(u64, u64)],
    own_version: u64,
    confirmed_ms: u64,
    lacking_since_ms: Option<u64>,
}

#[rstest]
#[case::nothing_reported(Case {
    reports: &[], own_version: 7, confirmed_ms: 0, lacking_since_ms: None,
})]
#[case::older_and_same(Case {
    reports: &[(6, 10), (7, 20)], own_version: 7, confirmed_ms: 0,
    lacking_since_ms: None,
})]
#[case::first_report_counts(Case {
    reports: &[(8, 10), (8, 500)], own_version: 7, confirmed_ms: 0,
    lacking_since_ms: Some(10),
})]
#[case::first_of_several(Case {
    reports: &[(9, 10), (8, 20)], own_version: 7, confirmed_ms: 0,
    lacking_since_ms: Some(10),
})]
#[case::caught_up_with_the_first(Case {
    reports: &[(8, 10), (9, 20)], own_version: 8, confirmed_ms: 0,
    lacking_since_ms: Some(20),
})]
#[case::confirmed_since(Case {
    reports: &[(8, 10)], own_version: 7, confirmed_ms: 11,
    lacking_since_ms: None,
})]
#[case::confirmed_before(Case {
    reports: &[(8, 10)], own_version: 7, confirmed_ms: 9,
    lacking_since_ms: Some(10),
})]
fn an_entry_lacks_what_was_reported_since_the_confirmation(
    #[case] case: Case,
) {
    let mut newer = NewerVersions::default();
    for (version, reported_ms) in case.reports {
        newer.record(*version, *reported_ms);
    }
    let lacking = newer.lacking_since_ms(case.own_version, case.confirmed_ms);
    assert_eq!(lacking, case.lacking_since_ms);
}

/// A report that was wrong is forgotten, and counts anew if it is repeated.
#[test]
fn a_report_that_the_store_has_refuted_counts_from_its_repetition() {
    let mut newer = NewerVersions::default();
    newer.record(8, 10);
    assert_eq!(newer.lacking_since_ms(7, 100), None);
    newer.record(8, 200);
    assert_eq!(newer.lacking_since_ms(7, 100), Some(200));
}

#[rstest]
#[case::few_entries(2_000, 400, 1_600)]
#[case::many_entries(3_000, 1_800, 1_500)]
#[case::reports_later_than_changes(5_000, 13_400, 2_500)]
fn the_grace_period_leaves_room_for_late_reports(
    #[case] apply_ms: u64,
    #[case] report_delay_ms: u64,
    #[case] expected_ms: u64,
) {
    assert_eq!(grace_ms(apply_ms, report_delay_ms), expected_ms);
}

proptest! {
    /// Against a list of all reports, with any number of versions.
    #[test]
    fn an_entry_never_lacks_a_version_that_it_has_or_that_was_refuted(
        reports in proptest::collection::vec((0_u64..60, 0_u64..1_000), 0..90),
        own_version in 0_u64..60,
        confirmed_ms in 0_u64..1_000,
    ) {
        let mut newer = NewerVersions::default();
        for (version, reported_ms) in &reports {
            newer.record(*version, *reported_ms);
        }
        let lacking = newer.lacking_since_ms(own_version, confirmed_ms);
        let counts = |(version, reported_ms): &&(u64, u64)| {
            *version > own_version && *reported_ms > confirmed_ms
        };
        let counted: Vec<u64> =
            reports.iter().filter(counts).map(|r| r.1).collect();
        prop_assert!(lacking.is_none_or(|since| counted.contains(&since)));
    }
}
