//! Entries of a data centre that share what one of them learns.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{RequestKind, RequestSpec},
    running::RunningSite,
    site::{KEY, Site},
    store::StoreFault,
};
use rustix::process::Signal;

use crate::support::{assert_all_served, on, one, streams, wait_until};

const LIST: &str = "servers";
const CONFIGURATION: &str = "op";

/// Whom an entry asks for a table; none while it does not answer.
async fn asks(
    running: &RunningSite,
    entry: usize,
    table: &str,
) -> Option<String> {
    let status = running.status(entry).await?;
    let feeds = status["feeds"].as_array()?.iter();
    let mut of_table = feeds.filter(|feed| feed["table"] == table);
    Some(of_table.next()?["asks"].as_str()?.to_owned())
}

/// Entries that ask the store for a table.
async fn readers(running: &RunningSite, table: &str) -> Vec<usize> {
    let mut readers = Vec::new();
    for entry in 0..running.addresses.len() {
        if asks(running, entry, table).await.as_deref() == Some("store") {
            readers.push(entry);
        }
    }
    readers
}

/// Waits until few entries ask the store: one, and whoever plans.
async fn wait_until_shared(running: &RunningSite) {
    for table in [LIST, CONFIGURATION] {
        wait_until("few entries ask the store", async || {
            readers(running, table).await.len() <= 2
        })
        .await;
    }
}

fn wish(key: &str) -> RequestSpec {
    RequestSpec {
        key: key.to_owned(),
        max_attempts: 1,
        ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
    }
}

async fn wait_until_served(running: &RunningSite, entry: usize, key: &str) {
    wait_until("the key is served", async || {
        one(running, entry, &wish(key)).await.is_served()
    })
    .await;
}

#[test]
fn few_entries_ask_the_store_and_all_hear_of_changes() {
    on(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        running.configure(&[KEY, "another"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "another").await;
        }
        let load = streams(20.0, Duration::from_secs(2));
        assert_all_served(&running.run(&load, &[]).await);
    });
}

#[test]
fn each_engine_is_watched_by_two_entries() {
    on(&Site::with_shared_feeds(), async |running| {
        let engines = running.backends.engines().len() as u64;
        wait_until("each engine is watched twice", async || {
            let mut watched = 0;
            for entry in 0..running.addresses.len() {
                let status = running.status(entry).await;
                let status = status.unwrap_or_default();
                watched += status["engines_watched"].as_u64().unwrap_or(0);
            }
            watched == 2 * engines
        })
        .await;
    });
}

struct Case {
    signal: Signal,
}

#[rstest::rstest]
#[case::ends(Case { signal: Signal::KILL })]
#[case::freezes(Case { signal: Signal::STOP })]
fn changes_reach_all_others_when_the_readers_fall_silent(#[case] case: Case) {
    on(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let readers = readers(running, CONFIGURATION).await;
        for reader in &readers {
            running.signal(*reader, case.signal);
        }
        running.configure(&[KEY, "another"]);
        let all = 0..running.addresses.len();
        for entry in all.filter(|entry| !readers.contains(entry)) {
            wait_until_served(running, entry, "another").await;
        }
        for reader in &readers {
            running.signal(*reader, Signal::CONT);
        }
    });
}

#[test]
fn an_entry_that_starts_while_the_store_is_away_hears_from_others() {
    on(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        running.store.set_fault(StoreFault::Busy);
        let before = running.status(0).await.expect("it answers");
        running.restart_entry(0);
        wait_until("it has configuration and list", async || {
            let Some(status) = running.status(0).await else { return false };
            let backends = status["backends"].as_array();
            status["boot_id"] != before["boot_id"]
                && status["configuration"] == before["configuration"]
                && backends.is_some_and(|b| !b.is_empty())
        })
        .await;
        running.store.set_fault(StoreFault::None);
    });
}

/// Time after the withdrawal of a key for which it may be served: the bound
/// in the site's settings.
const REVOKED: Duration = Duration::from_millis(5_000);
/// For how long all entries are asked after that.
const ASKED: Duration = Duration::from_millis(2_500);

struct Outage {
    fault: StoreFault,
    /// Calls that wait at the store as it fails may get its word for so long.
    last_word: Duration,
}

/// What entries tell each other is as old as the store's last word: they keep
/// no withdrawn key alive for each other.
#[rstest::rstest]
#[case::silent(Outage {
    fault: StoreFault::Silent, last_word: Duration::ZERO,
})]
#[case::turns_all_away(Outage {
    fault: StoreFault::Busy, last_word: Duration::from_millis(1_500),
})]
fn no_entry_serves_a_key_past_its_bound(#[case] outage: Outage) {
    on(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        wait_until_served(running, 0, KEY).await;
        running.store.set_fault(outage.fault);
        Timer::after(outage.last_word).await;
        // Withdrawn, and nobody can hear of it.
        running.configure(&["another"]);
        Timer::after(REVOKED).await;
        let until = Instant::now() + ASKED;
        let entries = running.addresses.len();
        while Instant::now() < until {
            for entry in 0..entries {
                let outcome = one(running, entry, &wish(KEY)).await;
                assert!(!outcome.is_served(), "{entry}: {outcome:?}");
            }
        }
        running.store.set_fault(StoreFault::None);
        for entry in 0..entries {
            wait_until_served(running, entry, "another").await;
            let outcome = one(running, entry, &wish(KEY)).await;
            assert!(!outcome.is_served(), "{entry}: {outcome:?}");
        }
    });
}
