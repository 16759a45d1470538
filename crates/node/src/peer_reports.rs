//! What peers have told of the manifest, and where to ask them.
//!
//! Every message between processes that says who they are carries the
//! generation in force. Hearing a higher one than this process has makes it
//! look at the store at once instead of at its next poll.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use chestnutreach_protocol::wire::Hello;

/// What peers have told.
#[derive(Debug)]
pub struct PeerReports {
    generation: AtomicU64,
    /// Where each VM takes control calls. One that has gone stays: it may
    /// be back, and its address is only asked when the store is not there.
    control_addresses: Mutex<BTreeMap<String, SocketAddr>>,
    wake: async_channel::Sender<()>,
    woken: async_channel::Receiver<()>,
}

impl PeerReports {
    /// Nothing heard yet.
    pub fn new() -> PeerReports {
        let (wake, woken) = async_channel::bounded(1);
        PeerReports {
            generation: AtomicU64::new(0),
            control_addresses: Mutex::default(),
            wake,
            woken,
        }
    }

    /// A link to a peer has opened.
    pub fn record_hello(&self, peer: &Hello) {
        if let Ok(address) = peer.control_address.parse() {
            let mut addresses =
                self.control_addresses.lock().expect("no holder panics");
            addresses.insert(peer.vm.clone(), address);
        }
        self.record_generation(peer.generation);
    }

    /// Where the peers that were met take control calls.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let addresses =
            self.control_addresses.lock().expect("no holder panics");
        addresses.values().copied().collect()
    }

    /// A peer has this generation in force.
    pub fn record_generation(&self, generation: u64) {
        let old = self.generation.fetch_max(generation, Ordering::AcqRel);
        if generation > old {
            // A full channel has woken the reader already.
            let _ = self.wake.try_send(());
        }
    }

    /// The highest generation heard of.
    pub fn highest_generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Waits until a higher generation than before is heard of.
    pub async fn wait_for_higher(&self) {
        let _ = self.woken.recv().await;
    }
}

impl Default for PeerReports {
    fn default() -> PeerReports {
        PeerReports::new()
    }
}
