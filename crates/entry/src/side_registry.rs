//! Registry of side processes and their backend servers.

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
    /// Addresses to which a task maintains a link.
    linked: Mutex<BTreeSet<SocketAddr>>,
    /// VMs that the platform lists as leaving.
    pub(crate) draining_vms: DrainingVms,
    /// Number of entries that each side process is linked to.
    entry_counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl SideRegistry {
    /// Replaces the side processes with those of a new view.
    pub(crate) fn set_sides(
        &self,
        sides: BTreeMap<SocketAddr, Vec<BackendRef>>,
    ) {
        *self.sides.lock().expect("no holder panics") = sides;
    }

    /// Reserves the link to an address for a task. Returns false if another
    /// task maintains that link already.
    pub(crate) fn reserve_link(&self, address: SocketAddr) -> bool {
        self.linked.lock().expect("no holder panics").insert(address)
    }

    /// Releases a link whose task has ended.
    pub(crate) fn release_link(&self, address: SocketAddr) {
        self.linked.lock().expect("no holder panics").remove(&address);
    }

    /// Backend servers of a side process; `None` if the view does not name it.
    pub(crate) fn backends(
        &self,
        address: SocketAddr,
    ) -> Option<Vec<BackendRef>> {
        let sides = self.sides.lock().expect("no holder panics");
        sides.get(&address).cloned()
    }

    /// Number of entries that share the traffic, at least 1 for this entry. A
    /// side process may lack links to some entries, so the maximum of all
    /// reported counts is the best estimate.
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
