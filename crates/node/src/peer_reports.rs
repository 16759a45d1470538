//! Manifest generations that peers have reported, and their control addresses.
//!
//! Messages between processes carry the generation that the sender has in
//! force. A higher generation than any reported before makes the follower poll
//! the store at once instead of at its next interval.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use chestnutreach_protocol::wire::Hello;

/// The highest generation that peers have reported, and their addresses.
#[derive(Debug)]
pub struct PeerReports {
    generation: AtomicU64,
    /// Control address of each VM. Addresses of disconnected peers are kept:
    /// a peer may return, and the addresses are only used while the store is
    /// unavailable or behind.
    control_addresses: Mutex<BTreeMap<String, SocketAddr>>,
    wake_sender: async_channel::Sender<()>,
    wake_receiver: async_channel::Receiver<()>,
}

impl PeerReports {
    /// Creates a record without reports.
    pub fn new() -> PeerReports {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        PeerReports {
            generation: AtomicU64::new(0),
            control_addresses: Mutex::default(),
            wake_sender,
            wake_receiver,
        }
    }

    /// Records the address and the generation in a peer's hello message.
    pub fn record_hello(&self, peer: &Hello) {
        if let Ok(address) = peer.control_address.parse() {
            let mut addresses =
                self.control_addresses.lock().expect("no holder panics");
            addresses.insert(peer.vm.clone(), address);
        }
        self.record_generation(peer.generation);
    }

    /// Control addresses of the peers that have sent a hello message.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let addresses =
            self.control_addresses.lock().expect("no holder panics");
        addresses.values().copied().collect()
    }

    /// Records the generation that a peer has in force.
    pub fn record_generation(&self, generation: u64) {
        let old = self.generation.fetch_max(generation, Ordering::AcqRel);
        if generation > old {
            // If the channel is full, a wake-up is pending already.
            let _ = self.wake_sender.try_send(());
        }
    }

    /// The highest generation that a peer has reported.
    pub fn highest_generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Waits until a peer reports a higher generation than before.
    pub async fn wait_for_higher(&self) {
        let _ = self.wake_receiver.recv().await;
    }
}

impl Default for PeerReports {
    fn default() -> PeerReports {
        PeerReports::new()
    }
}
