//! Something that an entry keeps for each service, by its name.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

/// One value a service, made when it is first changed.
#[derive(Debug, Default)]
pub(crate) struct ByService<T> {
    values: Mutex<BTreeMap<String, T>>,
}

impl<T: Default> ByService<T> {
    /// Changes the value of a service.
    pub(crate) fn change<R>(
        &self,
        service: &str,
        change: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut values = self.lock();
        // Names are copied only once for each service: this stands on the
        // path of every request.
        match values.get_mut(service) {
            Some(value) => change(value),
            None => change(values.entry(service.to_owned()).or_default()),
        }
    }

    /// Looks at the value of a service; none before its first change.
    pub(crate) fn look<R>(
        &self,
        service: &str,
        look: impl FnOnce(&T) -> R,
    ) -> Option<R> {
        self.lock().get(service).map(look)
    }

    /// Takes something of each, with the names.
    pub(crate) fn of_each<R>(
        &self,
        mut of: impl FnMut(&mut T) -> R,
    ) -> Vec<(String, R)> {
        let mut values = self.lock();
        let named =
            |(name, value): (&String, &mut T)| (name.clone(), of(value));
        values.iter_mut().map(named).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, T>> {
        self.values.lock().expect("no holder panics")
    }
}
