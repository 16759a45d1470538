//! A backend server of this process: its assignment, slots and health.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use async_io::Timer;
use chestnutreach_config::{
    Manifest,
    manifest::{BackendServer, ServiceKind},
    settings::SideSettings,
};
use chestnutreach_engine::{
    EngineClient, EngineError, SequenceId, SequenceStep,
};
use chestnutreach_http::{Client, ClientError, ClientOptions};
use chestnutreach_state::RunOnceTable;
use chestnutreach_telemetry::{Event, emit, metrics::BackendMetrics};
use futures_lite::FutureExt as _;

use crate::{
    cooldown::Cooldown,
    node::Shared,
    slot_queue::{ServerCapacity, SlotQueue},
    steps::{Batch, Owner, QueuedStep, StepQueue},
};

/// Interval of health checks on a backend server that is down, and on an
/// engine while a call to it is pending.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Failed health checks in a row after which a pending call is aborted.
const MAX_FAILED_PROBES: u32 = 2;
/// Minimum cooldown of an engine. Without a minimum, deferred steps would be
/// retried in a tight loop at an engine that requests a cooldown of zero.
const MIN_COOLDOWN: Duration = Duration::from_millis(100);
/// Assumed speed where the manifest states none: so high that no request is
/// refused as too late.
const UNKNOWN_TOKENS_PER_S: f64 = 1e9;
/// Maximum number of sequences released in one call.
const MAX_RELEASE_BATCH: usize = 256;

/// What the manifest assigns to a backend server.
pub(crate) struct Assignment {
    pub(crate) service: String,
    pub(crate) first_layer: u32,
    pub(crate) end_layer: u32,
    pub(crate) server: Server,
}

/// Client for the backend server, by its kind.
pub(crate) enum Server {
    /// An engine that holds a range of layers.
    Engine(Arc<EngineClient>),
    /// A plain service.
    Plain(Arc<Client>),
}

/// A backend server that this process is responsible for.
pub(crate) struct Backend {
    pub(crate) name: String,
    address: SocketAddr,
    assignment: ArcSwapOption<Assignment>,
    pub(crate) slots: SlotQueue,
    pub(crate) steps: StepQueue,
    pub(crate) metrics: Arc<BackendMetrics>,
    pub(crate) cooldown: Cooldown,
    table: Mutex<RunOnceTable>,
    is_healthy: AtomicBool,
    is_draining: AtomicBool,
    release_sender: async_channel::Sender<SequenceId>,
    release_receiver: async_channel::Receiver<SequenceId>,
}

impl Backend {
    pub(crate) fn new(
        name: &str,
        address: SocketAddr,
        settings: &SideSettings,
        metrics: Arc<BackendMetrics>,
    ) -> Backend {
        let (release_sender, release_receiver) = async_channel::unbounded();
        let table = RunOnceTable::new(
            settings.run_once_capacity,
            settings.run_once_retention_ms,
        );
        Backend {
            name: name.to_owned(),
            address,
            assignment: ArcSwapOption::empty(),
            slots: SlotQueue::new(settings.queue_limit_tokens),
            steps: StepQueue::new(settings.engine_calls),
            metrics,
            cooldown: Cooldown::default(),
            table: Mutex::new(table),
            is_healthy: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            release_sender,
            release_receiver,
        }
    }

    pub(crate) fn assignment(&self) -> Option<Arc<Assignment>> {
        self.assignment.load_full()
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, RunOnceTable> {
        self.table.lock().expect("no holder panics")
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.is_healthy.load(Ordering::Acquire)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    pub(crate) fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Release);
    }

    /// Queues a sequence for release on the engine.
    pub(crate) fn release_sequence(&self, sequence: SequenceId) {
        let _ = self.release_sender.try_send(sequence);
    }

    /// Applies a manifest. A backend server that is not in the manifest has no
    /// assignment.
    pub(crate) fn apply(&self, manifest: &Manifest) {
        let Some(server) = manifest.backend_servers.get(&self.name) else {
            self.assignment.store(None);
            return;
        };
        let Some(service) = manifest.services.get(&server.service) else {
            return;
        };
        self.apply_capacity(manifest, server);
        if self.has_assignment(server) {
            return;
        }
        let server_client = match &service.kind {
            ServiceKind::Language { model, .. } => {
                let client = EngineClient::new(self.address, model);
                Server::Engine(Arc::new(client))
            }
            ServiceKind::Plain { .. } => {
                let options = ClientOptions::new();
                Server::Plain(Arc::new(Client::new(self.address, options)))
            }
        };
        self.assignment.store(Some(Arc::new(Assignment {
            service: server.service.clone(),
            first_layer: server.first_layer,
            end_layer: server.end_layer,
            server: server_client,
        })));
    }

    fn apply_capacity(&self, manifest: &Manifest, server: &BackendServer) {
        let kind = server.accelerator.as_ref();
        let kind = kind.and_then(|k| manifest.accelerators.get(k));
        let share = layer_share(manifest, server);
        let scaled_speed = |whole: u32| f64::from(whole) / share;
        self.slots.set_capacity(ServerCapacity {
            max_running: server.max_running,
            prompt_tokens_per_s: kind.map_or(UNKNOWN_TOKENS_PER_S, |kind| {
                scaled_speed(kind.prompt_tokens_per_s)
            }),
            output_tokens_per_s: kind.map_or(UNKNOWN_TOKENS_PER_S, |kind| {
                scaled_speed(kind.output_tokens_per_s)
            }),
        });
        for (name, account) in &manifest.accounts {
            if account.services.contains(&server.service) {
                self.slots.set_weight(name, account.weight);
            }
        }
    }

    /// Records metrics of a successful call and learns the speed from it.
    fn record_call(
        &self,
        steps: &[SequenceStep],
        results: &EngineResults,
        is_first: bool,
        started: Instant,
    ) {
        let elapsed = started.elapsed();
        self.metrics.steps.inc_by(steps.len() as u64);
        self.metrics.step_time.observe(elapsed.as_secs_f64());
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let spans = results
            .iter()
            .flatten()
            .map(|output| output.span.saturating_sub(output.cached_tokens));
        if is_first {
            let longest_span = spans.clone().max().unwrap_or(0);
            let tokens = spans.map(u64::from).sum();
            self.slots.learn_prompt(longest_span, tokens, elapsed_ms);
        } else {
            self.slots.learn_step(steps.len() as u32, elapsed_ms);
        }
    }

    fn has_assignment(&self, server: &BackendServer) -> bool {
        self.assignment().is_some_and(|a| {
            a.service == server.service
                && a.first_layer == server.first_layer
                && a.end_layer == server.end_layer
        })
    }
}

impl Shared {
    /// Starts the tasks that call a backend server's engine.
    pub(crate) fn start_backend(self: &Arc<Self>, backend: &Arc<Backend>) {
        for _ in 0..self.settings.engine_calls {
            let (side, backend) = (self.clone(), backend.clone());
            self.spawn(async move { side.run_steps(&backend).await });
        }
        let backend = backend.clone();
        self.spawn(async move { run_releases(&backend).await });
    }

    async fn run_steps(self: &Arc<Self>, backend: &Arc<Backend>) {
        let limit = self.settings.max_batch;
        loop {
            let batch = backend.steps.next(limit).await;
            let is_first = batch.is_first;
            self.run_batch(backend, batch).await;
            if is_first {
                backend.steps.first_step_call_ended();
            }
        }
    }

    async fn run_batch(self: &Arc<Self>, backend: &Arc<Backend>, b: Batch) {
        let is_first = b.is_first;
        let cooldown = backend.cooldown.remaining();
        if cooldown > Duration::ZERO {
            self.defer_steps(
                backend,
                b.steps,
                &EngineError::in_cooldown(cooldown),
            );
            return;
        }
        let (owners, steps): (Vec<Owner>, Vec<SequenceStep>) =
            b.steps.into_iter().map(|s| (s.owner, s.step)).unzip();
        backend.metrics.batch_size.observe(steps.len() as f64);
        let started = Instant::now();
        match self.call_engine(backend, &steps, is_first).await {
            Ok(results) => {
                backend.record_call(&steps, &results, is_first, started);
                for ((owner, step), result) in
                    owners.iter().zip(&steps).zip(results)
                {
                    let at = step.position;
                    match owner {
                        Owner::Run(run) => {
                            self.first_stage_step_done(run, at, result)
                        }
                        Owner::Reservation(reservation) => {
                            self.later_stage_step_done(
                                reservation,
                                at,
                                result,
                            );
                        }
                    }
                }
            }
            Err(error) if let Some(cooldown) = error.cooldown() => {
                self.enter_cooldown(backend, cooldown.max(MIN_COOLDOWN));
                let steps = owners.into_iter().zip(steps);
                let steps = steps.map(|(owner, step)| QueuedStep {
                    owner,
                    step,
                    is_first,
                });
                self.defer_steps(backend, steps.collect(), &error);
            }
            Err(error) => {
                self.report_down(backend, &error);
                for owner in &owners {
                    self.fail_step(owner, is_first, &error);
                }
            }
        }
    }

    /// Fails or refuses the request of a step that has no result.
    pub(crate) fn fail_step(
        self: &Arc<Self>,
        owner: &Owner,
        is_first: bool,
        error: &EngineError,
    ) {
        match owner {
            Owner::Run(run) => {
                self.first_stage_step_lost(run, is_first, error)
            }
            Owner::Reservation(reservation) => {
                self.later_stage_step_lost(reservation, error)
            }
        }
    }

    async fn call_engine(
        &self,
        backend: &Backend,
        steps: &[SequenceStep],
        is_first: bool,
    ) -> Result<EngineResults, EngineError> {
        let assignment = backend.assignment();
        let Some((assignment, engine)) =
            assignment.as_ref().and_then(|a| match &a.server {
                Server::Engine(engine) => Some((a, engine)),
                Server::Plain(_) => None,
            })
        else {
            let detail = "no longer an engine in the manifest";
            return Err(EngineError::Protocol(detail.to_owned()));
        };
        let timeout_ms = if is_first {
            self.settings.prefill_timeout_ms
        } else {
            self.settings.step_timeout_ms
        };
        let timeout = Duration::from_millis(timeout_ms);
        let (first, end) = (assignment.first_layer, assignment.end_layer);
        let call = engine.infer(first, end, steps, timeout);
        call.or(watch_engine(backend, engine)).await
    }

    /// Marks a backend server as down and logs the error.
    pub(crate) fn report_down(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        error: &dyn std::fmt::Display,
    ) {
        if self.mark_down(backend) {
            emit(
                Event::BackendDown,
                &[("backend", &backend.name), ("error", error)],
            );
        }
    }

    /// Marks a backend server as down until it passes a health check. Health
    /// checks pause during a cooldown. Returns false if the server was down
    /// before.
    pub(crate) fn mark_down(self: &Arc<Self>, backend: &Arc<Backend>) -> bool {
        if !backend.is_healthy.swap(false, Ordering::AcqRel) {
            return false;
        }
        self.send_status();
        let (side, backend) = (self.clone(), backend.clone());
        self.spawn(async move {
            backend.cooldown.wait_until_over().await;
            while !is_reachable(&backend).await {
                Timer::after(PROBE_INTERVAL).await;
                backend.cooldown.wait_until_over().await;
            }
            backend.is_healthy.store(true, Ordering::Release);
            backend.resume_steps();
            emit(Event::BackendBack, &[("backend", &backend.name)]);
            side.send_status();
        });
        true
    }
}

/// Fraction of a service's layers that a backend server holds.
fn layer_share(manifest: &Manifest, server: &BackendServer) -> f64 {
    let service = manifest.services.get(&server.service);
    match service.map(|service| &service.kind) {
        Some(ServiceKind::Language { layer_count, .. }) => {
            let layers = server.end_layer - server.first_layer;
            f64::from(layers) / f64::from(*layer_count)
        }
        _ => 1.0,
    }
}

/// An engine's results for the steps of one call, in order.
pub(crate) type EngineResults = Vec<
    Result<
        chestnutreach_engine::SequenceOutput,
        chestnutreach_engine::SequenceError,
    >,
>;

/// Completes with an error when an engine fails several health checks in a
/// row. A frozen engine is detected long before the timeout of a long prompt.
async fn watch_engine(
    backend: &Backend,
    engine: &EngineClient,
) -> Result<EngineResults, EngineError> {
    let mut failures = 0;
    while failures < MAX_FAILED_PROBES {
        Timer::after(PROBE_INTERVAL).await;
        backend.cooldown.wait_until_over().await;
        failures = match check_readiness(backend, engine).await {
            Readiness::Ready | Readiness::InCooldown => 0,
            Readiness::Failed => failures + 1,
        };
    }
    let limit_ms = PROBE_INTERVAL.as_millis() as u64 * u64::from(failures) * 2;
    let address = engine.address();
    Err(EngineError::Timeout(ClientError::Timeout {
        address,
        limit_ms,
        received_bytes: 0,
    }))
}

/// Result of a health check on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    Ready,
    /// The engine responded and requested a cooldown.
    InCooldown,
    /// The engine is not ready or did not respond before the timeout.
    Failed,
}

async fn check_readiness(
    backend: &Backend,
    engine: &EngineClient,
) -> Readiness {
    let response = async { Some(engine.ready().await) };
    let limit = async {
        Timer::after(PROBE_INTERVAL).await;
        None
    };
    match response.or(limit).await {
        Some(Ok(())) => Readiness::Ready,
        Some(Err(error)) => match error.cooldown() {
            Some(cooldown) => {
                backend.record_cooldown(cooldown);
                Readiness::InCooldown
            }
            None => Readiness::Failed,
        },
        None => Readiness::Failed,
    }
}

async fn is_reachable(backend: &Backend) -> bool {
    match backend.assignment().as_deref() {
        Some(Assignment { server: Server::Engine(engine), .. }) => {
            check_readiness(backend, engine).await == Readiness::Ready
        }
        // There is no common health check for plain services. Connecting is
        // the only check that does not run a request.
        _ => {
            let connect =
                chestnutreach_http::SharedStream::connect(backend.address);
            let limit = async {
                Timer::after(PROBE_INTERVAL).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            connect.or(limit).await.is_ok()
        }
    }
}

async fn run_releases(backend: &Backend) {
    while let Ok(first) = backend.release_receiver.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_RELEASE_BATCH
            && let Ok(next) = backend.release_receiver.try_recv()
        {
            batch.push(next);
        }
        backend.cooldown.wait_until_over().await;
        if let Some(assignment) = backend.assignment()
            && let Server::Engine(engine) = &assignment.server
        {
            // Errors are ignored: an engine that does not respond has lost its
            // sequences anyway.
            let _ = engine.release(&batch).await;
        }
    }
}
