//! A listening port with a bound on its connections.
//!
//! It stands here because what goes wrong with a port is only told by events.

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

/// Wait after a connection could not be taken, for example because the
/// process has no file descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// A listening port.
#[derive(Debug)]
pub struct Port {
    listener: Async<TcpListener>,
    name: &'static str,
    max_connections: usize,
    open: Arc<AtomicUsize>,
}

impl Port {
    /// Bounds a port; the name is for events.
    pub fn new(
        listener: Async<TcpListener>,
        name: &'static str,
        max_connections: usize,
    ) -> Port {
        Port { listener, name, max_connections, open: Arc::default() }
    }

    /// The next connection within the bound; those past it are closed.
    pub async fn accept(&self) -> AcceptedConnection {
        loop {
            match self.listener.accept().await {
                Ok((socket, peer)) => {
                    if let Some(slot) = self.take_slot() {
                        return AcceptedConnection { socket, peer, slot };
                    }
                }
                Err(e) => {
                    let port = &self.name;
                    emit(
                        Event::AcceptFailed,
                        &[("port", port), ("error", &e)],
                    );
                    Timer::after(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Connections that hold a slot.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn take_slot(&self) -> Option<ConnectionSlot> {
        let slot = ConnectionSlot(self.open.clone());
        let others = self.open.fetch_add(1, Ordering::Relaxed);
        if others < self.max_connections {
            return Some(slot);
        }
        emit(
            Event::ConnectionLimitReached,
            &[("port", &self.name), ("limit", &self.max_connections)],
        );
        None
    }
}

/// A connection that was taken.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub socket: Async<TcpStream>,
    /// Its other end.
    pub peer: SocketAddr,
    /// Counts it until dropped.
    pub slot: ConnectionSlot,
}

/// One of the connections that a port may have.
#[derive(Debug)]
pub struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
