//! Free ports for the processes of a fleet.
//!
//! A port that is free now may be taken by another process before the one it
//! is meant for listens there. So each process that starts fleets has a block
//! of ports of its own, which it marks by listening on the block's first.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
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
/// # Panics
///
/// No block of ports is free, or no port of the block.
pub fn free_address() -> SocketAddr {
    free_listener().0
}

/// A listener on a free port, for what listens in this process: a port that
/// was let go stays taken while a process is being started that had inherited
/// it.
///
/// # Panics
///
/// As of [`free_address`].
pub(crate) fn free_listener() -> (SocketAddr, TcpListener) {
    static BLOCK: OnceLock<Block> = OnceLock::new();
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first_port = BLOCK.get_or_init(take_block).first_port;
    for _ in 0..BLOCK_PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = loopback(first_port + 1 + step % (BLOCK_PORTS - 1));
        if let Ok(listener) = TcpListener::bind(address) {
            return (address, listener);
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
