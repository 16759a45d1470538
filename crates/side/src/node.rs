//! The process as a whole: its backend servers, requests and links.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{Manifest, settings::SideSettings};
use chestnutreach_node::{Clock, Heard};
use chestnutreach_protocol::{
    Identity, Link, LinkOptions, Links, RequestId,
    wire::{
        self, BackendLoad, FailureReason, RefusalReason, Stage, Status,
        frame::Body,
    },
};
use chestnutreach_telemetry::{Event, Metrics, emit};

use crate::{
    backend::{Backend, PROBE_INTERVAL},
    ended::EndedRuns,
    gate::Waiting,
    run::Run,
    seat::Seat,
};

/// The role `side` of a process; clones are handles to the same one.
#[derive(Clone)]
pub struct Side {
    shared: Arc<Shared>,
}

/// What a side is made of.
pub struct SideParts {
    /// Its settings.
    pub settings: SideSettings,
    /// Who it is.
    pub identity: Identity,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
    /// What peers tell of the manifest.
    pub heard: Arc<Heard>,
    /// Runs its tasks.
    pub executor: Arc<Executor<'static>>,
    /// Where other processes of the system connect.
    pub inner: Async<TcpListener>,
}

/// What all parts of the process share.
pub(crate) struct Shared {
    pub(crate) settings: SideSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) heard: Arc<Heard>,
    pub(crate) backends: BTreeMap<String, Arc<Backend>>,
    executor: Arc<Executor<'static>>,
    links: OnceLock<Links>,
    generation: AtomicU64,
    rights: ArcSwap<Rights>,
    is_leaving: AtomicBool,
    runs: Mutex<BTreeMap<u128, Arc<Run>>>,
    seats: Mutex<BTreeMap<(u128, u32), Arc<Seat>>>,
    ended: Mutex<EndedRuns>,
}

/// Which account may use which service.
type Rights = BTreeMap<String, BTreeSet<String>>;

/// Which backend server a request means, and for whom.
pub(crate) struct Target<'a> {
    pub(crate) stage: &'a Stage,
    pub(crate) service: &'a str,
    pub(crate) account: &'a str,
}

/// Work that a process still holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InFlight {
    /// Requests whose first stage is here.
    pub runs: usize,
    /// Requests whose later stage is here.
    pub seats: usize,
}

impl InFlight {
    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.runs == 0 && self.seats == 0
    }
}

impl Side {
    /// Starts the role on an executor; it serves nothing until a manifest is
    /// applied.
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
            heard: parts.heard,
            backends,
            executor: executor.clone(),
            links: OnceLock::new(),
            generation: AtomicU64::new(0),
            rights: ArcSwap::default(),
            is_leaving: AtomicBool::new(false),
            runs: Mutex::default(),
            seats: Mutex::default(),
            ended: Mutex::default(),
        });
        let handler = {
            let shared = shared.clone();
            Arc::new(move |event| shared.handle(event))
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
        let rights = manifest
            .accounts
            .iter()
            .map(|(name, account)| (name.clone(), account.services.clone()))
            .collect();
        shared.rights.store(Arc::new(rights));
        shared.generation.store(generation, Ordering::Release);
        shared.links().set_generation(generation);
        shared.send_status();
    }

    /// Takes no new work from now on, and says so on every link at once.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.is_leaving.store(is_leaving, Ordering::Release);
        self.shared.send_status();
    }

    /// Likewise for one backend server; false when it is not beside this
    /// process.
    pub fn set_backend_leaving(&self, name: &str, is_leaving: bool) -> bool {
        let Some(backend) = self.shared.backends.get(name) else {
            return false;
        };
        backend.set_leaving(is_leaving);
        self.shared.send_status();
        true
    }

    /// Ends all work that is still held, and tells who asked for it.
    pub fn cut(&self) {
        let shared = &self.shared;
        let detail = "the side process has stopped";
        let runs: Vec<Arc<Run>> =
            shared.lock_runs().values().cloned().collect();
        for run in runs {
            let backend = run.backend.name.clone();
            shared.stop(&run, FailureReason::Stopped, &backend, detail);
        }
        shared.cut_seats(detail);
    }

    /// Generation in force; 0 for none.
    pub fn generation(&self) -> u64 {
        self.shared.generation.load(Ordering::Acquire)
    }

    /// Work still held.
    pub fn in_flight(&self) -> InFlight {
        InFlight {
            runs: self.shared.lock_runs().len(),
            seats: self.shared.lock_seats().len(),
        }
    }

    /// The process's links.
    pub fn links(&self) -> &Links {
        self.shared.links()
    }

    /// Loads of the backend servers at this moment.
    pub fn loads(&self) -> Vec<BackendLoad> {
        self.shared.loads()
    }

    /// State of the process, for operators.
    pub fn status(&self) -> serde_json::Value {
        let held = self.in_flight();
        let backends: Vec<serde_json::Value> =
            self.loads().iter().map(load_status).collect();
        serde_json::json!({
            "vm": self.links().identity().vm,
            "role": "side",
            "boot_id": self.links().identity().boot_id,
            "generation": self.shared.generation.load(Ordering::Acquire),
            "is_leaving": self.is_leaving(None),
            "runs": held.runs,
            "seats": held.seats,
            "backends": backends,
        })
    }

    /// Whether the process or the backend server is leaving.
    pub fn is_leaving(&self, backend: Option<&str>) -> bool {
        let is_leaving = self.shared.is_leaving.load(Ordering::Acquire);
        let backend = backend.and_then(|n| self.shared.backends.get(n));
        is_leaving || backend.is_some_and(|b| b.is_leaving())
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

    pub(crate) fn lock_seats(
        &self,
    ) -> MutexGuard<'_, BTreeMap<(u128, u32), Arc<Seat>>> {
        self.seats.lock().expect("no holder panics")
    }

    pub(crate) fn lock_ended(&self) -> MutexGuard<'_, EndedRuns> {
        self.ended.lock().expect("no holder panics")
    }

    /// The open run of a request.
    pub(crate) fn find_run(&self, id: u128) -> Option<Arc<Run>> {
        self.lock_runs().get(&id).cloned()
    }

    pub(crate) fn any_run(
        &self,
        request: Option<wire::RequestId>,
    ) -> Option<Arc<Run>> {
        self.find_run(RequestId::from(request?).as_u128())
    }

    /// The open run of a request if it is this attempt.
    pub(crate) fn current_run(
        &self,
        request: Option<wire::RequestId>,
        attempt: u32,
    ) -> Option<Arc<Run>> {
        self.any_run(request).filter(|run| run.attempt == attempt)
    }

    /// Forgets an open run, unless a newer attempt has its place.
    pub(crate) fn forget_run(&self, run: &Arc<Run>) {
        let mut runs = self.lock_runs();
        let is_current =
            runs.get(&run.id).is_some_and(|held| Arc::ptr_eq(held, run));
        if is_current {
            runs.remove(&run.id);
        }
    }

    /// The backend server that a request means, if it may run there.
    pub(crate) fn find_target(
        &self,
        target: &Target<'_>,
    ) -> Result<Arc<Backend>, RefusalReason> {
        let stage = target.stage;
        let boot_id = self.links().identity().boot_id;
        if stage.side_boot_id != 0 && stage.side_boot_id != boot_id {
            return Err(RefusalReason::WrongTarget);
        }
        let backend = self.backends.get(&stage.backend);
        let backend = backend.ok_or(RefusalReason::WrongTarget)?;
        let assigned =
            backend.assigned().ok_or(RefusalReason::UnknownService)?;
        if assigned.service != target.service || !self.may_use(target) {
            return Err(RefusalReason::UnknownService);
        }
        let is_range = assigned.first_layer == stage.first_layer
            && assigned.end_layer == stage.end_layer;
        if !is_range {
            return Err(RefusalReason::WrongTarget);
        }
        let is_leaving = self.is_leaving.load(Ordering::Acquire);
        if is_leaving || backend.is_leaving() {
            return Err(RefusalReason::Leaving);
        }
        if !backend.is_healthy() {
            return Err(RefusalReason::BackendDown);
        }
        Ok(backend.clone())
    }

    fn may_use(&self, target: &Target<'_>) -> bool {
        let rights = self.rights.load();
        let services = rights.get(target.account);
        services.is_some_and(|s| s.contains(target.service))
    }

    /// When to come back after a refusal that no queue explains.
    pub(crate) fn retry_after_ms(&self, reason: RefusalReason) -> u64 {
        match reason {
            // Until the next looks at the backend server and the list.
            RefusalReason::BackendDown => {
                let probe_ms = PROBE_INTERVAL.as_millis() as u64;
                probe_ms + fastrand::u64(0..=2 * probe_ms)
            }
            RefusalReason::Leaving => {
                self.settings.node.platform.vm_list_poll_ms
            }
            _ => 0,
        }
    }

    /// Open links to stages, if all are open.
    pub(crate) fn existing_links(
        &self,
        stages: &[Stage],
    ) -> Option<Vec<Link>> {
        let links = self.links();
        stages
            .iter()
            .map(|s| links.existing(s.side_address.parse().ok()?))
            .collect()
    }

    /// Links to stages, dialled where need be.
    ///
    /// # Errors
    ///
    /// Name of the first backend server whose side process was not reached.
    pub(crate) async fn dial_links(
        &self,
        stages: &[Stage],
    ) -> Result<Vec<Link>, String> {
        let mut dialled = Vec::with_capacity(stages.len());
        for stage in stages {
            let unreachable = || stage.backend.clone();
            let address: SocketAddr =
                stage.side_address.parse().map_err(|_| unreachable())?;
            let link = self.links().connect(address).await;
            dialled.push(link.map_err(|_| unreachable())?);
        }
        Ok(dialled)
    }

    /// Gives a place back and lets what waited for it go on.
    pub(crate) fn free_place(
        self: &Arc<Self>,
        backend: &Backend,
        cost_tokens: u64,
    ) {
        let now_ms = self.clock.now_ms();
        match backend.gate.give_back(cost_tokens, now_ms) {
            Some(Waiting::Run(run)) => self.reserve(&run),
            Some(Waiting::Seat(seat)) => self.seat_placed(&seat),
            None => {}
        }
    }

    /// Tells every peer the state of this process.
    pub(crate) fn send_status(&self) {
        self.links().broadcast(&self.status());
    }

    pub(crate) fn status(&self) -> Body {
        Body::Status(Status {
            is_leaving: self.is_leaving.load(Ordering::Acquire),
            generation: self.generation.load(Ordering::Acquire),
            loads: self.loads(),
            entry_count: self.entry_count(),
        })
    }

    /// Entries that have a link to this process. Each VM counts once, also
    /// while a lost link and its successor are both still open.
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
        let load = backend.gate.load();
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
            is_leaving: self.is_leaving.load(Ordering::Acquire)
                || backend.is_leaving(),
        }
    }

    /// Counts a step that was not taken.
    pub(crate) fn note_refused_step(&self, reason: &'static str) {
        self.metrics.step_refused(reason);
        emit(Event::StepRefused, &[("reason", &reason)]);
    }

    /// Sets the gauges of the backend servers.
    pub(crate) fn note_gauges(&self) {
        let mut records = 0;
        for backend in self.backends.values() {
            records += backend.table().len();
            let load = backend.gate.load();
            let metrics = &backend.metrics;
            metrics.is_healthy.set(backend.is_healthy().into());
            metrics.running.set(load.running.into());
            metrics.queued.set(load.queued.into());
            metrics.queue_tokens.set(load.pending_tokens as i64);
        }
        self.metrics.run_once_records.set(records as i64);
    }
}

fn load_status(load: &BackendLoad) -> serde_json::Value {
    serde_json::json!({
        "name": load.backend,
        "running": load.running,
        "queued": load.queued,
        "pending_tokens": load.pending_tokens,
        "is_healthy": load.is_healthy,
        "is_leaving": load.is_leaving,
    })
}

fn link_options(settings: &SideSettings) -> LinkOptions {
    chestnutreach_node::links::options(&settings.node.links)
}
