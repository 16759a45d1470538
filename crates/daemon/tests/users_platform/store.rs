//! Store faults.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind, RequestSpec},
    experiment::{Fault, FaultKind},
    load::Load,
    site::{KEY, Site},
    store::StoreFault,
};
use rstest::rstest;

use crate::support::{
    assert_all_served, send_request, stream_load, wait_until, with_site,
    with_small_site,
};

#[rstest]
#[case::silent(StoreFault::Silent)]
#[case::busy(StoreFault::Busy)]
#[case::slow(StoreFault::Slow(150))]
#[case::loses_responses(StoreFault::LosesAnswers)]
#[case::late_writes(StoreFault::LateWrites(1_500))]
fn requests_are_served_while_the_store_fails(#[case] kind: StoreFault) {
    with_small_site(async |running| {
        let load = Load {
            per_s: [
                (RequestKind::Stream, 15.0),
                (RequestKind::Idempotent, 10.0),
            ]
            .into(),
            duration: Duration::from_secs(3),
            events: Site::small().events,
            seed: 8,
        };
        let fault = Fault {
            at: Duration::from_millis(300),
            kind: FaultKind::Store(kind),
            duration: Duration::from_millis(2_000),
        };
        assert_all_served(&running.run(&load, &[fault]).await);
    });
}

#[test]
fn keys_are_refused_once_they_may_have_been_withdrawn() {
    with_small_site(async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        running.store.set_fault(StoreFault::Silent);
        wait_until("the key is refused", async || {
            let outcome = send_request(running, 0, &wish).await;
            outcome.attempts[0].end == AttemptEnd::Status(503)
        })
        .await;
        running.store.set_fault(StoreFault::None);
        wait_until("the key is served again", async || {
            send_request(running, 0, &wish).await.is_served()
        })
        .await;
    });
}

/// A key or route that an entry does not know may have been added since the
/// store last confirmed its configuration.
#[rstest]
#[case::key(RequestKind::Idempotent, "another", 401)]
#[case::route(RequestKind::UrgentStream, KEY, 404)]
fn an_entry_without_contact_denies_no_key_or_route_that_may_be_new(
    #[case] kind: RequestKind,
    #[case] key: &str,
    #[case] denial: u16,
) {
    /// Keys are trusted for longer than the test takes.
    const REVOKE_MS: u64 = 60_000;
    const CHECK_PERIOD: Duration = Duration::from_millis(2_000);
    // Another entry could have been confirmed later.
    let site = Site { revoke_ms: REVOKE_MS, entries: 1, ..Site::small() };
    with_site(&site, async |running| {
        let wish = RequestSpec {
            key: key.to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(kind, "a", 1)
        };
        let send = async || {
            let outcome = send_request(running, 0, &wish).await;
            outcome.attempts[0].end.clone()
        };
        assert_eq!(send().await, AttemptEnd::Status(denial));
        running.store.set_fault(StoreFault::Silent);
        wait_until("it is not denied", async || {
            send().await == AttemptEnd::Status(503)
        })
        .await;
        let since = Instant::now();
        while Instant::now() < since + CHECK_PERIOD {
            assert_eq!(send().await, AttemptEnd::Status(503));
        }
        running.store.set_fault(StoreFault::None);
        wait_until("it is denied", async || {
            send().await == AttemptEnd::Status(denial)
        })
        .await;
    });
}

#[test]
fn a_change_reaches_all_entries_after_the_store_lost_its_history() {
    with_small_site(async |running| {
        running.store.discard_history();
        running.configure(&["another"]);
        let wish = RequestSpec {
            key: "another".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        for entry in 0..running.addresses.len() {
            wait_until("the new key is served", async || {
                send_request(running, entry, &wish).await.is_served()
            })
            .await;
        }
    });
}

#[test]
fn an_older_configuration_is_never_put_in_force() {
    with_small_site(async |running| {
        running.configure(&["another"]);
        let wish = RequestSpec {
            key: "another".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        wait_until("the new key is served", async || {
            send_request(running, 0, &wish).await.is_served()
        })
        .await;
        // The store never does this, but a reader of stale rows may see an
        // older row.
        let old = running.backends.site().configuration(1, &[KEY]);
        running.store.put("op", "config", &old);
        Timer::after(Duration::from_millis(500)).await;
        assert!(send_request(running, 0, &wish).await.is_served());
        let withdrawn = RequestSpec { key: KEY.to_owned(), ..wish };
        let outcome = send_request(running, 0, &withdrawn).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(401));
    });
}

/// Entries that share feeds learn from each other that the store was away.
#[rstest]
#[case::each_entry_reads_the_store(Site::small())]
#[case::entries_share_feeds(Site::with_shared_feeds())]
fn servers_whose_rows_expire_during_a_store_outage_stay_in_use(
    #[case] site: Site,
) {
    // A poll may have begun 2.2 s before the outage of 3.2 s. Keys are not to
    // become stale in that time: this test is about servers.
    let site = Site { revoke_ms: 10_000, ..site };
    with_site(&site, async |running| {
        running.store.set_fault(StoreFault::Silent);
        Timer::after(Duration::from_millis(3_200)).await;
        // All rows expire while the store is unavailable, and are written
        // again afterwards.
        let engines = running.backends.engines();
        for engine in &engines {
            let id = running.backends.server(*engine).unwrap().id;
            running.store.delete_row("servers", &id);
        }
        running.store.set_fault(StoreFault::None);
        let load = stream_load(15.0, Duration::from_millis(2_500));
        let rewrite = async {
            Timer::after(Duration::from_millis(900)).await;
            for engine in &engines {
                running.backends.write_row(*engine);
            }
        };
        let played = running.run(&load, &[]);
        let (report, ()) = futures_lite::future::zip(played, rewrite).await;
        assert_all_served(&report);
        // Requests wait for a while for servers, which hides a short absence.
        assert!(!running.logs().contains("\"backend_gone\""));
    });
}
