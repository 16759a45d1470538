//! Per-service state, keyed by service name.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

/// One value per service, created by its first update.
#[derive(Debug, Default)]
pub(crate) struct ByService<T> {
    values: Mutex<BTreeMap<String, T>>,
}

impl<T: Default> ByService<T> {
    /// Updates the value of a service.
    pub(crate) fn update<R>(
        &self,
        service: &str,
        update: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut values = self.lock();
        // `entry` would copy the name, and this runs for every request.
        match values.get_mut(service) {
            Some(value) => update(value),
            None => update(values.entry(service.to_owned()).or_default()),
        }
    }

    /// Reads the value of a service; `None` before its first update.
    pub(crate) fn read<R>(
        &self,
        service: &str,
        read: impl FnOnce(&T) -> R,
    ) -> Option<R> {
        self.lock().get(service).map(read)
    }

    /// Applies a function to each value; the results with the service names.
    pub(crate) fn map_each<R>(
        &self,
        mut map: impl FnMut(&mut T) -> R,
    ) -> Vec<(String, R)> {
        let mut values = self.lock();
        let named =
            |(name, value): (&String, &mut T)| (name.clone(), map(value));
        values.iter_mut().map(named).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, T>> {
        self.values.lock().expect("no holder panics")
    }
}
