//! Links to side processes, and what they say.
//!
//! A backend server takes new work only while its side process can be
//! reached, says so itself, and the platform does not list its VM as
//! leaving: whichever of the three knows first that it leaves, wins.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_protocol::{
    CloseReason, Link,
    wire::{BackendLoad, Status},
};
use chestnutreach_routing::{
    Policy,
    live_state::{LoadReport, Presence},
};
use chestnutreach_telemetry::{Event, emit};

use crate::{shared::Shared, view::Beside};

/// First and longest wait between two tries to reach a side process.
const REDIAL_MIN_MS: u64 = 50;
const REDIAL_MAX_MS: u64 = 2_000;

impl Shared {
    /// What a choice is made by now.
    pub(crate) fn policy(&self) -> Policy {
        let policy = self.view.load().policy.clone();
        policy.entry_count(self.peers.entry_count())
    }

    /// Follows the side processes of a new view.
    pub(crate) fn follow_sides(self: &Arc<Self>) {
        let sides = self.view.load().sides();
        let addresses: Vec<SocketAddr> = sides.keys().copied().collect();
        self.peers.set_sides(sides);
        for address in addresses {
            // A link that is open already says nothing of its own accord.
            if let Some(link) = self.links().existing(address) {
                self.set_present(&link, address);
            }
            if self.peers.keep(address) {
                let task = self.clone().keep_link(address);
                self.spawn(task);
            }
        }
    }

    /// Keeps a link to a side process for as long as the view names it.
    async fn keep_link(self: Arc<Self>, address: SocketAddr) {
        let mut wait_ms = REDIAL_MIN_MS;
        while self.peers.beside(address).is_some() {
            match self.links().connect(address).await {
                Ok(link) => {
                    wait_ms = REDIAL_MIN_MS;
                    self.set_present(&link, address);
                    link.closed().await;
                }
                Err(_) => {
                    self.set_presence(address, Presence::Absent);
                    let spread = fastrand::u64(wait_ms / 2..=wait_ms);
                    Timer::after(Duration::from_millis(spread)).await;
                    wait_ms = (wait_ms * 2).min(REDIAL_MAX_MS);
                }
            }
        }
        self.peers.keep_no_longer(address);
    }

    fn set_present(&self, link: &Link, address: SocketAddr) {
        if self.peers.listed.is_leaving(link.peer()) {
            self.set_presence(address, Presence::Leaving);
            return;
        }
        let since_ms = self.clock.now_ms();
        for beside in self.peers.beside(address).unwrap_or_default() {
            let live = &beside.service.live;
            // A ramp that runs already is not begun again.
            if live.presence(beside.index) == Presence::Absent {
                live.set_presence(
                    beside.index,
                    Presence::Joining { since_ms },
                );
            }
        }
    }

    fn set_presence(&self, address: SocketAddr, presence: Presence) {
        for beside in self.peers.beside(address).unwrap_or_default() {
            beside.service.live.set_presence(beside.index, presence);
        }
    }

    /// A dialled link has closed.
    pub(crate) fn side_lost(&self, link: &Link, reason: CloseReason) {
        emit(
            Event::LinkLost,
            &[("peer_vm", &link.peer().vm), ("cause", &format!("{reason:?}"))],
        );
        if let Some(address) = link.dialled_address() {
            self.set_presence(address, Presence::Absent);
            self.peers.forget_entry_count(address);
        }
    }

    /// A side process tells its state.
    pub(crate) fn side_status(&self, link: &Link, status: &Status) {
        if let Some(address) = link.dialled_address() {
            self.peers.note_entry_count(address, status.entry_count);
        }
        self.side_loads(link, &status.loads);
    }

    /// A side process tells the load of its backend servers.
    pub(crate) fn side_loads(&self, link: &Link, loads: &[BackendLoad]) {
        let Some(address) = link.dialled_address() else {
            return;
        };
        let beside = self.peers.beside(address).unwrap_or_default();
        let is_listed = self.peers.listed.is_leaving(link.peer());
        for load in loads {
            let at = beside
                .iter()
                .find(|b| b.service.fleet.spec(b.index).name == load.backend);
            if let Some(beside) = at {
                self.one_load(beside, load, load.is_leaving || is_listed);
            }
        }
    }

    fn one_load(&self, beside: &Beside, load: &BackendLoad, leaves: bool) {
        let now_ms = self.clock.now_ms();
        let live = &beside.service.live;
        live.record_report(beside.index, &to_report(load), now_ms);
        if leaves {
            live.set_presence(beside.index, Presence::Leaving);
        } else if live.presence(beside.index) == Presence::Leaving {
            let joining = Presence::Joining { since_ms: now_ms };
            live.set_presence(beside.index, joining);
        }
    }

    /// The platform's list of VMs has been read, or has not.
    pub(crate) fn vms_leaving(&self, leaving: Option<BTreeSet<String>>) {
        let Some(leaving) = leaving else {
            self.peers.listed.lost();
            return;
        };
        let fresh = self.peers.listed.read(leaving);
        for link in self.links().open() {
            let peer = link.peer();
            if fresh.contains(&peer.vm)
                && let Some(address) = link.dialled_address()
                && self.peers.listed.is_leaving(peer)
            {
                emit(Event::VmLeaving, &[("vm", &peer.vm)]);
                self.set_presence(address, Presence::Leaving);
            }
        }
    }
}

fn to_report(load: &BackendLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        pending_tokens: load.pending_tokens,
        prompt_tokens_per_s: load.prompt_tokens_per_s,
        output_tokens_per_s: load.output_tokens_per_s,
        cache_used_permille: load.cache_used_permille,
        is_healthy: load.is_healthy,
        queue_wait_ms: load.queue_wait_ms,
    }
}
