//! Free ports for the processes of a fleet.
//!
//! A port that is free now may be taken by another process before the one it
//! is meant for listens there. So each process that starts fleets has a block
//! of ports of its own, which it marks by listening on the block's first.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU32, Ordering},
    },
};

/// Ports used: below those that the system hands out for connections.
const FIRST_PORT: u32 = 2_000;
const BLOCK_PORTS: u32 = 625;
const BLOCK_COUNT: u32 = 16;

/// The ports of this process.
struct Block {
    first_port: u32,
    /// Keeps others out.
    _mark: TcpListener,
}

/// A port of loopback that nobody listens on.
///
/// It is looked for by connecting: a socket that had listened there would be
/// inherited by any process that is being started just then, and keep the
/// port taken until that one runs.
///
/// # Panics
///
/// No block of ports is free, or no port of the block.
pub fn free_address() -> SocketAddr {
    find(|address| TcpStream::connect(address).err().map(|_| address))
}

/// A listener on a free port, for what listens in this process.
///
/// # Panics
///
/// As of [`free_address`].
pub(crate) fn free_listener() -> (SocketAddr, TcpListener) {
    find(|address| Some((address, TcpListener::bind(address).ok()?)))
}

/// The first port from the last one found on that `take` takes.
fn find<T>(take: impl Fn(SocketAddr) -> Option<T>) -> T {
    static BLOCK: OnceLock<Block> = OnceLock::new();
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first_port = BLOCK.get_or_init(take_block).first_port;
    for _ in 0..BLOCK_PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = loopback(first_port + 1 + step % (BLOCK_PORTS - 1));
        if let Some(taken) = take(address) {
            return taken;
        }
    }
    panic!("none of the {BLOCK_PORTS} ports from {first_port} on is free");
}

fn take_block() -> Block {
    let start = process::id();
    for step in 0..BLOCK_COUNT {
        let number = start.wrapping_add(step) % BLOCK_COUNT;
        let first_port = FIRST_PORT + number * BLOCK_PORTS;
        if let Ok(mark) = TcpListener::bind(loopback(first_port)) {
            return Block { first_port, _mark: mark };
        }
    }
    panic!("all {BLOCK_COUNT} blocks of ports from {FIRST_PORT} on are taken");
}

fn loopback(port: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}
