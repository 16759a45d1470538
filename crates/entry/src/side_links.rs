//! Links to side processes, and the state that they report.
//!
//! A backend server gets new work only while its side process is connected,
//! the side process does not report it as draining, and the platform does not
//! list its VM as leaving. The first of the three to change takes effect.

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

use crate::{shared::Shared, view::BackendRef};

/// Delay before reconnecting to a side process, doubled on each failure.
const RECONNECT_MIN_MS: u64 = 50;
const RECONNECT_MAX_MS: u64 = 2_000;

impl Shared {
    /// The routing policy for the current number of entries.
    pub(crate) fn policy(&self) -> Policy {
        let policy = self.view.load().policy.clone();
        policy.entry_count(self.side_registry.entry_count())
    }

    /// Updates the registry for a new view and connects to new side
    /// processes.
    pub(crate) fn update_side_links(self: &Arc<Self>) {
        let sides = self.view.load().backends_by_side();
        let addresses: Vec<SocketAddr> = sides.keys().copied().collect();
        self.side_registry.set_sides(sides);
        for address in addresses {
            // An open link emits no further connect event, so the presence
            // of new backend servers is set here.
            if let Some(link) = self.links().existing(address) {
                self.mark_present(&link, address);
            }
            if self.side_registry.reserve_link(address) {
                let task = self.clone().maintain_link(address);
                self.spawn(task);
            }
        }
    }

    /// Maintains a link to a side process while the view names it.
    async fn maintain_link(self: Arc<Self>, address: SocketAddr) {
        let mut wait_ms = RECONNECT_MIN_MS;
        while self.side_registry.backends(address).is_some() {
            match self.links().connect(address).await {
                Ok(link) => {
                    wait_ms = RECONNECT_MIN_MS;
                    self.mark_present(&link, address);
                    link.closed().await;
                }
                Err(_) => {
                    self.set_presence(address, Presence::Absent);
                    let delay_ms = fastrand::u64(wait_ms / 2..=wait_ms);
                    Timer::after(Duration::from_millis(delay_ms)).await;
                    wait_ms = (wait_ms * 2).min(RECONNECT_MAX_MS);
                }
            }
        }
        self.side_registry.release_link(address);
    }

    fn mark_present(&self, link: &Link, address: SocketAddr) {
        if self.side_registry.draining_vms.is_draining(link.peer()) {
            self.set_presence(address, Presence::Leaving);
            return;
        }
        let since_ms = self.clock.now_ms();
        for backend in self.side_registry.backends(address).unwrap_or_default()
        {
            let live = &backend.service.live;
            // A backend server that is joining keeps its ramp-up.
            if live.presence(backend.index) == Presence::Absent {
                live.set_presence(
                    backend.index,
                    Presence::Joining { since_ms },
                );
            }
        }
    }

    fn set_presence(&self, address: SocketAddr, presence: Presence) {
        for backend in self.side_registry.backends(address).unwrap_or_default()
        {
            backend.service.live.set_presence(backend.index, presence);
        }
    }

    /// Marks the backend servers of a closed outgoing link as absent.
    pub(crate) fn handle_side_lost(&self, link: &Link, reason: CloseReason) {
        emit(
            Event::LinkLost,
            &[("peer_vm", &link.peer().vm), ("cause", &format!("{reason:?}"))],
        );
        if let Some(address) = link.dialled_address() {
            self.set_presence(address, Presence::Absent);
            self.side_registry.remove_entry_count(address);
        }
    }

    /// Applies the status that a side process reports.
    pub(crate) fn handle_side_status(&self, link: &Link, status: &Status) {
        if let Some(address) = link.dialled_address() {
            self.side_registry.record_entry_count(address, status.entry_count);
        }
        self.apply_side_loads(link, &status.loads);
    }

    /// Applies the load that a side process reports for its backend servers.
    pub(crate) fn apply_side_loads(&self, link: &Link, loads: &[BackendLoad]) {
        let Some(address) = link.dialled_address() else {
            return;
        };
        let backends =
            self.side_registry.backends(address).unwrap_or_default();
        let is_vm_draining =
            self.side_registry.draining_vms.is_draining(link.peer());
        for load in loads {
            let backend = backends
                .iter()
                .find(|b| b.service.fleet.spec(b.index).name == load.backend);
            if let Some(backend) = backend {
                self.apply_load(
                    backend,
                    load,
                    load.is_leaving || is_vm_draining,
                );
            }
        }
    }

    fn apply_load(
        &self,
        backend: &BackendRef,
        load: &BackendLoad,
        is_draining: bool,
    ) {
        let now_ms = self.clock.now_ms();
        let live = &backend.service.live;
        live.record_report(backend.index, &to_report(load), now_ms);
        if is_draining {
            live.set_presence(backend.index, Presence::Leaving);
        } else if live.presence(backend.index) == Presence::Leaving {
            let joining = Presence::Joining { since_ms: now_ms };
            live.set_presence(backend.index, joining);
        }
    }

    /// Applies the platform's list of leaving VMs; `None` if the list could
    /// not be read.
    pub(crate) fn update_draining_vms(
        &self,
        draining: Option<BTreeSet<String>>,
    ) {
        let Some(draining) = draining else {
            self.side_registry.draining_vms.mark_unavailable();
            return;
        };
        let added = self.side_registry.draining_vms.update(draining);
        for link in self.links().open() {
            let peer = link.peer();
            if added.contains(&peer.vm)
                && let Some(address) = link.dialled_address()
                && self.side_registry.draining_vms.is_draining(peer)
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
