//! Free ports for the processes of a fleet.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports used: below those that the system hands out for connections.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Ports that one process begins apart from the next.
const PROCESS_STRIDE: u32 = 397;

/// A port of loopback that nobody listens on.
///
/// # Panics
///
/// No port is free.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = start.wrapping_add(step) % PORT_COUNT;
        let port = (FIRST_PORT + offset) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port from {FIRST_PORT} on is free");
}
