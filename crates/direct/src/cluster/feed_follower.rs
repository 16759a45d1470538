//! Configuration and list of backend servers, by feeds of the store.
//!
//! A feed's call waits at the store until something changes. Its wait is
//! short, since only the end of a call shows that its connection has not
//! gone silent. Where a data centre has several entries, one asks the store
//! and the others ask it in the same way ([`FeedSources`]).
//!
//! [`FeedSources`]: chestnutreach_membership::FeedSources

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::{
    configuration::{self, KEY},
    store::{Row, Rows, StoreClient, StoreError},
};
use chestnutreach_membership::{
    FeedPeers, FeedSource, FetchOutcome, feed_source::MIN_SHARING_ENTRIES,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        backend_rows,
        feed_health::Health,
        feed_server::Asker,
        feeds::{Feed, STALE_MS, rows_of},
    },
    core::Core,
};

/// Wait of a call of the configuration's feed. Two calls that fail must fit
/// into the bound on withdrawn keys, 5 s in the shipped deployments.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2_200);
/// Wait of a call of the list's feed.
const LIST_WAIT: Duration = Duration::from_millis(3_500);
/// Wait of either at the store where others ask this entry: what they know
/// is as much older as a call waits.
const READER_WAIT: Duration = Duration::from_millis(1_200);
/// Age of what is known from which on a call waits only so long at the store:
/// who asks it in place of a reader that failed must know at once.
const OLD_MS: u64 = 1_000;
const WAIT_WHILE_OLD: Duration = Duration::from_millis(50);
/// Wait of either at another entry.
const ENTRY_WAIT: Duration = Duration::from_millis(600);
/// The same where what is known is old, and the next one may know better.
const ENTRY_WAIT_WHILE_OLD: Duration = Duration::from_millis(150);
/// Age from which on the next one hardly knows better: the store is away.
const HOPELESS_MS: u64 = 4_000;
/// Shortest time between two lines that tell which other entry is asked.
const TOLD_EVERY_MS: u64 = 5_000;
/// Time beyond its wait after which a call counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(500);
/// The same at another entry, which is near.
const ENTRY_SLACK: Duration = Duration::from_millis(250);
/// Time for reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between calls of the list, so that changes that come together cost
/// one call.
const LIST_PAUSE: Duration = Duration::from_millis(250);
/// Entries for which the pause is once as long, and most times that it is.
const ENTRIES_FOR_PAUSE: u32 = 12;
const MAX_PAUSES: u32 = 2;

/// What a feed brings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Configuration,
    Backends,
}

/// Follows the configuration.
pub(crate) async fn follow_configuration(core: Arc<Core>) {
    Follower::new(core, Kind::Configuration).run().await;
}

/// Follows the list of backend servers.
pub(crate) async fn follow_backends(core: Arc<Core>) {
    Follower::new(core, Kind::Backends).run().await;
}

struct Follower {
    core: Arc<Core>,
    kind: Kind,
    store: StoreClient,
    asker: Option<Asker>,
    health: Health,
    /// Version up to which everything was taken.
    after: Option<u64>,
    /// Whom it asked last.
    source: FeedSource,
    /// When that was last told.
    told_ms: u64,
}

impl Follower {
    fn new(core: Arc<Core>, kind: Kind) -> Follower {
        let store = StoreClient::new(core.settings.store_address);
        let table = feed_of(&core, kind).table;
        Follower {
            core,
            kind,
            store,
            asker: None,
            health: Health::new(table),
            after: None,
            source: FeedSource::Store,
            told_ms: 0,
        }
    }

    fn feed(&self) -> &Feed {
        feed_of(&self.core, self.kind)
    }

    async fn run(mut self) {
        loop {
            let others = self.core.live_peers_in_data_centre();
            let around = FeedPeers {
                own: self.core.boot_id,
                peers: &others,
                must_read_store: self.core.is_planner.load(Relaxed),
            };
            let source = self.feed().choose(&around);
            self.note_source(source);
            let is_shared = others.len() + 1 >= MIN_SHARING_ENTRIES;
            let outcome = match source {
                FeedSource::Store => self.ask_store(is_shared).await,
                FeedSource::Entry(entry) => self.ask_entry(entry).await,
            };
            self.feed().record_outcome(source, outcome);
            self.pause(source, outcome).await;
        }
    }

    async fn pause(&self, source: FeedSource, outcome: FetchOutcome) {
        if outcome == FetchOutcome::Failed {
            Timer::after(RETRY_PAUSE).await;
        }
        if self.kind == Kind::Backends && source == FeedSource::Store {
            Timer::after(list_pause(&self.core)).await;
        }
    }

    async fn ask_store(&mut self, is_shared: bool) -> FetchOutcome {
        let result = match self.after {
            None => self.read_store().await,
            Some(version) => self.feed_store(version, is_shared).await,
        };
        match result {
            Ok(version) => {
                let feed = feed_of(&self.core, self.kind);
                self.health.answered(feed, version);
                self.note_reached();
                self.after = Some(version);
                FetchOutcome::Fresh
            }
            Err(StoreError::HistoryExpired) => {
                self.after = None;
                FetchOutcome::Fresh
            }
            Err(e) => {
                self.health.failed(&self.core, &e);
                self.note_lost();
                FetchOutcome::Failed
            }
        }
    }

    async fn read_store(&self) -> Result<u64, StoreError> {
        let asked_ms = now_ms();
        let table = self.feed().table;
        let rows = self.store.read_table(table, READ_TIMEOUT).await?;
        self.take_all(&rows);
        self.confirm(asked_ms);
        Ok(rows.version)
    }

    async fn feed_store(
        &self,
        after: u64,
        is_shared: bool,
    ) -> Result<u64, StoreError> {
        let usual = match (is_shared, self.kind) {
            (true, _) if self.feed().age_ms() > OLD_MS => WAIT_WHILE_OLD,
            (true, _) => READER_WAIT,
            (false, Kind::Configuration) => CONFIGURATION_WAIT,
            (false, Kind::Backends) => LIST_WAIT,
        };
        let wait = self.health.wait(usual);
        let asked_ms = now_ms();
        let table = self.feed().table;
        let feed = self.store.feed(table, after, wait, wait + CALL_SLACK);
        let rows = feed.await?;
        self.take_changes(&rows);
        // A call that came back empty has waited at the store.
        let waited_ms = match rows.rows.is_empty() {
            true => wait.as_millis() as u64,
            false => 0,
        };
        self.confirm((asked_ms + waited_ms).min(now_ms()));
        Ok(rows.version.max(after))
    }

    async fn ask_entry(&mut self, entry: u64) -> FetchOutcome {
        let Some(address) = self.core.peers.feed_address(entry) else {
            return FetchOutcome::Failed;
        };
        let kept = self.asker.take().filter(|a| a.address() == address);
        let asker = kept.unwrap_or_else(|| Asker::new(address));
        let table = self.feed().table;
        let wait = match self.feed().age_ms() {
            STALE_MS..HOPELESS_MS => ENTRY_WAIT_WHILE_OLD,
            _ => ENTRY_WAIT,
        };
        let timeout = wait + ENTRY_SLACK;
        let asked = asker.ask(table, self.after, wait, timeout).await;
        let Some(asked) = asked else { return FetchOutcome::Failed };
        self.asker = Some(asker);
        let answer = asked.answer;
        let age_ms = answer.confirmed_age_ms;
        let confirmed_ms = asked.made_ms.saturating_sub(age_ms);
        if let Some(back_age_ms) = answer.back_age_ms {
            let back_ms = asked.made_ms.saturating_sub(back_age_ms);
            self.feed().note_back(back_ms);
        }
        let is_whole = answer.is_whole;
        let rows = rows_of(answer);
        match is_whole {
            true => self.take_all(&rows),
            false => self.take_changes(&rows),
        }
        self.after = self.after.max(Some(rows.version));
        self.confirm(confirmed_ms);
        if age_ms > STALE_MS {
            return FetchOutcome::Stale;
        }
        self.health.set_aside();
        self.note_reached();
        FetchOutcome::Fresh
    }

    /// Takes all rows, unless what is known here is newer, as it may be than
    /// what another entry knows.
    fn take_all(&self, rows: &Rows) {
        if !self.feed().replace(rows) {
            return;
        }
        match self.kind {
            Kind::Configuration => {
                for row in &rows.rows {
                    apply_configuration(&self.core, row);
                }
            }
            Kind::Backends => backend_rows::apply_all(&self.core, rows),
        }
    }

    fn take_changes(&self, rows: &Rows) {
        self.feed().extend(rows);
        for row in &rows.rows {
            match self.kind {
                Kind::Configuration => apply_configuration(&self.core, row),
                Kind::Backends => backend_rows::apply(&self.core, row),
            }
        }
    }

    fn confirm(&self, then_ms: u64) {
        self.feed().confirm(then_ms);
        if self.kind == Kind::Configuration {
            self.core.record_configuration_confirmed(then_ms);
        }
    }

    fn note_reached(&self) {
        if self.kind == Kind::Configuration {
            self.core.store_failing_since_ms.store(0, Relaxed);
        }
    }

    fn note_lost(&self) {
        if self.kind == Kind::Configuration {
            self.core.record_store_failure();
            // What the key check says may have changed by time alone.
            self.core.are_keys_fresh();
        }
    }

    fn note_source(&mut self, source: FeedSource) {
        if source == self.source {
            return;
        }
        let is_same_kind = matches!(
            (self.source, source),
            (FeedSource::Entry(_), FeedSource::Entry(_))
        );
        self.source = source;
        self.feed().set_source(source);
        // While the store is away, one entry after the other is asked.
        let now_ms = now_ms();
        if is_same_kind && now_ms < self.told_ms + TOLD_EVERY_MS {
            return;
        }
        self.told_ms = now_ms;
        let (name, boot_id) = match source {
            FeedSource::Store => ("store", String::new()),
            FeedSource::Entry(boot_id) => ("entry", boot_id.to_string()),
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

fn feed_of(core: &Core, kind: Kind) -> &Feed {
    match kind {
        Kind::Configuration => &core.feeds.configuration,
        Kind::Backends => &core.feeds.backends,
    }
}

/// Every change of the list costs a call of each entry, so many entries take
/// more changes together.
fn list_pause(core: &Core) -> Duration {
    let entries = core.peers.entry_count() as u32;
    LIST_PAUSE * (entries / ENTRIES_FOR_PAUSE).clamp(1, MAX_PAUSES)
}

fn apply_configuration(core: &Core, row: &Row) {
    if row.key != KEY || row.is_deleted {
        return;
    }
    match configuration::try_parse(&row.value) {
        Ok(new) => {
            core.apply_configuration(new, row.version);
        }
        Err(error) => {
            emit(
                Event::ManifestUnusable,
                &[("generation", &row.version), ("findings", &error)],
            );
        }
    }
}
