//! Which engines other entries told that they use.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

/// Short hashes of engines, by the boot id of who told.
#[derive(Debug, Default)]
pub(crate) struct PeerUsage {
    engines: Mutex<BTreeMap<u64, BTreeSet<u32>>>,
}

impl PeerUsage {
    /// Takes the engines that an entry uses now; those that it no longer
    /// does.
    pub(crate) fn replace(
        &self,
        boot_id: u64,
        engines: BTreeSet<u32>,
    ) -> Vec<u32> {
        let mut told = self.engines.lock().expect("no holder panics");
        let old = match engines.is_empty() {
            true => told.remove(&boot_id),
            false => told.insert(boot_id, engines.clone()),
        };
        let old = old.unwrap_or_default();
        old.difference(&engines).copied().collect()
    }
}
