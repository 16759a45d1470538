//! The entry process as a whole.

use std::{collections::BTreeSet, net::TcpListener, sync::Arc};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{Manifest, settings::EntrySettings};
use chestnutreach_node::PeerReports;
use chestnutreach_platform::ClaimStore;
use chestnutreach_protocol::{Identity, Links, RequestId};
use chestnutreach_routing::{ChainRequest, RequestShape};
use chestnutreach_telemetry::Metrics;

use crate::{
    api, session_event::SessionEvent, shared::Shared, shutdown::RemainingWork,
    view::View,
};

/// The role `entry` of a process; clones are handles to the same entry.
#[derive(Clone)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// Dependencies of an entry.
pub struct EntryParts {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Identity that the entry presents to its peers.
    pub identity: Identity,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// What peers report about the manifest.
    pub peer_reports: Arc<PeerReports>,
    /// Store for the claims of idempotency keys.
    pub claims: ClaimStore,
    /// Executor for the entry's tasks.
    pub executor: Arc<Executor<'static>>,
    /// Listener for HTTP connections of callers.
    pub http: Async<TcpListener>,
    /// Listener for links of other processes of the system.
    pub inner: Async<TcpListener>,
}

impl Entry {
    /// Starts the role. It refuses all requests until a manifest is applied.
    pub fn start(parts: EntryParts) -> Entry {
        let options =
            chestnutreach_node::links::options(&parts.settings.node.links);
        let shared = Arc::new(Shared::new(
            parts.settings,
            parts.metrics,
            parts.peer_reports,
            parts.claims,
            parts.executor.clone(),
        ));
        let handler = {
            let shared = shared.clone();
            Arc::new(move |event| shared.handle(event))
        };
        let links =
            Links::new(parts.identity, options, parts.executor, handler);
        shared.set_links(links.clone());
        links.listen(parts.inner);
        shared.spawn(api::serve(shared.clone(), parts.http));
        Entry { shared }
    }

    /// Puts a manifest in force.
    pub fn apply(&self, generation: u64, manifest: &Manifest) {
        let shared = &self.shared;
        let old = shared.view.load();
        let view = View::new(
            generation,
            manifest,
            &shared.settings.node.data_centre,
            shared.settings.retry_budget_percent,
            &old,
        );
        shared.view.store(Arc::new(view));
        shared.links().set_generation(generation);
        shared.update_side_links();
    }

    /// Sets the VMs that the platform lists as leaving; `None` if the list
    /// could not be read.
    pub fn set_draining_vms(&self, vms: Option<BTreeSet<String>>) {
        self.shared.update_draining_vms(vms);
    }

    /// Sets whether connections of callers are closed after their next
    /// response.
    pub fn set_draining(&self, is_draining: bool) {
        self.shared.shutdown.set_draining(is_draining);
    }

    /// Whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.shared.shutdown.is_draining()
    }

    /// Stops accepting connections of callers and closes idle ones. This
    /// cannot be undone.
    pub fn stop_accepting(&self) {
        self.shared.shutdown.stop_accepting();
    }

    /// Work that must finish before the process can exit.
    pub fn remaining_work(&self) -> RemainingWork {
        self.shared.shutdown.remaining_work(self.in_flight())
    }

    /// Ends all open requests with the outcome known so far.
    pub fn abort_requests(&self) {
        self.shared.shutdown.set_aborting();
        self.shared.notify_sessions(|| SessionEvent::Abort);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Status of the process for operators, as JSON.
    pub fn status(&self) -> serde_json::Value {
        let view = self.shared.view.load();
        let now_ms = self.shared.clock.now_ms();
        let services: serde_json::Map<String, serde_json::Value> = view
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.status(now_ms)))
            .collect();
        serde_json::json!({
            "vm": self.links().identity().vm,
            "role": "entry",
            "boot_id": self.links().identity().boot_id,
            "generation": view.generation,
            "is_leaving": self.is_draining(),
            "in_flight": self.in_flight(),
            "unsettled": self.remaining_work().unsettled_claims,
            "entry_count": self.shared.side_registry.entry_count(),
            "services": services,
        })
    }

    /// Links of the process.
    pub fn links(&self) -> &Links {
        self.shared.links()
    }

    /// Manifest generation in force; 0 if none is.
    pub fn generation(&self) -> u64 {
        self.shared.view.load().generation
    }

    /// Routing choices made for a request, as JSON; `None` if the request is
    /// not among the recent requests of this process.
    pub fn recent_choices(&self, request: RequestId) -> Option<String> {
        self.shared.recent_requests.explain(request)
    }

    /// Explains the routing choice for a hypothetical request, as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the service is not in the manifest in force.
    pub fn explain(
        &self,
        service: &str,
        shape: &RequestShape,
    ) -> Result<String, String> {
        let view = self.shared.view.load();
        let Some(service) = view.services.get(service) else {
            return Err(format!("service {service:?} is not known"));
        };
        let policy = self.shared.policy();
        let now_ms = self.shared.clock.now_ms();
        let (fleet, live) = (&service.fleet, &service.live);
        let chain_request =
            ChainRequest::new(fleet, live, shape, &policy, now_ms)
                .entry_data_centre(service.data_centre);
        let rng = &mut fastrand::Rng::new();
        let explanation = chestnutreach_routing::explain(&chain_request, rng);
        serde_json::to_string(&explanation).map_err(|e| e.to_string())
    }
}
