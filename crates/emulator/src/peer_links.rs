//! Links between entries, which can be cut.
//!
//! Each entry has a public address, at which the others know it. A socket there
//! forwards what another entry sends to the entry itself, from the public
//! address of the sender. A cut drops what crosses from one group of entries
//! to another.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
};

use async_executor::{Executor, Task};
use async_io::Async;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The links between all entries of a site, until dropped.
#[derive(Debug)]
pub struct PeerLinks {
    shared: Arc<Shared>,
    /// Tasks that forward messages.
    _forwarding: Vec<Task<()>>,
}

#[derive(Debug)]
struct Shared {
    /// Own address of each entry.
    entries: Vec<SocketAddr>,
    /// Socket at the public address of each entry.
    sockets: Vec<Async<UdpSocket>>,
    /// Group of each entry.
    groups: Mutex<Vec<usize>>,
}

impl PeerLinks {
    /// Opens the links between entries with these addresses, all in one group.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        entries: &[SocketAddr],
    ) -> io::Result<PeerLinks> {
        let bind = |_| Async::<UdpSocket>::bind(([127, 0, 0, 1], 0));
        let sockets: io::Result<Vec<_>> = entries.iter().map(bind).collect();
        let shared = Arc::new(Shared {
            entries: entries.to_vec(),
            sockets: sockets?,
            groups: Mutex::new(vec![0; entries.len()]),
        });
        let forward = |to| {
            let shared = shared.clone();
            executor.spawn(async move {
                let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
                loop {
                    shared.forward(to, &mut bytes).await;
                }
            })
        };
        let forwarding = (0..entries.len()).map(forward).collect();
        Ok(PeerLinks { shared, _forwarding: forwarding })
    }

    /// Public address of an entry.
    ///
    /// # Errors
    ///
    /// The system does not name the address of a socket.
    pub fn public_address(&self, entry: usize) -> io::Result<SocketAddr> {
        self.shared.sockets[entry].get_ref().local_addr()
    }

    /// Cuts the links between entries of different groups. `group` returns the
    /// group of an entry.
    pub fn cut(&self, group: impl Fn(usize) -> usize) {
        let count = self.shared.entries.len();
        *self.groups() = (0..count).map(group).collect();
    }

    /// Ends a cut.
    pub fn heal(&self) {
        self.cut(|_| 0);
    }

    fn groups(&self) -> std::sync::MutexGuard<'_, Vec<usize>> {
        self.shared.groups.lock().expect("no holder panics")
    }
}

impl Shared {
    /// Forwards the next message to an entry.
    async fn forward(&self, to: usize, bytes: &mut [u8]) {
        let received = self.sockets[to].recv_from(bytes).await;
        let Ok((count, from)) = received else { return };
        let Some(from) = self.entries.iter().position(|e| *e == from) else {
            return;
        };
        let is_cut = {
            let groups = self.groups.lock().expect("no holder panics");
            groups[from] != groups[to]
        };
        if !is_cut {
            // The entry may not run.
            let sent = self.sockets[from]
                .send_to(&bytes[..count], self.entries[to])
                .await;
            drop(sent);
        }
    }
}
