//! Allocation of free ports for the processes of a fleet.
//!
//! Another process may bind a free port before the process that it was
//! allocated for does. To prevent this, each process that starts fleets
//! reserves a block of ports by listening on the first port of the block.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU32, Ordering},
    },
};

/// First port of all blocks. The blocks lie below the ephemeral port range,
/// from which the system assigns ports to outgoing connections.
const FIRST_PORT: u32 = 2_000;
const BLOCK_PORTS: u32 = 625;
const BLOCK_COUNT: u32 = 16;

/// The port block of this process.
struct PortBlock {
    first_port: u32,
    /// Listener on the first port, which reserves the block.
    _reservation: TcpListener,
}

/// Returns a loopback address whose port nobody listens on.
///
/// Ports are probed by connecting, not by binding. A process that is being
/// started at that moment would inherit a bound socket and keep the port in
/// use until its exec.
///
/// # Panics
///
/// Panics if no block is free, or no port of the block.
pub fn free_address() -> SocketAddr {
    find_port(|address| TcpStream::connect(address).err().map(|_| address))
}

/// Returns a listener on a free port, for a server in this process.
///
/// # Panics
///
/// Panics under the same conditions as [`free_address`].
pub(crate) fn free_listener() -> (SocketAddr, TcpListener) {
    find_port(|address| Some((address, TcpListener::bind(address).ok()?)))
}

/// Tries the ports of the block in turn, starting after the last one tried,
/// until `try_port` accepts one.
fn find_port<T>(try_port: impl Fn(SocketAddr) -> Option<T>) -> T {
    static BLOCK: OnceLock<PortBlock> = OnceLock::new();
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let first_port = BLOCK.get_or_init(reserve_block).first_port;
    for _ in 0..BLOCK_PORTS {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let address = loopback(first_port + 1 + offset % (BLOCK_PORTS - 1));
        if let Some(found) = try_port(address) {
            return found;
        }
    }
    panic!("all {BLOCK_PORTS} ports from {first_port} on are in use");
}

fn reserve_block() -> PortBlock {
    let start = process::id();
    for offset in 0..BLOCK_COUNT {
        let number = start.wrapping_add(offset) % BLOCK_COUNT;
        let first_port = FIRST_PORT + number * BLOCK_PORTS;
        if let Ok(reservation) = TcpListener::bind(loopback(first_port)) {
            return PortBlock { first_port, _reservation: reservation };
        }
    }
    panic!(
        "all {BLOCK_COUNT} port blocks from port {FIRST_PORT} on are in use"
    );
}

fn loopback(port: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}
