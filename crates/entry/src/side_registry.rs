//! Which side processes there are.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Mutex,
};

use crate::{draining_vms::DrainingVms, view::BackendRef};

/// The side processes of the view in force.
#[derive(Default)]
pub(crate) struct SideRegistry {
    sides: Mutex<BTreeMap<SocketAddr, Vec<BackendRef>>>,
    /// Addresses that a task keeps a link to.
    linked: Mutex<BTreeSet<SocketAddr>>,
    /// VMs that the platform lists as leaving.
    pub(crate) draining_vms: DrainingVms,
    /// How many entries each side process has links to.
    entry_counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl SideRegistry {
    /// Takes the side processes of a new view.
    pub(crate) fn set_sides(
        &self,
        sides: BTreeMap<SocketAddr, Vec<BackendRef>>,
    ) {
        *self.sides.lock().expect("no holder panics") = sides;
    }

    /// Whether a task is to keep a link to an address from now on; none does.
    pub(crate) fn reserve_link(&self, address: SocketAddr) -> bool {
        self.linked.lock().expect("no holder panics").insert(address)
    }

    /// The task that kept a link has ended.
    pub(crate) fn release_link(&self, address: SocketAddr) {
        self.linked.lock().expect("no holder panics").remove(&address);
    }

    /// Backend servers beside a side process.
    pub(crate) fn backends(
        &self,
        address: SocketAddr,
    ) -> Option<Vec<BackendRef>> {
        let sides = self.sides.lock().expect("no holder panics");
        sides.get(&address).cloned()
    }

    /// How many entries share the traffic. Each side process may miss some,
    /// so the highest count is the nearest; a lone entry counts itself.
    pub(crate) fn entry_count(&self) -> u32 {
        let counts = self.entry_counts.lock().expect("no holder panics");
        counts.values().copied().max().unwrap_or(1).max(1)
    }

    pub(crate) fn record_entry_count(&self, address: SocketAddr, count: u32) {
        let mut counts = self.entry_counts.lock().expect("no holder panics");
        counts.insert(address, count);
    }

    pub(crate) fn remove_entry_count(&self, address: SocketAddr) {
        let mut counts = self.entry_counts.lock().expect("no holder panics");
        counts.remove(&address);
    }
}
