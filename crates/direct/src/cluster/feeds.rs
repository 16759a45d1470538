//! What the store holds, as this entry has it: copies of two tables, how old
//! they are, and whom to ask next.
//!
//! Who asks and whom is decided by [`FeedSources`]; what is answered to others by
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
    FeedPeers, FeedSource, FeedSources, FetchOutcome, RowChange, TableCopy,
};
use chestnutreach_protocol::peers::{FeedAnswer, FeedRow};

use crate::{clock::now_ms, subscribers::Subscribers};

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
    pub(crate) fn of(&self, table: &str) -> Option<&Feed> {
        let all = [&self.configuration, &self.backends];
        all.into_iter().find(|feed| feed.table == table)
    }
}

/// One table.
#[derive(Debug)]
pub(crate) struct Feed {
    pub(crate) table: &'static str,
    /// Number of the duty to read it.
    duty: u64,
    copy: Mutex<TableCopy>,
    sources: Mutex<FeedSources>,
    /// When the store last confirmed the copy.
    confirmed_ms: AtomicU64,
    /// When the store was back after an outage; 0 if there was none.
    back_ms: AtomicU64,
    /// Boot id of the entry that is asked; 0 for the store.
    asks: AtomicU64,
    /// Those who wait for a change.
    pub(crate) changed: Subscribers,
}

impl Feed {
    fn new(table: &'static str, duty: u64) -> Feed {
        Feed {
            table,
            duty,
            copy: Mutex::default(),
            sources: Mutex::default(),
            confirmed_ms: AtomicU64::new(0),
            back_ms: AtomicU64::new(0),
            asks: AtomicU64::new(0),
            changed: Subscribers::default(),
        }
    }

    pub(crate) fn choose(&self, around: &FeedPeers<'_>) -> FeedSource {
        self.sources().choose(around, self.duty, now_ms())
    }

    /// Keeps whom this entry asks now, for operators.
    pub(crate) fn set_source(&self, source: FeedSource) {
        let asks = match source {
            FeedSource::Store => 0,
            FeedSource::Entry(boot_id) => boot_id,
        };
        self.asks.store(asks, Relaxed);
    }

    /// What operators are shown.
    pub(crate) fn status(&self) -> serde_json::Value {
        let asks = match self.asks.load(Relaxed) {
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

    pub(crate) fn note_asked(&self) {
        self.sources().record_request(now_ms());
    }

    pub(crate) fn record_outcome(
        &self,
        source: FeedSource,
        outcome: FetchOutcome,
    ) {
        self.sources().record_outcome(source, outcome, now_ms());
    }

    /// Version up to which the copy is complete.
    pub(crate) fn version(&self) -> Option<u64> {
        self.copy().version()
    }

    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.confirmed_ms.load(Relaxed))
    }

    /// The store confirmed the copy then, as far as is known.
    pub(crate) fn confirm(&self, then_ms: u64) {
        self.confirmed_ms.fetch_max(then_ms, Relaxed);
    }

    pub(crate) fn back_ms(&self) -> u64 {
        self.back_ms.load(Relaxed)
    }

    pub(crate) fn note_back(&self, back_ms: u64) {
        self.back_ms.fetch_max(back_ms, Relaxed);
    }

    /// Takes all rows; false where newer ones are known.
    pub(crate) fn replace(&self, rows: &Rows) -> bool {
        let changes = rows.rows.iter().map(change_of).collect();
        let is_taken = self.copy().replace(changes, rows.version);
        self.changed.notify_all();
        is_taken
    }

    /// Takes rows that changed.
    pub(crate) fn extend(&self, rows: &Rows) {
        let changes = rows.rows.iter().map(change_of).collect();
        self.copy().apply(changes, rows.version);
        if !rows.rows.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Whether the copy has something newer than a version.
    pub(crate) fn has_news(&self, version: u64) -> bool {
        self.copy().has_changes_after(version)
    }

    /// What is told to an entry that knows a version; none while nothing is
    /// known here.
    pub(crate) fn answer(&self, after: Option<u64>) -> Option<FeedAnswer> {
        let copy = self.copy();
        let version = copy.version()?;
        let changes = after.and_then(|after| copy.changes_after(after));
        let is_whole = changes.is_none();
        let rows = match changes {
            Some(changes) => changes.into_iter().map(told_row).collect(),
            None => copy.rows().map(told_row).collect(),
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

    fn sources(&self) -> MutexGuard<'_, FeedSources> {
        self.sources.lock().expect("no holder panics")
    }
}

/// Rows as the store would have answered them.
pub(crate) fn rows_of(answer: FeedAnswer) -> Rows {
    let row = |told: FeedRow| Row {
        key: told.key,
        is_deleted: told.value.is_none(),
        value: told.value.unwrap_or_default(),
        version: told.version,
    };
    let version = answer.version;
    Rows { rows: answer.rows.into_iter().map(row).collect(), version }
}

fn change_of(row: &Row) -> RowChange {
    RowChange {
        key: row.key.clone(),
        value: (!row.is_deleted).then(|| row.value.clone()),
        version: row.version,
    }
}

fn told_row(change: &RowChange) -> FeedRow {
    FeedRow {
        key: change.key.clone(),
        value: change.value.clone(),
        version: change.version,
    }
}
