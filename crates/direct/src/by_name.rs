//! State for each service or route, keyed by its name.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

/// One value per name, created by its first update.
#[derive(Debug, Default)]
pub(crate) struct ByName<T> {
    values: Mutex<BTreeMap<String, T>>,
}

impl<T: Default> ByName<T> {
    /// Updates the value of a name.
    pub(crate) fn update<R>(
        &self,
        name: &str,
        update: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut values = self.lock();
        // `entry` would copy the name, and this runs for every request.
        match values.get_mut(name) {
            Some(value) => update(value),
            None => update(values.entry(name.to_owned()).or_default()),
        }
    }

    /// Reads the value of a name; `None` before its first update.
    pub(crate) fn read<R>(
        &self,
        name: &str,
        read: impl FnOnce(&T) -> R,
    ) -> Option<R> {
        self.lock().get(name).map(read)
    }

    /// Applies a function to each value; the results with the names.
    pub(crate) fn map_each<R>(
        &self,
        mut map: impl FnMut(&mut T) -> R,
    ) -> Vec<(String, R)> {
        let mut values = self.lock();
        let named =
            |(name, value): (&String, &mut T)| (name.clone(), map(value));
        values.iter_mut().map(named).collect()
    }

    /// Removes the values of other names than these.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.lock().retain(|name, _| is_kept(name));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, T>> {
        self.values.lock().expect("no holder panics")
    }
}
