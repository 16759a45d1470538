//! The ports of a daemon.

use std::net::{SocketAddr, TcpListener};

use anyhow::Context as _;
use async_io::Async;

/// Listens on an address.
///
/// # Errors
///
/// The address is taken or not of this VM.
pub(crate) fn listen(
    port: &str,
    address: SocketAddr,
) -> anyhow::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .with_context(|| format!("cannot listen for {port} on {address}"))
}
