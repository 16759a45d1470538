//! Short forms of long rows.

use chestnutreach_membership::{
    RowChange, TableCopy,
    short_rows::{
        MAX_ROW_BYTES, MIN_LONG_ROW_BYTES, ShortRows, compress, try_decompress,
    },
};
use chestnutreach_site::StoreVersion;
use proptest::prelude::*;
use rstest::rstest;

/// A row of random lower-case letters.
fn text(length: usize, seed: u64) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..length).map(|_| rng.lowercase() as u8).collect()
}

struct FormCase {
    value: Vec<u8>,
    base: Vec<u8>,
    max_bytes: usize,
}

#[rstest]
#[case::empty(FormCase { value: vec![], base: vec![], max_bytes: 64 })]
#[case::without_base(FormCase {
    value: text(100_000, 1), base: vec![], max_bytes: 70_000,
})]
#[case::unchanged(FormCase {
    value: text(1_000_000, 1), base: text(1_000_000, 1), max_bytes: 1_000,
})]
#[case::longer(FormCase {
    value: text(1_010_000, 1), base: text(1_000_000, 1), max_bytes: 9_000,
})]
#[case::shorter(FormCase {
    value: text(900_000, 1), base: text(1_000_000, 1), max_bytes: 1_000,
})]
#[case::other(FormCase {
    value: text(100_000, 1), base: text(100_000, 2), max_bytes: 70_000,
})]
#[case::longest(FormCase {
    value: text(MAX_ROW_BYTES, 1), base: text(MAX_ROW_BYTES, 1),
    max_bytes: 4_000,
})]
fn a_short_form_follows_the_length_of_the_change(#[case] case: FormCase) {
    let bytes = compress(&case.value, &case.base);
    assert!(bytes.len() <= case.max_bytes, "{} bytes", bytes.len());
    let value = try_decompress(&bytes, &case.base).unwrap();
    assert!(value == case.value, "the value differs");
}

#[test]
fn a_short_form_of_another_base_is_an_error() {
    let (value, base) = (text(60_000, 1), text(50_000, 1));
    let bytes = compress(&value, &base);
    assert!(try_decompress(&bytes, &[]).is_err());
    assert!(try_decompress(&bytes, &text(50_000, 2)).is_err());
    assert!(try_decompress(&bytes[..bytes.len() - 1], &base).is_err());
}

#[test]
fn a_row_beyond_the_limit_is_an_error() {
    let bytes = compress(&vec![0; MAX_ROW_BYTES + 1], &[]);
    assert!(try_decompress(&bytes, &[]).is_err());
}

fn row(number: u64, value: Option<Vec<u8>>) -> RowChange {
    RowChange {
        key: "config".to_owned(),
        value,
        version: StoreVersion::new(0, number),
    }
}

#[test]
fn short_and_deleted_rows_have_no_short_form() {
    let mut forms = ShortRows::new();
    let short = row(1, Some(vec![0; MIN_LONG_ROW_BYTES - 1]));
    assert_eq!(forms.short_form(&short, None), None);
    assert_eq!(forms.short_form(&row(1, None), None), None);
}

#[test]
fn a_short_form_is_that_of_the_last_version_and_of_the_given_base() {
    let mut forms = ShortRows::new();
    for number in 1..5 {
        let old = row(number, Some(text(10_000, number)));
        let new = row(number + 1, Some(text(10_000, number + 1)));
        for base in [None, Some(&old)] {
            let bytes = forms.short_form(&new, base).unwrap();
            let base = base.and_then(|base| base.value.clone());
            let value = try_decompress(bytes, &base.unwrap_or_default());
            assert_eq!(value.unwrap(), new.value.clone().unwrap());
        }
    }
}

/// An entry that missed a change must not take the bytes of a later one as
/// relative to what it has.
#[test]
fn a_base_is_offered_only_to_those_who_can_have_it() {
    let version = |number| StoreVersion::new(0, number);
    let mut copy = TableCopy::new();
    copy.replace(vec![row(5, Some(text(10_000, 5)))], version(7));
    copy.apply(vec![row(9, Some(text(10_000, 9)))], version(9));
    let base_at = |version| {
        copy.previous_at("config", version).map(|row| row.version.number())
    };
    assert_eq!(base_at(version(4)), None);
    assert_eq!(base_at(version(5)), Some(5));
    assert_eq!(base_at(version(8)), Some(5));
    assert_eq!(base_at(StoreVersion::new(1, 8)), None);
}

proptest! {
    #[test]
    fn random_bytes_are_never_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        base in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = try_decompress(&bytes, &base);
    }

    #[test]
    fn any_value_comes_back(
        value in prop::collection::vec(any::<u8>(), 0..4_000),
        base in prop::collection::vec(any::<u8>(), 0..4_000),
    ) {
        let bytes = compress(&value, &base);
        prop_assert_eq!(try_decompress(&bytes, &base).unwrap(), value);
    }
}
