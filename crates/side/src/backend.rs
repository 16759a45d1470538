//! One backend server: what it serves, who waits for it, whether it answers.

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
    gate::{Gate, ServerCapacity},
    node::Shared,
    rest::Rest,
    steps::{Batch, Owner, QueuedStep, StepQueue},
};

/// How often a backend server that does not answer is asked again, and one
/// with a call outstanding is asked whether it is still there.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Missed answers in a row after which a call is given up.
const PROBE_MISSES: u32 = 2;
/// Least rest of an engine: steps that wait would go to one that asks for
/// none again and again.
const LEAST_REST: Duration = Duration::from_millis(100);
/// Guess of a speed that nobody states: nothing is too late by it.
const UNKNOWN: f64 = 1e9;
/// Sequences freed in one call.
const RELEASE_BATCH: usize = 256;

/// What the manifest has a backend server do.
pub(crate) struct Assigned {
    pub(crate) service: String,
    pub(crate) first_layer: u32,
    pub(crate) end_layer: u32,
    pub(crate) server: Server,
}

/// How the backend server is spoken to.
pub(crate) enum Server {
    /// An engine that holds a range of layers.
    Engine(Arc<EngineClient>),
    /// A plain service.
    Plain(Arc<Client>),
}

/// A backend server beside this process.
pub(crate) struct Backend {
    pub(crate) name: String,
    address: SocketAddr,
    assigned: ArcSwapOption<Assigned>,
    pub(crate) gate: Gate,
    pub(crate) steps: StepQueue,
    pub(crate) metrics: Arc<BackendMetrics>,
    pub(crate) rest: Rest,
    table: Mutex<RunOnceTable>,
    is_healthy: AtomicBool,
    is_leaving: AtomicBool,
    releases: async_channel::Sender<SequenceId>,
    released: async_channel::Receiver<SequenceId>,
}

impl Backend {
    pub(crate) fn new(
        name: &str,
        address: SocketAddr,
        settings: &SideSettings,
        metrics: Arc<BackendMetrics>,
    ) -> Backend {
        let (releases, released) = async_channel::unbounded();
        let table = RunOnceTable::new(
            settings.run_once_capacity,
            settings.run_once_retention_ms,
        );
        Backend {
            name: name.to_owned(),
            address,
            assigned: ArcSwapOption::empty(),
            gate: Gate::new(settings.queue_limit_tokens),
            steps: StepQueue::new(settings.engine_calls),
            metrics,
            rest: Rest::default(),
            table: Mutex::new(table),
            is_healthy: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            releases,
            released,
        }
    }

    pub(crate) fn assigned(&self) -> Option<Arc<Assigned>> {
        self.assigned.load_full()
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, RunOnceTable> {
        self.table.lock().expect("no holder panics")
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.is_healthy.load(Ordering::Acquire)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    pub(crate) fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Release);
    }

    /// Has the engine free what it holds for a sequence, soon.
    pub(crate) fn release_sequence(&self, sequence: SequenceId) {
        let _ = self.releases.try_send(sequence);
    }

    /// Takes over what a manifest says of it; nothing if it says nothing.
    pub(crate) fn apply(&self, manifest: &Manifest) {
        let Some(server) = manifest.backend_servers.get(&self.name) else {
            self.assigned.store(None);
            return;
        };
        let Some(service) = manifest.services.get(&server.service) else {
            return;
        };
        self.apply_places(manifest, server);
        if self.is_assigned_as(server) {
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
        self.assigned.store(Some(Arc::new(Assigned {
            service: server.service.clone(),
            first_layer: server.first_layer,
            end_layer: server.end_layer,
            server: server_client,
        })));
    }

    fn apply_places(&self, manifest: &Manifest, server: &BackendServer) {
        let kind = server.accelerator.as_ref();
        let kind = kind.and_then(|k| manifest.accelerators.get(k));
        let share = layer_share(manifest, server);
        let guess = |whole: u32| f64::from(whole) / share;
        self.gate.set_places(ServerCapacity {
            max_running: server.max_running,
            prompt_tokens_per_s: kind
                .map_or(UNKNOWN, |kind| guess(kind.prompt_tokens_per_s)),
            output_tokens_per_s: kind
                .map_or(UNKNOWN, |kind| guess(kind.output_tokens_per_s)),
        });
        for (name, account) in &manifest.accounts {
            if account.services.contains(&server.service) {
                self.gate.set_weight(name, account.weight);
            }
        }
    }

    /// Learns the speed from a call that was answered.
    fn note_call(
        &self,
        steps: &[SequenceStep],
        results: &EngineResults,
        is_first: bool,
        started: Instant,
    ) {
        let took = started.elapsed();
        self.metrics.steps.inc_by(steps.len() as u64);
        self.metrics.step_time.observe(took.as_secs_f64());
        let took_ms = took.as_secs_f64() * 1_000.0;
        let spans = results
            .iter()
            .flatten()
            .map(|output| output.span.saturating_sub(output.cached_tokens));
        if is_first {
            let longest = spans.clone().max().unwrap_or(0);
            let tokens = spans.map(u64::from).sum();
            self.gate.learn_prompt(longest, tokens, took_ms);
        } else {
            self.gate.learn_step(steps.len() as u32, took_ms);
        }
    }

    fn is_assigned_as(&self, server: &BackendServer) -> bool {
        self.assigned().is_some_and(|a| {
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
                backend.steps.first_call_ended();
            }
        }
    }

    async fn run_batch(self: &Arc<Self>, backend: &Arc<Backend>, b: Batch) {
        let is_first = b.is_first;
        let rest = backend.rest.left();
        if rest > Duration::ZERO {
            self.put_off(backend, b.steps, &EngineError::at_rest(rest));
            return;
        }
        let (owners, steps): (Vec<Owner>, Vec<SequenceStep>) =
            b.steps.into_iter().map(|s| (s.owner, s.step)).unzip();
        backend.metrics.batch_size.observe(steps.len() as f64);
        let started = Instant::now();
        match self.call_engine(backend, &steps, is_first).await {
            Ok(results) => {
                backend.note_call(&steps, &results, is_first, started);
                for ((owner, step), result) in
                    owners.iter().zip(&steps).zip(results)
                {
                    let at = step.position;
                    match owner {
                        Owner::Run(run) => self.own_step_done(run, at, result),
                        Owner::Seat(seat) => {
                            self.seat_step_done(seat, at, result);
                        }
                    }
                }
            }
            Err(error) if let Some(rest) = error.rest() => {
                self.take_rest(backend, rest.max(LEAST_REST));
                let steps = owners.into_iter().zip(steps);
                let steps = steps.map(|(owner, step)| QueuedStep {
                    owner,
                    step,
                    is_first,
                });
                self.put_off(backend, steps.collect(), &error);
            }
            Err(error) => {
                self.note_down(backend, &error);
                for owner in &owners {
                    self.lose_step(owner, is_first, &error);
                }
            }
        }
    }

    /// Ends what a step belongs to that has no result.
    pub(crate) fn lose_step(
        self: &Arc<Self>,
        owner: &Owner,
        is_first: bool,
        error: &EngineError,
    ) {
        match owner {
            Owner::Run(run) => self.own_step_lost(run, is_first, error),
            Owner::Seat(seat) => self.seat_step_lost(seat, error),
        }
    }

    async fn call_engine(
        &self,
        backend: &Backend,
        steps: &[SequenceStep],
        is_first: bool,
    ) -> Result<EngineResults, EngineError> {
        let assigned = backend.assigned();
        let Some((assigned, engine)) =
            assigned.as_ref().and_then(|a| match &a.server {
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
        let (first, end) = (assigned.first_layer, assigned.end_layer);
        let call = engine.infer(first, end, steps, timeout);
        call.or(watch_engine(backend, engine)).await
    }

    /// Notes that a backend server does not answer, and asks it until it
    /// does.
    pub(crate) fn note_down(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        error: &dyn std::fmt::Display,
    ) {
        if self.go_down(backend) {
            emit(
                Event::BackendDown,
                &[("backend", &backend.name), ("error", error)],
            );
        }
    }

    /// Has a backend server count as down until it answers, which it is not
    /// asked while it is at rest; false if it is down.
    pub(crate) fn go_down(self: &Arc<Self>, backend: &Arc<Backend>) -> bool {
        if !backend.is_healthy.swap(false, Ordering::AcqRel) {
            return false;
        }
        self.send_status();
        let (side, backend) = (self.clone(), backend.clone());
        self.spawn(async move {
            backend.rest.over().await;
            while !is_back(&backend).await {
                Timer::after(PROBE_INTERVAL).await;
                backend.rest.over().await;
            }
            backend.is_healthy.store(true, Ordering::Release);
            backend.resume_steps();
            emit(Event::BackendBack, &[("backend", &backend.name)]);
            side.send_status();
        });
        true
    }
}

/// Share of a service's layers that a backend server holds.
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

/// An engine's answers to the steps of one call, in order.
pub(crate) type EngineResults = Vec<
    Result<
        chestnutreach_engine::SequenceOutput,
        chestnutreach_engine::SequenceError,
    >,
>;

/// Ends with an error when an engine stops answering at all: a frozen engine
/// is noticed long before the time that a long prompt may take.
async fn watch_engine(
    backend: &Backend,
    engine: &EngineClient,
) -> Result<EngineResults, EngineError> {
    let mut misses = 0;
    while misses < PROBE_MISSES {
        Timer::after(PROBE_INTERVAL).await;
        backend.rest.over().await;
        misses = match look(backend, engine).await {
            Look::Ready | Look::AtRest => 0,
            Look::Missed => misses + 1,
        };
    }
    let limit_ms = PROBE_INTERVAL.as_millis() as u64 * u64::from(misses) * 2;
    let address = engine.address();
    Err(EngineError::Timeout(ClientError::Timeout { address, limit_ms }))
}

/// What a look at an engine showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Look {
    Ready,
    /// It is there and asked for rest.
    AtRest,
    /// It is not ready, or did not say so in time.
    Missed,
}

async fn look(backend: &Backend, engine: &EngineClient) -> Look {
    let asked = async { Some(engine.ready().await) };
    let limit = async {
        Timer::after(PROBE_INTERVAL).await;
        None
    };
    match asked.or(limit).await {
        Some(Ok(())) => Look::Ready,
        Some(Err(error)) => match error.rest() {
            Some(rest) => {
                backend.note_rest(rest);
                Look::AtRest
            }
            None => Look::Missed,
        },
        None => Look::Missed,
    }
}

async fn is_back(backend: &Backend) -> bool {
    match backend.assigned().as_deref() {
        Some(Assigned { server: Server::Engine(engine), .. }) => {
            look(backend, engine).await == Look::Ready
        }
        // A plain service has no common health check; that it takes a
        // connection is what can be asked without running anything.
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
    while let Ok(first) = backend.released.recv().await {
        let mut batch = vec![first];
        while batch.len() < RELEASE_BATCH
            && let Ok(next) = backend.released.try_recv()
        {
            batch.push(next);
        }
        backend.rest.over().await;
        if let Some(assigned) = backend.assigned()
            && let Server::Engine(engine) = &assigned.server
        {
            // An engine that does not answer has lost its sequences anyway.
            let _ = engine.release(&batch).await;
        }
    }
}
