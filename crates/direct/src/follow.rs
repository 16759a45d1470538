//! Configuration and list of backend servers, by feeds of the store.
//!
//! A feed's call waits at the store until something changes. Its wait is
//! short, since only the end of a call shows that its connection has not
//! gone silent. While the store is away, what was known stays; entries that
//! lapsed meanwhile are kept for a moment after its return, in which those
//! that live come back.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::{
    backends,
    configuration::{self, KEY},
    store::{Row, StoreClient, StoreError},
};
use chestnutreach_site::BackendState;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    core::{Core, NEEDS_BACKENDS},
    fleet::Applied,
    probe,
};

/// Wait of a call of the configuration's feed. Two calls that fail must fit
/// into the bound on withdrawn keys, 5 s in the shipped deployments.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2_200);
/// Wait of a call of the list's feed.
const LIST_WAIT: Duration = Duration::from_millis(3_500);
/// Time beyond its wait after which a call counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(500);
/// Time for reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait of a call while the store is away: its return should show at once.
const WAIT_WHILE_DOWN: Duration = Duration::from_millis(50);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between calls of the list, so that changes that come together cost
/// one call.
const LIST_PAUSE: Duration = Duration::from_millis(250);
/// Entries for which the pause is once as long, and most times that it is.
const ENTRIES_FOR_PAUSE: u32 = 12;
const MAX_PAUSES: u32 = 2;
/// An outage of the store, from which on lapsed entries are kept.
const OUTAGE_MS: u64 = 400;
/// Longest text of what is wrong with a row: it may quote the row.
const MAX_ERROR_CHARS: usize = 160;
/// How long lapsed entries are kept after the store's return.
const KEEP_LAPSED_MS: u64 = 1_900;

/// A feed's health, told in the logs when it changes.
struct Health {
    table: &'static str,
    down_since_ms: Option<u64>,
    /// When the store last answered.
    heard_ms: u64,
    /// When the store was last back after an outage.
    back_ms: u64,
}

impl Health {
    fn new(table: &'static str) -> Health {
        Health { table, down_since_ms: None, heard_ms: now_ms(), back_ms: 0 }
    }

    fn failed(&mut self, core: &Core, error: &StoreError) {
        if self.down_since_ms.is_some() {
            return;
        }
        // A call without an answer does not show since when the store was
        // away; one that was refused or reset does.
        let since_ms = match error {
            StoreError::Unanswered { is_timeout: true, .. } => self.heard_ms,
            _ => now_ms(),
        };
        self.down_since_ms = Some(since_ms);
        emit(
            Event::FeedLost,
            &[
                ("table", &self.table),
                ("error", error),
                ("confirmed_age_ms", &core.confirmed_age_ms()),
            ],
        );
    }

    fn answered(&mut self, row_version: u64) {
        let now_ms = now_ms();
        self.heard_ms = now_ms;
        let Some(since_ms) = self.down_since_ms.take() else {
            return;
        };
        let down_ms = now_ms - since_ms;
        if down_ms >= OUTAGE_MS {
            self.back_ms = now_ms;
        }
        emit(
            Event::FeedBack,
            &[
                ("table", &self.table),
                ("down_ms", &down_ms),
                ("row_version", &row_version),
            ],
        );
    }

    /// How long a call of the feed is to wait at the store.
    fn wait(&self, usual: Duration) -> Duration {
        match self.down_since_ms {
            Some(_) => WAIT_WHILE_DOWN,
            None => usual,
        }
    }

    /// How long an entry that is missing is still kept.
    fn keep_lapsed_ms(&self, now_ms: u64) -> u64 {
        let since_ms = now_ms.saturating_sub(self.back_ms);
        if self.back_ms == 0 {
            return 0;
        }
        KEEP_LAPSED_MS.saturating_sub(since_ms)
    }
}

/// Follows the configuration.
pub(crate) async fn follow_configuration(core: Arc<Core>) {
    let store = StoreClient::new(core.settings.store_address);
    let mut health = Health::new(configuration::TABLE);
    let mut after = None;
    loop {
        let result = match after {
            None => read_configuration(&core, &store).await,
            Some(version) => {
                let wait = health.wait(CONFIGURATION_WAIT);
                feed_configuration(&core, &store, version, wait).await
            }
        };
        match result {
            Ok(version) => {
                health.answered(version);
                core.store_lost_ms.store(0, Relaxed);
                after = Some(version);
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(e) => {
                health.failed(&core, &e);
                core.note_store_lost();
                // What the key check says may have changed by time alone.
                core.are_keys_fresh();
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_configuration(
    core: &Core,
    store: &StoreClient,
) -> Result<u64, StoreError> {
    let asked_ms = now_ms();
    let rows = store.read_table(configuration::TABLE, READ_TIMEOUT).await?;
    for row in &rows.rows {
        apply_configuration(core, row);
    }
    core.confirm(asked_ms);
    Ok(rows.version)
}

async fn feed_configuration(
    core: &Core,
    store: &StoreClient,
    after: u64,
    wait: Duration,
) -> Result<u64, StoreError> {
    let asked_ms = now_ms();
    let feed =
        store.feed(configuration::TABLE, after, wait, wait + CALL_SLACK);
    let rows = feed.await?;
    for row in &rows.rows {
        apply_configuration(core, row);
    }
    // A call that came back empty has waited at the store.
    let waited_ms = match rows.rows.is_empty() {
        true => wait.as_millis() as u64,
        false => 0,
    };
    core.confirm((asked_ms + waited_ms).min(now_ms()));
    Ok(rows.version.max(after))
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

/// Follows the list of backend servers.
pub(crate) async fn follow_backends(core: Arc<Core>) {
    let store = StoreClient::new(core.settings.store_address);
    let mut health = Health::new(backends::TABLE);
    let mut after = None;
    loop {
        let result = match after {
            None => read_backends(&core, &store, &mut health).await,
            Some(version) => {
                feed_backends(&core, &store, &mut health, version).await
            }
        };
        match result {
            Ok(version) => after = Some(version),
            Err(StoreError::HistoryGone) => after = None,
            Err(e) => {
                health.failed(&core, &e);
                Timer::after(RETRY_PAUSE).await;
            }
        }
        Timer::after(list_pause(&core)).await;
    }
}

/// Every change of the list costs a call of each entry, so many entries take
/// more changes together.
fn list_pause(core: &Core) -> Duration {
    let entries = core.peers.entry_count() as u32;
    LIST_PAUSE * (entries / ENTRIES_FOR_PAUSE).clamp(1, MAX_PAUSES)
}

async fn read_backends(
    core: &Arc<Core>,
    store: &StoreClient,
    health: &mut Health,
) -> Result<u64, StoreError> {
    let rows = store.read_table(backends::TABLE, READ_TIMEOUT).await?;
    health.answered(rows.version);
    let listed: BTreeSet<&str> =
        rows.rows.iter().map(|row| row.key.as_str()).collect();
    for engine in core.fleet.all() {
        if !listed.contains(engine.id.as_str()) {
            remove(core, &engine.id, rows.version, health);
        }
    }
    for row in &rows.rows {
        apply_backend(core, row, health);
    }
    core.readiness.clear(NEEDS_BACKENDS);
    Ok(rows.version)
}

async fn feed_backends(
    core: &Arc<Core>,
    store: &StoreClient,
    health: &mut Health,
    after: u64,
) -> Result<u64, StoreError> {
    let wait = health.wait(LIST_WAIT);
    let feed = store.feed(backends::TABLE, after, wait, wait + CALL_SLACK);
    let rows = feed.await?;
    health.answered(rows.version);
    for row in &rows.rows {
        apply_backend(core, row, health);
    }
    Ok(rows.version.max(after))
}

fn apply_backend(core: &Arc<Core>, row: &Row, health: &Health) {
    if row.is_dropped {
        core.unusable_rows.forget(&row.key);
        remove(core, &row.key, row.version, health);
        return;
    }
    let backend = match backends::try_backend(row) {
        Ok(backend) => backend,
        Err(error) => return disown(core, row, &error),
    };
    let data_centre = core.data_centre(&backend.data_centre);
    let is_leaving = backend.state == BackendState::Draining;
    match core.fleet.apply(backend, row.version, data_centre) {
        Applied::Known if is_leaving => core.streams.nudge_all(),
        Applied::Known => {}
        Applied::New(engine) => {
            // What ran on the start before it, if there was one, has ended.
            core.streams.nudge_all();
            probe::watch(core, engine);
        }
        Applied::OfEarlierStart => {
            let error = "it tells of no start, or of an earlier one";
            return note_unusable(core, row, error);
        }
    }
    core.unusable_rows.forget(&row.key);
}

/// Takes that a row is no engine's: another writer may have put it there, and
/// an engine of that name may serve on.
fn disown(core: &Core, row: &Row, error: &str) {
    if core.fleet.disown(&row.key) {
        core.streams.nudge_all();
    }
    note_unusable(core, row, error);
}

/// Tells of a row that names no backend server, once until it is readable.
fn note_unusable(core: &Core, row: &Row, error: &str) {
    if !core.unusable_rows.is_news(&row.key) {
        return;
    }
    let error: String = error.chars().take(MAX_ERROR_CHARS).collect();
    emit(
        Event::BackendRowUnusable,
        &[
            ("backend", &row.key),
            ("row_version", &row.version),
            ("error", &error),
        ],
    );
}

/// Takes an entry out, or keeps it for a moment after an outage.
fn remove(core: &Arc<Core>, id: &str, row_version: u64, health: &Health) {
    let keep_ms = health.keep_lapsed_ms(now_ms());
    if keep_ms == 0 {
        take_out(core, id, row_version, 0);
        return;
    }
    let (executor, core) = (core.executor.clone(), core.clone());
    let id = id.to_owned();
    let later = async move {
        Timer::after(Duration::from_millis(keep_ms)).await;
        let is_back = core
            .fleet
            .get(&id)
            .is_some_and(|engine| engine.lock().row_version > row_version);
        if !is_back {
            take_out(&core, &id, row_version, keep_ms);
        }
    };
    executor.spawn(later).detach();
}

fn take_out(core: &Core, id: &str, row_version: u64, held_back_ms: u64) {
    let Some(engine) = core.fleet.remove(id) else {
        return;
    };
    core.streams.nudge_all();
    emit(
        Event::BackendGone,
        &[
            ("backend", &engine.id),
            ("address", &engine.address),
            ("row_version", &row_version),
            ("held_back_ms", &held_back_ms),
        ],
    );
}
