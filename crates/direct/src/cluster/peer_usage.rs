//! Engines that other entries reported to use.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
};

/// Short hashes of engines, by the boot id of the entry that uses them.
#[derive(Debug, Default)]
pub(crate) struct PeerUsage {
    engines: Mutex<BTreeMap<u64, BTreeSet<u32>>>,
}

impl PeerUsage {
    /// Replaces the engines that an entry uses; returns those that it no
    /// longer uses.
    pub(crate) fn replace(
        &self,
        boot_id: u64,
        engines: BTreeSet<u32>,
    ) -> Vec<u32> {
        let mut by_peer = self.engines.lock().expect("no holder panics");
        let old = match engines.is_empty() {
            true => by_peer.remove(&boot_id),
            false => by_peer.insert(boot_id, engines.clone()),
        };
        let old = old.unwrap_or_default();
        old.difference(&engines).copied().collect()
    }
}
