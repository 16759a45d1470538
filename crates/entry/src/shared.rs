//! State shared by all modules: view, open requests and links.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_executor::Executor;
use chestnutreach_config::settings::EntrySettings;
use chestnutreach_node::{Clock, PeerReports};
use chestnutreach_platform::ClaimStore;
use chestnutreach_protocol::{
    CloseReason, Link, LinkEvent, Links, RequestId,
    wire::{self, frame::Body},
};
use chestnutreach_telemetry::{Event, Metrics, emit};

use crate::{
    outage::Outage, recent_requests::RecentRequests,
    session_event::SessionEvent, shutdown::Shutdown,
    side_registry::SideRegistry, view::View,
};

/// Shards of the map of open requests, each with its own lock.
const SESSION_SHARDS: usize = 16;

/// State shared by all modules of the entry.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    peer_reports: Arc<PeerReports>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) side_registry: SideRegistry,
    pub(crate) claims: ClaimStore,
    pub(crate) store_outage: Outage,
    pub(crate) recent_requests: RecentRequests,
    executor: Arc<Executor<'static>>,
    links: OnceLock<Links>,
    sessions: [Mutex<Sessions>; SESSION_SHARDS],
    in_flight: AtomicUsize,
    pub(crate) shutdown: Shutdown,
}

type Sessions = BTreeMap<u128, async_channel::Sender<SessionEvent>>;

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Creates the state; the links must be set before anything is served.
    pub(crate) fn new(
        settings: EntrySettings,
        metrics: Arc<Metrics>,
        peer_reports: Arc<PeerReports>,
        claims: ClaimStore,
        executor: Arc<Executor<'static>>,
    ) -> Shared {
        let clock = Clock::new();
        Shared {
            settings,
            clock,
            store_outage: Outage::new(clock),
            recent_requests: RecentRequests::default(),
            metrics,
            peer_reports,
            view: ArcSwap::from_pointee(View::empty()),
            side_registry: SideRegistry::default(),
            claims,
            executor,
            links: OnceLock::new(),
            sessions: std::array::from_fn(|_| Mutex::default()),
            in_flight: AtomicUsize::new(0),
            shutdown: Shutdown::new(),
        }
    }

    /// Sets the links. Must be called once, before anything is served.
    pub(crate) fn set_links(&self, links: Links) {
        self.links.set(links).ok();
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn links(&self) -> &Links {
        self.links.get().expect("set before anything is served")
    }

    pub(crate) fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.executor.spawn(task).detach();
    }

    /// Retry delay for a failure that suggests none: on average one idle
    /// interval, in which the backend servers report their state again. The
    /// jitter keeps callers from retrying at the same time.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let interval_ms = self.settings.node.links.idle_interval_ms;
        interval_ms / 2 + fastrand::u64(0..=interval_ms)
    }

    /// Whether the limit on requests in flight is reached.
    pub(crate) fn is_full(&self) -> bool {
        let limit = self.settings.max_requests_in_flight;
        self.in_flight() >= limit
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn count_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { shared: self.clone() }
    }

    /// Registers the channel that receives the events of a request.
    pub(crate) fn register(
        &self,
        request: RequestId,
        sender: async_channel::Sender<SessionEvent>,
    ) {
        self.shard(request).insert(request.as_u128(), sender);
    }

    /// Whether this process has a session for the request.
    pub(crate) fn is_registered(&self, request: RequestId) -> bool {
        self.shard(request).contains_key(&request.as_u128())
    }

    pub(crate) fn unregister(&self, request: RequestId) {
        self.shard(request).remove(&request.as_u128());
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, Sessions> {
        let index = request.as_u128() as usize % SESSION_SHARDS;
        self.sessions[index].lock().expect("no holder panics")
    }

    /// Handles an event of a link.
    pub(crate) fn handle(self: &Arc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::Opened(link) => {
                self.peer_reports.record_hello(link.peer());
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
                self.peer_reports.record_generation(m.generation);
                return self.handle_side_status(link, m);
            }
            Body::Heartbeat(m) => {
                self.peer_reports.record_generation(m.generation);
                return self.apply_side_loads(link, &m.loads);
            }
            Body::Accepted(m) => m.request,
            Body::Output(m) => m.request,
            Body::Finished(m) => {
                self.apply_final_load(link, m.load.as_ref());
                m.request
            }
            Body::Failed(m) => m.request,
            Body::Refused(m) => {
                self.apply_final_load(link, m.load.as_ref());
                m.request
            }
            Body::QueryAnswer(m) => m.request,
            // Other frames are meant for side processes or were handled by
            // the link.
            _ => return,
        };
        if let Some(request) = request {
            self.deliver_frame(request, link, body);
        }
    }

    /// Applies the load that arrives with the end of a request. Heartbeats
    /// are requested only on idle links, so a busy link reports load this way.
    fn apply_final_load(&self, link: &Link, load: Option<&wire::BackendLoad>) {
        if let Some(load) = load {
            self.apply_side_loads(link, std::slice::from_ref(load));
        }
    }

    /// Delivers a frame to its session; dropped if the request has ended.
    fn deliver_frame(
        &self,
        request: wire::RequestId,
        link: &Link,
        body: Body,
    ) {
        let request = RequestId::from(request);
        let sender = self.shard(request).get(&request.as_u128()).cloned();
        if let Some(sender) = sender {
            let link_id = link.id();
            let event = SessionEvent::Frame { link_id, body };
            let _ = sender.try_send(event);
        }
    }

    fn link_closed(&self, link: &Link, reason: CloseReason) {
        self.handle_side_lost(link, reason);
        let link_id = link.id();
        self.notify_sessions(|| SessionEvent::LinkClosed { link_id });
    }

    /// Sends an event to every session.
    pub(crate) fn notify_sessions(&self, event: impl Fn() -> SessionEvent) {
        for shard in &self.sessions {
            let sessions = shard.lock().expect("no holder panics");
            for sender in sessions.values() {
                let _ = sender.try_send(event());
            }
        }
    }
}
