//! Connections between processes.
//!
//! A link multiplexes the frames of many requests, so the number of
//! connections depends on the number of processes and not of requests. If
//! nothing was received on a link for an interval, the peer is asked for a
//! heartbeat. If the peer stays silent beyond the timeout, the link closes,
//! even if its connection still looks open. [`LinkEvent::Closed`] then informs
//! the owners of the requests on the link, which continue over a new link.

mod connection;
mod error;
mod handshake;
mod options;
mod traffic;
mod watch;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt as _;

pub use self::{
    connection::{Link, RequestGuard},
    error::{CloseReason, LinkError},
    options::{Identity, LinkOptions},
    traffic::Traffic,
};
use crate::{
    codec::Decoder,
    link::{
        connection::LinkParts,
        traffic::{Counters, TrafficClass},
    },
    wire::{BackendLoad, Heartbeat, Hello, frame::Body},
};

/// Size of a read from a socket.
const READ_BYTES: usize = 64 * 1024;
/// Delay of the accept loop after a system error, such as a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An event on a link. Handlers run on the link's reader task, so they must
/// not block. Frames of a link arrive in order.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most events are frames; a box would cost each an allocation"
)]
pub enum LinkEvent {
    /// A link was opened by this process or by the peer.
    Opened(Link),
    /// The peer sent a frame, possibly a heartbeat.
    Frame(Link, Body),
    /// A link closed. Sent once for each opened link.
    Closed(Link, CloseReason),
}

/// Handles the events of all links of a process.
pub type LinkHandler = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// All links of a process. Clones are handles to the same set.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    identity: Identity,
    options: LinkOptions,
    executor: Arc<Executor<'static>>,
    handler: LinkHandler,
    next_id: AtomicU64,
    generation: AtomicU64,
    loads: Mutex<Vec<BackendLoad>>,
    open: Mutex<BTreeMap<u64, Link>>,
    /// Traffic of handshakes and of closed links.
    base_counters: Counters,
    connect_slots: Mutex<BTreeMap<SocketAddr, ConnectSlot>>,
}

/// The lock is held during a connection attempt, so that concurrent requests
/// share the attempt.
type ConnectSlot = Arc<async_lock::Mutex<LastConnect>>;

/// Result of the last connection attempt to an address.
#[derive(Default)]
struct LastConnect {
    link: Option<Link>,
    failure: Option<(Instant, LinkError)>,
}

impl LastConnect {
    fn open_link(&self) -> Option<Link> {
        self.link.clone().filter(|link| !link.is_closed())
    }

    /// The error of the last attempt if the attempt ended after this time.
    fn failure_since(&self, time: Instant) -> Option<LinkError> {
        let (at, error) = self.failure.as_ref()?;
        (*at >= time).then(|| error.clone())
    }
}

impl Links {
    /// Creates a set without links and starts the task that checks for silence.
    pub fn new(
        identity: Identity,
        options: LinkOptions,
        executor: Arc<Executor<'static>>,
        handler: LinkHandler,
    ) -> Links {
        let shared = Arc::new(Shared {
            identity,
            options,
            executor,
            handler,
            next_id: AtomicU64::new(1),
            generation: AtomicU64::new(0),
            loads: Mutex::default(),
            open: Mutex::default(),
            base_counters: Counters::default(),
            connect_slots: Mutex::default(),
        });
        let links = Links { shared };
        let watcher = links.clone().watch();
        links.shared.executor.spawn(watcher).detach();
        links
    }

    /// Identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Sets the generation that heartbeats and handshakes carry.
    pub fn set_generation(&self, generation: u64) {
        self.shared.generation.store(generation, Ordering::Release);
    }

    /// Sets the loads that heartbeats carry.
    pub fn set_loads(&self, loads: Vec<BackendLoad>) {
        *self.shared.loads.lock().expect("no holder panics") = loads;
    }

    /// Accepts connections until the process exits.
    pub fn listen(&self, listener: Async<TcpListener>) {
        let links = self.clone();
        let accept = async move {
            loop {
                match listener.accept().await {
                    Ok((socket, _)) => links.spawn_accepted(socket),
                    Err(_) => {
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        self.shared.executor.spawn(accept).detach();
    }

    /// All open links.
    pub fn open(&self) -> Vec<Link> {
        let open = self.shared.open.lock().expect("no holder panics");
        open.values().cloned().collect()
    }

    /// Bytes of frames since the start of the process.
    pub fn traffic(&self) -> Traffic {
        let open = self.shared.lock_open();
        let mut traffic = self.shared.base_counters.read();
        for link in open.values() {
            traffic.add(&link.counters().read());
        }
        traffic
    }

    /// Sends a frame on every open link.
    pub fn broadcast(&self, body: &Body) {
        for link in self.open() {
            let _ = link.send(body.clone());
        }
    }

    /// The open link that this process opened to an address, if any.
    pub fn existing(&self, address: SocketAddr) -> Option<Link> {
        let slot = {
            let slots = self.shared.connect_slots.lock().ok()?;
            slots.get(&address)?.clone()
        };
        slot.try_lock()?.open_link()
    }

    /// Returns the open link to an address, or connects if none is open.
    ///
    /// # Errors
    ///
    /// The connection attempt fails or times out, or the peer refuses.
    pub async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Link, LinkError> {
        let slot = {
            let mut slots =
                self.shared.connect_slots.lock().expect("no holder panics");
            slots.entry(address).or_default().clone()
        };
        let requested_at = Instant::now();
        let mut last = slot.lock().await;
        if let Some(link) = last.open_link() {
            return Ok(link);
        }
        // A request that waited for an attempt shares the failure. Otherwise
        // each waiting request would in turn wait for the full timeout.
        if let Some(error) = last.failure_since(requested_at) {
            return Err(error);
        }
        let outcome = self.connect_new(address).await;
        last.link = outcome.as_ref().ok().cloned();
        last.failure = match &outcome {
            Ok(_) => None,
            Err(e) => Some((Instant::now(), e.clone())),
        };
        outcome
    }

    fn open_link(
        &self,
        socket: Async<TcpStream>,
        peer: Hello,
        dialled_address: Option<SocketAddr>,
        decoder: Decoder,
    ) -> Link {
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let queue_limit_bytes = self.shared.options.queue_limit_bytes;
        let (link, wake) = Link::open(LinkParts {
            id,
            peer,
            dialled_address,
            socket,
            queue_limit_bytes,
            max_frame_bytes: self.shared.options.max_frame_bytes,
        });
        self.shared.lock_open().insert(id, link.clone());
        let writer = link.clone();
        let write = async move {
            if writer.clone().run_writer(wake).await.is_err() {
                writer.close(CloseReason::Lost);
            }
        };
        self.shared.executor.spawn(write).detach();
        let read = self.clone().run_reader(link.clone(), decoder);
        self.shared.executor.spawn(read).detach();
        link
    }

    async fn run_reader(self, link: Link, mut decoder: Decoder) {
        (self.shared.handler)(LinkEvent::Opened(link.clone()));
        let mut chunk = vec![0; READ_BYTES];
        loop {
            if !self.handle_frames(&link, &mut decoder) {
                link.close(CloseReason::Protocol);
                break;
            }
            match link.socket().read(&mut chunk).await {
                Ok(0) | Err(_) => {
                    link.close(CloseReason::Lost);
                    break;
                }
                Ok(count) => decoder.extend(&chunk[..count]),
            }
            link.record_received();
        }
        self.remove(&link);
        let reason = link.close_reason();
        (self.shared.handler)(LinkEvent::Closed(link, reason));
    }

    /// Removes a link and adds its counts to the base counters under the same
    /// lock, so that the traffic totals stay consistent.
    fn remove(&self, link: &Link) {
        let mut open = self.shared.lock_open();
        open.remove(&link.id());
        self.shared.base_counters.add(&link.counters().read());
    }

    /// Handles all complete frames. Returns false if the bytes are not valid
    /// frames.
    fn handle_frames(&self, link: &Link, decoder: &mut Decoder) -> bool {
        loop {
            match decoder.next_body() {
                Ok(Some(body)) => {
                    let class = TrafficClass::of(&body);
                    let bytes = decoder.last_frame_bytes();
                    link.counters().record_received(class, bytes);
                    self.handle_body(link, body);
                }
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    fn handle_body(&self, link: &Link, body: Body) {
        if let Body::Heartbeat(heartbeat) = &body
            && heartbeat.is_reply_wanted
        {
            let _ = link.send(self.heartbeat(false));
        }
        (self.shared.handler)(LinkEvent::Frame(link.clone(), body));
    }

    fn heartbeat(&self, is_reply_wanted: bool) -> Body {
        let loads = self.shared.loads.lock().expect("no holder panics");
        Body::Heartbeat(Heartbeat {
            generation: self.shared.generation.load(Ordering::Acquire),
            loads: loads.clone(),
            is_reply_wanted,
        })
    }
}

impl Shared {
    fn lock_open(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Link>> {
        self.open.lock().expect("no holder panics")
    }
}
