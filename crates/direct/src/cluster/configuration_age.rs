//! How current the configuration in force is: when the store last confirmed
//! it, and since when other entries report a newer one.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use chestnutreach_membership::NewerVersions;

use crate::clock::now_ms;

/// Age of the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationAge {
    /// When the store last confirmed it.
    confirmed_ms: AtomicU64,
    newer: Mutex<NewerVersions>,
    /// Since when a newer one is known to be missing here; 0 if none is.
    lacking_since_ms: AtomicU64,
}

impl ConfigurationAge {
    /// Records that the store confirmed it as the newest at `then_ms`.
    pub(crate) fn record_confirmed(&self, then_ms: u64, own_version: u64) {
        self.confirmed_ms.fetch_max(then_ms, Relaxed);
        self.update(&mut self.newer(), own_version);
    }

    /// Records that another entry has a newer version in force.
    pub(crate) fn record_report(&self, version: u64, own_version: u64) {
        let mut newer = self.newer();
        newer.record(version, now_ms());
        self.update(&mut newer, own_version);
    }

    /// Records that a version was put in force here.
    pub(crate) fn record_in_force(&self, version: u64) {
        self.update(&mut self.newer(), version);
    }

    /// Time since the store last confirmed it.
    pub(crate) fn confirmed_age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.confirmed_ms.load(Relaxed))
    }

    /// Time for which a newer one is known to be missing here; `None` if none
    /// is.
    pub(crate) fn lacking_ms(&self) -> Option<u64> {
        match self.lacking_since_ms.load(Relaxed) {
            0 => None,
            since_ms => Some(now_ms().saturating_sub(since_ms)),
        }
    }

    fn update(&self, newer: &mut NewerVersions, own_version: u64) {
        let confirmed_ms = self.confirmed_ms.load(Relaxed);
        let since_ms = newer.lacking_since_ms(own_version, confirmed_ms);
        self.lacking_since_ms.store(since_ms.unwrap_or(0), Relaxed);
    }

    fn newer(&self) -> MutexGuard<'_, NewerVersions> {
        self.newer.lock().expect("no holder panics")
    }
}
