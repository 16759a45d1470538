//! Listener with a limit on open connections.
//!
//! The module is part of this crate because failures of a port are only
//! reported as events.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_io::{Async, Timer};

use crate::event::{Event, emit};

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listener that accepts a limited number of connections.
#[derive(Debug)]
pub struct Port {
    listener: Async<TcpListener>,
    name: &'static str,
    max_connections: usize,
    open: Arc<AtomicUsize>,
}

impl Port {
    /// Wraps `listener`; `name` identifies the port in events.
    pub fn new(
        listener: Async<TcpListener>,
        name: &'static str,
        max_connections: usize,
    ) -> Port {
        Port { listener, name, max_connections, open: Arc::default() }
    }

    /// Waits for the next connection. Connections above the limit are closed.
    pub async fn accept(&self) -> AcceptedConnection {
        loop {
            match self.listener.accept().await {
                Ok((socket, peer)) => {
                    if let Some(slot) = self.acquire_slot() {
                        return AcceptedConnection { socket, peer, slot };
                    }
                }
                Err(e) => {
                    let port = &self.name;
                    emit(
                        Event::AcceptFailed,
                        &[("port", port), ("error", &e)],
                    );
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Number of connections that hold a slot.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn acquire_slot(&self) -> Option<ConnectionSlot> {
        let slot = ConnectionSlot(self.open.clone());
        let previously_open = self.open.fetch_add(1, Ordering::Relaxed);
        if previously_open < self.max_connections {
            return Some(slot);
        }
        emit(
            Event::ConnectionLimitReached,
            &[("port", &self.name), ("limit", &self.max_connections)],
        );
        None
    }
}

/// An accepted connection.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub socket: Async<TcpStream>,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Counts the connection against the limit until dropped.
    pub slot: ConnectionSlot,
}

/// Share of a port's connection limit, released on drop.
#[derive(Debug)]
pub struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
