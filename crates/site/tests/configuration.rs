//! Which configuration replaces the one in force.

use chestnutreach_site::{Configuration, Limits, StoreVersion};
use rstest::rstest;

struct Case {
    version: u64,
    has_other_content: bool,
    era: u64,
    is_in_force_then: bool,
}

/// Version 4 is in force, read from a row of era 2.
#[rstest]
#[case::newer(Case {
    version: 5, has_other_content: true, era: 2, is_in_force_then: true,
})]
#[case::newer_after_a_restore(Case {
    version: 5, has_other_content: true, era: 3, is_in_force_then: true,
})]
#[case::older(Case {
    version: 3, has_other_content: true, era: 2, is_in_force_then: false,
})]
#[case::older_after_a_restore(Case {
    version: 3, has_other_content: true, era: 3, is_in_force_then: false,
})]
#[case::same(Case {
    version: 4, has_other_content: false, era: 2, is_in_force_then: false,
})]
#[case::written_again(Case {
    version: 4, has_other_content: false, era: 3, is_in_force_then: false,
})]
#[case::same_version_in_one_history(Case {
    version: 4, has_other_content: true, era: 2, is_in_force_then: false,
})]
#[case::same_version_after_a_restore(Case {
    version: 4, has_other_content: true, era: 3, is_in_force_then: true,
})]
#[case::same_version_of_an_earlier_history(Case {
    version: 4, has_other_content: true, era: 1, is_in_force_then: false,
})]
fn a_configuration_replaces_an_older_one(#[case] case: Case) {
    let in_force = Configuration { version: 4, ..Configuration::default() };
    let mut new = Configuration { version: case.version, ..in_force.clone() };
    if case.has_other_content {
        new.limits = Limits { max_body_bytes: 1, ..Limits::default() };
    }
    let row_in_force = StoreVersion::new(2, 50);
    let row = StoreVersion::new(case.era, 20);
    let is_replaced = new.replaces(&in_force, row, row_in_force);
    assert_eq!(is_replaced, case.is_in_force_then);
}
