//! A relay before a process, for faults of connections.
//!
//! It passes bytes both ways over pairs of sockets. The connections that are
//! open can be reset, or made silent: their bytes are read and dropped, so
//! that neither end hears or feels anything, while new connections work. They
//! can be stalled: their bytes are kept and passed on later, also when the
//! sender has closed by then. One way can be cut for a time, for connections
//! that open meanwhile as well: what was sent arrives when it ends. All bytes
//! can be delayed.

use std::{
    io::{self, Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use rustix::net::sockopt::set_socket_linger;

use crate::ports::free_listener;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Longest wait for bytes before it is looked what is switched on.
const READ_LIMIT: Duration = Duration::from_millis(20);
/// Pause between two looks at a connection whose end has come.
const END_PAUSE: Duration = Duration::from_millis(1);

/// Which way bytes pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller.
    ToTarget,
    /// To the caller.
    ToCaller,
}

/// A relay before one address; it ends when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    delay_ms: AtomicU64,
    is_cut_forth: AtomicBool,
    is_cut_back: AtomicBool,
    has_ended: AtomicBool,
    pairs: Mutex<Vec<Arc<Pair>>>,
}

/// One connection through the relay.
#[derive(Debug)]
struct Pair {
    caller: TcpStream,
    target: TcpStream,
    is_silent: AtomicBool,
    is_stalled: AtomicBool,
    is_reset: AtomicBool,
}

impl Relay {
    /// Starts a relay before an address, on a port of its own.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub fn start(target: SocketAddr) -> Relay {
        let (address, listener) = free_listener();
        Relay::start_on(address, listener, target)
    }

    /// Starts a relay before an address, on a port.
    ///
    /// # Errors
    ///
    /// The port can't be opened.
    pub fn try_start_at(port: u16, target: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
        let address = listener.local_addr()?;
        Ok(Relay::start_on(address, listener, target))
    }

    fn start_on(
        address: SocketAddr,
        listener: TcpListener,
        target: SocketAddr,
    ) -> Relay {
        let shared = Arc::new(Shared {
            target,
            delay_ms: AtomicU64::new(0),
            is_cut_forth: AtomicBool::new(false),
            is_cut_back: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            pairs: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || accepting.accept(&listener));
        Relay { address, shared }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        for pair in self.shared.lock().drain(..) {
            pair.reset();
        }
    }

    /// Makes the connections that are open silent for good.
    pub fn blackhole(&self) {
        for pair in self.shared.lock().iter() {
            pair.is_silent.store(true, Ordering::Release);
        }
    }

    /// Holds up what passes over the connections that are open.
    pub fn stall(&self) {
        for pair in self.shared.lock().iter() {
            pair.is_stalled.store(true, Ordering::Release);
        }
    }

    /// Passes on what was held up.
    pub fn resume(&self) {
        for pair in self.shared.lock().iter() {
            pair.is_stalled.store(false, Ordering::Release);
        }
    }

    /// Holds up what passes one way, or no longer does.
    pub fn set_partition(&self, way: Direction, is_cut: bool) {
        self.shared.cut_flag(way).store(is_cut, Ordering::Release);
    }

    /// Delays what passes either way by this time.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.shared.delay_ms.store(delay_ms, Ordering::Release);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.has_ended.store(true, Ordering::Release);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
        for pair in self.shared.lock().drain(..) {
            pair.close();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Pair>>> {
        self.pairs.lock().expect("no holder panics")
    }

    fn cut_flag(&self, way: Direction) -> &AtomicBool {
        match way {
            Direction::ToTarget => &self.is_cut_forth,
            Direction::ToCaller => &self.is_cut_back,
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming().flatten() {
            if self.has_ended.load(Ordering::Acquire) {
                return;
            }
            // A target that cannot be reached closes the caller's connection.
            let _ = self.open(caller);
        }
    }

    fn open(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let target = TcpStream::connect(self.target)?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        caller.set_read_timeout(Some(READ_LIMIT))?;
        target.set_read_timeout(Some(READ_LIMIT))?;
        let pair = Arc::new(Pair {
            caller,
            target,
            is_silent: AtomicBool::new(false),
            is_stalled: AtomicBool::new(false),
            is_reset: AtomicBool::new(false),
        });
        self.lock().push(pair.clone());
        let (to_target, to_caller) = (pair.clone(), pair);
        let (shared, back) = (self.clone(), self.clone());
        thread::spawn(move || {
            shared.pass(&to_target, Direction::ToTarget);
        });
        thread::spawn(move || {
            back.pass(&to_caller, Direction::ToCaller);
        });
        Ok(())
    }

    /// Passes bytes one way until either end closes.
    fn pass(&self, pair: &Pair, way: Direction) {
        let (from, mut to) = match way {
            Direction::ToTarget => (&pair.caller, &pair.target),
            Direction::ToCaller => (&pair.target, &pair.caller),
        };
        let is_cut = self.cut_flag(way);
        let mut waiting = Vec::new();
        let mut has_ended = false;
        while !has_ended && !self.has_ended.load(Ordering::Acquire) {
            has_ended = !read_more(from, &mut waiting);
            let is_stalled = pair.is_stalled.load(Ordering::Acquire);
            if is_stalled || is_cut.load(Ordering::Acquire) {
                // The end waits behind what came before it.
                has_ended = false;
                continue;
            }
            if waiting.is_empty() {
                continue;
            }
            let delay_ms = self.delay_ms.load(Ordering::Acquire);
            thread::sleep(Duration::from_millis(delay_ms));
            if !pair.is_silent.load(Ordering::Acquire)
                && to.write_all(&waiting).is_err()
            {
                break;
            }
            waiting.clear();
        }
        // What has lost track of a connection tells its other end nothing,
        // and a shutdown would say goodbye before a reset.
        let is_silent = pair.is_silent.load(Ordering::Acquire);
        if !is_silent && !pair.is_reset.load(Ordering::Acquire) {
            pair.close();
        }
    }
}

/// Waits a moment for bytes; false when no more will come.
fn read_more(mut from: &TcpStream, waiting: &mut Vec<u8>) -> bool {
    let mut chunk = [0; CHUNK_BYTES];
    match from.read(&mut chunk) {
        Ok(0) => {
            thread::sleep(END_PAUSE);
            false
        }
        Ok(count) => {
            waiting.extend_from_slice(&chunk[..count]);
            true
        }
        Err(e) => matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
    }
}

impl Pair {
    fn close(&self) {
        for socket in [&self.caller, &self.target] {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Has both ends see a reset: a socket that is closed without lingering
    /// sends one in place of an ordinary end. Both threads wake up, and the
    /// last to let go of the pair closes the sockets.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Release);
        for socket in [&self.caller, &self.target] {
            let _ = set_socket_linger(socket, Some(Duration::ZERO));
            let _ = socket.shutdown(Shutdown::Read);
        }
    }
}
