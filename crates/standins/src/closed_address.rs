//! An address that refuses connections.

use std::net::SocketAddr;

use rustix::net::{self, AddressFamily, SocketType};

/// An address at which nobody listens. Its port stays bound until the process
/// ends, so that no test that runs beside gets it.
///
/// # Panics
///
/// No port can be bound.
pub fn closed_address() -> SocketAddr {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None)
        .expect("a socket opens");
    net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a port is free");
    let address = net::getsockname(&socket).expect("the socket is bound");
    std::mem::forget(socket);
    SocketAddr::try_from(address).expect("the socket is of IPv4")
}
