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
pub(crate) struct Listed {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// With the incarnation of the VM's process that was met first since the
    /// VM was listed.
    leaving: BTreeMap<String, Option<u64>>,
    is_down: bool,
}

impl Listed {
    /// The list has been read; the VMs that it lists anew.
    pub(crate) fn read(&self, leaving: BTreeSet<String>) -> Vec<String> {
        let mut state = self.lock();
        state.is_down = false;
        let mut old = std::mem::take(&mut state.leaving);
        let mut fresh = Vec::new();
        for vm in leaving {
            let met = old.remove(&vm);
            if met.is_none() {
                fresh.push(vm.clone());
            }
            state.leaving.insert(vm, met.flatten());
        }
        fresh
    }

    /// The list could not be read.
    pub(crate) fn lost(&self) {
        self.lock().is_down = true;
    }

    /// Whether a process is on a VM that is believed to leave.
    pub(crate) fn is_leaving(&self, peer: &Hello) -> bool {
        let mut state = self.lock();
        let is_down = state.is_down;
        let Some(met) = state.leaving.get_mut(&peer.vm) else {
            return false;
        };
        *met.get_or_insert(peer.boot_id) == peer.boot_id || !is_down
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
