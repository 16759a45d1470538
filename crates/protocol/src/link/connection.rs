//! One connection to a peer.
//!
//! Sending never waits. A frame is encoded into the link's buffer and, if the
//! buffer was empty, written to the socket at once. The writer task of the
//! link writes what the socket did not accept. If the buffer exceeds its limit
//! because the peer does not read, the link closes, so that a slow process
//! cannot exhaust the memory of another process.

use std::{
    fmt,
    io::{self, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use async_io::Async;
use futures_lite::AsyncWriteExt as _;

use super::{CloseReason, LinkError};
use crate::{
    codec,
    link::traffic::{Counters, TrafficClass},
    wire::{Hello, frame::Body},
};

/// Value that means that no heartbeat request is unanswered.
const NO_PENDING_HEARTBEAT: u64 = u64::MAX;

/// An open connection. Clones are handles to the same connection.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

struct Shared {
    id: u64,
    peer: Hello,
    dialled_address: Option<SocketAddr>,
    socket: Async<TcpStream>,
    epoch: Instant,
    last_received_ms: AtomicU64,
    last_heartbeat_request_ms: AtomicU64,
    /// Time of the first unanswered heartbeat request, or
    /// [`NO_PENDING_HEARTBEAT`].
    pending_heartbeat_since_ms: AtomicU64,
    request_count: AtomicUsize,
    /// Start of the first request since the last received frame.
    request_since_ms: AtomicU64,
    is_closed: AtomicBool,
    counters: Counters,
    queue_limit_bytes: usize,
    max_frame_bytes: usize,
    outgoing: Mutex<Outgoing>,
    /// Wakes the writer task.
    writer_wake: async_channel::Sender<()>,
    /// Closed together with the link.
    close_signal: async_channel::Receiver<()>,
    _close_signal_sender: async_channel::Sender<()>,
}

#[derive(Default)]
struct Outgoing {
    buffer: Vec<u8>,
    /// Whether the writer task writes the buffer; `send` only appends then.
    is_writer_active: bool,
    close_reason: Option<CloseReason>,
}

/// Parameters of a new link.
pub(crate) struct LinkParts {
    pub(crate) id: u64,
    pub(crate) peer: Hello,
    pub(crate) dialled_address: Option<SocketAddr>,
    pub(crate) socket: Async<TcpStream>,
    pub(crate) queue_limit_bytes: usize,
    pub(crate) max_frame_bytes: usize,
}

impl Link {
    /// Creates a link and the channel that wakes its writer task.
    pub(crate) fn open(
        parts: LinkParts,
    ) -> (Link, async_channel::Receiver<()>) {
        let (writer_wake, wake) = async_channel::bounded(1);
        let (_close_signal_sender, close_signal) = async_channel::bounded(1);
        let shared = Shared {
            id: parts.id,
            peer: parts.peer,
            dialled_address: parts.dialled_address,
            socket: parts.socket,
            epoch: Instant::now(),
            last_received_ms: AtomicU64::new(0),
            last_heartbeat_request_ms: AtomicU64::new(0),
            pending_heartbeat_since_ms: AtomicU64::new(NO_PENDING_HEARTBEAT),
            request_count: AtomicUsize::new(0),
            request_since_ms: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
            counters: Counters::default(),
            queue_limit_bytes: parts.queue_limit_bytes,
            max_frame_bytes: parts.max_frame_bytes,
            outgoing: Mutex::default(),
            writer_wake,
            close_signal,
            _close_signal_sender,
        };
        (Link { shared: Arc::new(shared) }, wake)
    }

    /// Number of the link, unique within this process.
    pub fn id(&self) -> u64 {
        self.shared.id
    }

    /// Identity that the peer announced in the handshake.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// Address to which this process connected; None for an accepted link.
    pub fn dialled_address(&self) -> Option<SocketAddr> {
        self.shared.dialled_address
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Acquire)
    }

    /// Sends one frame without waiting.
    ///
    /// # Errors
    ///
    /// The link is closed, or the frame is too long. A frame that was accepted
    /// may still be lost with the connection.
    pub fn send(&self, body: Body) -> Result<(), LinkError> {
        let mut outgoing = self.shared.lock_outgoing();
        if let Some(reason) = outgoing.close_reason {
            return Err(LinkError::Closed(reason));
        }
        self.shared.enqueue(body, &mut outgoing.buffer)?;
        if outgoing.is_writer_active {
            if outgoing.buffer.len() > self.shared.queue_limit_bytes {
                drop(outgoing);
                self.close(CloseReason::Overrun);
                return Err(LinkError::Closed(CloseReason::Overrun));
            }
            return Ok(());
        }
        match self.shared.try_write(&mut outgoing.buffer) {
            Ok(true) => Ok(()),
            Ok(false) => {
                outgoing.is_writer_active = true;
                let _ = self.shared.writer_wake.try_send(());
                Ok(())
            }
            Err(_) => {
                drop(outgoing);
                self.close(CloseReason::Lost);
                Err(LinkError::Closed(CloseReason::Lost))
            }
        }
    }

    /// Counts a request in flight. The shorter heartbeat interval of busy
    /// links applies until the guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        if !self.has_requests() {
            // The time is stored before the count changes. Otherwise the
            // check could see a busy link whose idle time counts as
            // silence.
            self.shared.record_request_start();
        }
        self.shared.request_count.fetch_add(1, Ordering::AcqRel);
        RequestGuard { link: self.clone() }
    }

    /// Whether a request is in flight on the link.
    pub fn has_requests(&self) -> bool {
        self.shared.request_count.load(Ordering::Acquire) > 0
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        // The channel carries no messages; it closes with the link.
        let _ = self.shared.close_signal.recv().await;
    }

    /// Closes the link. Only the reason of the first call is kept.
    pub fn close(&self, reason: CloseReason) {
        let mut outgoing = self.shared.lock_outgoing();
        outgoing.close_reason.get_or_insert(reason);
        outgoing.buffer = Vec::new();
        drop(outgoing);
        self.shared.is_closed.store(true, Ordering::Release);
        // The reader task detects the end of the stream and reports the close.
        let _ = self.shared.socket.get_ref().shutdown(Shutdown::Both);
        self.shared.writer_wake.close();
        self.shared.close_signal.close();
    }

    /// The reason why the link closed, or `Lost` if none is known.
    pub(crate) fn close_reason(&self) -> CloseReason {
        let outgoing = self.shared.lock_outgoing();
        outgoing.close_reason.unwrap_or(CloseReason::Lost)
    }

    pub(crate) fn socket(&self) -> &Async<TcpStream> {
        &self.shared.socket
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    pub(crate) fn record_received(&self) {
        let now_ms = self.shared.now_ms();
        self.shared.last_received_ms.store(now_ms, Ordering::Release);
        self.shared
            .pending_heartbeat_since_ms
            .store(NO_PENDING_HEARTBEAT, Ordering::Release);
    }

    /// How long nothing was received, in milliseconds, counted from the first
    /// request after the last received frame if there was one. Later requests
    /// do not reset the time: a series of requests would hide that the peer is
    /// silent.
    pub(crate) fn silence_ms(&self) -> u64 {
        let received_ms = self.shared.last_received_ms.load(Ordering::Acquire);
        let request_ms = self.shared.request_since_ms.load(Ordering::Acquire);
        self.shared.now_ms().saturating_sub(received_ms.max(request_ms))
    }

    /// How long a heartbeat request has been unanswered, in milliseconds; 0 if
    /// none is pending.
    pub(crate) fn pending_heartbeat_ms(&self) -> u64 {
        let since_ms =
            self.shared.pending_heartbeat_since_ms.load(Ordering::Acquire);
        self.shared.now_ms().saturating_sub(since_ms)
    }

    /// Records a heartbeat request and returns true, unless the last request
    /// is more recent than the interval.
    pub(crate) fn try_request_heartbeat(&self, interval_ms: u64) -> bool {
        let now_ms = self.shared.now_ms();
        let requested_ms =
            self.shared.last_heartbeat_request_ms.load(Ordering::Acquire);
        if now_ms.saturating_sub(requested_ms) < interval_ms {
            return false;
        }
        self.shared.last_heartbeat_request_ms.store(now_ms, Ordering::Release);
        self.shared
            .pending_heartbeat_since_ms
            .fetch_min(now_ms, Ordering::AcqRel);
        true
    }

    /// Writes what `send` could not write, until the link closes.
    pub(crate) async fn run_writer(
        self,
        wake: async_channel::Receiver<()>,
    ) -> io::Result<()> {
        let mut chunk = Vec::new();
        while wake.recv().await.is_ok() {
            while self.take_queued(&mut chunk) {
                (&self.shared.socket).write_all(&chunk).await?;
                chunk.clear();
            }
        }
        Ok(())
    }

    /// Moves queued bytes to `chunk`. Returns false if none are left; `send`
    /// then writes to the socket itself again.
    fn take_queued(&self, chunk: &mut Vec<u8>) -> bool {
        let mut outgoing = self.shared.lock_outgoing();
        if outgoing.buffer.is_empty() {
            outgoing.is_writer_active = false;
            return false;
        }
        std::mem::swap(&mut outgoing.buffer, chunk);
        true
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("id", &self.shared.id)
            .field("peer_vm", &self.shared.peer.vm)
            .field("dialled", &self.shared.dialled_address)
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn record_request_start(&self) {
        let received_ms = self.last_received_ms.load(Ordering::Acquire);
        let request_ms = self.request_since_ms.load(Ordering::Acquire);
        if request_ms <= received_ms {
            self.request_since_ms.store(self.now_ms(), Ordering::Release);
        }
    }

    /// Appends an encoded frame to the buffer.
    fn enqueue(
        &self,
        body: Body,
        buffer: &mut Vec<u8>,
    ) -> Result<(), LinkError> {
        let start = buffer.len();
        let class = TrafficClass::of(&body);
        codec::encode(body, buffer);
        let length = buffer.len() - start - codec::LENGTH_BYTES;
        let limit = self.max_frame_bytes;
        if length > limit {
            buffer.truncate(start);
            return Err(LinkError::TooLong { length, limit });
        }
        self.counters.record_sent(class, buffer.len() - start);
        Ok(())
    }

    fn lock_outgoing(&self) -> std::sync::MutexGuard<'_, Outgoing> {
        self.outgoing.lock().expect("no send panics")
    }

    /// Writes as much as the socket accepts. Returns true if nothing is left.
    fn try_write(&self, buffer: &mut Vec<u8>) -> io::Result<bool> {
        let mut written = 0;
        while written < buffer.len() {
            match self.socket.get_ref().write(&buffer[written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        buffer.drain(..written);
        Ok(buffer.is_empty())
    }
}

/// Counts a request as in flight on a link until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    link: Link,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.link.shared.request_count.fetch_sub(1, Ordering::AcqRel);
    }
}
