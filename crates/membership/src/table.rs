//! A copy of a table that answers in place of the store.
//!
//! A reader keeps what the store's feed told it, with the store's versions,
//! and answers others as the feed would: what changed after a version. A copy
//! is never newer than the store, since its version is that of an answer of
//! the store, and it never goes back. Rows that were dropped are kept for a
//! while, so that those who ask hear of them; who asks for what was before
//! reads all anew.

use std::collections::BTreeMap;

/// Dropped rows that are kept: more than the engines of the largest fleet.
const MAX_DROPPED: usize = 2_048;

/// A row as of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// Its key.
    pub key: String,
    /// Its bytes; none for one that was dropped.
    pub value: Option<Vec<u8>>,
    /// Version of the store at that change.
    pub version: u64,
}

/// What the store held in a table as of a version.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, RowChange>,
    version: Option<u64>,
    /// Changes up to this version may be missing.
    complete_after: u64,
}

impl TableCopy {
    /// Nothing is known yet.
    pub fn new() -> TableCopy {
        TableCopy::default()
    }

    /// Version of the store that this is a copy of; none while nothing is
    /// known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Takes the whole table as of a version; false for an older one than is
    /// known.
    pub fn replace(&mut self, rows: Vec<RowChange>, version: u64) -> bool {
        if self.version.is_some_and(|known| version < known) {
            return false;
        }
        self.rows = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        self.complete_after = version;
        self.version = Some(version);
        true
    }

    /// Takes changes after the version that is known, up to another.
    pub fn apply(&mut self, changes: Vec<RowChange>, version: u64) {
        for change in changes {
            let known = self.rows.get(&change.key);
            if known.is_none_or(|known| known.version <= change.version) {
                self.rows.insert(change.key.clone(), change);
            }
        }
        self.version = self.version.max(Some(version));
        self.forget_dropped();
    }

    /// Rows that are there.
    pub fn rows(&self) -> impl Iterator<Item = &RowChange> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// What changed after a version, in the order of the changes; none where
    /// that can't be told, so that all must be read.
    pub fn changes_after(&self, version: u64) -> Option<Vec<&RowChange>> {
        if version < self.complete_after {
            return None;
        }
        let is_later = |change: &&RowChange| change.version > version;
        let mut changes: Vec<&RowChange> =
            self.rows.values().filter(is_later).collect();
        changes.sort_by_key(|change| change.version);
        Some(changes)
    }

    /// Whether something changed after a version.
    pub fn has_changes_after(&self, version: u64) -> bool {
        version < self.complete_after
            || self.rows.values().any(|row| row.version > version)
    }

    fn forget_dropped(&mut self) {
        let dropped = self.rows.values().filter(|r| r.value.is_none());
        let mut versions: Vec<u64> = dropped.map(|r| r.version).collect();
        if versions.len() <= MAX_DROPPED {
            return;
        }
        versions.sort_unstable();
        let last = versions[versions.len() - MAX_DROPPED / 2];
        self.rows.retain(|_, r| r.value.is_some() || r.version > last);
        self.complete_after = self.complete_after.max(last);
    }
}
