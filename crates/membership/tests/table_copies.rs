//! Compares copies of a table with the table itself. A process that follows a
//! copy, with gaps, late or by way of other copies, knows the contents of the
//! table at the version of the copy, and never goes back. That holds also
//! while the store loses its last changes, and gives their versions out again.

use std::collections::BTreeMap;

use chestnutreach_membership::{
    RowChange, TableCopy, short_rows::MIN_LONG_ROW_BYTES,
};
use chestnutreach_site::StoreVersion;
use proptest::prelude::*;

/// Keys below this one have long rows.
const LONG_KEYS: u8 = 2;

/// The table with its present history and the histories before.
#[derive(Default)]
struct Store {
    version: StoreVersion,
    /// Changes by era; each history begins with the changes that the copy had
    /// when the store was restored.
    histories: BTreeMap<u64, Vec<RowChange>>,
}

impl Store {
    fn change(&mut self, key: u8, value: Option<u8>) {
        let (era, number) = (self.version.era(), self.version.number());
        self.version = StoreVersion::new(era, number + 1);
        let length = if key < LONG_KEYS { MIN_LONG_ROW_BYTES } else { 1 };
        let change = RowChange {
            key: key.to_string(),
            value: value.map(|byte| vec![byte; length]),
            version: self.version,
        };
        self.histories.entry(era).or_default().push(change);
    }

    /// Restores the table from a copy that lacks the last changes.
    fn restore(&mut self, lost_changes: u64) {
        let number = self.version.number().saturating_sub(lost_changes);
        let era = self.version.era() + 1;
        let copied = self.history(self.version.era()).iter();
        let copied = copied.filter(|change| change.version.number() <= number);
        let of_era = |change: &RowChange| {
            let version = StoreVersion::new(era, change.version.number());
            RowChange { version, ..change.clone() }
        };
        let history = copied.map(of_era).collect();
        self.histories.insert(era, history);
        self.version = StoreVersion::new(era, number);
    }

    fn history(&self, era: u64) -> &[RowChange] {
        self.histories.get(&era).map_or(&[], Vec::as_slice)
    }

    /// Rows as of a version.
    fn rows_at(&self, version: StoreVersion) -> BTreeMap<String, Vec<u8>> {
        let mut rows = BTreeMap::new();
        let history = self.history(version.era()).iter();
        for change in history.filter(|c| c.version <= version) {
            match &change.value {
                Some(value) => rows.insert(change.key.clone(), value.clone()),
                None => rows.remove(&change.key),
            };
        }
        rows
    }

    /// The changes after a version of the present history.
    fn after(&self, version: StoreVersion) -> Vec<RowChange> {
        let history = self.history(self.version.era()).iter();
        let later = history.filter(|c| c.version > version);
        // The feed sends the last change of each row.
        let mut last = BTreeMap::new();
        for change in later {
            last.insert(change.key.clone(), change.clone());
        }
        last.into_values().collect()
    }

    fn all(&self) -> Vec<RowChange> {
        let start = StoreVersion::new(self.version.era(), 0);
        let rows = self.after(start).into_iter();
        rows.filter(|change| change.value.is_some()).collect()
    }
}

/// An entry: its copy and the rows that it derived from it.
#[derive(Default)]
struct Entry {
    copy: TableCopy,
    rows: BTreeMap<String, Vec<u8>>,
    after: Option<StoreVersion>,
}

impl Entry {
    fn apply_all(&mut self, rows: Vec<RowChange>, version: StoreVersion) {
        let bytes = |c: &RowChange| (c.key.clone(), c.value.clone());
        let received: Vec<_> = rows.iter().map(bytes).collect();
        if self.copy.replace(rows, version) {
            let received = received.into_iter();
            self.rows = received.filter_map(|(k, v)| Some((k, v?))).collect();
        }
        self.after = self.after.max(Some(version));
    }

    fn apply_changes(
        &mut self,
        changes: Vec<RowChange>,
        version: StoreVersion,
    ) {
        if !self.copy.apply(changes.clone(), version) {
            return;
        }
        for change in changes {
            match change.value {
                Some(value) => {
                    self.rows.insert(change.key, value);
                }
                None => {
                    self.rows.remove(&change.key);
                }
            }
        }
        self.after = self.after.max(Some(version));
    }

    fn read_store(&mut self, store: &Store) {
        let after =
            self.after.filter(|after| after.is_same_history(store.version));
        match after {
            None => self.apply_all(store.all(), store.version),
            Some(after) => {
                self.apply_changes(store.after(after), store.version);
            }
        }
    }

    /// What a short response leaves out or refers to is known here.
    fn check_short_response(&self, other: &TableCopy) {
        let Some(after) = self.after else { return };
        let changes = other.changes_after(after);
        let sent = changes.unwrap_or_else(|| other.rows().collect());
        for row in sent {
            if other.is_known_at(row, after) {
                assert_eq!(self.copy.row(&row.key), Some(row), "{after:?}");
            }
            let Some(base) = other.previous_at(&row.key, after) else {
                continue;
            };
            let own = self.copy.row(&row.key);
            let own = own.filter(|own| own.version == base.version);
            assert!(own.is_none_or(|own| own.value == base.value));
        }
    }

    fn read_copy(&mut self, other: &TableCopy) {
        let Some(version) = other.version() else { return };
        self.check_short_response(other);
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
    /// The store loses this many changes.
    Restore(u64),
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
        (0_u64..6).prop_map(Step::Restore),
        (0_usize..4).prop_map(Step::ForgetVersion),
    ]
}

/// Otherwise an entry that knows a later history would poll without a pause.
#[test]
fn a_copy_of_an_earlier_history_has_no_changes_for_a_later_one() {
    let mut copy = TableCopy::new();
    let row = |era, number| RowChange {
        key: "k".to_owned(),
        value: Some(vec![1]),
        version: StoreVersion::new(era, number),
    };
    copy.replace(vec![row(1, 40)], StoreVersion::new(1, 50));
    let later = StoreVersion::new(2, 30);
    assert!(!copy.has_changes_after(later));
    assert_eq!(copy.changes_after(later), Some(vec![]));
    let earlier = StoreVersion::new(0, 90);
    assert!(copy.has_changes_after(earlier));
    assert_eq!(copy.changes_after(earlier), None);
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
                Step::Restore(lost_changes) => store.restore(lost_changes),
                Step::ForgetVersion(at) => entries[at].after = None,
            }
            for (at, entry) in entries.iter().enumerate() {
                if restarted != Some(at) {
                    prop_assert!(entry.copy.version() >= before[at]);
                }
                let Some(known) = entry.copy.version() else { continue };
                prop_assert!(known <= store.version);
                prop_assert_eq!(&entry.rows, &store.rows_at(known));
            }
        }
        let now = store.rows_at(store.version);
        entries[0].read_store(&store);
        let source = entries[0].copy.clone();
        for entry in &mut entries {
            entry.read_copy(&source);
            prop_assert_eq!(entry.copy.version(), Some(store.version));
            prop_assert_eq!(&entry.rows, &now);
        }
    }
}
