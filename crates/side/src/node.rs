//! The role `side` as a whole: its backend servers, requests and links.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::TcpListener,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{Manifest, settings::SideSettings};
use chestnutreach_node::{Clock, PeerReports};
use chestnutreach_protocol::{
    Identity, LinkOptions, Links, RequestId,
    wire::{self, BackendLoad, FailureReason},
};
use chestnutreach_telemetry::Metrics;

use crate::{
    backend::Backend, ended::EndedRuns, report::load_status,
    reservation::Reservation, run::Run, slot_queue::Waiting,
};

/// The role `side` of a process; clones share the same state.
#[derive(Clone)]
pub struct Side {
    shared: Arc<Shared>,
}

/// Components for [`Side::start`].
pub struct SideParts {
    /// Settings of the process.
    pub settings: SideSettings,
    /// Identity of the process towards its peers.
    pub identity: Identity,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Manifest generations that peers report.
    pub peer_reports: Arc<PeerReports>,
    /// Executor for the tasks of the role.
    pub executor: Arc<Executor<'static>>,
    /// Listener for links of other processes of the system.
    pub inner: Async<TcpListener>,
}

/// State shared by all tasks of the role.
pub(crate) struct Shared {
    pub(crate) settings: SideSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peer_reports: Arc<PeerReports>,
    pub(crate) backends: BTreeMap<String, Arc<Backend>>,
    executor: Arc<Executor<'static>>,
    links: OnceLock<Links>,
    pub(crate) generation: AtomicU64,
    pub(crate) permissions: ArcSwap<Permissions>,
    pub(crate) is_draining: AtomicBool,
    runs: Mutex<BTreeMap<u128, Arc<Run>>>,
    reservations: Mutex<BTreeMap<(u128, u32), Arc<Reservation>>>,
    ended: Mutex<EndedRuns>,
}

/// Services that each client account may use.
pub(crate) type Permissions = BTreeMap<String, BTreeSet<String>>;

/// Requests that a process has not finished yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InFlight {
    /// Requests whose first stage runs here.
    pub runs: usize,
    /// Reservations for requests of which a later stage runs here.
    pub reservations: usize,
}

impl InFlight {
    /// Whether no requests are left.
    pub fn is_empty(&self) -> bool {
        self.runs == 0 && self.reservations == 0
    }
}

impl Side {
    /// Starts the role. All requests are refused until a manifest is applied.
    pub fn start(parts: SideParts) -> Side {
        let SideParts { settings, metrics, executor, .. } = parts;
        let backends = settings
            .backends
            .iter()
            .map(|b| {
                let backend = Backend::new(
                    &b.name,
                    b.address,
                    &settings,
                    metrics.backend(&b.name),
                );
                (b.name.clone(), Arc::new(backend))
            })
            .collect();
        let options = link_options(&settings);
        let shared = Arc::new(Shared {
            settings,
            clock: Clock::new(),
            metrics,
            peer_reports: parts.peer_reports,
            backends,
            executor: executor.clone(),
            links: OnceLock::new(),
            generation: AtomicU64::new(0),
            permissions: ArcSwap::default(),
            is_draining: AtomicBool::new(false),
            runs: Mutex::default(),
            reservations: Mutex::default(),
            ended: Mutex::default(),
        });
        let handler = {
            let shared = shared.clone();
            Arc::new(move |event| shared.handle_link_event(event))
        };
        let links = Links::new(parts.identity, options, executor, handler);
        shared.links.set(links.clone()).ok();
        for backend in shared.backends.values() {
            shared.start_backend(backend);
        }
        shared.spawn(shared.clone().sweep());
        links.listen(parts.inner);
        Side { shared }
    }

    /// Puts a manifest in force.
    pub fn apply(&self, generation: u64, manifest: &Manifest) {
        let shared = &self.shared;
        for backend in shared.backends.values() {
            backend.apply(manifest);
        }
        let permissions = manifest
            .accounts
            .iter()
            .map(|(name, account)| (name.clone(), account.services.clone()))
            .collect();
        shared.permissions.store(Arc::new(permissions));
        shared.generation.store(generation, Ordering::Release);
        shared.links().set_generation(generation);
        shared.send_status();
    }

    /// Sets whether the process is draining and sends the new status on every
    /// link. A draining process accepts no new requests.
    pub fn set_draining(&self, is_draining: bool) {
        self.shared.is_draining.store(is_draining, Ordering::Release);
        self.shared.send_status();
    }

    /// Sets whether one backend server is draining. Returns false if this
    /// process has no such backend server.
    pub fn set_backend_draining(&self, name: &str, is_draining: bool) -> bool {
        let Some(backend) = self.shared.backends.get(name) else {
            return false;
        };
        backend.set_draining(is_draining);
        self.shared.send_status();
        true
    }

    /// Aborts all requests and reports the failure to their entries and first
    /// stages.
    pub fn abort_requests(&self) {
        let shared = &self.shared;
        let detail = "the side process has stopped";
        let runs: Vec<Arc<Run>> =
            shared.lock_runs().values().cloned().collect();
        for run in runs {
            let backend = run.backend.name.clone();
            shared.stop(&run, FailureReason::Stopped, &backend, detail);
        }
        shared.abort_reservations(detail);
    }

    /// Manifest generation in force; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.shared.generation.load(Ordering::Acquire)
    }

    /// Requests that are not finished yet.
    pub fn in_flight(&self) -> InFlight {
        InFlight {
            runs: self.shared.lock_runs().len(),
            reservations: self.shared.lock_reservations().len(),
        }
    }

    /// The process's links.
    pub fn links(&self) -> &Links {
        self.shared.links()
    }

    /// Current loads of the backend servers.
    pub fn loads(&self) -> Vec<BackendLoad> {
        self.shared.loads()
    }

    /// Status of the process, for operators.
    pub fn status(&self) -> serde_json::Value {
        let held = self.in_flight();
        let backends: Vec<serde_json::Value> =
            self.loads().iter().map(load_status).collect();
        serde_json::json!({
            "vm": self.links().identity().vm,
            "role": "side",
            "boot_id": self.links().identity().boot_id,
            "generation": self.shared.generation.load(Ordering::Acquire),
            "is_leaving": self.is_draining(None),
            "runs": held.runs,
            "seats": held.reservations,
            "backends": backends,
        })
    }

    /// Whether the process, or the given backend server, is draining.
    pub fn is_draining(&self, backend: Option<&str>) -> bool {
        let is_draining = self.shared.is_draining.load(Ordering::Acquire);
        let backend = backend.and_then(|n| self.shared.backends.get(n));
        is_draining || backend.is_some_and(|b| b.is_draining())
    }
}

impl Shared {
    pub(crate) fn links(&self) -> &Links {
        self.links.get().expect("set before anything is served")
    }

    pub(crate) fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.executor.spawn(task).detach();
    }

    pub(crate) fn lock_runs(
        &self,
    ) -> MutexGuard<'_, BTreeMap<u128, Arc<Run>>> {
        self.runs.lock().expect("no holder panics")
    }

    pub(crate) fn lock_reservations(
        &self,
    ) -> MutexGuard<'_, BTreeMap<(u128, u32), Arc<Reservation>>> {
        self.reservations.lock().expect("no holder panics")
    }

    pub(crate) fn lock_ended(&self) -> MutexGuard<'_, EndedRuns> {
        self.ended.lock().expect("no holder panics")
    }

    /// The active run of a request.
    pub(crate) fn find_run(&self, id: u128) -> Option<Arc<Run>> {
        self.lock_runs().get(&id).cloned()
    }

    pub(crate) fn find_run_by_wire_id(
        &self,
        request: Option<wire::RequestId>,
    ) -> Option<Arc<Run>> {
        self.find_run(RequestId::from(request?).as_u128())
    }

    /// The active run of a request if its attempt is `attempt`.
    pub(crate) fn current_run(
        &self,
        request: Option<wire::RequestId>,
        attempt: u32,
    ) -> Option<Arc<Run>> {
        self.find_run_by_wire_id(request).filter(|run| run.attempt == attempt)
    }

    /// Removes an active run, unless a newer attempt has replaced it.
    pub(crate) fn remove_run(&self, run: &Arc<Run>) {
        let mut runs = self.lock_runs();
        let is_current =
            runs.get(&run.id).is_some_and(|held| Arc::ptr_eq(held, run));
        if is_current {
            runs.remove(&run.id);
        }
    }

    /// Releases a slot and admits the next waiting request.
    pub(crate) fn release_slot(
        self: &Arc<Self>,
        backend: &Backend,
        cost_tokens: u64,
    ) {
        let now_ms = self.clock.now_ms();
        match backend.slots.release(cost_tokens, now_ms) {
            Some(Waiting::Run(run)) => self.reserve(&run),
            Some(Waiting::Reservation(reservation)) => {
                self.reservation_admitted(&reservation)
            }
            None => {}
        }
    }
}

fn link_options(settings: &SideSettings) -> LinkOptions {
    chestnutreach_node::links::options(&settings.node.links)
}
