//! Configurations that take longer to receive than a poll of the store may
//! take.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::AttemptEnd,
    link::LinkFault,
    running::RunningSite,
    site::{KEY, Site},
};

use crate::{
    feed_sharing::{request_with_key, wait_until_served, wait_until_shared},
    support::{LogLine, parse_log, send_request, wait_until, with_site},
};

/// With the routes below, a configuration takes some 4 s of this link.
const SLOW_LINK: LinkFault = LinkFault::Narrow(100_000);
const EXTRA_ROUTES: usize = 1_500;
/// Keys hold for longer than a transfer takes.
const REVOKE_MS: u64 = 20_000;

fn site() -> Site {
    Site {
        has_links: true,
        extra_routes: EXTRA_ROUTES,
        revoke_ms: REVOKE_MS,
        ..Site::small()
    }
}

/// Waits until an entry that knows no new key serves one that was there.
async fn wait_until_restarted(running: &RunningSite, entry: usize) {
    running.kill(entry);
    running.restart_entry(entry);
    wait_until("the entry serves", async || {
        send_request(running, entry, &request_with_key(KEY)).await.is_served()
    })
    .await;
}

#[test]
fn a_change_that_takes_seconds_to_receive_is_put_in_force() {
    with_site(&site(), async |running| {
        running.set_store_links(SLOW_LINK, true);
        running.configure(&[KEY, "another"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "another").await;
        }
    });
}

/// The second change comes while the first is being received.
#[test]
fn a_change_during_a_transfer_is_put_in_force() {
    with_site(&site(), async |running| {
        running.set_store_links(SLOW_LINK, true);
        running.configure(&[KEY, "another"]);
        Timer::after(Duration::from_millis(1_000)).await;
        running.configure(&[KEY, "last"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "last").await;
        }
    });
}

/// Time for which a withdrawn key may be served where keys do not hold for
/// longer than a transfer takes.
const SHORT_LIMIT: Duration = Duration::from_millis(2_500);
const CHECK_PERIOD: Duration = Duration::from_millis(4_000);

fn site_with_short_limit() -> Site {
    Site { revoke_ms: SHORT_LIMIT.as_millis() as u64, ..site() }
}

/// Waits for the limit and checks that no entry serves the key any more.
async fn check_withdrawn(running: &RunningSite) {
    Timer::after(SHORT_LIMIT).await;
    let until = Instant::now() + CHECK_PERIOD;
    while Instant::now() < until {
        for entry in 0..running.addresses.len() {
            let request = request_with_key(KEY);
            let outcome = send_request(running, entry, &request).await;
            assert!(!outcome.is_served(), "{entry}: {outcome:?}");
        }
    }
}

/// The time that a transfer takes is part of the age of what it brings.
#[test]
fn a_key_withdrawn_by_a_slow_transfer_is_refused_in_time() {
    with_site(&site_with_short_limit(), async |running| {
        wait_until_served(running, 0, KEY).await;
        running.set_store_links(SLOW_LINK, true);
        // The first change is being received when the key is withdrawn.
        running.configure(&[KEY, "another"]);
        Timer::after(Duration::from_millis(500)).await;
        running.configure(&["another"]);
        check_withdrawn(running).await;
    });
}

#[test]
fn a_key_withdrawn_during_the_first_read_is_refused_in_time() {
    let site = Site { entries: 1, ..site_with_short_limit() };
    with_site(&site, async |running| {
        wait_until_served(running, 0, KEY).await;
        running.set_store_links(SLOW_LINK, true);
        running.kill(0);
        running.restart_entry(0);
        Timer::after(Duration::from_millis(1_000)).await;
        running.configure(&["another"]);
        check_withdrawn(running).await;
    });
}

/// Another entry tells of a configuration that this one is still receiving.
#[test]
fn no_entry_goes_by_a_configuration_that_others_have_replaced() {
    /// A configuration takes some 13 s of this link, without pauses that
    /// would end the transfer.
    const SLOWEST_LINK: LinkFault = LinkFault::Narrow(30_000);
    /// Time within which a change must be in force, from the settings.
    const APPLY_MS: u64 = 2_000;
    let site = Site { entries: 2, ..site() };
    with_site(&site, async |running| {
        wait_until_served(running, 0, KEY).await;
        running.set_store_link(0, SLOWEST_LINK, true);
        running.configure(&["another"]);
        wait_until_served(running, 1, "another").await;
        wait_until("the entry knows that it is out of date", async || {
            running.log(0).contains("configuration_outdated")
        })
        .await;
        let lines = parse_log(&running.log(0));
        let limits = lines.iter().filter_map(|l| l.number("limit_ms"));
        assert!(limits.into_iter().all(|limit_ms| limit_ms < APPLY_MS));
        let until = Instant::now() + CHECK_PERIOD;
        while Instant::now() < until {
            for key in [KEY, "another"] {
                let request = request_with_key(key);
                let outcome = send_request(running, 0, &request).await;
                let end = &outcome.attempts[0].end;
                assert_eq!(*end, AttemptEnd::Status(503), "{key}");
            }
            assert!(!running.is_ready(0).await);
        }
        running.set_store_link(0, SLOWEST_LINK, false);
        wait_until_served(running, 0, "another").await;
        wait_until("the entry is ready", async || running.is_ready(0).await)
            .await;
    });
}

/// Log lines of entries that put a version in force.
fn in_force_lines(running: &RunningSite, version: u64) -> Vec<LogLine> {
    let mut lines = parse_log(&running.logs());
    lines.retain(|line| {
        line.name() == "configuration_in_force"
            && line.number("version") == Some(version)
    });
    lines
}

/// What entries send each other follows the change, not the configuration.
#[test]
fn a_small_change_of_a_large_configuration_is_a_short_response() {
    let site =
        Site { extra_routes: EXTRA_ROUTES, ..Site::with_shared_feeds() };
    with_site(&site, async |running| {
        wait_until_shared(running).await;
        let version = running.configure(&[KEY, "another"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "another").await;
        }
        let entries = running.addresses.len();
        wait_until("all entries have logged it", async || {
            in_force_lines(running, version).len() == entries
        })
        .await;
        let lengths = |line: &LogLine| {
            let received = line.number("received_bytes")?;
            Some((received, line.number("bytes")?))
        };
        let lines = in_force_lines(running, version);
        let lengths: Vec<(u64, u64)> =
            lines.iter().filter_map(lengths).collect();
        assert!(!lengths.is_empty(), "no entry asked another one");
        let is_short =
            |(received, bytes): &(u64, u64)| received * 100 < *bytes;
        assert!(lengths.iter().all(is_short), "{lengths:?}");
    });
}

/// Entries skip some of many changes, not the same ones. Who has another
/// version than a response refers to asks again.
#[test]
fn the_last_of_many_changes_reaches_all_entries() {
    const CHANGES: usize = 40;
    const INTERVAL: Duration = Duration::from_millis(25);
    let site =
        Site { extra_routes: EXTRA_ROUTES, ..Site::with_shared_feeds() };
    with_site(&site, async |running| {
        wait_until_shared(running).await;
        for at in 0..CHANGES {
            running.configure(&[KEY, &format!("key-{at}")]);
            Timer::after(INTERVAL).await;
        }
        running.configure(&[KEY, "last"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "last").await;
        }
        let lines = parse_log(&running.logs());
        let errors = lines.iter().filter(|l| l.name() == "feed_poll_failed");
        let errors = errors.map(|line| line.text("error"));
        let unusable = errors.filter(|e| e.contains("another version"));
        assert_eq!(unusable.collect::<Vec<_>>(), Vec::<&str>::new());
    });
}

#[test]
fn an_entry_starts_with_a_configuration_that_takes_seconds_to_receive() {
    // One entry, so that no other one can send the configuration.
    let site = Site { entries: 1, ..site() };
    with_site(&site, async |running| {
        running.set_store_links(SLOW_LINK, true);
        wait_until_restarted(running, 0).await;
    });
}
