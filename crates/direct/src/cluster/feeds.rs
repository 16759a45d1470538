//! Copies of two tables of the store, their ages, and their next source.
//!
//! [`FeedSources`] decides from where an entry reads, and [`TableCopy`] what
//! to serve to others. This module holds the state that the tasks share.

use std::{
    collections::BTreeSet,
    fmt,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use chestnutreach_adapter::{
    backends, configuration,
    store::{Row, Rows},
};
use chestnutreach_membership::{
    FeedPeers, FeedSource, FeedSources, FetchOutcome, RowChange, TableCopy,
    restored_row::HistoryStart,
    short_rows::{self, ShortRows},
};
use chestnutreach_protocol::peers::{FeedAnswer, FeedRow};
use chestnutreach_site::StoreVersion;

use crate::{clock::now_ms, subscribers::Subscribers};

/// A copy is stale if the store has not confirmed it within this time, which
/// is longer than the poll of a reader takes.
pub(crate) const STALE_MS: u64 = 2_000;

/// How a caller takes rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RowForm {
    /// All rows with their values.
    Plain,
    /// Long rows compressed.
    Compressed,
    /// Long rows compressed against the version that the caller has, and rows
    /// that it has without a value.
    Short,
}

impl RowForm {
    const ALL: [RowForm; 3] =
        [RowForm::Plain, RowForm::Compressed, RowForm::Short];

    /// Name in requests.
    pub(crate) fn name(self) -> &'static str {
        match self {
            RowForm::Plain => "plain",
            RowForm::Compressed => "compressed",
            RowForm::Short => "short",
        }
    }

    pub(crate) fn from_name(name: &str) -> Option<RowForm> {
        RowForm::ALL.into_iter().find(|form| form.name() == name)
    }
}

/// A row of a response refers to a version of this row that the own copy does
/// not have.
#[derive(Debug)]
pub(crate) struct UnknownRow(String);

impl fmt::Display for UnknownRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response refers to another version of row {}", self.0)
    }
}

/// The feeds that an entry follows.
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

    /// Status document for operators.
    pub(crate) fn status(&self) -> Vec<serde_json::Value> {
        vec![self.configuration.status(), self.backends.status()]
    }

    pub(crate) fn by_table(&self, table: &str) -> Option<&Feed> {
        let all = [&self.configuration, &self.backends];
        all.into_iter().find(|feed| feed.table == table)
    }
}

/// Copy of one table, and where it is read from.
#[derive(Debug)]
pub(crate) struct Feed {
    pub(crate) table: &'static str,
    /// Key of the assignment to read the table from the store.
    pub(crate) assignment: u64,
    copy: Mutex<TableCopy>,
    short_rows: Mutex<ShortRows>,
    sources: Mutex<FeedSources>,
    /// Whether the last poll of the source failed.
    is_failing: AtomicBool,
    /// When the store last confirmed the copy.
    confirmed_ms: AtomicU64,
    /// When the store was available again after the last outage; 0 if there
    /// was none.
    recovered_ms: AtomicU64,
    /// The first read of the present history, unless it is the first that
    /// this process knows.
    history: Mutex<Option<HistoryStart>>,
    /// Boot id of the entry that is polled; 0 for the store.
    source_boot_id: AtomicU64,
    /// Tasks that wait for a change, or for a later confirmation.
    pub(crate) changed: Subscribers,
}

impl Feed {
    fn new(table: &'static str, assignment: u64) -> Feed {
        Feed {
            table,
            assignment,
            copy: Mutex::default(),
            short_rows: Mutex::default(),
            sources: Mutex::default(),
            is_failing: AtomicBool::new(false),
            confirmed_ms: AtomicU64::new(0),
            recovered_ms: AtomicU64::new(0),
            history: Mutex::default(),
            source_boot_id: AtomicU64::new(0),
            changed: Subscribers::default(),
        }
    }

    pub(crate) fn choose_source(&self, around: &FeedPeers<'_>) -> FeedSource {
        self.sources().choose(around, self.assignment, now_ms())
    }

    /// Records the current source for the status document.
    pub(crate) fn set_source(&self, source: FeedSource) {
        let boot_id = match source {
            FeedSource::Store => 0,
            FeedSource::Entry(boot_id) => boot_id,
        };
        self.source_boot_id.store(boot_id, Relaxed);
    }

    /// Status document for operators.
    pub(crate) fn status(&self) -> serde_json::Value {
        let source = match self.source_boot_id.load(Relaxed) {
            0 => "store".to_owned(),
            boot_id => boot_id.to_string(),
        };
        serde_json::json!({
            "table": self.table,
            "asks": source,
            "age_ms": self.age_ms(),
            "era": self.version().map(StoreVersion::era),
            "row_version": self.version().map(StoreVersion::number),
        })
    }

    pub(crate) fn record_outcome(
        &self,
        source: FeedSource,
        outcome: FetchOutcome,
    ) {
        self.sources().record_outcome(source, outcome, now_ms());
    }

    /// Version up to which the copy is complete.
    pub(crate) fn version(&self) -> Option<StoreVersion> {
        self.copy().version()
    }

    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.confirmed_ms.load(Relaxed))
    }

    /// When the store last confirmed the copy.
    pub(crate) fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms.load(Relaxed)
    }

    /// Records that the store confirmed the copy at this time.
    pub(crate) fn record_confirmed(&self, then_ms: u64) {
        if self.confirmed_ms.fetch_max(then_ms, Relaxed) < then_ms {
            self.changed.notify_all();
        }
    }

    /// Whether the last poll of the source failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing.load(Relaxed)
    }

    /// Records whether a poll of the source failed. Entries that wait for a
    /// change are told at once, since another source may have it.
    pub(crate) fn record_failing(&self, is_failing: bool) {
        let was_failing = self.is_failing.swap(is_failing, Relaxed);
        if is_failing && !was_failing {
            self.changed.notify_all();
        }
    }

    pub(crate) fn recovered_ms(&self) -> u64 {
        self.recovered_ms.load(Relaxed)
    }

    pub(crate) fn record_recovery(&self, recovered_ms: u64) {
        self.recovered_ms.fetch_max(recovered_ms, Relaxed);
    }

    pub(crate) fn history(&self) -> Option<HistoryStart> {
        *self.history.lock().expect("no holder panics")
    }

    /// Records the first read of a later history. Rows that the store has
    /// lost may return as after an outage.
    pub(crate) fn begin_history(&self, version: StoreVersion) {
        let read_ms = now_ms();
        self.record_recovery(read_ms);
        let mut history = self.history.lock().expect("no holder panics");
        *history = Some(HistoryStart { version, read_ms });
    }

    /// The row of the copy with this key.
    pub(crate) fn row(&self, key: &str) -> Option<Row> {
        let copy = self.copy();
        let mut rows = copy.rows();
        let change = rows.find(|row| row.key == key)?;
        Some(Row {
            key: change.key.clone(),
            value: change.value.clone().unwrap_or_default(),
            version: change.version,
            is_deleted: false,
        })
    }

    /// Replaces all rows; returns false if the copy is newer.
    pub(crate) fn replace(&self, rows: &Rows) -> bool {
        let changes = rows.rows.iter().map(row_change).collect();
        let is_taken = self.copy().replace(changes, rows.version);
        self.changed.notify_all();
        is_taken
    }

    /// Applies rows that changed; returns false if they belong to another
    /// history than the copy.
    pub(crate) fn apply_changes(&self, rows: &Rows) -> bool {
        let changes = rows.rows.iter().map(row_change).collect();
        let is_applied = self.copy().apply(changes, rows.version);
        if !rows.rows.is_empty() {
            self.changed.notify_all();
        }
        is_applied
    }

    /// Number of rows of the copy, and how many of them a full read lacks.
    pub(crate) fn missing_rows(&self, read: &Rows) -> (usize, usize) {
        let received: BTreeSet<&str> =
            read.rows.iter().map(|row| row.key.as_str()).collect();
        let copy = self.copy();
        let is_missing = |row: &&RowChange| !received.contains(&*row.key);
        (copy.rows().count(), copy.rows().filter(is_missing).count())
    }

    /// Whether the copy has changes after a version.
    pub(crate) fn has_changes_after(&self, version: StoreVersion) -> bool {
        self.copy().has_changes_after(version)
    }

    /// Response to an entry whose copy has this version; `None` while this
    /// entry has no copy.
    pub(crate) fn response_after(
        &self,
        after: Option<StoreVersion>,
        form: RowForm,
    ) -> Option<FeedAnswer> {
        let copy = self.copy();
        let version = copy.version()?;
        let changes = after.and_then(|after| copy.changes_after(after));
        let is_whole = changes.is_none();
        let rows = changes.unwrap_or_else(|| copy.rows().collect());
        let in_form = |row: &RowChange| match form {
            RowForm::Plain => feed_row(row),
            RowForm::Compressed => self.short_row(&copy, row, None),
            RowForm::Short => self.short_row(&copy, row, after),
        };
        let rows = rows.into_iter().map(in_form).collect();
        let recovered_ms = Some(self.recovered_ms()).filter(|ms| *ms > 0);
        Some(FeedAnswer {
            rows,
            version: version.number(),
            era: version.era(),
            is_whole,
            confirmed_age_ms: self.age_ms(),
            back_age_ms: recovered_ms.map(|ms| now_ms().saturating_sub(ms)),
            waited_ms: 0,
            is_failing: self.is_failing(),
        })
    }

    /// A row for a caller that has all rows up to a version, if any.
    fn short_row(
        &self,
        copy: &TableCopy,
        row: &RowChange,
        after: Option<StoreVersion>,
    ) -> FeedRow {
        let without_value = FeedRow {
            key: row.key.clone(),
            version: row.version.number(),
            ..FeedRow::default()
        };
        if after.is_some_and(|after| copy.is_known_at(row, after)) {
            return FeedRow { is_unchanged: true, ..without_value };
        }
        let base = after.and_then(|after| copy.previous_at(&row.key, after));
        let mut short_rows = self.short_rows.lock().expect("no holder panics");
        match short_rows.short_form(row, base) {
            None => feed_row(row),
            Some(bytes) => FeedRow {
                compressed: Some(bytes.to_vec()),
                base_version: base.map(|base| base.version.number()),
                ..without_value
            },
        }
    }

    /// Converts a response of an entry to rows as the store returns them.
    ///
    /// # Errors
    ///
    /// A row refers to one that this copy does not have.
    pub(crate) fn try_into_rows(
        &self,
        answer: FeedAnswer,
    ) -> Result<Rows, UnknownRow> {
        let era = answer.era;
        let version = StoreVersion::new(era, answer.version);
        let rows = answer.rows.into_iter();
        let rows = rows.map(|row| self.try_into_row(row, era));
        Ok(Rows { rows: rows.collect::<Result<_, _>>()?, version })
    }

    fn try_into_row(&self, row: FeedRow, era: u64) -> Result<Row, UnknownRow> {
        let version = StoreVersion::new(era, row.version);
        let value = match (row.compressed, row.is_unchanged) {
            (Some(bytes), _) => {
                let base = row.base_version.map(|number| {
                    self.value_at(&row.key, StoreVersion::new(era, number))
                });
                let base = base.transpose()?.unwrap_or_default();
                let value = short_rows::try_decompress(&bytes, &base);
                Some(value.map_err(|_| UnknownRow(row.key.clone()))?)
            }
            (None, true) => Some(self.value_at(&row.key, version)?),
            (None, false) => row.value,
        };
        Ok(Row {
            key: row.key,
            is_deleted: value.is_none(),
            value: value.unwrap_or_default(),
            version,
        })
    }

    /// Value of a version of a row.
    fn value_at(
        &self,
        key: &str,
        version: StoreVersion,
    ) -> Result<Vec<u8>, UnknownRow> {
        let copy = self.copy();
        let row = copy.row(key).filter(|row| row.version == version);
        let value = row.and_then(|row| row.value.clone());
        value.ok_or_else(|| UnknownRow(key.to_owned()))
    }

    fn copy(&self) -> MutexGuard<'_, TableCopy> {
        self.copy.lock().expect("no holder panics")
    }

    fn sources(&self) -> MutexGuard<'_, FeedSources> {
        self.sources.lock().expect("no holder panics")
    }
}

fn row_change(row: &Row) -> RowChange {
    RowChange {
        key: row.key.clone(),
        value: (!row.is_deleted).then(|| row.value.clone()),
        version: row.version,
    }
}

fn feed_row(change: &RowChange) -> FeedRow {
    FeedRow {
        key: change.key.clone(),
        value: change.value.clone(),
        version: change.version.number(),
        ..FeedRow::default()
    }
}
