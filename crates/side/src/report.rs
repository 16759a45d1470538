//! Status of the process for peers, operators and metrics.

use std::{collections::BTreeSet, sync::atomic::Ordering};

use chestnutreach_protocol::wire::{self, BackendLoad, Status, frame::Body};
use chestnutreach_telemetry::{Event, emit};

use crate::{backend::Backend, node::Shared};

impl Shared {
    /// Sends the status of this process to every peer.
    pub(crate) fn send_status(&self) {
        self.links().broadcast(&self.status());
    }

    pub(crate) fn status(&self) -> Body {
        Body::Status(Status {
            is_leaving: self.is_draining.load(Ordering::Acquire),
            generation: self.generation.load(Ordering::Acquire),
            loads: self.loads(),
            entry_count: self.entry_count(),
        })
    }

    /// Number of entries that have a link to this process. Each VM counts
    /// once, even while a lost link and its replacement are both open.
    fn entry_count(&self) -> u32 {
        let open = self.links().open();
        let peers = open.iter().map(|link| link.peer());
        let vms: BTreeSet<&str> = peers
            .filter(|peer| peer.role() == wire::Role::Entry)
            .map(|peer| peer.vm.as_str())
            .collect();
        vms.len() as u32
    }

    pub(crate) fn loads(&self) -> Vec<BackendLoad> {
        self.backends.values().map(|b| self.backend_load(b)).collect()
    }

    pub(crate) fn backend_load(&self, backend: &Backend) -> BackendLoad {
        let load = backend.slots.load();
        BackendLoad {
            backend: backend.name.clone(),
            running: load.running,
            queued: load.queued,
            pending_tokens: load.pending_tokens,
            prompt_tokens_per_s: load.prompt_tokens_per_s,
            output_tokens_per_s: load.output_tokens_per_s,
            cache_used_permille: 0,
            is_healthy: backend.is_healthy(),
            queue_wait_ms: load.queue_wait_ms.min(u32::MAX.into()) as u32,
            is_leaving: self.is_draining.load(Ordering::Acquire)
                || backend.is_draining(),
        }
    }

    /// Counts and logs a refused step.
    pub(crate) fn record_refused_step(&self, reason: &'static str) {
        self.metrics.record_step_refused(reason);
        emit(Event::StepRefused, &[("reason", &reason)]);
    }

    /// Updates the gauges of the backend servers.
    pub(crate) fn update_gauges(&self) {
        let mut records = 0;
        for backend in self.backends.values() {
            records += backend.table().len();
            let load = backend.slots.load();
            let metrics = &backend.metrics;
            metrics.is_healthy.set(backend.is_healthy().into());
            metrics.running.set(load.running.into());
            metrics.queued.set(load.queued.into());
            metrics.queue_tokens.set(load.pending_tokens as i64);
        }
        self.metrics.run_once_records.set(records as i64);
    }
}

pub(crate) fn load_status(load: &BackendLoad) -> serde_json::Value {
    serde_json::json!({
        "name": load.backend,
        "running": load.running,
        "queued": load.queued,
        "pending_tokens": load.pending_tokens,
        "is_healthy": load.is_healthy,
        "is_leaving": load.is_leaving,
    })
}
