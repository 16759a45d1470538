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
mod options;
mod traffic;

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};

pub use self::{
    connection::{BusyGuard, CloseReason, Link, LinkError},
    options::{Identity, LinkOptions},
    traffic::Traffic,
};
use crate::{
    PROTOCOL_VERSION,
    codec::{self, Decoder},
    link::{
        connection::LinkParts,
        traffic::{Counters, Purpose},
    },
    wire::{BackendLoad, Heartbeat, Hello, HelloRefused, frame::Body},
};

/// Bytes asked of a socket at once.
const READ_BYTES: usize = 64 * 1024;
/// How often the accept loop tries again after an error of the system, for
/// instance no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happens on links. Handlers run on the link's reader task: they must
/// not block, and frames of one link arrive in order.
#[derive(Debug)]
// A box would cost an allocation for each token; events are moved, not kept.
#[allow(clippy::large_enum_variant)]
pub enum LinkEvent {
    /// A link is open, dialled or accepted.
    Opened(Link),
    /// A frame other than those of the link itself.
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

/// The link to one address; the lock is held while it is dialled, so that
/// many requests share one attempt.
type DialSlot = Arc<async_lock::Mutex<Option<Link>>>;

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
        let link = slot.try_lock()?.clone()?;
        (!link.is_closed()).then_some(link)
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
        let mut current = slot.lock().await;
        if let Some(link) = current.as_ref().filter(|l| !l.is_closed()) {
            return Ok(link.clone());
        }
        *current = None;
        let link = self.dial(address).await?;
        *current = Some(link.clone());
        Ok(link)
    }

    async fn dial(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let shake = async {
            let socket = Async::<TcpStream>::connect(address).await?;
            socket.get_ref().set_nodelay(true)?;
            let mut bytes = Vec::new();
            codec::encode(Body::Hello(self.hello()), &mut bytes);
            (&socket).write_all(&bytes).await?;
            self.shared.past.sent(Purpose::Control, bytes.len());
            let (first, decoder) = self.read_first(&socket).await?;
            Ok((socket, first, decoder))
        };
        let timeout = async {
            Timer::after(self.shared.options.connect_timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let outcome: io::Result<_> = shake.or(timeout).await;
        let (socket, first, decoder) = outcome.map_err(|e| {
            if e.kind() == io::ErrorKind::TimedOut {
                LinkError::Timeout(address)
            } else {
                LinkError::Unreachable(address, e.to_string())
            }
        })?;
        match first {
            Body::Hello(peer) if peer.protocol_version == PROTOCOL_VERSION => {
                Ok(self.open_link(socket, peer, Some(address), decoder))
            }
            Body::HelloRefused(why) => {
                Err(LinkError::Refused(address, why.reason))
            }
            _ => {
                let why = "the first message is no greeting of this version";
                Err(LinkError::Refused(address, why.to_owned()))
            }
        }
    }

    fn spawn_accepted(&self, socket: Async<TcpStream>) {
        let links = self.clone();
        let greet = async move {
            let timeout = async {
                Timer::after(links.shared.options.connect_timeout).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            // A peer that does not greet is dropped without a word: it is no
            // process of this system.
            let _ = links.greet(socket).or(timeout).await;
        };
        self.shared.executor.spawn(greet).detach();
    }

    async fn greet(&self, socket: Async<TcpStream>) -> io::Result<()> {
        socket.get_ref().set_nodelay(true)?;
        let (first, decoder) = self.read_first(&socket).await?;
        let Body::Hello(peer) = first else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let is_known = peer.protocol_version == PROTOCOL_VERSION;
        let answer = if is_known {
            Body::Hello(self.hello())
        } else {
            refuse_version(peer.protocol_version)
        };
        let mut bytes = Vec::new();
        codec::encode(answer, &mut bytes);
        (&socket).write_all(&bytes).await?;
        self.shared.past.sent(Purpose::Control, bytes.len());
        if is_known {
            self.open_link(socket, peer, None, decoder);
        }
        Ok(())
    }

    async fn read_first(
        &self,
        socket: &Async<TcpStream>,
    ) -> io::Result<(Body, Decoder)> {
        let mut decoder = Decoder::new(self.shared.options.max_frame_bytes);
        let mut chunk = [0; 1024];
        loop {
            let count = (&*socket).read(&mut chunk).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            decoder.extend(&chunk[..count]);
            let next = decoder
                .next_body()
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            if let Some(body) = next {
                let bytes = decoder.last_frame_bytes();
                self.shared.past.received(Purpose::Control, bytes);
                return Ok((body, decoder));
            }
        }
    }

    fn hello(&self) -> Hello {
        let generation = self.shared.generation.load(Ordering::Acquire);
        self.shared.identity.to_hello(generation)
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

    /// Asks quiet peers for a heartbeat and closes the links of silent ones.
    async fn watch(self) {
        let options = &self.shared.options;
        loop {
            Timer::after(options.busy_interval / 2).await;
            for link in self.open() {
                self.watch_one(&link);
            }
        }
    }

    fn watch_one(&self, link: &Link) {
        let options = &self.shared.options;
        let quiet_ms = link.quiet_ms();
        let (interval, limit) = if link.is_busy() {
            (options.busy_interval, options.silence_limit)
        } else {
            let limit = options.idle_interval * 2 + options.silence_limit;
            (options.idle_interval, limit)
        };
        let interval_ms = interval.as_millis() as u64;
        if quiet_ms > limit.as_millis() as u64 {
            link.close(CloseReason::Silent);
        } else if quiet_ms >= interval_ms && link.take_ask(interval_ms) {
            let _ = link.send(self.heartbeat(true));
        }
    }
}

impl Shared {
    fn lock_open(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, Link>> {
        self.open.lock().expect("no holder panics")
    }
}

fn refuse_version(version: u32) -> Body {
    let reason = format!(
        "inner protocol version {version} is not known here, \
         only {PROTOCOL_VERSION}"
    );
    let supported_version = PROTOCOL_VERSION;
    Body::HelloRefused(HelloRefused { supported_version, reason })
}
