//! Configuration and list of backend servers, by feeds of the store.
//!
//! A feed's call waits at the store until something changes. Its wait is
//! short, since only the end of a call shows that its connection has not
//! gone silent. Where a data centre has several entries, one asks the store
//! and the others ask it in the same way ([`Sources`]).
//!
//! [`Sources`]: chestnutreach_membership::Sources

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::{
    configuration::{self, KEY},
    store::{Row, Rows, StoreClient, StoreError},
};
use chestnutreach_membership::{Around, Outcome, Source, source::FEWEST};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        backend_rows,
        feed_health::StoreHealth,
        feed_server::FeedClient,
        feeds::{Feed, STALE_MS, into_rows},
    },
    core::Core,
};

/// Wait of a call of the configuration's feed. Two calls that fail must fit
/// into the bound on withdrawn keys, 5 s in the shipped deployments.
const CONFIGURATION_POLL_WAIT: Duration = Duration::from_millis(2_200);
/// Wait of a call of the list's feed.
const BACKENDS_POLL_WAIT: Duration = Duration::from_millis(3_500);
/// Wait of either at the store where others ask this entry: what they know
/// is as much older as a call waits.
const SHARED_READER_WAIT: Duration = Duration::from_millis(1_200);
/// Age of what is known from which on a call waits only so long at the store:
/// who asks it in place of a reader that failed must know at once.
const SHORT_WAIT_AGE_MS: u64 = 1_000;
const STALE_READER_WAIT: Duration = Duration::from_millis(50);
/// Wait of either at another entry.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// The same where what is known is old, and the next one may know better.
const STALE_PEER_WAIT: Duration = Duration::from_millis(150);
/// Age from which on the next one hardly knows better: the store is away.
const OUTAGE_AGE_MS: u64 = 4_000;
/// Shortest time between two lines that tell which other entry is asked.
const SOURCE_LOG_INTERVAL_MS: u64 = 5_000;
/// Time beyond its wait after which a call counts as lost.
const STORE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// The same at another entry, which is near.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// Time for reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between calls of the list, so that changes that come together cost
/// one call.
const BACKENDS_PAUSE: Duration = Duration::from_millis(250);
/// Entries for which the pause is once as long, and most times that it is.
const ENTRIES_PER_PAUSE: u32 = 12;
const MAX_PAUSES: u32 = 2;

/// What a feed brings.
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

struct Follower {
    core: Arc<Core>,
    kind: FeedKind,
    store: StoreClient,
    client: Option<FeedClient>,
    health: StoreHealth,
    /// Version up to which everything was taken.
    applied_version: Option<u64>,
    /// Whom it asked last.
    source: Source,
    /// When that was last told.
    source_logged_ms: u64,
}

impl Follower {
    fn new(core: Arc<Core>, kind: FeedKind) -> Follower {
        let store = StoreClient::new(core.settings.store_address);
        let table = feed_for(&core, kind).table;
        Follower {
            core,
            kind,
            store,
            client: None,
            health: StoreHealth::new(table),
            applied_version: None,
            source: Source::Store,
            source_logged_ms: 0,
        }
    }

    fn feed(&self) -> &Feed {
        feed_for(&self.core, self.kind)
    }

    async fn run(mut self) {
        loop {
            let others = self.core.entries_here();
            let around = Around {
                own: self.core.boot_id,
                others: &others,
                must_read: self.core.is_planner.load(Relaxed),
            };
            let source = self.feed().choose_source(&around);
            self.change_source(source);
            let is_shared = others.len() + 1 >= FEWEST;
            let outcome = match source {
                Source::Store => self.fetch_from_store(is_shared).await,
                Source::Entry(entry) => self.fetch_from_peer(entry).await,
            };
            self.feed().record_outcome(source, outcome);
            self.pause(source, outcome).await;
        }
    }

    async fn pause(&self, source: Source, outcome: Outcome) {
        if outcome == Outcome::Failed {
            Timer::after(RETRY_PAUSE).await;
        }
        if self.kind == FeedKind::Backends && source == Source::Store {
            Timer::after(backends_pause(&self.core)).await;
        }
    }

    async fn fetch_from_store(&mut self, is_shared: bool) -> Outcome {
        let result = match self.applied_version {
            None => self.read_full_table().await,
            Some(version) => self.poll_store(version, is_shared).await,
        };
        match result {
            Ok(version) => {
                let feed = feed_for(&self.core, self.kind);
                self.health.record_response(feed, version);
                self.record_store_available();
                self.applied_version = Some(version);
                Outcome::Fresh
            }
            Err(StoreError::HistoryGone) => {
                self.applied_version = None;
                Outcome::Fresh
            }
            Err(e) => {
                self.health.record_failure(&self.core, &e);
                self.record_store_failure();
                Outcome::Failed
            }
        }
    }

    async fn read_full_table(&self) -> Result<u64, StoreError> {
        let asked_ms = now_ms();
        let table = self.feed().table;
        let rows = self.store.read_table(table, READ_TIMEOUT).await?;
        self.apply_all(&rows);
        self.record_confirmed(asked_ms);
        Ok(rows.version)
    }

    async fn poll_store(
        &self,
        after: u64,
        is_shared: bool,
    ) -> Result<u64, StoreError> {
        let usual = match (is_shared, self.kind) {
            (true, _) if self.feed().age_ms() > SHORT_WAIT_AGE_MS => {
                STALE_READER_WAIT
            }
            (true, _) => SHARED_READER_WAIT,
            (false, FeedKind::Configuration) => CONFIGURATION_POLL_WAIT,
            (false, FeedKind::Backends) => BACKENDS_POLL_WAIT,
        };
        let wait = self.health.poll_wait(usual);
        let asked_ms = now_ms();
        let table = self.feed().table;
        let feed =
            self.store.feed(table, after, wait, wait + STORE_TIMEOUT_MARGIN);
        let rows = feed.await?;
        self.apply_changes(&rows);
        // A call that came back empty has waited at the store.
        let waited_ms = match rows.rows.is_empty() {
            true => wait.as_millis() as u64,
            false => 0,
        };
        self.record_confirmed((asked_ms + waited_ms).min(now_ms()));
        Ok(rows.version.max(after))
    }

    async fn fetch_from_peer(&mut self, entry: u64) -> Outcome {
        let Some(address) = self.core.peers.feed_address(entry) else {
            return Outcome::Failed;
        };
        let kept = self.client.take().filter(|a| a.address() == address);
        let asker = kept.unwrap_or_else(|| FeedClient::new(address));
        let table = self.feed().table;
        let wait = match self.feed().age_ms() {
            STALE_MS..OUTAGE_AGE_MS => STALE_PEER_WAIT,
            _ => PEER_WAIT,
        };
        let timeout = wait + PEER_TIMEOUT_MARGIN;
        let asked =
            asker.fetch(table, self.applied_version, wait, timeout).await;
        let Some(asked) = asked else { return Outcome::Failed };
        self.client = Some(asker);
        let answer = asked.answer;
        let age_ms = answer.confirmed_age_ms;
        let confirmed_ms = asked.created_ms.saturating_sub(age_ms);
        if let Some(back_age_ms) = answer.back_age_ms {
            let back_ms = asked.created_ms.saturating_sub(back_age_ms);
            self.feed().record_recovery(back_ms);
        }
        let is_whole = answer.is_whole;
        let rows = into_rows(answer);
        match is_whole {
            true => self.apply_all(&rows),
            false => self.apply_changes(&rows),
        }
        self.applied_version = self.applied_version.max(Some(rows.version));
        self.record_confirmed(confirmed_ms);
        if age_ms > STALE_MS {
            return Outcome::Stale;
        }
        self.health.record_peer_response();
        self.record_store_available();
        Outcome::Fresh
    }

    /// Takes all rows, unless what is known here is newer, as it may be than
    /// what another entry knows.
    fn apply_all(&self, rows: &Rows) {
        if !self.feed().replace(rows) {
            return;
        }
        match self.kind {
            FeedKind::Configuration => {
                for row in &rows.rows {
                    apply_configuration(&self.core, row);
                }
            }
            FeedKind::Backends => backend_rows::apply_all(&self.core, rows),
        }
    }

    fn apply_changes(&self, rows: &Rows) {
        self.feed().apply_changes(rows);
        for row in &rows.rows {
            match self.kind {
                FeedKind::Configuration => {
                    apply_configuration(&self.core, row)
                }
                FeedKind::Backends => backend_rows::apply(&self.core, row),
            }
        }
    }

    fn record_confirmed(&self, then_ms: u64) {
        self.feed().record_confirmed(then_ms);
        if self.kind == FeedKind::Configuration {
            self.core.confirm(then_ms);
        }
    }

    fn record_store_available(&self) {
        if self.kind == FeedKind::Configuration {
            self.core.store_lost_ms.store(0, Relaxed);
        }
    }

    fn record_store_failure(&self) {
        if self.kind == FeedKind::Configuration {
            self.core.note_store_lost();
            // What the key check says may have changed by time alone.
            self.core.are_keys_fresh();
        }
    }

    fn change_source(&mut self, source: Source) {
        if source == self.source {
            return;
        }
        let is_same_kind = matches!(
            (self.source, source),
            (Source::Entry(_), Source::Entry(_))
        );
        self.source = source;
        self.feed().set_source(source);
        // While the store is away, one entry after the other is asked.
        let now_ms = now_ms();
        if is_same_kind
            && now_ms < self.source_logged_ms + SOURCE_LOG_INTERVAL_MS
        {
            return;
        }
        self.source_logged_ms = now_ms;
        let (name, boot_id) = match source {
            Source::Store => ("store", String::new()),
            Source::Entry(boot_id) => ("entry", boot_id.to_string()),
        };
        emit(
            Event::FeedSourceChanged,
            &[
                ("table", &self.feed().table),
                ("source", &name),
                ("peer_boot_id", &boot_id),
                ("age_ms", &self.feed().age_ms()),
            ],
        );
    }
}

fn feed_for(core: &Core, kind: FeedKind) -> &Feed {
    match kind {
        FeedKind::Configuration => &core.feeds.configuration,
        FeedKind::Backends => &core.feeds.backends,
    }
}

/// Every change of the list costs a call of each entry, so many entries take
/// more changes together.
fn backends_pause(core: &Core) -> Duration {
    let entries = core.peers.entry_count() as u32;
    BACKENDS_PAUSE * (entries / ENTRIES_PER_PAUSE).clamp(1, MAX_PAUSES)
}

fn apply_configuration(core: &Core, row: &Row) {
    if row.key != KEY || row.is_dropped {
        return;
    }
    match configuration::try_parse(&row.value) {
        Ok(new) => {
            core.apply(new, row.version);
        }
        Err(error) => {
            emit(
                Event::ManifestUnusable,
                &[("generation", &row.version), ("findings", &error)],
            );
        }
    }
}
