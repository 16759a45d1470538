//! How entries find each other.
//!
//! An entry that starts asks another one for the list of all; [`StartPlan`]
//! says when it turns to the table of entries in the store instead. Two
//! entries of each data centre read that table again at times, and the others
//! ask an entry of their data centre for its list. Each entry writes its row
//! again at times, and those that read the table delete the rows of machines
//! that are gone for good.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::store::{Row, StoreError};
use chestnutreach_membership::{
    rendezvous,
    roster::ListedEntry,
    row_ages::{RENEWAL_MS, RowAges},
    startup::{StartPlan, pause_after_ms},
};
use chestnutreach_protocol::peers::{EntryList, RosterEntry};
use chestnutreach_site::{StoreVersion, tables::ENTRIES};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        feed_server::FeedClient,
        peers::{self, StateSender},
    },
    core::Core,
};

const STORE_TIMEOUT: Duration = Duration::from_millis(900);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before another attempt after a failure of the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// The same after another entry did not respond: the next one is asked.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Limit on the random delay before an entry lists itself again.
const MAX_RELISTING_DELAY: Duration = Duration::from_millis(1_000);
/// Rows deleted after one read, so that many do not take the store's writes.
const MAX_DELETIONS: usize = 20;
/// Entries of a data centre that read the table from the store.
const TABLE_READERS: usize = 2;
/// Key of the assignment that selects them.
const TABLE_ASSIGNMENT: u64 = 4;

/// Finds the other entries until the process exits.
pub(crate) async fn run(core: Arc<Core>, sender: Arc<StateSender>) {
    let discovery = Discovery {
        core,
        sender,
        must_list: false,
        listed_ms: now_ms(),
        row_ages: RowAges::new(),
        reads: 0,
        failures: 0,
    };
    discovery.run().await;
}

struct Discovery {
    core: Arc<Core>,
    sender: Arc<StateSender>,
    /// Whether this entry's row may be missing in the table of the store.
    must_list: bool,
    /// When this entry last wrote its row; the start at first.
    listed_ms: u64,
    /// Versions of the rows, for those that are no longer renewed.
    row_ages: RowAges<StoreVersion>,
    /// Lists read so far.
    reads: usize,
    /// Entries that failed in a row.
    failures: usize,
}

impl Discovery {
    async fn run(mut self) {
        let history_changes = self.core.history_subscribers.subscribe();
        self.start().await;
        loop {
            let pause = self.read_list().await;
            self.core.peers.record_introduced();
            let pause = match self.renew_or_list().await {
                true => pause,
                false => pause.min(STORE_RETRY_PAUSE),
            };
            let history_changed = async {
                history_changes.notified().await;
                true
            };
            let pause_ends = async {
                Timer::after(pause).await;
                false
            };
            if history_changed.or(pause_ends).await {
                // The store may have lost the row.
                self.must_list = true;
                Timer::after(relisting_delay()).await;
            }
        }
    }

    /// Waits until another entry has sent a message, or turns to the store as
    /// planned.
    async fn start(&mut self) {
        let draws = [fastrand::f64(), fastrand::f64()];
        let plan = StartPlan::new(self.core.milli_cores(), draws);
        if self.is_met_before(plan.list_ms).await {
            return;
        }
        self.must_list = true;
        self.list_self_at_start().await;
        self.is_met_before(plan.read_ms).await;
    }

    /// Whether another entry has sent a message by this age of the process.
    async fn is_met_before(&self, age_ms: u64) -> bool {
        let left_ms = age_ms.saturating_sub(self.core.age_ms());
        let met = async {
            self.core.peers.introduced().await;
            true
        };
        let timeout = async {
            Timer::after(Duration::from_millis(left_ms)).await;
            false
        };
        met.or(timeout).await
    }

    /// Reads a list of the entries; returns the pause until the next read.
    async fn read_list(&mut self) -> Duration {
        let source = self.list_source();
        let is_read = match source {
            Some(address) => self.read_from_peer(address).await,
            None => self.read_from_store().await.is_ok(),
        };
        if !is_read {
            self.failures += 1;
            return match source {
                Some(_) => PEER_RETRY_PAUSE,
                None => STORE_RETRY_PAUSE,
            };
        }
        self.core.peers.record_list();
        self.failures = 0;
        self.reads += 1;
        let pause_ms = pause_after_ms(self.reads, source.is_none());
        Duration::from_millis(pause_ms)
    }

    /// Entry to ask for its list; `None` to read the store.
    fn list_source(&self) -> Option<SocketAddr> {
        let peers = &self.core.peers;
        let local = self.core.live_peers_in_data_centre();
        let own = self.core.own_candidate();
        let is_reader = rendezvous::is_assigned_by_capacity(
            own,
            local.iter().copied(),
            TABLE_ASSIGNMENT,
            TABLE_READERS,
        );
        // A first list comes from any entry that has one already.
        if is_reader && (self.reads > 0 || local.is_empty()) {
            return None;
        }
        let candidates = match local.is_empty() {
            true => peers.live_candidates(now_ms()),
            false => local,
        };
        let ranked = rendezvous::ranked_by_capacity(candidates, own.entry);
        let entry = ranked.get(self.failures % ranked.len().max(1))?;
        peers.feed_address(*entry)
    }

    async fn read_from_peer(&self, address: SocketAddr) -> bool {
        let client = FeedClient::new(address);
        let Ok(list) = client.fetch_entries(PEER_TIMEOUT).await else {
            return false;
        };
        self.apply_peer_roster(&list);
        let own = self.own_address();
        let mut found = Vec::new();
        for known in &list.entries {
            let Ok(address) = known.address.parse::<SocketAddr>() else {
                continue;
            };
            let is_local = known.data_centre == self.core.settings.data_centre;
            let is_new =
                address != own && self.core.peers.add_known(address, known);
            if is_new && is_local {
                found.push(address);
            }
        }
        self.sender.send(&found).await;
        true
    }

    /// Applies the roster in a list of another entry.
    fn apply_peer_roster(&self, list: &EntryList) {
        if !list.has_roster {
            return;
        }
        let parse = |entry: &RosterEntry| {
            let address = entry.address.parse().ok()?;
            let is_other = !self.is_own(address);
            let age_ms = entry.age_ms;
            is_other.then_some(ListedEntry { address, age_ms })
        };
        let listed: Vec<_> = list.roster.iter().filter_map(parse).collect();
        self.core.peers.apply_roster(&listed, list.roster_age_ms);
    }

    fn is_own(&self, address: SocketAddr) -> bool {
        address == self.own_address()
            || self.core.peers.is_own_address(address)
    }

    /// Reads the table of the store, and sends the state to all entries found
    /// there for the first time: they may wait for it.
    async fn read_from_store(&mut self) -> Result<(), StoreError> {
        let rows = self.core.store.read_table(ENTRIES, STORE_TIMEOUT).await?;
        let mut found = Vec::new();
        let mut listed = Vec::new();
        self.must_list = true;
        for row in &rows.rows {
            let address = std::str::from_utf8(&row.value)
                .ok()
                .and_then(|text| text.parse::<SocketAddr>().ok());
            let Some(address) = address else { continue };
            if self.is_own(address) {
                self.must_list &= row.key != self.core.settings.vm;
                continue;
            }
            listed.push(ListedEntry { address, age_ms: 0 });
            if self.core.peers.add_address(address) {
                found.push(address);
            }
        }
        self.core.peers.apply_roster(&listed, 0);
        self.delete_expired_rows(&rows.rows).await;
        self.sender.send(&found).await;
        Ok(())
    }

    /// Writes this entry's row if it may be missing or its renewal is due;
    /// false if it may still be missing. A renewal that failed waits for the
    /// next one: else all entries would try it again and again while the store
    /// is away.
    async fn renew_or_list(&mut self) -> bool {
        let is_renewal = !self.must_list && self.is_renewal_due();
        self.must_list |= is_renewal;
        let is_listed = self.try_list_self().await;
        if is_renewal {
            self.must_list = false;
            self.listed_ms = now_ms();
        }
        is_listed || is_renewal
    }

    /// Writes this entry's row if there is none. An entry takes no retries
    /// before it is listed, and its row stays for longer than their window: so
    /// without a row there was no process before this one whose retries count.
    async fn list_self_at_start(&mut self) {
        let era = self.core.store.era().unwrap_or_default();
        match self.write_row(Some(StoreVersion::new(era, 0))).await {
            Ok(_) => self.core.peers.record_first_process(),
            Err(StoreError::Conflict) => {
                self.try_list_self().await;
            }
            // Written later, like any row that may be missing.
            Err(_) => {}
        }
    }

    /// Writes this entry's row if it may be missing; false if that failed.
    async fn try_list_self(&mut self) -> bool {
        if !self.must_list {
            return true;
        }
        self.write_row(None).await.is_ok()
    }

    async fn write_row(
        &mut self,
        expected: Option<StoreVersion>,
    ) -> Result<StoreVersion, StoreError> {
        let address = self.own_address().to_string();
        let write = self.core.store.write_row(
            ENTRIES,
            &self.core.settings.vm,
            expected,
            address.as_bytes(),
            STORE_TIMEOUT,
        );
        let written = write.await;
        self.must_list = written.is_err();
        if !self.must_list {
            self.listed_ms = now_ms();
        }
        written
    }

    fn is_renewal_due(&self) -> bool {
        now_ms().saturating_sub(self.listed_ms) >= RENEWAL_MS
    }

    /// Deletes the rows of entries that no longer renew them.
    async fn delete_expired_rows(&mut self, rows: &[Row]) {
        let own = self.core.settings.vm.clone();
        let others = rows.iter().filter(|row| row.key != own);
        let versions = others.map(|row| (row.key.as_str(), row.version));
        let expired = self.row_ages.record_read(versions, now_ms());
        for (vm, version) in expired.into_iter().take(MAX_DELETIONS) {
            let deleted = self
                .core
                .store
                .delete_row(ENTRIES, &vm, version, STORE_TIMEOUT)
                .await;
            let error = deleted.err().map(|e| e.to_string());
            emit(
                Event::EntryRowExpired,
                &[("vm", &vm), ("error", &error.unwrap_or_default())],
            );
        }
    }

    fn own_address(&self) -> SocketAddr {
        peers::own_address(&self.core)
    }
}

/// Spreads the calls of all entries after the store has lost changes.
fn relisting_delay() -> Duration {
    MAX_RELISTING_DELAY.mul_f64(fastrand::f64())
}
