//! VMs that the platform lists as leaving.
//!
//! The list lags and can be unavailable; its last content stays in effect.
//! While it is unavailable, a process with a new boot id on a listed VM is
//! not treated as draining: otherwise a replaced VM would get no work until
//! the list is available again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
};

use chestnutreach_protocol::wire::Hello;

/// VMs that the platform lists as leaving.
#[derive(Debug, Default)]
pub(crate) struct DrainingVms {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Listed VMs, each with the boot id of the first process seen on the VM
    /// since it was listed.
    draining: BTreeMap<String, Option<u64>>,
    is_unavailable: bool,
}

impl DrainingVms {
    /// Applies the list and returns the VMs that were not listed before.
    pub(crate) fn update(&self, draining: BTreeSet<String>) -> Vec<String> {
        let mut state = self.lock();
        state.is_unavailable = false;
        let mut old = std::mem::take(&mut state.draining);
        let mut added = Vec::new();
        for vm in draining {
            let first_boot_id = old.remove(&vm);
            if first_boot_id.is_none() {
                added.push(vm.clone());
            }
            state.draining.insert(vm, first_boot_id.flatten());
        }
        added
    }

    /// Records that the list could not be read.
    pub(crate) fn mark_unavailable(&self) {
        self.lock().is_unavailable = true;
    }

    /// Whether the process runs on a VM that counts as draining.
    pub(crate) fn is_draining(&self, peer: &Hello) -> bool {
        let mut state = self.lock();
        let is_unavailable = state.is_unavailable;
        let Some(first_boot_id) = state.draining.get_mut(&peer.vm) else {
            return false;
        };
        *first_boot_id.get_or_insert(peer.boot_id) == peer.boot_id
            || !is_unavailable
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
