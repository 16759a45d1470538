//! The process as a whole.

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
    api, session_event::SessionEvent, shared::Shared, stop::Left, view::View,
};

/// The role `entry` of a process; clones are handles to the same one.
#[derive(Clone)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// What an entry is made of.
pub struct EntryParts {
    /// Its settings.
    pub settings: EntrySettings,
    /// Who it is.
    pub identity: Identity,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
    /// What peers tell of the manifest.
    pub heard: Arc<PeerReports>,
    /// Claims of keyed requests.
    pub claims: ClaimStore,
    /// Runs its tasks.
    pub executor: Arc<Executor<'static>>,
    /// Where callers connect.
    pub http: Async<TcpListener>,
    /// Where other processes of the system connect.
    pub inner: Async<TcpListener>,
}

impl Entry {
    /// Starts the role; it serves nothing until a manifest is applied.
    pub fn start(parts: EntryParts) -> Entry {
        let options =
            chestnutreach_node::links::options(&parts.settings.node.links);
        let shared = Arc::new(Shared::new(
            parts.settings,
            parts.metrics,
            parts.heard,
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
        shared.follow_sides();
    }

    /// Takes over which VMs the platform lists as leaving; none when the
    /// list does not answer.
    pub fn set_vms_leaving(&self, vms: Option<BTreeSet<String>>) {
        self.shared.vms_leaving(vms);
    }

    /// Closes callers' connections after their next answer from now on.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.stop.set_leaving(is_leaving);
    }

    /// Whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.stop.is_leaving()
    }

    /// Takes no more connections of callers, and closes those without a
    /// request, for good.
    pub fn close_callers(&self) {
        self.shared.stop.close_callers();
    }

    /// What is still to be waited for before the process may end.
    pub fn left(&self) -> Left {
        self.shared.stop.left(self.in_flight())
    }

    /// Ends every request that is open with the outcome that is known.
    pub fn cut(&self) {
        self.shared.stop.set_cut();
        self.shared.tell_sessions(|| SessionEvent::Cut);
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// State of the process, for operators.
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
            "is_leaving": self.is_leaving(),
            "in_flight": self.in_flight(),
            "unsettled": self.left().unsettled,
            "entry_count": self.shared.peers.entry_count(),
            "services": services,
        })
    }

    /// The process's links.
    pub fn links(&self) -> &Links {
        self.shared.links()
    }

    /// Generation in force; 0 for none.
    pub fn generation(&self) -> u64 {
        self.shared.view.load().generation
    }

    /// The choices made for a request, as JSON; none when it is not one of
    /// the last requests of this process.
    pub fn recent_choices(&self, request: RequestId) -> Option<String> {
        self.shared.recent.explain(request)
    }

    /// Explains the choice for a described request, as JSON.
    ///
    /// # Errors
    ///
    /// The service is not in the manifest in force.
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
        let need = ChainRequest::new(fleet, live, shape, &policy, now_ms)
            .entry_data_centre(service.data_centre);
        let rng = &mut fastrand::Rng::new();
        let explanation = chestnutreach_routing::explain(&need, rng);
        serde_json::to_string(&explanation).map_err(|e| e.to_string())
    }
}
