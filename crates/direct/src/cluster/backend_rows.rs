//! Applies rows of the backend list to the fleet.
//!
//! While the store is unavailable, the known engines stay. Engines whose rows
//! lapsed in that time are kept for a grace period after the store recovers,
//! in which running engines list themselves again.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::{
    backends,
    store::{Row, Rows},
};
use chestnutreach_membership::restored_row::{self, REWRITE_MS, ServerRow};
use chestnutreach_site::{Backend, BackendState, StoreVersion};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, fleet::RowOutcome},
    core::{Core, NEEDS_BACKENDS},
};

/// Limit on a logged error, which may quote the row.
const MAX_ERROR_CHARS: usize = 160;
/// Rows of one read that are logged one by one. The others are counted: if
/// all engines load layers, every entry reads all rows at once.
const MAX_LOGGED_ROWS: usize = 4;

/// Log lines about the rows of one read.
#[derive(Debug, Default)]
pub(crate) struct RowLog {
    logged: usize,
    unlogged: usize,
}

impl RowLog {
    /// Whether the next row is logged by itself.
    pub(crate) fn is_next_logged(&mut self) -> bool {
        let is_logged = self.logged < MAX_LOGGED_ROWS;
        match is_logged {
            true => self.logged += 1,
            false => self.unlogged += 1,
        }
        is_logged
    }

    /// Logs how many rows were not logged by themselves.
    fn finish(self, rows: &Rows) {
        if self.unlogged == 0 {
            return;
        }
        emit(
            Event::BackendsChanged,
            &[
                ("row_version", &rows.version.number()),
                ("rows", &rows.rows.len()),
                ("unlogged", &self.unlogged),
            ],
        );
    }
}

/// Applies a read of the full list.
pub(crate) fn apply_all(core: &Arc<Core>, rows: &Rows) {
    let listed: BTreeSet<&str> =
        rows.rows.iter().map(|row| row.key.as_str()).collect();
    for engine in core.fleet.all() {
        if !listed.contains(engine.id.as_str()) {
            remove(core, &engine.id, rows.version);
        }
    }
    let count_before = core.fleet.all().len();
    let mut log = RowLog::default();
    for row in &rows.rows {
        apply_row(core, row, true, &mut log);
    }
    log.finish(rows);
    core.readiness.clear(NEEDS_BACKENDS);
    log_read(core, rows, count_before);
}

/// Applies rows that are new or have changed.
pub(crate) fn apply_changes(core: &Arc<Core>, rows: &Rows) {
    let mut log = RowLog::default();
    for row in &rows.rows {
        apply_row(core, row, false, &mut log);
    }
    log.finish(rows);
}

/// Logs one summary of a full read. With one line per engine at each start,
/// these lines were 31,000 of 100,000 in a fleet of 68 entries and 130
/// engines.
fn log_read(core: &Core, rows: &Rows, count_before: usize) {
    let engines = core.fleet.all();
    let is_draining =
        |e: &Arc<Engine>| e.lock().row.state == BackendState::Draining;
    let is_empty = |e: &Arc<Engine>| {
        let state = e.lock();
        state.row.kind.is_some() && state.row.held.is_none()
    };
    let draining = engines.iter().filter(|e| is_draining(e)).count();
    let without_layers = engines.iter().filter(|e| is_empty(e)).count();
    emit(
        Event::BackendsRead,
        &[
            ("row_version", &rows.version.number()),
            ("backends", &engines.len()),
            ("new", &engines.len().saturating_sub(count_before)),
            ("draining", &draining),
            ("without_layers", &without_layers),
        ],
    );
}

fn apply_row(
    core: &Arc<Core>,
    row: &Row,
    is_full_read: bool,
    log: &mut RowLog,
) {
    if row.is_deleted {
        core.unusable_rows.remove(&row.key);
        remove(core, &row.key, row.version);
        return;
    }
    let backend = match backends::parse_backend(row) {
        Ok(backend) => backend,
        Err(error) => return handle_unusable(core, row, &error),
    };
    if let Some(wait_ms) = deferral_ms(core, &backend, row.version) {
        return defer(core, row, wait_ms);
    }
    let data_centre = core.data_centre_index(&backend.data_centre);
    let is_leaving = backend.state == BackendState::Draining;
    let started_unix_ms = backend.started_unix_ms;
    let fleet = &core.fleet;
    match fleet.apply(backend, row.version, data_centre, is_full_read, log) {
        RowOutcome::Known if is_leaving => {
            core.stream_subscribers.notify_all()
        }
        RowOutcome::Known => {}
        // Streams must leave the previous incarnation, which has exited.
        RowOutcome::New => core.stream_subscribers.notify_all(),
        RowOutcome::EarlierStart => {
            return handle_earlier_start(core, row, started_unix_ms);
        }
    }
    core.unusable_rows.remove(&row.key);
}

/// Ignores a row that states no start or an earlier one, until it is known to
/// be that of the process that runs.
fn handle_earlier_start(
    core: &Arc<Core>,
    row: &Row,
    started_unix_ms: Option<u64>,
) {
    let heartbeat_ms = core.settings.heartbeat_ms;
    let ignored_ms = core.fleet.record_earlier_start(
        &row.key,
        started_unix_ms,
        heartbeat_ms,
    );
    match ignored_ms {
        Some(0) => {
            // The known process is that of a row that no server wrote, or of
            // a clock that was set back.
            core.fleet.remove(&row.key);
            apply_row(core, row, false, &mut RowLog::default());
        }
        Some(ignored_ms) => {
            log_unusable(core, row, "the row states an earlier start");
            apply_current_later(core, &row.key, ignored_ms, |_| true);
        }
        None => log_unusable(core, row, "the row states no start"),
    }
}

/// Applies the row that a server has after a time, if it is wanted then.
fn apply_current_later(
    core: &Arc<Core>,
    key: &str,
    wait_ms: u64,
    is_wanted: impl FnOnce(&Row) -> bool + Send + 'static,
) {
    let (executor, core) = (core.executor.clone(), core.clone());
    let key = key.to_owned();
    let later = async move {
        Timer::after(Duration::from_millis(wait_ms)).await;
        let current = core.feeds.backends.row(&key);
        if let Some(row) = current.filter(is_wanted) {
            apply_row(&core, &row, false, &mut RowLog::default());
        }
    };
    executor.spawn(later).detach();
}

/// How long a row waits because the store has lost newer changes of it.
fn deferral_ms(
    core: &Core,
    backend: &Backend,
    version: StoreVersion,
) -> Option<u64> {
    let history = core.feeds.backends.history()?;
    let known = core.fleet.known_server(&backend.id)?;
    let row = ServerRow {
        started_unix_ms: backend.started_unix_ms,
        heartbeats: backend.heartbeats,
        is_draining: backend.state == BackendState::Draining,
        version,
    };
    let heartbeat_ms = core.settings.heartbeat_ms;
    restored_row::deferral_ms(&known, &row, &history, heartbeat_ms, now_ms())
}

/// Applies the row after a delay, if it is still the server's row then.
fn defer(core: &Arc<Core>, row: &Row, wait_ms: u64) {
    emit(
        Event::BackendRowDeferred,
        &[
            ("backend", &row.key),
            ("row_version", &row.version.number()),
            ("era", &row.version.era()),
            ("wait_ms", &wait_ms),
        ],
    );
    let version = row.version;
    apply_current_later(core, &row.key, wait_ms, move |current| {
        current.version == version
    });
}

/// Handles a row that is not a valid backend row. Another writer may have
/// stored the row, and the engine with this id may still run.
fn handle_unusable(core: &Core, row: &Row, error: &str) {
    if core.fleet.mark_row_unusable(&row.key) {
        core.stream_subscribers.notify_all();
    }
    log_unusable(core, row, error);
}

/// Logs an invalid row, once until the row is valid again.
fn log_unusable(core: &Core, row: &Row, error: &str) {
    if !core.unusable_rows.mark_logged(&row.key) {
        return;
    }
    let error: String = error.chars().take(MAX_ERROR_CHARS).collect();
    emit(
        Event::BackendRowUnusable,
        &[
            ("backend", &row.key),
            ("row_version", &row.version.number()),
            ("error", &error),
        ],
    );
}

/// Removes an engine, after the grace period if the store was unavailable.
fn remove(core: &Arc<Core>, id: &str, row_version: StoreVersion) {
    let grace_left_ms =
        lapsed_grace_left_ms(core.feeds.backends.recovered_ms());
    if grace_left_ms == 0 {
        remove_now(core, id, row_version, 0);
        return;
    }
    let (executor, core) = (core.executor.clone(), core.clone());
    let id = id.to_owned();
    let later = async move {
        Timer::after(Duration::from_millis(grace_left_ms)).await;
        let is_listed_again = core
            .fleet
            .get(&id)
            .is_some_and(|engine| engine.lock().row_version > row_version);
        if !is_listed_again {
            remove_now(&core, &id, row_version, grace_left_ms);
        }
    };
    executor.spawn(later).detach();
}

fn remove_now(
    core: &Core,
    id: &str,
    row_version: StoreVersion,
    held_back_ms: u64,
) {
    let Some(engine) = core.fleet.remove(id) else {
        return;
    };
    core.stream_subscribers.notify_all();
    emit(
        Event::BackendGone,
        &[
            ("backend", &engine.id),
            ("address", &engine.address),
            ("row_version", &row_version.number()),
            ("held_back_ms", &held_back_ms),
        ],
    );
}

/// Remaining grace period after the store's recovery.
fn lapsed_grace_left_ms(recovered_ms: u64) -> u64 {
    let since_ms = now_ms().saturating_sub(recovered_ms);
    match recovered_ms {
        0 => 0,
        _ => REWRITE_MS.saturating_sub(since_ms),
    }
}
