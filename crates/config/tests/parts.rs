//! Splitting manifests into parts, reassembling and comparing them.

use std::collections::BTreeMap;

use chestnutreach_config::{
    Manifest, Parts,
    manifest::{Difference, diff},
    parts::{
        BUCKET_COUNT, EMPTY_BUCKET, PartDigest, PartsError, ROOT_BYTES,
        assemble, decode_root, encode_root,
    },
};

type Sections = BTreeMap<String, String>;

fn sections() -> Sections {
    let text = include_str!("manifest.ini");
    Manifest::try_parse("m.ini", text).unwrap().to_sections()
}

/// Sections of a fleet that is much larger than current deployments.
fn many_sections() -> Sections {
    let body = |index| format!("weight = {index}\n");
    let section = |index| (format!("account a{index}"), body(index));
    (0..1_600).map(section).collect()
}

#[test]
fn parts_reassemble_to_the_same_sections() {
    for sections in [sections(), many_sections(), Sections::new()] {
        let parts = Parts::from_sections(&sections);
        let root = encode_root(&parts.root);
        assert_eq!(root.len(), ROOT_BYTES);
        let root = decode_root(&root).unwrap();
        assert_eq!(assemble(&root, &parts.bodies), Ok(sections));
    }
}

#[test]
fn a_manifest_without_sections_has_only_empty_buckets() {
    let parts = Parts::from_sections(&Sections::new());
    let empty = PartDigest::of_empty_bucket();
    assert_eq!(parts.root, [empty; BUCKET_COUNT]);
    let body = EMPTY_BUCKET.to_vec();
    assert_eq!(parts.bodies, BTreeMap::from([(empty, body)]));
}

#[test]
fn changing_one_section_changes_one_bucket() {
    let old = many_sections();
    let mut new = old.clone();
    new.insert("account a7".to_owned(), "weight = 8\n".to_owned());
    let (old, new) = (Parts::from_sections(&old), Parts::from_sections(&new));
    let pairs = old.root.iter().zip(&new.root);
    assert_eq!(pairs.filter(|(old, new)| old != new).count(), 1);
    assert_eq!(new.new_bodies(&old.root).len(), 1);
    assert_eq!(new.new_bodies(&new.root).len(), 0);
}

type Bodies = BTreeMap<PartDigest, Vec<u8>>;

fn assemble_error(root: &[PartDigest], bodies: &Bodies) -> Option<PartsError> {
    assemble(root, bodies).err()
}

#[test]
fn invalid_parts_are_rejected() {
    let parts = Parts::from_sections(&sections());
    let first = parts.root[0];
    let mut swapped = parts.root.clone();
    let has_sections = |digest: &PartDigest| parts.bodies[digest].len() > 2;
    let from = parts.root.iter().position(has_sections).unwrap();
    let to = (from + 1) % BUCKET_COUNT;
    swapped[to] = parts.root[from];
    let garbage = PartDigest::of(b"garbage");
    let mut unreadable = parts.clone();
    unreadable.root[0] = garbage;
    unreadable.bodies.insert(garbage, b"garbage".to_vec());
    let mut changed = parts.clone();
    changed.bodies.insert(first, b"garbage".to_vec());

    assert_eq!(
        assemble_error(&parts.root, &BTreeMap::new()),
        Some(PartsError::Missing { digest: first }),
    );
    assert_eq!(
        assemble_error(&changed.root, &changed.bodies),
        Some(PartsError::DigestMismatch { expected: first, actual: garbage }),
    );
    assert_eq!(
        assemble_error(&unreadable.root, &unreadable.bodies),
        Some(PartsError::Unreadable { digest: garbage }),
    );
    assert!(matches!(
        assemble_error(&swapped, &parts.bodies),
        Some(PartsError::WrongBucket { .. }),
    ));
    assert_eq!(
        assemble_error(&parts.root[1..], &parts.bodies),
        Some(PartsError::BucketCount { count: BUCKET_COUNT - 1 }),
    );
    assert_eq!(
        decode_root(&[0; 15]),
        Err(PartsError::RootLength { length_bytes: 15 }),
    );
}

#[test]
fn differences_are_displayed_by_section() {
    let old = sections();
    let mut new = old.clone();
    new.remove("data-centre hall-b");
    let body = old["data-centre hall-a"].clone();
    new.insert("data-centre hall-z".to_owned(), body);
    new.insert(
        "deployment".to_owned(),
        "name = d\nrecovery-weight-percent = 60\n".to_owned(),
    );
    let changes = diff(&old, &new);
    let names: Vec<&str> =
        changes.iter().map(|change| change.name()).collect();
    assert_eq!(
        names,
        ["data-centre hall-b", "data-centre hall-z", "deployment"],
    );
    let expected = "\
- [data-centre hall-b]
-   region = r
+ [data-centre hall-z]
+   region = r
~ [deployment]
-   recovery-weight-percent = 50
+   recovery-weight-percent = 60";
    assert_eq!(Difference(&changes).to_string(), expected);
    let same = diff(&old, &old);
    assert_eq!(Difference(&same).to_string(), "no difference");
}
