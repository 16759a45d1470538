//! Compares copies of a table with the table itself. A process that follows a
//! copy, with gaps, late or by way of other copies, knows the contents of the
//! table at the version of the copy, and never goes back.

use std::collections::BTreeMap;

use chestnutreach_membership::{RowChange, TableCopy};
use proptest::prelude::*;

/// The table and its history.
#[derive(Default)]
struct Store {
    version: u64,
    history: Vec<RowChange>,
}

impl Store {
    fn change(&mut self, key: u8, value: Option<u8>) {
        self.version += 1;
        self.history.push(RowChange {
            key: key.to_string(),
            value: value.map(|byte| vec![byte]),
            version: self.version,
        });
    }

    /// Rows as of a version.
    fn rows_at(&self, version: u64) -> BTreeMap<String, Vec<u8>> {
        let mut rows = BTreeMap::new();
        for change in self.history.iter().filter(|c| c.version <= version) {
            match &change.value {
                Some(value) => rows.insert(change.key.clone(), value.clone()),
                None => rows.remove(&change.key),
            };
        }
        rows
    }

    fn after(&self, version: u64) -> Vec<RowChange> {
        let later = self.history.iter().filter(|c| c.version > version);
        // The feed sends the last change of each row.
        let mut last = BTreeMap::new();
        for change in later {
            last.insert(change.key.clone(), change.clone());
        }
        last.into_values().collect()
    }

    fn all(&self) -> Vec<RowChange> {
        let mut last = BTreeMap::new();
        for change in &self.history {
            last.insert(change.key.clone(), change.clone());
        }
        last.into_values().filter(|c| c.value.is_some()).collect()
    }
}

/// An entry: its copy and the rows that it derived from it.
#[derive(Default)]
struct Entry {
    copy: TableCopy,
    rows: BTreeMap<String, Vec<u8>>,
    after: Option<u64>,
}

impl Entry {
    fn apply_all(&mut self, rows: Vec<RowChange>, version: u64) {
        let bytes = |c: &RowChange| (c.key.clone(), c.value.clone());
        let received: Vec<_> = rows.iter().map(bytes).collect();
        if self.copy.replace(rows, version) {
            let received = received.into_iter();
            self.rows = received.filter_map(|(k, v)| Some((k, v?))).collect();
        }
        self.after = self.after.max(Some(version));
    }

    fn apply_changes(&mut self, changes: Vec<RowChange>, version: u64) {
        for change in &changes {
            match &change.value {
                Some(value) => {
                    self.rows.insert(change.key.clone(), value.clone());
                }
                None => {
                    self.rows.remove(&change.key);
                }
            }
        }
        self.copy.apply(changes, version);
        self.after = self.after.max(Some(version));
    }

    fn read_store(&mut self, store: &Store) {
        match self.after {
            None => self.apply_all(store.all(), store.version),
            Some(after) => {
                self.apply_changes(store.after(after), store.version);
            }
        }
    }

    fn read_copy(&mut self, other: &TableCopy) {
        let Some(version) = other.version() else { return };
        let changes = self.after.and_then(|after| other.changes_after(after));
        match changes {
            Some(changes) => {
                let changes = changes.into_iter().cloned().collect();
                self.apply_changes(changes, version);
            }
            None => {
                let all = other.rows().cloned().collect();
                self.apply_all(all, version);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Change(u8, Option<u8>),
    ReadStore(usize),
    ReadCopy(usize, usize),
    /// An entry restarts without data.
    Restart(usize),
    /// The store no longer has the changes that an entry would read next, so
    /// the entry must read the whole table.
    ForgetVersion(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let value = prop::option::weighted(0.7, any::<u8>());
    prop_oneof![
        (0_u8..6, value).prop_map(|(key, value)| Step::Change(key, value)),
        (0_usize..4).prop_map(Step::ReadStore),
        (0_usize..4, 0_usize..4).prop_map(|(a, b)| Step::ReadCopy(a, b)),
        (0_usize..4).prop_map(Step::Restart),
        (0_usize..4).prop_map(Step::ForgetVersion),
    ]
}

proptest! {
    #[test]
    fn a_copy_matches_the_table_at_its_version_and_never_goes_back(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut store = Store::default();
        let mut entries: [Entry; 4] = Default::default();
        for step in steps {
            let version = |entry: &Entry| entry.copy.version();
            let before: Vec<_> = entries.iter().map(version).collect();
            let mut restarted = None;
            match step {
                Step::Change(key, value) => store.change(key, value),
                Step::ReadStore(at) => entries[at].read_store(&store),
                Step::ReadCopy(at, other) => {
                    let copy = entries[other].copy.clone();
                    entries[at].read_copy(&copy);
                }
                Step::Restart(at) => {
                    entries[at] = Entry::default();
                    restarted = Some(at);
                }
                Step::ForgetVersion(at) => entries[at].after = None,
            }
            for (at, entry) in entries.iter().enumerate() {
                if restarted != Some(at) {
                    prop_assert!(entry.copy.version() >= before[at]);
                }
                let known = entry.copy.version().unwrap_or(0);
                prop_assert!(known <= store.version);
                if entry.copy.version().is_some() {
                    prop_assert_eq!(&entry.rows, &store.rows_at(known));
                }
            }
        }
    }
}
