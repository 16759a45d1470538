//! What the platform's list says of VMs that leave.
//!
//! The list lags and may be down, and what was read last stays believed. A
//! process that has started anew on a listed VM since then is believed
//! instead: a VM that was replaced would get no work until the list is back.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
};

use chestnutreach_protocol::wire::Hello;

/// VMs that are listed as leaving.
#[derive(Debug, Default)]
pub(crate) struct DrainingVms {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// With the incarnation of the VM's process that was met first since the
    /// VM was listed.
    draining: BTreeMap<String, Option<u64>>,
    is_unavailable: bool,
}

impl DrainingVms {
    /// The list has been read; the VMs that it lists anew.
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

    /// The list could not be read.
    pub(crate) fn mark_unavailable(&self) {
        self.lock().is_unavailable = true;
    }

    /// Whether a process is on a VM that is believed to leave.
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
