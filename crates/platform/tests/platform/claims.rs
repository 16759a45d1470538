//! Claims against the stand-in of the table service, with injected faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use chestnutreach_platform::{
    ClaimOptions, ClaimStore, TableClient,
    claims::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimState},
};
use chestnutreach_standins::{
    closed_address,
    platform::{Down, FaultSettings},
};
use futures_lite::future;
use rstest::rstest;

use crate::support::{CALL_TIMEOUT, Platform, claim, completed, run, until};

/// Claim timeout of the tests in which claims are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

fn options() -> ClaimOptions {
    ClaimOptions::new().claim_timeout(CALL_TIMEOUT)
}

fn key(number: u128) -> ClaimKey {
    ClaimKey::new("caisse", &number.to_string())
}

/// Claims the keys from 0 to `count` concurrently, each with its number as
/// claim id. Returns the results in the order of the keys.
async fn claim_all(
    platform: &Platform,
    claims: &Arc<ClaimStore>,
    count: u128,
) -> Vec<Result<ClaimOutcome, ClaimError>> {
    claim_all_as(platform, claims, 0, count).await
}

/// As [`claim_all`], with claim ids starting at `first_id`.
async fn claim_all_as(
    platform: &Platform,
    claims: &Arc<ClaimStore>,
    first_id: u128,
    count: u128,
) -> Vec<Result<ClaimOutcome, ClaimError>> {
    let tasks: Vec<_> = (0..count)
        .map(|number| {
            let claims = claims.clone();
            platform.executor.spawn(async move {
                let claim = claim(first_id + number);
                claims.claim(&key(number), claim).await
            })
        })
        .collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await);
    }
    results
}

#[test]
fn concurrent_claims_are_written_in_batches() {
    run(|platform| async move {
        let claims = platform.claims(options().batch(50));
        let results = claim_all(&platform, &claims, 1000).await;
        assert!(results.iter().all(|a| *a == Ok(ClaimOutcome::Acquired)));
        let stats = platform.table_stats().await;
        assert_eq!(stats.rows_written, 1000);
        assert!(stats.writes <= 1000 / 50 + 2, "{stats:?}");
    });
}

#[test]
fn a_held_key_does_not_fail_other_claims_in_its_batch() {
    run(|platform| async move {
        let other = platform.claims(options());
        let held = claim(9999);
        other.claim(&key(3), held.clone()).await.unwrap();
        let claims = platform.claims(options());
        let results = claim_all(&platform, &claims, 20).await;
        for (number, result) in results.into_iter().enumerate() {
            let expected = match number {
                3 => ClaimOutcome::Held(held.clone()),
                _ => ClaimOutcome::Acquired,
            };
            assert_eq!(result, Ok(expected), "key {number}");
        }
        // One write by the other store, one that fails, one without the held
        // key, and at most one more for a claim that was flushed alone before
        // the others arrived.
        let stats = platform.table_stats().await;
        assert!(stats.writes <= 4, "{stats:?}");
    });
}

#[test]
fn a_held_key_does_not_fail_updates_in_its_batch() {
    run(|platform| async move {
        let other = platform.claims(options());
        other.claim(&key(3), claim(9999)).await.unwrap();
        let claims = platform.claims(options());
        claims.claim(&key(1), claim(1)).await.unwrap();
        let done = completed(claim(1), b"body");
        // Directly after a flush, both writes wait for the next flush.
        let (held, updated) = future::zip(
            claims.claim(&key(3), claim(3)),
            claims.update(&key(1), done.clone()),
        )
        .await;
        assert_eq!(held, Ok(ClaimOutcome::Held(claim(9999))));
        assert_eq!(updated, Ok(()));
        assert_eq!(claims.read(&key(1)).await, Ok(Some(done)));
    });
}

#[test]
fn only_one_of_two_concurrent_claims_acquires_a_key() {
    run(|platform| async move {
        let claims = platform.claims(options());
        let key = key(1);
        let first = claims.claim(&key, claim(1));
        let second = claims.claim(&key, claim(2));
        let (first, second) = future::zip(first, second).await;
        assert_eq!(first, Ok(ClaimOutcome::Acquired));
        assert_eq!(second, Ok(ClaimOutcome::Held(claim(1))));
    });
}

struct LossCase {
    lose_answers: u64,
    lose_requests: u64,
}

#[rstest]
#[case::response(LossCase { lose_answers: 1, lose_requests: 0 })]
#[case::request(LossCase { lose_answers: 0, lose_requests: 1 })]
#[case::both(LossCase { lose_answers: 2, lose_requests: 2 })]
fn the_outcome_after_a_lost_response_is_determined(#[case] case: LossCase) {
    let LossCase { lose_answers, lose_requests } = case;
    run(|platform| async move {
        let claims = platform.claims(options());
        let faults = FaultSettings {
            lose_answers,
            lose_requests,
            ..FaultSettings::default()
        };
        platform.set_faults(faults.clone());
        let claimed = claims.claim(&key(1), claim(1)).await;
        assert_eq!(claimed, Ok(ClaimOutcome::Acquired));

        platform.set_faults(faults.clone());
        let done = completed(claim(1), b"body");
        let updated = claims.update(&key(1), done.clone()).await;
        assert_eq!(updated, Ok(()));
        assert_eq!(claims.read(&key(1)).await, Ok(Some(done.clone())));

        platform.set_faults(faults);
        let repeated = claims.claim(&key(1), claim(2)).await;
        assert_eq!(repeated, Ok(ClaimOutcome::Held(done)));
        assert!(claims.counts().lost_responses >= 2);
        let stats = platform.table_stats().await;
        assert_eq!(stats.rows_written, 2, "{stats:?}");
    });
}

#[rstest]
#[case::unavailable(Down::Unavailable, ClaimError::StoreUnavailable, true)]
#[case::closed(Down::Closed, ClaimError::Ambiguous, false)]
fn claims_fail_while_the_store_is_unavailable(
    #[case] down: Down,
    #[case] expected: ClaimError,
    #[case] is_immediate: bool,
) {
    run(|platform| async move {
        let timeout = if is_immediate { CALL_TIMEOUT } else { SHORT_TIMEOUT };
        let claims = platform.claims(options().claim_timeout(timeout));
        let settings = FaultSettings { down, ..FaultSettings::default() };
        platform.set_faults(settings);
        // Half of the timeout separates an immediate failure from a timeout.
        // Several sequential claims show that none waits for a backoff.
        let started = Instant::now();
        for _ in 0..if is_immediate { 20 } else { 1 } {
            let result = claims.claim(&key(1), claim(1)).await;
            assert_eq!(result, Err(expected.clone()));
        }
        assert_eq!(started.elapsed() < timeout / 2, is_immediate);

        platform.set_faults(FaultSettings::default());
        let result = claims.claim(&key(2), claim(2)).await;
        assert_eq!(result, Ok(ClaimOutcome::Acquired));
    });
}

#[test]
fn a_refused_connection_fails_a_claim_immediately() {
    run(|platform| async move {
        let address = closed_address();
        let table = Arc::new(TableClient::new(address, CALL_TIMEOUT));
        let executor = platform.executor.clone();
        let claims = ClaimStore::new(table, options(), executor);
        let started = Instant::now();
        let result = claims.claim(&key(1), claim(1)).await;
        assert_eq!(result, Err(ClaimError::StoreUnavailable));
        assert!(started.elapsed() < CALL_TIMEOUT / 2);
    });
}

#[test]
fn a_claim_times_out_while_the_store_is_slow() {
    run(|platform| async move {
        let claims = platform.claims(options().claim_timeout(SHORT_TIMEOUT));
        let slow_ms = 60_000;
        let settings = FaultSettings { slow_ms, ..FaultSettings::default() };
        platform.set_faults(settings);
        let (sent, queued) = future::zip(
            claims.claim(&key(1), claim(1)),
            claims.claim(&key(1), claim(2)),
        )
        .await;
        assert_eq!(sent, Err(ClaimError::Ambiguous));
        assert_eq!(queued, Err(ClaimError::StoreUnavailable));
    });
}

#[test]
fn a_claim_written_after_its_timeout_is_withdrawn() {
    run(|platform| async move {
        let claims = platform.claims(options().claim_timeout(SHORT_TIMEOUT));
        let slow_ms = 2 * SHORT_TIMEOUT.as_millis() as u64;
        let settings = FaultSettings { slow_ms, ..FaultSettings::default() };
        platform.set_faults(settings);
        let result = claims.claim(&key(1), claim(1)).await;
        assert_eq!(result, Err(ClaimError::Ambiguous));

        platform.set_faults(FaultSettings::default());
        let held = until(async || {
            let held = claims.read(&key(1)).await.unwrap();
            held.filter(|held| held.state == ClaimState::NotRun)
        })
        .await;
        let replaced = claims.replace(&key(1), &held, claim(2)).await;
        assert_eq!(replaced, Ok(ClaimOutcome::Acquired));
    });
}

#[test]
fn throttled_claims_wait_and_succeed() {
    run(|platform| async move {
        let settings =
            FaultSettings { max_writes_per_s: 10, ..FaultSettings::default() };
        platform.set_faults(settings);
        let claims = platform.claims(options().batch(5).flush_ms(1));
        let results = claim_all(&platform, &claims, 100).await;
        assert!(results.iter().all(|a| *a == Ok(ClaimOutcome::Acquired)));
        assert!(platform.table_stats().await.throttled > 0);
    });
}

#[test]
fn only_the_owner_can_update_a_claim() {
    run(|platform| async move {
        let (owner, other) =
            (platform.claims(options()), platform.claims(options()));
        owner.claim(&key(1), claim(1)).await.unwrap();
        let refused = other.update(&key(1), claim(2)).await;
        let current = Some(Box::new(claim(1)));
        assert_eq!(refused, Err(ClaimError::NotOwner { current }));

        let moved = Claim { side_boot_id: 99, ..claim(1) };
        owner.update(&key(1), moved.clone()).await.unwrap();
        let late = other.replace(&key(1), &claim(1), claim(3)).await;
        assert_eq!(late, Ok(ClaimOutcome::Held(moved.clone())));

        let replaced = other.replace(&key(1), &moved, claim(3)).await;
        assert_eq!(replaced, Ok(ClaimOutcome::Acquired));
        let current = Some(Box::new(claim(3)));
        let refused = owner.update(&key(1), completed(moved, b"x")).await;
        assert_eq!(refused, Err(ClaimError::NotOwner { current }));
    });
}

#[test]
fn a_long_response_body_is_stored_as_an_object() {
    run(|platform| async move {
        let claims = platform.claims(options());
        claims.claim(&key(1), claim(1)).await.unwrap();
        let body = vec![b'a'; 100 * 1024];
        let done = completed(claim(1), &body);
        claims.update(&key(1), done.clone()).await.unwrap();
        let held = claims.claim(&key(1), claim(2)).await;
        assert_eq!(held, Ok(ClaimOutcome::Held(done)));
        let stats = platform.object_stats().await;
        assert_eq!(stats.written_bytes, body.len() as u64);
    });
}

#[test]
fn an_expired_key_can_be_claimed_again() {
    run(|platform| async move {
        let claims = platform.claims(options());
        let old = Claim { expires_at_unix_s: 1, ..claim(1) };
        claims.claim(&key(1), old).await.unwrap();
        assert_eq!(claims.read(&key(1)).await, Ok(None));
        let reclaimed = claims.claim(&key(1), claim(2)).await;
        assert_eq!(reclaimed, Ok(ClaimOutcome::Acquired));
        assert_eq!(claims.read(&key(1)).await, Ok(Some(claim(2))));
    });
}

/// Two entries claim the same keys while the store fails at random and loses
/// requests and responses.
#[test]
fn no_key_has_two_owners_under_random_faults() {
    const KEYS: u128 = 200;
    run(|platform| async move {
        platform.set_faults(FaultSettings {
            error_permille: 300,
            lose_answers: 10,
            lose_requests: 10,
            max_writes_per_s: 400,
            ..FaultSettings::default()
        });
        let options = || options().batch(7).flush_ms(1);
        let (left, right) =
            (platform.claims(options()), platform.claims(options()));
        let left = claim_all_as(&platform, &left, 0, KEYS);
        let right = claim_all_as(&platform, &right, 10_000, KEYS);
        let (left, right) = future::zip(left, right).await;

        platform.set_faults(FaultSettings::default());
        let reader = platform.claims(options());
        let acquired = Ok(ClaimOutcome::Acquired);
        let owned = left.iter().chain(&right).filter(|a| **a == acquired);
        // Transient faults delay claims but may only fail a few of them.
        assert!(owned.count() > KEYS as usize * 9 / 10);
        for (number, results) in left.into_iter().zip(right).enumerate() {
            let number = number as u128;
            let row = reader.read(&key(number)).await.unwrap();
            let (left, right) = results;
            let is_acquired =
                |a: &Result<_, _>| *a == Ok(ClaimOutcome::Acquired);
            assert!(
                !(is_acquired(&left) && is_acquired(&right)),
                "key {number}"
            );
            if is_acquired(&left) {
                assert_eq!(row, Some(claim(number)));
            }
            if is_acquired(&right) {
                assert_eq!(row, Some(claim(10_000 + number)));
            }
            if let (Ok(_), Ok(_)) = (&left, &right) {
                assert!(is_acquired(&left) || is_acquired(&right));
            }
        }
    });
}

/// The caller's task is cancelled while the write is in transit.
#[test]
fn a_claim_whose_caller_disconnects_is_withdrawn() {
    run(|platform| async move {
        let claims = platform.claims(options());
        let slow_ms = 50;
        let settings = FaultSettings { slow_ms, ..FaultSettings::default() };
        platform.set_faults(settings);
        let task = {
            let claims = claims.clone();
            platform
                .executor
                .spawn(async move { claims.claim(&key(1), claim(1)).await })
        };
        let sent = || claims.counts().transactions > 0;
        until(async || sent().then_some(())).await;
        assert_eq!(task.cancel().await, None);
        let withdrawn = || claims.counts().withdrawn > 0;
        until(async || withdrawn().then_some(())).await;
        let held = claims.read(&key(1)).await.unwrap().unwrap();
        assert_eq!(held.state, ClaimState::NotRun);
    });
}
