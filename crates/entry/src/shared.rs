//! What all parts of the process share: view, open requests, links.

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
    outage::Outage, peers::Peers, recent::Recent, session_event::SessionEvent,
    stop::Stop, view::View,
};

/// Parts of the map of open requests, each under a lock of its own.
const SESSION_SHARDS: usize = 16;

/// What all parts of the process share.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    heard: Arc<PeerReports>,
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
    /// Before any link and any request.
    pub(crate) fn new(
        settings: EntrySettings,
        metrics: Arc<Metrics>,
        heard: Arc<PeerReports>,
        claims: ClaimStore,
        executor: Arc<Executor<'static>>,
    ) -> Shared {
        let clock = Clock::new();
        Shared {
            settings,
            clock,
            store_outage: Outage::new(clock),
            recent: Recent::default(),
            metrics,
            heard,
            view: ArcSwap::from_pointee(View::empty()),
            peers: Peers::default(),
            claims,
            executor,
            links: OnceLock::new(),
            sessions: std::array::from_fn(|_| Mutex::default()),
            in_flight: AtomicUsize::new(0),
            stop: Stop::new(),
        }
    }

    /// Sets the links, once, before anything is served.
    pub(crate) fn set_links(&self, links: Links) {
        self.links.set(links).ok();
    }

    /// Requests in flight.
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
        self.in_flight() >= limit
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

    /// Takes what comes over the links.
    pub(crate) fn handle(self: &Arc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::Opened(link) => {
                self.heard.record_hello(link.peer());
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
                self.heard.record_generation(m.generation);
                return self.side_status(link, m);
            }
            Body::Heartbeat(m) => {
                self.heard.record_generation(m.generation);
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
    pub(crate) fn tell_sessions(&self, event: impl Fn() -> SessionEvent) {
        for shard in &self.sessions {
            let sessions = shard.lock().expect("no holder panics");
            for sender in sessions.values() {
                let _ = sender.try_send(event());
            }
        }
    }
}
