//! One connection to a peer.
//!
//! Sending never waits: a frame is encoded into the link's buffer and, when
//! nothing is queued before it, written to the socket at once. What the
//! socket does not take is left to the link's writer task. A peer that does
//! not read loses its link when the buffer passes its limit, so that one slow
//! process cannot hold the memory of another.

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
    link::traffic::{Counters, Purpose},
    wire::{Hello, frame::Body},
};

/// Time of an ask that was not sent.
const NO_ASK: u64 = u64::MAX;

/// One open connection; clones are handles to the same one.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

struct Shared {
    id: u64,
    peer: Hello,
    dialled: Option<SocketAddr>,
    socket: Async<TcpStream>,
    epoch: Instant,
    last_heard_ms: AtomicU64,
    last_asked_ms: AtomicU64,
    /// When the first ask that is unanswered was sent, or [`NO_ASK`].
    unanswered_since_ms: AtomicU64,
    busy: AtomicUsize,
    /// When the first request came that has not been followed by a frame.
    waiting_since_ms: AtomicU64,
    is_closed: AtomicBool,
    counters: Counters,
    queue_limit_bytes: usize,
    max_frame_bytes: usize,
    outgoing: Mutex<Outgoing>,
    writable: async_channel::Sender<()>,
    ended: async_channel::Receiver<()>,
    _ended_sender: async_channel::Sender<()>,
}

#[derive(Default)]
struct Outgoing {
    buffer: Vec<u8>,
    has_writer: bool,
    closed: Option<CloseReason>,
}

/// What a link is made of, before it is opened.
pub(crate) struct LinkParts {
    pub(crate) id: u64,
    pub(crate) peer: Hello,
    pub(crate) dialled: Option<SocketAddr>,
    pub(crate) socket: Async<TcpStream>,
    pub(crate) queue_limit_bytes: usize,
    pub(crate) max_frame_bytes: usize,
}

impl Link {
    /// The link, and the signal that its writer task waits for.
    pub(crate) fn open(
        parts: LinkParts,
    ) -> (Link, async_channel::Receiver<()>) {
        let (writable, wake) = async_channel::bounded(1);
        let (_ended_sender, ended) = async_channel::bounded(1);
        let shared = Shared {
            id: parts.id,
            peer: parts.peer,
            dialled: parts.dialled,
            socket: parts.socket,
            epoch: Instant::now(),
            last_heard_ms: AtomicU64::new(0),
            last_asked_ms: AtomicU64::new(0),
            unanswered_since_ms: AtomicU64::new(NO_ASK),
            busy: AtomicUsize::new(0),
            waiting_since_ms: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
            counters: Counters::default(),
            queue_limit_bytes: parts.queue_limit_bytes,
            max_frame_bytes: parts.max_frame_bytes,
            outgoing: Mutex::default(),
            writable,
            ended,
            _ended_sender,
        };
        (Link { shared: Arc::new(shared) }, wake)
    }

    /// Number of the link in this process, never used twice.
    pub fn id(&self) -> u64 {
        self.shared.id
    }

    /// What the peer said of itself when the link opened.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// The address that was dialled; none for an accepted link.
    pub fn dialled_address(&self) -> Option<SocketAddr> {
        self.shared.dialled
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Acquire)
    }

    /// Sends one frame without waiting.
    ///
    /// # Errors
    ///
    /// The link has ended, or the frame is too long for it. A frame that was
    /// taken may still be lost with the connection.
    pub fn send(&self, body: Body) -> Result<(), LinkError> {
        let mut outgoing = self.shared.lock_outgoing();
        if let Some(reason) = outgoing.closed {
            return Err(LinkError::Closed(reason));
        }
        self.shared.enqueue(body, &mut outgoing.buffer)?;
        if outgoing.has_writer {
            if outgoing.buffer.len() > self.shared.queue_limit_bytes {
                drop(outgoing);
                self.close(CloseReason::Overrun);
                return Err(LinkError::Closed(CloseReason::Overrun));
            }
            return Ok(());
        }
        match self.shared.write_now(&mut outgoing.buffer) {
            Ok(true) => Ok(()),
            Ok(false) => {
                outgoing.has_writer = true;
                let _ = self.shared.writable.try_send(());
                Ok(())
            }
            Err(_) => {
                drop(outgoing);
                self.close(CloseReason::Lost);
                Err(LinkError::Closed(CloseReason::Lost))
            }
        }
    }

    /// Counts one more request in flight: the link is watched closely until
    /// the guard is dropped.
    pub fn track_request(&self) -> RequestGuard {
        if !self.has_requests() {
            // Before the count, or the watcher would see a busy link that
            // seems to have been quiet for all its idle time.
            self.shared.note_waiting();
        }
        self.shared.busy.fetch_add(1, Ordering::AcqRel);
        RequestGuard { link: self.clone() }
    }

    /// Whether a request is in flight on the link.
    pub fn has_requests(&self) -> bool {
        self.shared.busy.load(Ordering::Acquire) > 0
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        // Nothing is ever sent over this channel; it closes with the link.
        let _ = self.shared.ended.recv().await;
    }

    /// Ends the link; the first reason given is the one that counts.
    pub fn close(&self, reason: CloseReason) {
        let mut outgoing = self.shared.lock_outgoing();
        outgoing.closed.get_or_insert(reason);
        outgoing.buffer = Vec::new();
        drop(outgoing);
        self.shared.is_closed.store(true, Ordering::Release);
        // The reader task sees the end of the stream and reports the close.
        let _ = self.shared.socket.get_ref().shutdown(Shutdown::Both);
        self.shared.writable.close();
        self.shared.ended.close();
    }

    /// The reason the link ended, or `Lost` while none is known.
    pub(crate) fn close_reason(&self) -> CloseReason {
        let outgoing = self.shared.lock_outgoing();
        outgoing.closed.unwrap_or(CloseReason::Lost)
    }

    pub(crate) fn socket(&self) -> &Async<TcpStream> {
        &self.shared.socket
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    pub(crate) fn note_heard(&self) {
        let now_ms = self.shared.now_ms();
        self.shared.last_heard_ms.store(now_ms, Ordering::Release);
        self.shared.unanswered_since_ms.store(NO_ASK, Ordering::Release);
    }

    /// How long nothing was heard, in milliseconds, counted from the first
    /// request since then if there was one. Later requests do not count: one
    /// after another would hide that the peer is silent.
    pub(crate) fn quiet_ms(&self) -> u64 {
        let heard_ms = self.shared.last_heard_ms.load(Ordering::Acquire);
        let waiting_ms = self.shared.waiting_since_ms.load(Ordering::Acquire);
        self.shared.now_ms().saturating_sub(heard_ms.max(waiting_ms))
    }

    /// How long the peer has left an ask unanswered, in milliseconds; 0 if it
    /// was not asked.
    pub(crate) fn unanswered_ms(&self) -> u64 {
        let since_ms = self.shared.unanswered_since_ms.load(Ordering::Acquire);
        self.shared.now_ms().saturating_sub(since_ms)
    }

    /// Whether the peer may be asked again; true at most once an interval.
    pub(crate) fn take_ask(&self, interval_ms: u64) -> bool {
        let now_ms = self.shared.now_ms();
        let asked_ms = self.shared.last_asked_ms.load(Ordering::Acquire);
        if now_ms.saturating_sub(asked_ms) < interval_ms {
            return false;
        }
        self.shared.last_asked_ms.store(now_ms, Ordering::Release);
        self.shared.unanswered_since_ms.fetch_min(now_ms, Ordering::AcqRel);
        true
    }

    /// Writes what `send` could not, until the link ends.
    pub(crate) async fn run_writer(
        self,
        wake: async_channel::Receiver<()>,
    ) -> io::Result<()> {
        let mut chunk = Vec::new();
        while wake.recv().await.is_ok() {
            while self.take_chunk(&mut chunk) {
                (&self.shared.socket).write_all(&chunk).await?;
                chunk.clear();
            }
        }
        Ok(())
    }

    /// Moves queued bytes to `chunk`; false when none are left, from when on
    /// `send` writes to the socket itself again.
    fn take_chunk(&self, chunk: &mut Vec<u8>) -> bool {
        let mut outgoing = self.shared.lock_outgoing();
        if outgoing.buffer.is_empty() {
            outgoing.has_writer = false;
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
            .field("dialled", &self.shared.dialled)
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn note_waiting(&self) {
        let heard_ms = self.last_heard_ms.load(Ordering::Acquire);
        let waiting_ms = self.waiting_since_ms.load(Ordering::Acquire);
        if waiting_ms <= heard_ms {
            self.waiting_since_ms.store(self.now_ms(), Ordering::Release);
        }
    }

    /// Encodes a frame behind those that wait.
    fn enqueue(
        &self,
        body: Body,
        buffer: &mut Vec<u8>,
    ) -> Result<(), LinkError> {
        let start = buffer.len();
        let purpose = Purpose::of(&body);
        codec::encode(body, buffer);
        let length = buffer.len() - start - codec::LENGTH_BYTES;
        let limit = self.max_frame_bytes;
        if length > limit {
            buffer.truncate(start);
            return Err(LinkError::TooLong { length, limit });
        }
        self.counters.sent(purpose, buffer.len() - start);
        Ok(())
    }

    fn lock_outgoing(&self) -> std::sync::MutexGuard<'_, Outgoing> {
        self.outgoing.lock().expect("no send panics")
    }

    /// Writes as much as the socket takes; true when all is written.
    fn write_now(&self, buffer: &mut Vec<u8>) -> io::Result<bool> {
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

/// One request in flight on a link.
#[derive(Debug)]
pub struct RequestGuard {
    link: Link,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.link.shared.busy.fetch_sub(1, Ordering::AcqRel);
    }
}
