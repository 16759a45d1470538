//! Which side processes there are.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Mutex,
};

use crate::{listed::Listed, view::Beside};

/// The side processes of the view in force.
#[derive(Default)]
pub(crate) struct Peers {
    sides: Mutex<BTreeMap<SocketAddr, Vec<Beside>>>,
    /// Addresses that a task keeps a link to.
    kept: Mutex<BTreeSet<SocketAddr>>,
    /// VMs that the platform lists as leaving.
    pub(crate) listed: Listed,
    /// How many entries each side process has links to.
    entry_counts: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl Peers {
    /// Takes the side processes of a new view.
    pub(crate) fn set_sides(&self, sides: BTreeMap<SocketAddr, Vec<Beside>>) {
        *self.sides.lock().expect("no holder panics") = sides;
    }

    /// Whether a task is to keep a link to an address from now on; none does.
    pub(crate) fn keep(&self, address: SocketAddr) -> bool {
        self.kept.lock().expect("no holder panics").insert(address)
    }

    /// The task that kept a link has ended.
    pub(crate) fn keep_no_longer(&self, address: SocketAddr) {
        self.kept.lock().expect("no holder panics").remove(&address);
    }

    /// Backend servers beside a side process.
    pub(crate) fn beside(&self, address: SocketAddr) -> Option<Vec<Beside>> {
        let sides = self.sides.lock().expect("no holder panics");
        sides.get(&address).cloned()
    }

    /// How many entries share the traffic. Each side process may miss some,
    /// so the highest count is the nearest; a lone entry counts itself.
    pub(crate) fn entry_count(&self) -> u32 {
        let counts = self.entry_counts.lock().expect("no holder panics");
        counts.values().copied().max().unwrap_or(1).max(1)
    }

    pub(crate) fn note_entry_count(&self, address: SocketAddr, count: u32) {
        let mut counts = self.entry_counts.lock().expect("no holder panics");
        counts.insert(address, count);
    }

    pub(crate) fn forget_entry_count(&self, address: SocketAddr) {
        let mut counts = self.entry_counts.lock().expect("no holder panics");
        counts.remove(&address);
    }
}
