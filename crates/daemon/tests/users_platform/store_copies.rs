//! A store that loses its last changes: it goes away and comes back from an
//! older copy, and gives its versions out again.

use std::{collections::BTreeSet, time::Duration};

use async_io::Timer;
use chestnutreach_emulator::{
    running::RunningSite,
    site::{KEY, Site},
    store::{StoreCopy, StoreFault},
};
use chestnutreach_site::tables::{ENTRIES, LEASE, LEASE_KEY};
use rstest::rstest;
use serde_json::{Value, json};

use crate::{
    feed_sharing::{wait_until_served, wait_until_shared},
    support::{wait_until, with_site},
};

/// Time from the return of the store until the operator and the servers write
/// their rows again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// The same where they write their rows only after the test.
const LATE_REWRITE: Duration = Duration::from_secs(60);
/// Time for which the store is away, unless a case states another.
const AWAY: Duration = Duration::from_millis(250);

/// How the store is lost, and what all entries know by then.
struct Drill {
    /// How long the store is away.
    away: Duration,
    /// Changes of another table after the copy: they raise the version.
    undone_changes: u64,
}

/// Takes the store away and brings it back from a copy.
async fn lose_changes(
    running: &RunningSite,
    copy: StoreCopy,
    away: Duration,
    rewrite_delay: Duration,
) {
    running.store.set_fault(StoreFault::Away);
    Timer::after(away).await;
    running.restore_store(copy, rewrite_delay);
}

async fn wait_until_all(
    running: &RunningSite,
    mut condition: impl AsyncFnMut(usize) -> bool,
) {
    for entry in 0..running.addresses.len() {
        wait_until("an entry meets the condition", async || {
            condition(entry).await
        })
        .await;
    }
}

async fn wait_until_in_force(running: &RunningSite, version: u64) {
    wait_until_all(running, async |entry| {
        let status = running.status(entry).await.unwrap_or_default();
        status["configuration"].as_u64() == Some(version)
    })
    .await;
}

#[rstest]
#[case::short(Drill { away: Duration::from_millis(250), undone_changes: 400 })]
#[case::long(Drill { away: Duration::from_secs(2), undone_changes: 400 })]
#[case::few_changes(Drill {
    away: Duration::from_secs(1), undone_changes: 12,
})]
fn a_configuration_accepted_after_lost_changes_reaches_all_entries(
    #[case] drill: Drill,
) {
    with_site(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let copy = running.store.copy();
        for number in 0..drill.undone_changes {
            running.store.put("other", "key", &json!(number));
        }
        let undone = running.configure(&[KEY]);
        wait_until_in_force(running, undone).await;
        lose_changes(running, copy, drill.away, REWRITE_DELAY).await;
        wait_until_shared(running).await;
        running.configure(&[KEY, "another"]);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "another").await;
        }
    });
}

/// Copies the store without the rows that a table has now.
fn copy_without(running: &RunningSite, table: &str) -> StoreCopy {
    for key in running.store.keys(table) {
        running.store.delete_row(table, &key);
    }
    running.store.copy()
}

/// Entries that start later find the others only through these rows.
#[test]
fn entries_list_themselves_again_after_their_rows_were_lost() {
    with_site(&Site::small(), async |running| {
        let copy = copy_without(running, ENTRIES);
        lose_changes(running, copy, AWAY, REWRITE_DELAY).await;
        wait_until("all entries are listed", async || {
            running.store.keys(ENTRIES).len() == running.addresses.len()
        })
        .await;
    });
}

/// How a server leaves after the copy was made. It serves on.
#[derive(Clone, Copy)]
enum Leaving {
    /// Its row says that it drains.
    Drains,
    /// Its row is removed.
    Unlisted,
}

/// Whether an entry's status lists a server as one for new requests.
fn is_usable(status: &Value, id: &str) -> bool {
    let backends = status["backends"].as_array().into_iter().flatten();
    let mut found = backends.filter(|backend| backend["id"] == id);
    found.any(|backend| backend["is_draining"] == false)
}

async fn is_usable_anywhere(running: &RunningSite, id: &str) -> bool {
    for entry in 0..running.addresses.len() {
        let status = running.status(entry).await.unwrap_or_default();
        if is_usable(&status, id) {
            return true;
        }
    }
    false
}

/// Whether an entry has read the list of servers since the store was restored.
fn has_read_restored_list(status: &Value) -> bool {
    let feeds = status["feeds"].as_array().into_iter().flatten();
    let mut servers = feeds.filter(|feed| feed["table"] == "servers");
    servers.any(|feed| feed["era"] == 1)
}

#[rstest]
#[case::drains(Leaving::Drains)]
#[case::unlisted(Leaving::Unlisted)]
fn a_server_that_leaves_gets_no_new_work_when_the_store_loses_that(
    #[case] leaving: Leaving,
) {
    with_site(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let copy = running.store.copy();
        let address = running.backends.engines()[0];
        let id = running.backends.server(address).unwrap().id;
        match leaving {
            Leaving::Drains => running.backends.report_draining(address),
            Leaving::Unlisted => running.backends.remove_row(address),
        }
        wait_until("the server is not usable", async || {
            !is_usable_anywhere(running, &id).await
        })
        .await;
        lose_changes(running, copy, AWAY, LATE_REWRITE).await;
        // All entries are looked at in turn: the row waits for a few seconds
        // from the time at which an entry reads it.
        let mut unread: BTreeSet<usize> =
            (0..running.addresses.len()).collect();
        wait_until("all entries read the restored list", async || {
            for entry in unread.clone() {
                let status = running.status(entry).await.unwrap_or_default();
                if has_read_restored_list(&status) {
                    // The era shows a moment before the rows are applied.
                    let status =
                        running.status(entry).await.unwrap_or_default();
                    assert!(!is_usable(&status, &id), "{entry}");
                    unread.remove(&entry);
                }
            }
            unread.is_empty()
        })
        .await;
        // The row stays, so the server has not left after all.
        wait_until("the server is usable", async || {
            is_usable_anywhere(running, &id).await
        })
        .await;
    });
}

/// Number of log lines of servers that were dropped, and how many of them had
/// no grace period.
fn dropped(running: &RunningSite) -> (usize, usize) {
    let logs = running.logs();
    let gone = || logs.lines().filter(|line| line.contains("backend_gone"));
    let at_once = gone().filter(|l| l.contains(r#""held_back_ms":"0""#));
    (gone().count(), at_once.count())
}

/// The copy is older than all rows of servers. Each server has the time that
/// the platform states to write its row again, and is gone then.
#[test]
fn running_servers_stay_in_use_while_the_copy_lacks_their_rows() {
    with_site(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let copy = copy_without(running, "servers");
        let count_backends = async |entry| {
            let status = running.status(entry).await.unwrap_or_default();
            status["backends"].as_array().map(Vec::len)
        };
        wait_until_all(running, async |entry| {
            count_backends(entry).await == Some(0)
        })
        .await;
        let engines = running.backends.engines();
        for address in engines.iter().chain(&running.backends.plain_servers())
        {
            running.backends.write_row(*address);
        }
        let count = engines.len() + running.backends.plain_servers().len();
        wait_until_all(running, async |entry| {
            count_backends(entry).await == Some(count)
        })
        .await;
        wait_until("the first drops are logged", async || {
            dropped(running).0 == count * running.addresses.len()
        })
        .await;
        let (dropped_before, at_once_before) = dropped(running);
        // No call fails, so only the era shows that rows were lost.
        running.restore_store(copy, LATE_REWRITE);
        let all = dropped_before + count * running.addresses.len();
        wait_until("all servers are dropped", async || {
            dropped(running).0 == all
        })
        .await;
        assert_eq!(dropped(running).1, at_once_before);
    });
}

/// Fencing number in the row of the lease.
fn lease_number(running: &RunningSite) -> Option<u64> {
    running.store.get(LEASE, LEASE_KEY)?["fencing_number"].as_u64()
}

#[test]
fn no_fencing_number_is_given_out_again_after_the_lease_was_lost() {
    with_site(&Site::with_shared_feeds(), async |running| {
        let copy = copy_without(running, LEASE);
        let mut known = 0;
        wait_until("an entry holds the lease", async || {
            known = lease_number(running).unwrap_or(0);
            known > 0 && running.planner().await.is_some()
        })
        .await;
        lose_changes(running, copy, AWAY, REWRITE_DELAY).await;
        wait_until("an entry holds the lease again", async || {
            let number = lease_number(running);
            number.is_some_and(|number| number > known)
                && running.planner().await.is_some()
        })
        .await;
    });
}

/// The operator gives a lost version number out again.
#[test]
fn a_reused_configuration_version_is_in_force_with_its_new_content() {
    with_site(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let copy = running.store.copy();
        let version = running.configure(&[KEY, "lost"]);
        wait_until_in_force(running, version).await;
        lose_changes(running, copy, AWAY, LATE_REWRITE).await;
        let site = running.backends.site();
        let new = site.configuration(version, &[KEY, "new"]);
        running.store.put("op", "config", &new);
        for entry in 0..running.addresses.len() {
            wait_until_served(running, entry, "new").await;
        }
    });
}

/// An entry whose row the store has lost writes it again, also if the store
/// refuses the first attempt.
#[test]
fn entries_list_themselves_again_once_the_store_accepts_it() {
    with_site(&Site::with_shared_feeds(), async |running| {
        wait_until_shared(running).await;
        let copy = copy_without(running, ENTRIES);
        lose_changes(running, copy, AWAY, LATE_REWRITE).await;
        let entries = running.addresses.len();
        wait_until("all entries know of the loss", async || {
            let logs = running.logs();
            let lines = logs.lines();
            let known = lines.filter(|line| {
                line.contains("\"store_history_replaced\"")
                    && line.contains("\"op\"")
            });
            known.count() == entries
        })
        .await;
        running.store.set_fault(StoreFault::Busy);
        // Longer than the entries wait before they write.
        Timer::after(Duration::from_millis(1_500)).await;
        running.store.set_fault(StoreFault::None);
        wait_until("all entries are listed", async || {
            running.store.keys(ENTRIES).len() == entries
        })
        .await;
    });
}
