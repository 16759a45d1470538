//! A copy of a table that responds in place of the store.
//!
//! A reader keeps the rows of the store's feed with their versions, and serves
//! them to other entries as the feed would: the changes after a version. A
//! copy is never newer than the store, because its version is that of a
//! response of the store, and it never goes back. Deleted rows are kept for a
//! while to report the deletion; a request for earlier changes must read the
//! whole table.
//!
//! All rows of a copy belong to one history of the store. A copy moves to a
//! later history only as a whole: rows that the store has lost must go, and
//! changes after a version of another history do not exist.

use std::collections::BTreeMap;

use chestnutreach_site::StoreVersion;

use crate::short_rows::MIN_LONG_ROW_BYTES;

/// Limit on deleted rows that are kept: more than the largest fleet has
/// engines.
const MAX_DELETED_ROWS: usize = 2_048;

/// A row as of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Value of the row, or `None` for a deleted row.
    pub value: Option<Vec<u8>>,
    /// Version of the store at the change.
    pub version: StoreVersion,
}

/// Contents of a table of the store as of a version.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, RowChange>,
    version: Option<StoreVersion>,
    /// Changes up to this version may be missing.
    complete_after: StoreVersion,
    /// Long rows as they were before their last change, as bases of short
    /// forms.
    previous: BTreeMap<String, RowChange>,
}

impl TableCopy {
    /// Starts empty, without a version.
    pub fn new() -> TableCopy {
        TableCopy::default()
    }

    /// Version of the store that this is a copy of, or `None` before the first
    /// read.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Replaces the whole table; false if `version` is older than the current
    /// one.
    pub fn replace(
        &mut self,
        rows: Vec<RowChange>,
        version: StoreVersion,
    ) -> bool {
        if self.version.is_some_and(|current| version < current) {
            return false;
        }
        let is_same_history = self.is_of_history(version);
        let rows = rows.into_iter().map(|row| (row.key.clone(), row));
        let before = std::mem::replace(&mut self.rows, rows.collect());
        self.previous.clear();
        if is_same_history {
            before.into_values().for_each(|row| self.keep_previous(row));
        }
        self.complete_after = version;
        self.version = Some(version);
        true
    }

    /// Applies changes after the current version, up to `version`; false if
    /// they are changes of another history.
    pub fn apply(
        &mut self,
        changes: Vec<RowChange>,
        version: StoreVersion,
    ) -> bool {
        if !self.is_of_history(version) {
            return false;
        }
        for change in changes {
            let current = self.rows.get(&change.key);
            if current.is_none_or(|current| current.version <= change.version)
            {
                let before = self.rows.insert(change.key.clone(), change);
                before.into_iter().for_each(|row| self.keep_previous(row));
            }
        }
        self.version = self.version.max(Some(version));
        self.remove_old_deletions();
        true
    }

    /// The rows of the table.
    pub fn rows(&self) -> impl Iterator<Item = &RowChange> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// The last version of a row, also if it was deleted.
    pub fn row(&self, key: &str) -> Option<&RowChange> {
        self.rows.get(key)
    }

    /// A long row as it was before its last change, if a copy that is complete
    /// up to a version has it so.
    pub fn previous_at(
        &self,
        key: &str,
        version: StoreVersion,
    ) -> Option<&RowChange> {
        let row = self.previous.get(key)?;
        let is_known = self.is_of_history(version) && row.version <= version;
        is_known.then_some(row)
    }

    /// Whether a copy that is complete up to a version has this row.
    pub fn is_known_at(&self, row: &RowChange, version: StoreVersion) -> bool {
        self.is_of_history(version) && row.version <= version
    }

    /// The changes after a version, in order, or `None` if the copy may lack
    /// some of them and the whole table must be read.
    pub fn changes_after(
        &self,
        version: StoreVersion,
    ) -> Option<Vec<&RowChange>> {
        if self.is_before_history(version) {
            return Some(Vec::new());
        }
        if !self.is_of_history(version) || version < self.complete_after {
            return None;
        }
        let is_later = |change: &&RowChange| change.version > version;
        let mut changes: Vec<&RowChange> =
            self.rows.values().filter(is_later).collect();
        changes.sort_by_key(|change| change.version);
        Some(changes)
    }

    /// Whether anything changed after a version. A copy of a later history
    /// differs as a whole; a copy of an earlier one has nothing to offer.
    pub fn has_changes_after(&self, version: StoreVersion) -> bool {
        if self.is_before_history(version) {
            return false;
        }
        !self.is_of_history(version)
            || version < self.complete_after
            || self.rows.values().any(|row| row.version > version)
    }

    fn is_before_history(&self, version: StoreVersion) -> bool {
        self.version.is_some_and(|own| own.era() < version.era())
    }

    fn is_of_history(&self, version: StoreVersion) -> bool {
        self.version.is_some_and(|own| own.is_same_history(version))
    }

    /// Keeps a row that is long and has changed.
    fn keep_previous(&mut self, row: RowChange) {
        let is_long = row
            .value
            .as_ref()
            .is_some_and(|value| value.len() >= MIN_LONG_ROW_BYTES);
        let current = self.rows.get(&row.key);
        let has_changed = current.is_some_and(|c| c.version != row.version);
        if is_long && has_changed {
            self.previous.insert(row.key.clone(), row);
        } else if has_changed {
            self.previous.remove(&row.key);
        }
    }

    fn remove_old_deletions(&mut self) {
        let deleted = self.rows.values().filter(|r| r.value.is_none());
        let mut versions: Vec<StoreVersion> =
            deleted.map(|r| r.version).collect();
        if versions.len() <= MAX_DELETED_ROWS {
            return;
        }
        versions.sort_unstable();
        let last = versions[versions.len() - MAX_DELETED_ROWS / 2];
        self.rows.retain(|_, r| r.value.is_some() || r.version > last);
        self.complete_after = self.complete_after.max(last);
    }
}
