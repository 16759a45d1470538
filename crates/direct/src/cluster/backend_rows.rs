//! Rows of the list of backend servers, as they come.
//!
//! While the store is away, what was known stays; rows that lapsed meanwhile
//! are kept for a moment after its return, in which those that live come
//! back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::{
    backends,
    store::{Row, Rows},
};
use chestnutreach_site::BackendState;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, fleet::Applied},
    core::{Core, NEEDS_BACKENDS},
};

/// Longest text of what is wrong with a row: it may quote the row.
const MAX_ERROR_CHARS: usize = 160;
/// How long lapsed entries are kept after the store's return.
const KEEP_LAPSED_MS: u64 = 1_900;

/// Takes all rows of the list.
pub(crate) fn apply_all(core: &Arc<Core>, rows: &Rows) {
    let listed: BTreeSet<&str> =
        rows.rows.iter().map(|row| row.key.as_str()).collect();
    for engine in core.fleet.all() {
        if !listed.contains(engine.id.as_str()) {
            remove(core, &engine.id, rows.version);
        }
    }
    let before = core.fleet.all().len();
    for row in &rows.rows {
        apply_row(core, row, true);
    }
    core.readiness.clear(NEEDS_BACKENDS);
    note_read(core, rows, before);
}

/// Takes a row that is new or has changed.
pub(crate) fn apply(core: &Arc<Core>, row: &Row) {
    apply_row(core, row, false);
}

/// Sums up a read of the whole list: a line for each engine at each start
/// were 31,000 of 100,000 lines at 68 entries before 130 engines.
fn note_read(core: &Core, rows: &Rows, before: usize) {
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
            ("row_version", &rows.version),
            ("backends", &engines.len()),
            ("new", &engines.len().saturating_sub(before)),
            ("draining", &draining),
            ("without_layers", &without_layers),
        ],
    );
}

fn apply_row(core: &Arc<Core>, row: &Row, is_whole: bool) {
    if row.is_deleted {
        core.unusable_rows.forget(&row.key);
        remove(core, &row.key, row.version);
        return;
    }
    let backend = match backends::parse_backend(row) {
        Ok(backend) => backend,
        Err(error) => return disown(core, row, &error),
    };
    let data_centre = core.data_centre_index(&backend.data_centre);
    let is_leaving = backend.state == BackendState::Draining;
    match core.fleet.apply(backend, row.version, data_centre, is_whole) {
        Applied::Known if is_leaving => core.stream_subscribers.notify_all(),
        Applied::Known => {}
        // What ran on the start before it, if there was one, has ended.
        Applied::New => core.stream_subscribers.notify_all(),
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
        core.stream_subscribers.notify_all();
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
fn remove(core: &Arc<Core>, id: &str, row_version: u64) {
    let keep_ms = keep_lapsed_ms(core.feeds.backends.back_ms());
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
    core.stream_subscribers.notify_all();
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

/// How long an entry that is missing is still kept after the store's return.
fn keep_lapsed_ms(back_ms: u64) -> u64 {
    let since_ms = now_ms().saturating_sub(back_ms);
    match back_ms {
        0 => 0,
        _ => KEEP_LAPSED_MS.saturating_sub(since_ms),
    }
}
