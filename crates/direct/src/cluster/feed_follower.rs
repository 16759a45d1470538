//! Follows the configuration and the backend list through feeds of the store.
//!
//! A poll of a feed waits at the store until the table changes. The wait is
//! short, because a dropped connection shows only when a poll does not return
//! in time. In a data centre with several entries, few of them poll the store,
//! and the others poll an entry in the same way ([`FeedSources`]).
//!
//! [`FeedSources`]: chestnutreach_membership::FeedSources

use std::{
    fmt,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::store::{Rows, StoreClient, StoreError};
use chestnutreach_membership::{
    FeedPeers, FeedSource, FetchOutcome,
    feed_source::MIN_SHARING_ENTRIES,
    rendezvous::{self, Candidate},
};
use chestnutreach_site::StoreVersion;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        backend_rows,
        configuration_rows::{Arrival, ParsedRows},
        feed_health::StoreHealth,
        feed_server::FeedClient,
        feeds::{Feed, STALE_MS},
        received_rows::{PeerPoll, ReceivedRows},
    },
    core::Core,
};

/// Two failed polls must fit into the time limit for withdrawn keys, which is
/// 5 s in the shipped deployments.
const CONFIGURATION_POLL_WAIT: Duration = Duration::from_millis(2_200);
/// A poll on a connection that went silent must fail, and the next one bring
/// what changed meanwhile, within the 3 s after which the platform counts a VM
/// as in contact with the store again.
const BACKENDS_POLL_WAIT: Duration = Duration::from_millis(1_800);
/// Wait at the store if other entries poll this entry: the wait adds to the
/// age of their copies.
const SHARED_READER_WAIT: Duration = Duration::from_millis(1_200);
/// Age of the copy above which a poll of the store waits only
/// `STALE_READER_WAIT`. An entry that replaces a failed root must learn
/// immediately whether its copy is current.
const SHORT_WAIT_AGE_MS: u64 = 1_000;
const STALE_READER_WAIT: Duration = Duration::from_millis(50);
/// Limit on the wait for the first peer of the data centre. Listed entries that
/// have ended never report.
const MAX_WAIT_FOR_PEERS_MS: u64 = 1_000;
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait at another entry. It responds sooner once the store has confirmed its
/// copy, so this only limits how late a silent entry is noticed.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// Wait at another entry while the copy is stale: the next peer may have a
/// newer one.
const STALE_PEER_WAIT: Duration = Duration::from_millis(60);
/// Age above which no other peer is likely to have a newer copy, because the
/// store is unavailable.
const OUTAGE_AGE_MS: u64 = 6_000;
const OUTAGE_PEER_WAIT: Duration = Duration::from_millis(200);
/// Minimum time between two log lines about a change to another peer.
const SOURCE_LOG_INTERVAL_MS: u64 = 5_000;
/// Minimum time between two log lines about failed polls of a table.
const FAILURE_LOG_INTERVAL_MS: u64 = 1_000;
/// Time beyond its wait after which a poll counts as failed.
const STORE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Age that a configuration reaches while the store responds.
pub(crate) const MAX_AGE_IN_CONTACT_MS: u64 =
    (CONFIGURATION_POLL_WAIT.as_millis() + STORE_TIMEOUT_MARGIN.as_millis())
        as u64;
/// Shorter than for the store, because peers are in the same data centre.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The same after another entry failed: the next one is asked instead.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause between polls of the backend list, so that one poll returns several
/// changes.
const BACKENDS_PAUSE: Duration = Duration::from_millis(250);
/// The pause is multiplied by the number of entries divided by this number,
/// within 1 and `MAX_PAUSES`.
const ENTRIES_PER_PAUSE: u32 = 12;
const MAX_PAUSES: u32 = 2;

/// Table that a feed follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedKind {
    Configuration,
    Backends,
}

/// Follows the configuration.
pub(crate) async fn follow_configuration(core: Arc<Core>) {
    Follower::new(core, FeedKind::Configuration).run().await;
}

/// Follows the list of backend servers.
pub(crate) async fn follow_backends(core: Arc<Core>) {
    Follower::new(core, FeedKind::Backends).run().await;
}

/// Task that keeps the copy of one table current.
struct Follower {
    core: Arc<Core>,
    kind: FeedKind,
    store: Arc<StoreClient>,
    client: Option<FeedClient>,
    health: StoreHealth,
    /// Version up to which all changes were applied.
    applied_version: Option<StoreVersion>,
    /// Source of the last poll.
    source: FeedSource,
    /// When a change of the source was last logged.
    source_logged_ms: u64,
    /// When a failed poll was last logged, and how many failed since then.
    failure_logged_ms: u64,
    unlogged_failures: u64,
}

impl Follower {
    fn new(core: Arc<Core>, kind: FeedKind) -> Follower {
        let store = core.store.clone();
        let table = feed_for(&core, kind).table;
        Follower {
            core,
            kind,
            store,
            client: None,
            health: StoreHealth::new(table),
            applied_version: None,
            source: FeedSource::Store,
            source_logged_ms: 0,
            failure_logged_ms: 0,
            unlogged_failures: 0,
        }
    }

    fn feed(&self) -> &Feed {
        feed_for(&self.core, self.kind)
    }

    async fn run(mut self) {
        self.local_peers_known().await;
        loop {
            let live = self.core.live_peers_in_data_centre();
            let roots = self.roots(&live);
            let peers = FeedPeers {
                own: self.core.own_candidate(),
                peers: &live,
                must_read_store: self.core.is_planner.load(Relaxed),
                may_lack_peers: !self.core.peers.knows_all_entries(),
                roots: &roots,
                age_ms: self.feed().age_ms().min(self.core.age_ms()),
            };
            let source = self.feed().choose_source(&peers);
            self.change_source(source);
            let is_shared = live.len() + 1 >= MIN_SHARING_ENTRIES;
            let outcome = match source {
                FeedSource::Store => self.fetch_from_store(is_shared).await,
                FeedSource::Entry(entry) => self.fetch_from_peer(entry).await,
            };
            self.feed().record_failing(outcome != FetchOutcome::Fresh);
            self.feed().record_outcome(source, outcome);
            self.pause(source, outcome).await;
        }
    }

    /// The entries that serve the roots of the data centres, if this entry is
    /// the root of its own; all entries, if its data centre has too few to
    /// share the feed.
    fn roots(&self, local: &[Candidate]) -> Vec<u64> {
        let (core, assignment) = (&self.core, self.feed().assignment);
        let own = core.own_candidate();
        let all_local = local.iter().copied().chain([own]);
        let root = rendezvous::first_by_capacity(all_local, assignment);
        let now_ms = now_ms();
        if local.len() + 1 < MIN_SHARING_ENTRIES {
            if !core.peers.knows_all_entries() {
                return Vec::new();
            }
            let all = core.peers.live_candidates(now_ms);
            return rendezvous::ranked_by_capacity(all, assignment);
        }
        if root != Some(own) {
            return Vec::new();
        }
        let planner = match core.is_planner.load(Relaxed) {
            true => Some(own.entry),
            false => core.peers.planner(now_ms),
        };
        let others = core.peers.roots(assignment, now_ms);
        let others = others.into_iter().filter(|c| !local.contains(c));
        let all = others.chain([own]);
        let ranked = rendezvous::ranked_by_capacity(all, assignment);
        planner.into_iter().chain(ranked).collect()
    }

    /// Waits until this entry knows another one of its data centre, or knows
    /// that there is none. Else all entries of a fleet that starts would read
    /// the store.
    async fn local_peers_known(&self) {
        self.core.peers.introduced().await;
        let introduced_ms = now_ms();
        while !self.are_local_peers_known()
            && now_ms() - introduced_ms < MAX_WAIT_FOR_PEERS_MS
        {
            Timer::after(PEER_CHECK_INTERVAL).await;
        }
    }

    fn are_local_peers_known(&self) -> bool {
        !self.core.live_peers_in_data_centre().is_empty()
            || self.core.peers.knows_all_entries()
    }

    async fn pause(&self, source: FeedSource, outcome: FetchOutcome) {
        match (source, outcome) {
            (FeedSource::Store, FetchOutcome::Failed) => {
                Timer::after(RETRY_PAUSE).await;
            }
            (FeedSource::Entry(_), FetchOutcome::Failed) => {
                Timer::after(PEER_RETRY_PAUSE).await;
            }
            _ => {}
        }
        if self.kind == FeedKind::Backends && source == FeedSource::Store {
            Timer::after(backends_pause(&self.core)).await;
        }
    }

    async fn fetch_from_store(&mut self, is_shared: bool) -> FetchOutcome {
        let sent_ms = now_ms();
        let result = match self.applied_version {
            None => self.read_full_table().await,
            Some(version) => self.poll_store(version, is_shared).await,
        };
        match result {
            Ok(version) => {
                self.record_store_available();
                self.applied_version = Some(version);
                FetchOutcome::Fresh
            }
            Err(
                StoreError::HistoryExpired
                | StoreError::HistoryReplaced { .. },
            ) => {
                self.applied_version = None;
                FetchOutcome::Fresh
            }
            Err(e) => {
                self.health.record_failure(&self.core, &e);
                self.log_failure(&e, sent_ms);
                self.record_store_failure();
                FetchOutcome::Failed
            }
        }
    }

    async fn read_full_table(&mut self) -> Result<StoreVersion, StoreError> {
        let sent_ms = now_ms();
        let table = self.feed().table;
        let rows = self.store.read_table(table, READ_TIMEOUT).await?;
        let arrival = self.arrival(sent_ms, None);
        self.record_response(rows.version);
        self.log_lower_version(&rows);
        self.apply_all(&rows, &arrival);
        self.record_confirmed(sent_ms);
        Ok(rows.version)
    }

    async fn poll_store(
        &mut self,
        after: StoreVersion,
        is_shared: bool,
    ) -> Result<StoreVersion, StoreError> {
        let default_wait = match (is_shared, self.kind) {
            (true, _) if self.feed().age_ms() > SHORT_WAIT_AGE_MS => {
                STALE_READER_WAIT
            }
            (true, _) => SHARED_READER_WAIT,
            (false, FeedKind::Configuration) => CONFIGURATION_POLL_WAIT,
            (false, FeedKind::Backends) => BACKENDS_POLL_WAIT,
        };
        let wait = self.health.poll_wait(default_wait);
        let sent_ms = now_ms();
        let table = self.feed().table;
        let feed =
            self.store.feed(table, after, wait, wait + STORE_TIMEOUT_MARGIN);
        let rows = feed.await?;
        let arrival = self.arrival(sent_ms, None);
        self.record_response(rows.version);
        self.log_lower_version(&rows);
        self.apply_changes(&rows, &arrival);
        // An empty response shows that the poll waited its full time.
        let waited_ms = match rows.rows.is_empty() {
            true => wait.as_millis() as u64,
            false => 0,
        };
        self.record_confirmed((sent_ms + waited_ms).min(now_ms()));
        Ok(rows.version.max(after))
    }

    /// Records that the store responded, before its rows are applied: rows that
    /// lapsed in an outage get the grace period only once its end is known.
    fn record_response(&mut self, version: StoreVersion) {
        let feed = feed_for(&self.core, self.kind);
        self.health.record_response(feed, version);
    }

    async fn fetch_from_peer(&mut self, entry: u64) -> FetchOutcome {
        let Some(address) = self.core.peers.feed_address(entry) else {
            return FetchOutcome::Failed;
        };
        let reused = self.client.take().filter(|a| a.address() == address);
        let client = reused.unwrap_or_else(|| FeedClient::new(address));
        let wait = match self.feed().age_ms() {
            ..STALE_MS => PEER_WAIT,
            STALE_MS..OUTAGE_AGE_MS => STALE_PEER_WAIT,
            OUTAGE_AGE_MS.. => OUTAGE_PEER_WAIT,
        };
        let poll = PeerPoll {
            client: &client,
            feed: self.feed(),
            after: self.applied_version,
            wait,
            timeout: wait + PEER_TIMEOUT_MARGIN,
        };
        let sent_ms = now_ms();
        let received = match poll.receive().await {
            Ok(received) => received,
            Err(e) => {
                self.log_failure(&e, sent_ms);
                return FetchOutcome::Failed;
            }
        };
        self.client = Some(client);
        let arrival =
            self.arrival(sent_ms + received.waited_ms, Some(received.bytes));
        self.apply_received(&received, &arrival)
    }

    /// How rows arrived of which the source began to respond at `begun_ms`.
    fn arrival(
        &self,
        begun_ms: u64,
        received_bytes: Option<usize>,
    ) -> Arrival {
        Arrival {
            source: self.source_name(),
            received_bytes,
            fetch_ms: now_ms().saturating_sub(begun_ms),
        }
    }

    fn apply_received(
        &mut self,
        received: &ReceivedRows,
        arrival: &Arrival,
    ) -> FetchOutcome {
        if let Some(recovered_ms) = received.recovered_ms {
            self.feed().record_recovery(recovered_ms);
        }
        let rows = &received.rows;
        self.log_lower_version(rows);
        if self.is_outdated(rows.version) {
            return FetchOutcome::Stale;
        }
        match received.is_full_table {
            true => self.apply_all(rows, arrival),
            false => self.apply_changes(rows, arrival),
        }
        self.applied_version = self.applied_version.max(Some(rows.version));
        self.record_confirmed(received.confirmed_ms);
        if received.is_stale {
            return FetchOutcome::Stale;
        }
        self.health.record_peer_response();
        // The planner must reach the store itself.
        if !self.core.is_planner.load(Relaxed) {
            self.record_store_available();
        }
        FetchOutcome::Fresh
    }

    /// Whether a response belongs to an earlier history than the copy. It
    /// confirms nothing then.
    fn is_outdated(&self, version: StoreVersion) -> bool {
        let known = self.feed().version();
        known.is_some_and(|known| version.era() < known.era())
    }

    /// Applies a full table, unless the copy is newer, as can be the case if
    /// the rows come from another entry.
    fn apply_all(&self, rows: &Rows, arrival: &Arrival) {
        self.begin_history(rows);
        if !self.feed().replace(rows) {
            return;
        }
        match self.kind {
            FeedKind::Configuration => {
                ParsedRows::new(rows).apply(&self.core, arrival);
            }
            FeedKind::Backends => backend_rows::apply_all(&self.core, rows),
        }
    }

    fn apply_changes(&self, rows: &Rows, arrival: &Arrival) {
        match self.kind {
            FeedKind::Configuration => {
                self.apply_configuration_changes(rows, arrival);
            }
            FeedKind::Backends => {
                if self.feed().apply_changes(rows) {
                    backend_rows::apply_changes(&self.core, rows);
                }
            }
        }
    }

    /// The copy keeps the configuration in force if a change brings an older
    /// one: an entry that starts takes whatever the copy has.
    fn apply_configuration_changes(&self, rows: &Rows, arrival: &Arrival) {
        let parsed = ParsedRows::new(rows);
        if self.feed().apply_changes(&parsed.without_older(&self.core)) {
            parsed.apply(&self.core, arrival);
        }
    }

    fn record_confirmed(&self, then_ms: u64) {
        self.feed().record_confirmed(then_ms);
        if self.kind == FeedKind::Configuration {
            self.core.record_configuration_confirmed(then_ms);
        }
    }

    fn record_store_available(&self) {
        if self.kind == FeedKind::Configuration {
            self.core.store_failing_since_ms.store(0, Relaxed);
        }
    }

    fn record_store_failure(&self) {
        if self.kind == FeedKind::Configuration {
            self.core.record_store_failure();
            // Evaluates the key check, whose result may change with time.
            self.core.are_keys_fresh();
        }
    }

    fn change_source(&mut self, source: FeedSource) {
        if source == self.source {
            return;
        }
        let is_same_kind = matches!(
            (self.source, source),
            (FeedSource::Entry(_), FeedSource::Entry(_))
        );
        self.source = source;
        self.feed().set_source(source);
        // While the store is unavailable, the source changes with every poll.
        let now_ms = now_ms();
        if is_same_kind
            && now_ms < self.source_logged_ms + SOURCE_LOG_INTERVAL_MS
        {
            return;
        }
        self.source_logged_ms = now_ms;
        let (name, boot_id) = match source {
            FeedSource::Store => ("store", String::new()),
            FeedSource::Entry(boot_id) => ("entry", boot_id.to_string()),
        };
        let row_version = self.applied_version.map_or(0, StoreVersion::number);
        emit(
            Event::FeedSourceChanged,
            &[
                ("table", &self.feed().table),
                ("source", &name),
                ("peer_boot_id", &boot_id),
                ("age_ms", &self.feed().age_ms()),
                ("row_version", &row_version),
            ],
        );
    }

    /// Logs a failed poll, unless one was logged just before.
    fn log_failure(&mut self, error: &dyn fmt::Display, sent_ms: u64) {
        let now_ms = now_ms();
        if now_ms < self.failure_logged_ms + FAILURE_LOG_INTERVAL_MS {
            self.unlogged_failures += 1;
            return;
        }
        self.failure_logged_ms = now_ms;
        let unlogged = std::mem::take(&mut self.unlogged_failures);
        emit(
            Event::FeedPollFailed,
            &[
                ("table", &self.feed().table),
                ("source", &self.source_name()),
                ("error", &error),
                ("elapsed_ms", &(now_ms - sent_ms)),
                ("age_ms", &self.feed().age_ms()),
                ("unlogged", &unlogged),
            ],
        );
    }

    /// Logs a read at a version below one that was read before.
    fn log_lower_version(&self, rows: &Rows) {
        let Some(known) = self.feed().version() else { return };
        if known <= rows.version {
            return;
        }
        emit(
            Event::StoreVersionFell,
            &[
                ("table", &self.feed().table),
                ("source", &self.source_name()),
                ("era", &rows.version.era()),
                ("row_version", &rows.version.number()),
                ("known_era", &known.era()),
                ("known_row_version", &known.number()),
            ],
        );
    }

    /// Prepares for the first read of a later history of the store. Engines
    /// whose rows the store has lost get the grace period in which they write
    /// their rows again.
    fn begin_history(&self, rows: &Rows) {
        let Some(known) = self.feed().version() else { return };
        if rows.version <= known || rows.version.is_same_history(known) {
            return;
        }
        self.feed().begin_history(rows.version);
        let (row_count, missing_count) = self.feed().missing_rows(rows);
        emit(
            Event::StoreHistoryReplaced,
            &[
                ("table", &self.feed().table),
                ("source", &self.source_name()),
                ("era_before", &known.era()),
                ("row_version_before", &known.number()),
                ("era", &rows.version.era()),
                ("row_version", &rows.version.number()),
                ("rows_before", &row_count),
                ("rows_missing", &missing_count),
            ],
        );
        self.core.history_subscribers.notify_all();
    }

    fn source_name(&self) -> String {
        match self.source {
            FeedSource::Store => "store".to_owned(),
            FeedSource::Entry(boot_id) => boot_id.to_string(),
        }
    }
}

fn feed_for(core: &Core, kind: FeedKind) -> &Feed {
    match kind {
        FeedKind::Configuration => &core.feeds.configuration,
        FeedKind::Backends => &core.feeds.backends,
    }
}

/// Pause between polls of the backend list. Every change of the list costs one
/// poll of each entry, so many entries batch more changes.
fn backends_pause(core: &Core) -> Duration {
    let entries = core.peers.entry_count() as u32;
    BACKENDS_PAUSE * (entries / ENTRIES_PER_PAUSE).clamp(1, MAX_PAUSES)
}
