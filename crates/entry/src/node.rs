//! The process as a whole: its view, requests and links.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::TcpListener,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{Manifest, settings::EntrySettings};
use chestnutreach_node::{Clock, Heard};
use chestnutreach_platform::ClaimStore;
use chestnutreach_protocol::{
    CloseReason, Identity, Link, LinkEvent, Links, RequestId,
    wire::{self, frame::Body},
};
use chestnutreach_routing::{ChainNeed, Shape};
use chestnutreach_telemetry::{Event, Metrics, emit};

use crate::{
    api,
    outage::Outage,
    peers::Peers,
    recent::Recent,
    session::SessionEvent,
    stop::{Left, Stop},
    view::View,
};

/// Parts of the map of open requests, each under a lock of its own.
const SESSION_SHARDS: usize = 16;

/// The role `entry` of a process; clones are handles to the same one.
#[derive(Clone)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// What all parts of the process share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    heard: Arc<Heard>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) peers: Peers,
    pub(crate) claims: ClaimStore,
    pub(crate) store_outage: Outage,
    pub(crate) recent: Recent,
    executor: Arc<Executor<'static>>,
    links: OnceLock<Links>,
    sessions: [Mutex<Sessions>; SESSION_SHARDS],
    in_flight: AtomicUsize,
    pub(crate) stop: Stop,
}

type Sessions = BTreeMap<u128, async_channel::Sender<SessionEvent>>;

/// What an entry is made of.
pub struct EntryParts {
    /// Its settings.
    pub settings: EntrySettings,
    /// Who it is.
    pub identity: Identity,
    /// Where it counts.
    pub metrics: Arc<Metrics>,
    /// What peers tell of the manifest.
    pub heard: Arc<Heard>,
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
        let clock = Clock::new();
        let shared = Arc::new(Shared {
            settings: parts.settings,
            clock,
            store_outage: Outage::new(clock),
            recent: Recent::default(),
            metrics: parts.metrics,
            heard: parts.heard,
            view: ArcSwap::from_pointee(View::empty()),
            peers: Peers::default(),
            claims: parts.claims,
            executor: parts.executor.clone(),
            links: OnceLock::new(),
            sessions: std::array::from_fn(|_| Mutex::default()),
            in_flight: AtomicUsize::new(0),
            stop: Stop::new(),
        });
        let handler = {
            let shared = shared.clone();
            Arc::new(move |event| shared.handle(event))
        };
        let links =
            Links::new(parts.identity, options, parts.executor, handler);
        shared.links.set(links.clone()).ok();
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
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// State of the process, for operators.
    pub fn status(&self) -> serde_json::Value {
        let view = self.shared.view.load();
        let services: serde_json::Map<String, serde_json::Value> = view
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.status()))
            .collect();
        serde_json::json!({
            "vm": self.links().identity().vm,
            "role": "entry",
            "boot_id": self.links().identity().boot_id,
            "generation": view.generation,
            "is_leaving": self.is_leaving(),
            "in_flight": self.in_flight(),
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
        shape: &Shape,
    ) -> Result<String, String> {
        let view = self.shared.view.load();
        let Some(service) = view.services.get(service) else {
            return Err(format!("service {service:?} is not known"));
        };
        let policy = self.shared.policy();
        let now_ms = self.shared.clock.now_ms();
        let (fleet, live) = (&service.fleet, &service.live);
        let need = ChainNeed::new(fleet, live, shape, &policy, now_ms)
            .entry_data_centre(service.data_centre);
        let rng = &mut fastrand::Rng::new();
        let explanation = chestnutreach_routing::explain(&need, rng);
        serde_json::to_string(&explanation).map_err(|e| e.to_string())
    }
}

/// Counts one request in flight until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
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

    /// When to come back after a failure of which nothing else tells: by then
    /// this process has heard anew of every backend server. Spread, so that
    /// callers do not come back together.
    pub(crate) fn come_back_ms(&self) -> u64 {
        let interval_ms = self.settings.node.links.idle_interval_ms;
        interval_ms / 2 + fastrand::u64(0..=interval_ms)
    }

    /// Whether as many requests as allowed are in flight.
    pub(crate) fn is_full(&self) -> bool {
        let limit = self.settings.max_requests_in_flight;
        self.in_flight.load(Ordering::Acquire) >= limit
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { shared: self.clone() }
    }

    /// Sends the frames of a request to this channel.
    pub(crate) fn register(
        &self,
        request: RequestId,
        sender: async_channel::Sender<SessionEvent>,
    ) {
        self.shard(request).insert(request.as_u128(), sender);
    }

    /// Whether a request is under way here.
    pub(crate) fn is_registered(&self, request: RequestId) -> bool {
        self.shard(request).contains_key(&request.as_u128())
    }

    pub(crate) fn unregister(&self, request: RequestId) {
        self.shard(request).remove(&request.as_u128());
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, Sessions> {
        let at = request.as_u128() as usize % SESSION_SHARDS;
        self.sessions[at].lock().expect("no holder panics")
    }

    fn handle(self: &Arc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::Opened(link) => {
                self.heard.met(link.peer());
                emit(Event::LinkOpened, &[("peer_vm", &link.peer().vm)]);
            }
            LinkEvent::Frame(link, body) => self.handle_frame(&link, body),
            LinkEvent::Closed(link, reason) => {
                self.link_closed(&link, reason);
            }
        }
    }

    fn handle_frame(&self, link: &Link, body: Body) {
        let request = match &body {
            Body::Status(m) => {
                self.heard.note(m.generation);
                return self.side_status(link, m);
            }
            Body::Heartbeat(m) => {
                self.heard.note(m.generation);
                return self.side_loads(link, &m.loads);
            }
            Body::Accepted(m) => m.request,
            Body::Output(m) => m.request,
            Body::Finished(m) => {
                self.told_load(link, m.load.as_ref());
                m.request
            }
            Body::Failed(m) => m.request,
            Body::Refused(m) => {
                self.told_load(link, m.load.as_ref());
                m.request
            }
            Body::QueryAnswer(m) => m.request,
            // These are for side processes, or the link has dealt with them.
            _ => return,
        };
        if let Some(request) = request {
            self.route(request, link, body);
        }
    }

    /// A load that came with the end of a request: a link over which frames
    /// flow is never asked for a heartbeat.
    fn told_load(&self, link: &Link, load: Option<&wire::BackendLoad>) {
        if let Some(load) = load {
            self.side_loads(link, std::slice::from_ref(load));
        }
    }

    /// Hands a frame to its request; one that has ended wants none.
    fn route(&self, request: wire::RequestId, link: &Link, body: Body) {
        let request = RequestId::from(request);
        let sender = self.shard(request).get(&request.as_u128()).cloned();
        if let Some(sender) = sender {
            let link_id = link.id();
            let event = SessionEvent::Frame { link_id, body };
            let _ = sender.try_send(event);
        }
    }

    fn link_closed(&self, link: &Link, reason: CloseReason) {
        self.side_lost(link, reason);
        let link_id = link.id();
        self.tell_sessions(|| SessionEvent::Closed { link_id });
    }

    /// Sends an event to every open request.
    fn tell_sessions(&self, event: impl Fn() -> SessionEvent) {
        for shard in &self.sessions {
            let sessions = shard.lock().expect("no holder panics");
            for sender in sessions.values() {
                let _ = sender.try_send(event());
            }
        }
    }
}
