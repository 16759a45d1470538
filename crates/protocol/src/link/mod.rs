//! Connections between processes.
//!
//! One link carries the frames of many requests, so that the count of
//! connections follows the count of processes and not of requests. A link
//! with requests in flight is watched: when nothing was heard for an
//! interval the peer is asked for a heartbeat, and a peer that stays silent
//! past the limit loses the link, also when its connection still looks open.
//! Whoever had requests on it hears of it by [`LinkEvent::Closed`] and goes
//! on over a new link; nobody waits on an old one.

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
        traffic::{Counters, Purpose},
    },
    wire::{BackendLoad, Heartbeat, Hello, frame::Body},
};

/// Bytes asked of a socket at once.
const READ_BYTES: usize = 64 * 1024;
/// How often the accept loop tries again after an error of the system, for
/// instance no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happens on links. Handlers run on the link's reader task: they must
/// not block, and frames of one link arrive in order.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most events are frames; a box would cost each an allocation"
)]
pub enum LinkEvent {
    /// A link is open, dialled or accepted.
    Opened(Link),
    /// A frame that the peer sent, heartbeats included.
    Frame(Link, Body),
    /// A link has ended; sent once for each opened link.
    Closed(Link, CloseReason),
}

/// Handles the events of all links of a process.
pub type LinkHandler = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// All links of a process; clones are handles to the same set.
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
    /// Greetings, and what closed links have counted.
    past: Counters,
    dialled: Mutex<BTreeMap<SocketAddr, DialSlot>>,
}

/// The lock is held while the address is dialled, so that many requests
/// share one attempt.
type DialSlot = Arc<async_lock::Mutex<Dialled>>;

/// What came of dialling one address last.
#[derive(Default)]
struct Dialled {
    link: Option<Link>,
    failed: Option<(Instant, LinkError)>,
}

impl Dialled {
    fn open_link(&self) -> Option<Link> {
        self.link.clone().filter(|link| !link.is_closed())
    }

    /// The failure of an attempt that ended after this time.
    fn failure_since(&self, time: Instant) -> Option<LinkError> {
        let (at, error) = self.failed.as_ref()?;
        (*at >= time).then(|| error.clone())
    }
}

impl Links {
    /// A set without links; starts the task that watches for silence.
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
            past: Counters::default(),
            dialled: Mutex::default(),
        });
        let links = Links { shared };
        let watcher = links.clone().watch();
        links.shared.executor.spawn(watcher).detach();
        links
    }

    /// Who this process is.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Sets the generation that heartbeats and first messages carry.
    pub fn set_generation(&self, generation: u64) {
        self.shared.generation.store(generation, Ordering::Release);
    }

    /// Sets the loads that heartbeats carry.
    pub fn set_loads(&self, loads: Vec<BackendLoad>) {
        *self.shared.loads.lock().expect("no holder panics") = loads;
    }

    /// Accepts connections until the process ends.
    pub fn listen(&self, listener: Async<TcpListener>) {
        let links = self.clone();
        let accept = async move {
            loop {
                match listener.accept().await {
                    Ok((socket, _)) => links.spawn_accepted(socket),
                    Err(_) => {
                        Timer::after(ACCEPT_PAUSE).await;
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

    /// Bytes of frames so far.
    pub fn traffic(&self) -> Traffic {
        let open = self.shared.lock_open();
        let mut traffic = self.shared.past.read();
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

    /// The open link to an address, if it was dialled before.
    pub fn existing(&self, address: SocketAddr) -> Option<Link> {
        let slot = {
            let dialled = self.shared.dialled.lock().ok()?;
            dialled.get(&address)?.clone()
        };
        slot.try_lock()?.open_link()
    }

    /// The link to an address, dialled if none is open.
    ///
    /// # Errors
    ///
    /// The address cannot be reached in its time, or refuses.
    pub async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Link, LinkError> {
        let slot = {
            let mut dialled =
                self.shared.dialled.lock().expect("no holder panics");
            dialled.entry(address).or_default().clone()
        };
        let asked = Instant::now();
        let mut dialled = slot.lock().await;
        if let Some(link) = dialled.open_link() {
            return Ok(link);
        }
        // Whoever waited for an attempt takes its failure too: one after
        // another would each wait for the whole timeout.
        if let Some(error) = dialled.failure_since(asked) {
            return Err(error);
        }
        let outcome = self.dial(address).await;
        dialled.link = outcome.as_ref().ok().cloned();
        dialled.failed = match &outcome {
            Ok(_) => None,
            Err(e) => Some((Instant::now(), e.clone())),
        };
        outcome
    }

    fn open_link(
        &self,
        socket: Async<TcpStream>,
        peer: Hello,
        dialled: Option<SocketAddr>,
        decoder: Decoder,
    ) -> Link {
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let queue_limit_bytes = self.shared.options.queue_limit_bytes;
        let (link, wake) = Link::open(LinkParts {
            id,
            peer,
            dialled,
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
            link.note_heard();
        }
        self.forget(&link);
        let reason = link.close_reason();
        (self.shared.handler)(LinkEvent::Closed(link, reason));
    }

    /// Takes a link out, and in the same moment its counts over.
    fn forget(&self, link: &Link) {
        let mut open = self.shared.lock_open();
        open.remove(&link.id());
        self.shared.past.add(&link.counters().read());
    }

    /// Hands out whole frames; false when the bytes are no frames.
    fn handle_frames(&self, link: &Link, decoder: &mut Decoder) -> bool {
        loop {
            match decoder.next_body() {
                Ok(Some(body)) => {
                    let purpose = Purpose::of(&body);
                    let bytes = decoder.last_frame_bytes();
                    link.counters().received(purpose, bytes);
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
