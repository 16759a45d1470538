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
    core::{Core, NEEDS_BACKENDS},
    fleet::Applied,
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
    for row in &rows.rows {
        apply(core, row);
    }
    core.readiness.clear(NEEDS_BACKENDS);
}

/// Takes a row that is new or has changed.
pub(crate) fn apply(core: &Arc<Core>, row: &Row) {
    if row.is_dropped {
        core.unusable_rows.forget(&row.key);
        remove(core, &row.key, row.version);
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
        // What ran on the start before it, if there was one, has ended.
        Applied::New => core.streams.nudge_all(),
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

/// How long an entry that is missing is still kept after the store's return.
fn keep_lapsed_ms(back_ms: u64) -> u64 {
    let since_ms = now_ms().saturating_sub(back_ms);
    match back_ms {
        0 => 0,
        _ => KEEP_LAPSED_MS.saturating_sub(since_ms),
    }
}
