//! What the store holds, as this entry has it: copies of two tables, how old
//! they are, and whom to ask next.
//!
//! Who asks and whom is decided by [`Sources`]; what is answered to others by
//! [`TableCopy`]. Here is what the tasks share.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use chestnutreach_adapter::{
    backends, configuration,
    store::{Row, Rows},
};
use chestnutreach_membership::{
    Around, Change, Outcome, Source, Sources, TableCopy,
};
use chestnutreach_protocol::peers::{FeedAnswer, FeedRow};

use crate::{clock::now_ms, nudges::Nudges};

/// What an entry tells is old once the store has not confirmed it for so
/// long: longer than a reader's call waits, with its way.
pub(crate) const STALE_MS: u64 = 2_000;

/// Both feeds.
#[derive(Debug)]
pub(crate) struct Feeds {
    pub(crate) configuration: Feed,
    pub(crate) backends: Feed,
}

impl Feeds {
    pub(crate) fn new() -> Feeds {
        Feeds {
            configuration: Feed::new(configuration::TABLE, 1),
            backends: Feed::new(backends::TABLE, 2),
        }
    }

    /// What operators are shown.
    pub(crate) fn status(&self) -> Vec<serde_json::Value> {
        vec![self.configuration.status(), self.backends.status()]
    }

    /// The feed of a table.
    pub(crate) fn by_table(&self, table: &str) -> Option<&Feed> {
        let all = [&self.configuration, &self.backends];
        all.into_iter().find(|feed| feed.table == table)
    }
}

/// One table.
#[derive(Debug)]
pub(crate) struct Feed {
    pub(crate) table: &'static str,
    /// Number of the duty to read it.
    assignment: u64,
    copy: Mutex<TableCopy>,
    sources: Mutex<Sources>,
    /// When the store last confirmed the copy.
    confirmed_ms: AtomicU64,
    /// When the store was back after an outage; 0 if there was none.
    recovered_ms: AtomicU64,
    /// Boot id of the entry that is asked; 0 for the store.
    source_boot_id: AtomicU64,
    /// Those who wait for a change.
    pub(crate) changed: Nudges,
}

impl Feed {
    fn new(table: &'static str, duty: u64) -> Feed {
        Feed {
            table,
            assignment: duty,
            copy: Mutex::default(),
            sources: Mutex::default(),
            confirmed_ms: AtomicU64::new(0),
            recovered_ms: AtomicU64::new(0),
            source_boot_id: AtomicU64::new(0),
            changed: Nudges::default(),
        }
    }

    pub(crate) fn choose_source(&self, around: &Around<'_>) -> Source {
        self.sources().choose(around, self.assignment, now_ms())
    }

    /// Keeps whom this entry asks now, for operators.
    pub(crate) fn set_source(&self, source: Source) {
        let asks = match source {
            Source::Store => 0,
            Source::Entry(boot_id) => boot_id,
        };
        self.source_boot_id.store(asks, Relaxed);
    }

    /// What operators are shown.
    pub(crate) fn status(&self) -> serde_json::Value {
        let asks = match self.source_boot_id.load(Relaxed) {
            0 => "store".to_owned(),
            boot_id => boot_id.to_string(),
        };
        serde_json::json!({
            "table": self.table,
            "asks": asks,
            "age_ms": self.age_ms(),
            "row_version": self.version(),
        })
    }

    pub(crate) fn record_request(&self) {
        self.sources().note_asked(now_ms());
    }

    pub(crate) fn record_outcome(&self, source: Source, outcome: Outcome) {
        self.sources().note(source, outcome, now_ms());
    }

    /// Version up to which the copy is complete.
    pub(crate) fn version(&self) -> Option<u64> {
        self.copy().version()
    }

    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.confirmed_ms.load(Relaxed))
    }

    /// The store confirmed the copy then, as far as is known.
    pub(crate) fn record_confirmed(&self, then_ms: u64) {
        self.confirmed_ms.fetch_max(then_ms, Relaxed);
    }

    pub(crate) fn back_ms(&self) -> u64 {
        self.recovered_ms.load(Relaxed)
    }

    pub(crate) fn record_recovery(&self, back_ms: u64) {
        self.recovered_ms.fetch_max(back_ms, Relaxed);
    }

    /// Takes all rows; false where newer ones are known.
    pub(crate) fn replace(&self, rows: &Rows) -> bool {
        let changes = rows.rows.iter().map(row_change).collect();
        let is_taken = self.copy().replace(changes, rows.version);
        self.changed.nudge_all();
        is_taken
    }

    /// Takes rows that changed.
    pub(crate) fn apply_changes(&self, rows: &Rows) {
        let changes = rows.rows.iter().map(row_change).collect();
        self.copy().extend(changes, rows.version);
        if !rows.rows.is_empty() {
            self.changed.nudge_all();
        }
    }

    /// Whether the copy has something newer than a version.
    pub(crate) fn has_changes_after(&self, version: u64) -> bool {
        self.copy().has_news(version)
    }

    /// What is told to an entry that knows a version; none while nothing is
    /// known here.
    pub(crate) fn response_after(
        &self,
        after: Option<u64>,
    ) -> Option<FeedAnswer> {
        let copy = self.copy();
        let version = copy.version()?;
        let changes = after.and_then(|after| copy.after(after));
        let is_whole = changes.is_none();
        let rows = match changes {
            Some(changes) => changes.into_iter().map(feed_row).collect(),
            None => copy.all().map(feed_row).collect(),
        };
        let back_ms = Some(self.back_ms()).filter(|ms| *ms > 0);
        Some(FeedAnswer {
            rows,
            version,
            is_whole,
            confirmed_age_ms: self.age_ms(),
            back_age_ms: back_ms.map(|ms| now_ms().saturating_sub(ms)),
            waited_ms: 0,
        })
    }

    fn copy(&self) -> MutexGuard<'_, TableCopy> {
        self.copy.lock().expect("no holder panics")
    }

    fn sources(&self) -> MutexGuard<'_, Sources> {
        self.sources.lock().expect("no holder panics")
    }
}

/// Rows as the store would have answered them.
pub(crate) fn into_rows(answer: FeedAnswer) -> Rows {
    let row = |told: FeedRow| Row {
        key: told.key,
        is_dropped: told.value.is_none(),
        value: told.value.unwrap_or_default(),
        version: told.version,
    };
    let version = answer.version;
    Rows { rows: answer.rows.into_iter().map(row).collect(), version }
}

fn row_change(row: &Row) -> Change {
    Change {
        key: row.key.clone(),
        value: (!row.is_dropped).then(|| row.value.clone()),
        version: row.version,
    }
}

fn feed_row(change: &Change) -> FeedRow {
    FeedRow {
        key: change.key.clone(),
        value: change.value.clone(),
        version: change.version,
    }
}
