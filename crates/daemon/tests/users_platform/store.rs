//! Faults of the store.

use std::time::Duration;

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind, RequestSpec},
    experiment::{Fault, FaultKind},
    load::Load,
    site::{KEY, Site},
    store::StoreFault,
};
use rstest::rstest;

use crate::support::{assert_all_served, on_site, one, streams, wait_until};

#[rstest]
#[case::silent(StoreFault::Silent)]
#[case::busy(StoreFault::Busy)]
#[case::slow(StoreFault::Slow(150))]
#[case::loses_answers(StoreFault::LosesAnswers)]
#[case::late_writes(StoreFault::LateWrites(1_500))]
fn traffic_goes_on_while_the_store_fails(#[case] kind: StoreFault) {
    on_site(async |running| {
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
    on_site(async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        running.store.set_fault(StoreFault::Silent);
        wait_until("the key is refused", async || {
            let outcome = one(running, 0, &wish).await;
            outcome.attempts[0].end == AttemptEnd::Status(503)
        })
        .await;
        running.store.set_fault(StoreFault::None);
        wait_until("the key is served again", async || {
            one(running, 0, &wish).await.is_served()
        })
        .await;
    });
}

#[test]
fn a_change_reaches_entries_whose_history_was_lost() {
    on_site(async |running| {
        running.store.discard_history();
        running.configure(&["another"]);
        let wish = RequestSpec {
            key: "another".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        for entry in 0..running.addresses.len() {
            wait_until("the new key is served", async || {
                one(running, entry, &wish).await.is_served()
            })
            .await;
        }
    });
}

#[test]
fn an_older_configuration_never_comes_into_force() {
    on_site(async |running| {
        running.configure(&["another"]);
        let wish = RequestSpec {
            key: "another".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        wait_until("the new key is served", async || {
            one(running, 0, &wish).await.is_served()
        })
        .await;
        // The store would not do this; a reader of stale rows might see it.
        let old = running.backends.site().configuration(1, &[KEY]);
        running.store.put("op", "config", &old);
        Timer::after(Duration::from_millis(500)).await;
        assert!(one(running, 0, &wish).await.is_served());
        let gone = RequestSpec { key: KEY.to_owned(), ..wish };
        let outcome = one(running, 0, &gone).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(401));
    });
}

#[test]
fn servers_that_lapsed_during_an_outage_serve_on() {
    on_site(async |running| {
        running.store.set_fault(StoreFault::Silent);
        Timer::after(Duration::from_millis(3_200)).await;
        // All rows lapse while the store is away, and come back after it.
        let engines = running.backends.engines();
        for engine in &engines {
            let id = running.backends.server(*engine).unwrap().id;
            running.store.delete_row("servers", &id);
        }
        running.store.set_fault(StoreFault::None);
        let load = streams(15.0, Duration::from_millis(2_500));
        let back = async {
            Timer::after(Duration::from_millis(900)).await;
            for engine in &engines {
                running.backends.write_row(*engine);
            }
        };
        let played = running.run(&load, &[]);
        let (report, ()) = futures_lite::future::zip(played, back).await;
        assert_all_served(&report);
    });
}
