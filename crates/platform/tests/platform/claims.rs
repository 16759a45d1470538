//! Claims against the stand-in, with faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use chestnutreach_platform::{
    ClaimOptions, ClaimStore, TableClient,
    claims::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimState},
};
use chestnutreach_standins::platform::{Down, FaultSettings};
use futures_lite::future;
use rstest::rstest;

use crate::support::{
    CALL_TIMEOUT, Platform, claim, closed_address, completed, run, until,
};

/// No claim in these tests may wait longer than this.
const TIMEOUT: Duration = Duration::from_millis(400);

fn options() -> ClaimOptions {
    ClaimOptions::new().claim_timeout(CALL_TIMEOUT)
}

fn key(number: u128) -> ClaimKey {
    ClaimKey::new("caisse", &number.to_string())
}

/// Claims the keys from 0 at once, with their number as claim id; answers
/// in their order.
async fn claim_all(
    platform: &Platform,
    claims: &Arc<ClaimStore>,
    count: u128,
) -> Vec<Result<ClaimOutcome, ClaimError>> {
    claim_all_as(platform, claims, 0, count).await
}

/// As [`claim_all`], with claim ids from `first_id`.
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
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

#[test]
fn many_claims_share_few_writes() {
    run(|platform| async move {
        let claims = platform.claims(options().batch(50));
        let answers = claim_all(&platform, &claims, 1000).await;
        assert!(answers.iter().all(|a| *a == Ok(ClaimOutcome::Acquired)));
        let stats = platform.table_stats().await;
        assert_eq!(stats.rows_written, 1000);
        assert!(stats.writes <= 1000 / 50 + 2, "{stats:?}");
    });
}

#[test]
fn a_held_key_does_not_fail_its_batch() {
    run(|platform| async move {
        let other = platform.claims(options());
        let held = claim(9999);
        other.claim(&key(3), held.clone()).await.unwrap();
        let claims = platform.claims(options());
        let answers = claim_all(&platform, &claims, 20).await;
        for (number, answer) in answers.into_iter().enumerate() {
            let expected = match number {
                3 => ClaimOutcome::Held(held.clone()),
                _ => ClaimOutcome::Acquired,
            };
            assert_eq!(answer, Ok(expected), "key {number}");
        }
        // One for the other store, one that fails, one without the held key
        // and at most one more for a claim that came first.
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
        let done = completed(claim(1), b"whole");
        // Right after a flush both wait for the next one.
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
fn two_claims_of_one_key_in_a_flush_have_one_winner() {
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

struct LostCase {
    lose_answers: u64,
    lose_requests: u64,
}

#[rstest]
#[case::answer(LostCase { lose_answers: 1, lose_requests: 0 })]
#[case::request(LostCase { lose_answers: 0, lose_requests: 1 })]
#[case::both(LostCase { lose_answers: 2, lose_requests: 2 })]
fn a_lost_answer_is_settled(#[case] case: LostCase) {
    let LostCase { lose_answers, lose_requests } = case;
    run(|platform| async move {
        let claims = platform.claims(options());
        let faults = FaultSettings {
            lose_answers,
            lose_requests,
            ..FaultSettings::default()
        };
        platform.set_faults(faults.clone());
        let mine = claims.claim(&key(1), claim(1)).await;
        assert_eq!(mine, Ok(ClaimOutcome::Acquired));

        platform.set_faults(faults.clone());
        let done = completed(claim(1), b"whole");
        let updated = claims.update(&key(1), done.clone()).await;
        assert_eq!(updated, Ok(()));
        assert_eq!(claims.read(&key(1)).await, Ok(Some(done.clone())));

        platform.set_faults(faults);
        let answer = claims.claim(&key(1), claim(2)).await;
        assert_eq!(answer, Ok(ClaimOutcome::Held(done)));
        assert!(claims.counts().lost_responses >= 2);
        let stats = platform.table_stats().await;
        assert_eq!(stats.rows_written, 2, "{stats:?}");
    });
}

#[rstest]
#[case::unavailable(Down::Unavailable, ClaimError::StoreUnavailable, true)]
#[case::closed(Down::Closed, ClaimError::Ambiguous, false)]
fn a_store_that_is_down_does_not_hold_claims(
    #[case] down: Down,
    #[case] expected: ClaimError,
    #[case] is_at_once: bool,
) {
    run(|platform| async move {
        let timeout = if is_at_once { CALL_TIMEOUT } else { TIMEOUT };
        let claims = platform.claims(options().claim_timeout(timeout));
        let settings = FaultSettings { down, ..FaultSettings::default() };
        platform.set_faults(settings);
        // Half of the timeout tells "at once" from "at the timeout"; many
        // claims one after another show that none waits for a pause.
        let begin = Instant::now();
        for _ in 0..if is_at_once { 20 } else { 1 } {
            let answer = claims.claim(&key(1), claim(1)).await;
            assert_eq!(answer, Err(expected.clone()));
        }
        assert_eq!(begin.elapsed() < timeout / 2, is_at_once);

        platform.set_faults(FaultSettings::default());
        let answer = claims.claim(&key(2), claim(2)).await;
        assert_eq!(answer, Ok(ClaimOutcome::Acquired));
    });
}

#[test]
fn a_refused_connection_is_told_at_once() {
    run(|platform| async move {
        let address = closed_address();
        let table = Arc::new(TableClient::new(address, CALL_TIMEOUT));
        let executor = platform.executor.clone();
        let claims = ClaimStore::new(table, options(), executor);
        let begin = Instant::now();
        let answer = claims.claim(&key(1), claim(1)).await;
        assert_eq!(answer, Err(ClaimError::StoreUnavailable));
        assert!(begin.elapsed() < CALL_TIMEOUT / 2);
    });
}

#[test]
fn a_slow_store_holds_no_claim_beyond_its_timeout() {
    run(|platform| async move {
        let claims = platform.claims(options().claim_timeout(TIMEOUT));
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
fn a_claim_written_too_late_is_withdrawn() {
    run(|platform| async move {
        let claims = platform.claims(options().claim_timeout(TIMEOUT));
        let slow_ms = 2 * TIMEOUT.as_millis() as u64;
        let settings = FaultSettings { slow_ms, ..FaultSettings::default() };
        platform.set_faults(settings);
        let answer = claims.claim(&key(1), claim(1)).await;
        assert_eq!(answer, Err(ClaimError::Ambiguous));

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
fn over_the_rate_claims_wait() {
    run(|platform| async move {
        let settings =
            FaultSettings { max_writes_per_s: 10, ..FaultSettings::default() };
        platform.set_faults(settings);
        let claims = platform.claims(options().batch(5).flush_ms(1));
        let answers = claim_all(&platform, &claims, 100).await;
        assert!(answers.iter().all(|a| *a == Ok(ClaimOutcome::Acquired)));
        assert!(platform.table_stats().await.throttled > 0);
    });
}

#[test]
fn only_the_owner_changes_a_claim() {
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

        let taken = other.replace(&key(1), &moved, claim(3)).await;
        assert_eq!(taken, Ok(ClaimOutcome::Acquired));
        let current = Some(Box::new(claim(3)));
        let refused = owner.update(&key(1), completed(moved, b"x")).await;
        assert_eq!(refused, Err(ClaimError::NotOwner { current }));
    });
}

#[test]
fn a_long_answer_goes_to_the_object_store() {
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
fn an_expired_key_may_be_claimed_anew() {
    run(|platform| async move {
        let claims = platform.claims(options());
        let old = Claim { expires_at_unix_s: 1, ..claim(1) };
        claims.claim(&key(1), old).await.unwrap();
        assert_eq!(claims.read(&key(1)).await, Ok(None));
        let anew = claims.claim(&key(1), claim(2)).await;
        assert_eq!(anew, Ok(ClaimOutcome::Acquired));
        assert_eq!(claims.read(&key(1)).await, Ok(Some(claim(2))));
    });
}

/// Two entries claim the same keys while the store fails at random; however
/// answers are lost, no key may have two owners.
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
        let mine = Ok(ClaimOutcome::Acquired);
        let owned = left.iter().chain(&right).filter(|a| **a == mine);
        // Faults that pass cost time, and no key but a few its claim.
        assert!(owned.count() > KEYS as usize * 9 / 10);
        for (number, answers) in left.into_iter().zip(right).enumerate() {
            let number = number as u128;
            let row = reader.read(&key(number)).await.unwrap();
            let (left, right) = answers;
            let is_mine = |a: &Result<_, _>| *a == Ok(ClaimOutcome::Acquired);
            assert!(!(is_mine(&left) && is_mine(&right)), "key {number}");
            if is_mine(&left) {
                assert_eq!(row, Some(claim(number)));
            }
            if is_mine(&right) {
                assert_eq!(row, Some(claim(10_000 + number)));
            }
            if let (Ok(_), Ok(_)) = (&left, &right) {
                assert!(is_mine(&left) || is_mine(&right));
            }
        }
    });
}

/// Its waiter goes while the write is on its way.
#[test]
fn a_claim_whose_caller_hangs_up_is_withdrawn() {
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
