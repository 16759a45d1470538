//! Listening sockets of a daemon.

use std::net::{SocketAddr, TcpListener};

use anyhow::Context as _;
use async_io::Async;

/// Listens on an address; `purpose` describes the socket in errors.
///
/// # Errors
///
/// The address is in use or doesn't belong to this VM.
pub(crate) fn listen(
    purpose: &str,
    address: SocketAddr,
) -> anyhow::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .with_context(|| format!("cannot listen for {purpose} on {address}"))
}
