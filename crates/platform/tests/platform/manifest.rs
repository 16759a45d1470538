//! The manifest store against the stand-ins, with injected faults.

use std::{collections::BTreeMap, time::Duration};

use chestnutreach_platform::manifest_store::{
    Accepted, PartCache, SubmitError,
};
use chestnutreach_standins::platform::{Down, FaultSettings};
use futures_lite::future;
use rstest::rstest;

use crate::support::run;

/// Bytes of a root object.
const ROOT_BYTES: u64 = 4096;

fn sections(accounts: u32) -> BTreeMap<String, String> {
    let section = |number| {
        let text = format!("weight = {number}\nservices = desk-llm\n");
        (format!("account caisse-{number}"), text)
    };
    (0..accounts).map(section).collect()
}

#[test]
fn one_of_two_concurrent_submissions_is_accepted() {
    run(|platform| async move {
        let manifests = platform.manifests();
        let (left, right) = (sections(3), sections(4));
        let (a, b) = future::zip(
            manifests.submit(0, &left, "left"),
            manifests.submit(0, &right, "right"),
        )
        .await;
        let head = manifests.head().await.unwrap().unwrap();
        assert_eq!(head.generation, 1);
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        assert_eq!(won, Ok(Accepted { generation: 1 }));
        match lost.unwrap_err() {
            SubmitError::LostRace { winner } => assert_eq!(winner, head),
            SubmitError::Stale { current, .. } => {
                assert_eq!(current, Some(head));
            }
            other => panic!("{other:?}"),
        }
    });
}

#[test]
fn a_submission_with_a_stale_base_is_refused() {
    run(|platform| async move {
        let manifests = platform.manifests();
        let early = manifests.submit(5, &sections(1), "early").await;
        let expected =
            SubmitError::Stale { base_generation: 5, current: None };
        assert_eq!(early, Err(expected));
        manifests.submit(0, &sections(1), "first").await.unwrap();
        manifests.submit(1, &sections(2), "second").await.unwrap();
        let current = manifests.head().await.unwrap();
        let head = current.clone().unwrap();
        assert_eq!(head.parent_submission.as_deref(), Some("first"));
        let late = manifests.submit(1, &sections(3), "late").await;
        let expected = SubmitError::Stale { base_generation: 1, current };
        assert_eq!(late, Err(expected));
    });
}

#[test]
fn a_repeated_submission_returns_the_first_result() {
    run(|platform| async move {
        let manifests = platform.manifests();
        let first = manifests.submit(0, &sections(1), "first").await;
        assert_eq!(first, Ok(Accepted { generation: 1 }));
        manifests.submit(1, &sections(2), "second").await.unwrap();
        let repeat = manifests.submit(0, &sections(1), "first").await;
        assert_eq!(repeat, first);
        let reused = manifests.submit(2, &sections(3), "first").await;
        assert_eq!(reused, Err(SubmitError::IdReused { generation: 1 }));
        let head = manifests.head().await.unwrap().unwrap();
        assert_eq!(head.submission, "second");
    });
}

#[rstest]
#[case::response(1, 0)]
#[case::request(0, 1)]
#[case::both(1, 2)]
fn the_outcome_after_a_lost_response_is_determined(
    #[case] lose_answers: u64,
    #[case] lose_requests: u64,
) {
    run(|platform| async move {
        let manifests = platform.manifests();
        let settings = FaultSettings {
            lose_answers,
            lose_requests,
            ..FaultSettings::default()
        };
        platform.set_faults(settings);
        let accepted = manifests.submit(0, &sections(1), "first").await;
        assert_eq!(accepted, Ok(Accepted { generation: 1 }));
        let stats = platform.table_stats().await;
        assert_eq!(stats.transactions, 1, "{stats:?}");
    });
}

#[test]
fn an_unknown_outcome_is_determined_by_submitting_again() {
    run(|platform| async move {
        let resolve_timeout = Duration::from_millis(100);
        let manifests = platform.manifests().resolve_timeout(resolve_timeout);
        let settings =
            FaultSettings { lose_requests: 1000, ..FaultSettings::default() };
        platform.set_faults(settings);
        let unknown = manifests.submit(0, &sections(1), "first").await;
        assert!(matches!(unknown, Err(SubmitError::Unknown { .. })));
        platform.set_faults(FaultSettings::default());
        let again = manifests.submit(0, &sections(1), "first").await;
        assert_eq!(again, Ok(Accepted { generation: 1 }));
    });
}

#[test]
fn an_unavailable_store_is_reported() {
    run(|platform| async move {
        let down = Down::Unavailable;
        platform
            .set_faults(FaultSettings { down, ..FaultSettings::default() });
        let manifests = platform.manifests();
        let result = manifests.submit(0, &sections(1), "first").await;
        assert!(matches!(result, Err(SubmitError::Unavailable { .. })));
        assert!(manifests.head().await.is_err());
    });
}

#[test]
fn one_changed_account_of_1600_transfers_one_part() {
    run(|platform| async move {
        let manifests = platform.manifests();
        let mut sections = sections(1600);
        manifests.submit(0, &sections, "first").await.unwrap();
        let mut cache = PartCache::new();
        let head = manifests.head().await.unwrap().unwrap();
        let fetched = manifests.fetch(&head, &mut cache).await.unwrap();
        assert_eq!(fetched, sections);
        let initial = platform.object_stats().await;

        let name = "account caisse-7".to_owned();
        sections.insert(name, "weight = 1000\n".to_owned());
        manifests.submit(1, &sections, "second").await.unwrap();
        let submitted = platform.object_stats().await;
        assert_eq!(submitted.writes - initial.writes, 2);
        let put_bytes = submitted.written_bytes - initial.written_bytes;
        let part_bytes = put_bytes - ROOT_BYTES;
        assert!(part_bytes < initial.written_bytes / 64, "{part_bytes}");

        let head = manifests.head().await.unwrap().unwrap();
        let fetched = manifests.fetch(&head, &mut cache).await.unwrap();
        assert_eq!(fetched, sections);
        let read = platform.object_stats().await;
        assert_eq!(read.reads - submitted.reads, 2);
        let read_bytes = read.read_bytes - submitted.read_bytes;
        assert_eq!(read_bytes, put_bytes);
    });
}

/// While 30% of the reads fail, no single fetch gets all parts of a
/// generation: repeated fetches only succeed if the cache keeps the parts read
/// so far.
#[test]
fn parts_read_before_an_error_are_not_read_again() {
    run(|platform| async move {
        let manifests = platform.manifests();
        let sections = sections(1600);
        manifests.submit(0, &sections, "first").await.unwrap();
        let head = manifests.head().await.unwrap().unwrap();
        let settings =
            FaultSettings { error_permille: 300, ..FaultSettings::default() };
        platform.set_faults(settings);
        let mut cache = PartCache::new();
        let mut fetched = Err(());
        for _ in 0..60 {
            let result = manifests.fetch(&head, &mut cache).await;
            fetched = result.map_err(drop);
            if fetched.is_ok() {
                break;
            }
        }
        assert_eq!(fetched, Ok(sections));
    });
}
