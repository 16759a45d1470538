//! Rows of the list that name no backend server, as far as they were told.
//!
//! Another writer may put anything there, as often as it likes. A row is told
//! once until it is readable or gone, and only so many are remembered; past
//! those nothing more is told.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
};

/// Rows that are remembered: more than the engines of the largest fleet.
const MAX_ROWS: usize = 2_048;

/// Keys of rows that were told.
#[derive(Debug, Default)]
pub(crate) struct UnusableRows {
    logged: Mutex<BTreeSet<String>>,
}

impl UnusableRows {
    /// Whether a row is to be told: it was not yet, and there is room.
    pub(crate) fn mark_logged(&self, key: &str) -> bool {
        let mut told = self.lock();
        told.len() < MAX_ROWS && told.insert(key.to_owned())
    }

    /// The row is readable again, or gone.
    pub(crate) fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.logged.lock().expect("no holder panics")
    }
}
