//! A TCP relay in front of a process, which injects connection faults.
//!
//! The relay forwards bytes in both directions. Tests can inject these faults:
//!
//! - Reset: open connections are reset.
//! - Blackhole: the bytes of open connections are read and dropped, so neither
//!   end notices the fault. New connections work.
//! - Stall: the bytes of open connections are buffered and forwarded later,
//!   even if the sender has closed the connection by then.
//! - Partition: the bytes of one direction are buffered for all connections,
//!   including new ones, and forwarded when the partition ends.
//! - Delay: all bytes are forwarded after a delay.
//! - Rate: the bytes of each connection are forwarded at a limited rate.

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

/// Maximum number of bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Timeout of a read, after which the faults are checked again.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval between reads of a connection whose sender has closed, since these
/// reads return immediately.
const END_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Direction of bytes through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    ToCaller,
}

/// A relay in front of one address, stopped on drop.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    delay_ms: AtomicU64,
    /// Bytes per second of a connection and direction; 0 for no limit.
    rate: AtomicU64,
    is_partitioned_to_target: AtomicBool,
    is_partitioned_to_caller: AtomicBool,
    is_stopped: AtomicBool,
    connections: Mutex<Vec<Arc<Connection>>>,
}

/// One connection through the relay.
#[derive(Debug)]
struct Connection {
    caller: TcpStream,
    target: TcpStream,
    is_blackholed: AtomicBool,
    is_stalled: AtomicBool,
    is_reset: AtomicBool,
}

impl Relay {
    /// Starts a relay in front of an address, on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(target: SocketAddr) -> Relay {
        let (address, listener) = free_listener();
        Relay::start_on(address, listener, target)
    }

    /// Starts a relay in front of an address, on the given port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
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
            rate: AtomicU64::new(0),
            is_partitioned_to_target: AtomicBool::new(false),
            is_partitioned_to_caller: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let acceptor = shared.clone();
        thread::spawn(move || acceptor.accept(&listener));
        Relay { address, shared }
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        for connection in self.shared.lock().drain(..) {
            connection.reset();
        }
    }

    /// Drops all further bytes of the open connections, permanently.
    pub fn blackhole(&self) {
        for connection in self.shared.lock().iter() {
            connection.is_blackholed.store(true, Ordering::Release);
        }
    }

    /// Stalls the open connections until [`resume`](Relay::resume).
    pub fn stall(&self) {
        for connection in self.shared.lock().iter() {
            connection.is_stalled.store(true, Ordering::Release);
        }
    }

    /// Ends the stall and forwards the buffered bytes.
    pub fn resume(&self) {
        for connection in self.shared.lock().iter() {
            connection.is_stalled.store(false, Ordering::Release);
        }
    }

    /// Starts or ends a partition in one direction.
    pub fn set_partition(&self, direction: Direction, is_partitioned: bool) {
        self.shared
            .partition_flag(direction)
            .store(is_partitioned, Ordering::Release);
    }

    /// Limits the rate of each connection and direction, in bytes per second.
    pub fn set_rate(&self, bytes_per_s: Option<u64>) {
        self.shared.rate.store(bytes_per_s.unwrap_or(0), Ordering::Release);
    }

    /// Sets the delay of all bytes, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.shared.delay_ms.store(delay_ms, Ordering::Release);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        // The connection wakes the accepting thread, which then exits.
        let _ = TcpStream::connect(self.address);
        for connection in self.shared.lock().drain(..) {
            connection.close();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.connections.lock().expect("no holder panics")
    }

    fn partition_flag(&self, direction: Direction) -> &AtomicBool {
        match direction {
            Direction::ToTarget => &self.is_partitioned_to_target,
            Direction::ToCaller => &self.is_partitioned_to_caller,
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for caller in listener.incoming().flatten() {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            // If the target can't be reached, the caller's connection is
            // closed.
            let _ = self.open(caller);
        }
    }

    fn open(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let target = TcpStream::connect(self.target)?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        caller.set_read_timeout(Some(READ_TIMEOUT))?;
        target.set_read_timeout(Some(READ_TIMEOUT))?;
        let connection = Arc::new(Connection {
            caller,
            target,
            is_blackholed: AtomicBool::new(false),
            is_stalled: AtomicBool::new(false),
            is_reset: AtomicBool::new(false),
        });
        self.lock().push(connection.clone());
        let (to_target, to_caller) = (connection.clone(), connection);
        let (upstream, downstream) = (self.clone(), self.clone());
        thread::spawn(move || {
            upstream.forward(&to_target, Direction::ToTarget);
        });
        thread::spawn(move || {
            downstream.forward(&to_caller, Direction::ToCaller);
        });
        Ok(())
    }

    /// Time that so many bytes take at the limited rate.
    fn transfer_time(&self, bytes: usize) -> Duration {
        match self.rate.load(Ordering::Acquire) {
            0 => Duration::ZERO,
            rate => Duration::from_secs(1).mul_f64(bytes as f64 / rate as f64),
        }
    }

    /// Forwards bytes in one direction until either end closes the connection.
    fn forward(&self, connection: &Connection, direction: Direction) {
        let (from, mut to) = match direction {
            Direction::ToTarget => (&connection.caller, &connection.target),
            Direction::ToCaller => (&connection.target, &connection.caller),
        };
        let is_partitioned = self.partition_flag(direction);
        let mut buffered = Vec::new();
        let mut is_closed = false;
        while !is_closed && !self.is_stopped.load(Ordering::Acquire) {
            is_closed = !read_more(from, &mut buffered);
            let is_stalled = connection.is_stalled.load(Ordering::Acquire);
            if is_stalled || is_partitioned.load(Ordering::Acquire) {
                // The end of the stream is forwarded after the buffered bytes.
                is_closed = false;
                continue;
            }
            if buffered.is_empty() {
                continue;
            }
            let delay_ms = self.delay_ms.load(Ordering::Acquire);
            thread::sleep(Duration::from_millis(delay_ms));
            thread::sleep(self.transfer_time(buffered.len()));
            if !connection.is_blackholed.load(Ordering::Acquire)
                && to.write_all(&buffered).is_err()
            {
                break;
            }
            buffered.clear();
        }
        // The ends of a blackholed connection must not see it close. On a
        // reset, a shutdown would send a FIN before the RST.
        let is_blackholed = connection.is_blackholed.load(Ordering::Acquire);
        if !is_blackholed && !connection.is_reset.load(Ordering::Acquire) {
            connection.close();
        }
    }
}

/// Reads bytes until the read timeout. Returns false if the stream has ended
/// or failed.
fn read_more(mut from: &TcpStream, buffered: &mut Vec<u8>) -> bool {
    let mut chunk = [0; CHUNK_BYTES];
    match from.read(&mut chunk) {
        Ok(0) => {
            thread::sleep(END_POLL_INTERVAL);
            false
        }
        Ok(count) => {
            buffered.extend_from_slice(&chunk[..count]);
            true
        }
        Err(e) => matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
    }
}

impl Connection {
    fn close(&self) {
        for socket in [&self.caller, &self.target] {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Resets both ends. With a linger time of zero, closing a socket sends a
    /// RST instead of a FIN. The shutdown wakes both threads, and the last one
    /// to drop the connection closes the sockets.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Release);
        for socket in [&self.caller, &self.target] {
            let _ = set_socket_linger(socket, Some(Duration::ZERO));
            let _ = socket.shutdown(Shutdown::Read);
        }
    }
}
