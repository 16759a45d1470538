//! Limits how often invalid rows of the backend list are logged.
//!
//! Another writer may store anything in the list, at any rate. An invalid row
//! is logged once until the row is valid or removed. The number of remembered
//! rows is limited; while the limit is reached, no further rows are logged.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
};

/// More than the number of engines in the largest fleet.
const MAX_ROWS: usize = 2_048;

/// Keys of invalid rows that were logged.
#[derive(Debug, Default)]
pub(crate) struct UnusableRows {
    logged: Mutex<BTreeSet<String>>,
}

impl UnusableRows {
    /// Marks a row as logged; returns false if it was marked before or the
    /// limit is reached.
    pub(crate) fn mark_logged(&self, key: &str) -> bool {
        let mut logged = self.lock();
        logged.len() < MAX_ROWS && logged.insert(key.to_owned())
    }

    /// Forgets a row that is valid again or removed.
    pub(crate) fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.logged.lock().expect("no holder panics")
    }
}
