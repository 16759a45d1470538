//! How an entry shuts down.
//!
//! The entry first drains: responses close their connections, and the
//! readiness endpoint takes the entry out of the load balancer. Then it stops
//! accepting connections and closes idle ones. It waits for the remaining
//! work, and at the drain limit ends every open request with an outcome.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Progress of an entry's shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    is_draining: AtomicBool,
    is_aborting: AtomicBool,
    closing_sender: async_channel::Sender<()>,
    closing: async_channel::Receiver<()>,
    connections: Arc<AtomicUsize>,
    unsettled_claims: Arc<AtomicUsize>,
}

/// Work that must finish before the process can exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemainingWork {
    /// Requests in flight.
    pub requests: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Keyed requests whose outcome is not recorded in their claim yet.
    pub unsettled_claims: usize,
}

impl RemainingWork {
    /// Whether no work remains.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
            && self.connections == 0
            && self.unsettled_claims == 0
    }
}

impl Shutdown {
    pub(crate) fn new() -> Shutdown {
        let (closing_sender, closing) = async_channel::bounded(1);
        Shutdown {
            is_draining: AtomicBool::new(false),
            is_aborting: AtomicBool::new(false),
            closing_sender,
            closing,
            connections: Arc::default(),
            unsettled_claims: Arc::default(),
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    pub(crate) fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Release);
    }

    /// Stops accepting connections.
    pub(crate) fn stop_accepting(&self) {
        self.closing_sender.close();
    }

    /// Channel that closes when the entry stops accepting connections.
    pub(crate) fn closing(&self) -> &async_channel::Receiver<()> {
        &self.closing
    }

    pub(crate) fn is_aborting(&self) -> bool {
        self.is_aborting.load(Ordering::Acquire)
    }

    pub(crate) fn set_aborting(&self) {
        self.is_aborting.store(true, Ordering::Release);
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    /// Counts a keyed request with an unrecorded outcome until the guard is
    /// dropped.
    pub(crate) fn count_unsettled_claim(&self) -> CountGuard {
        CountGuard::new(&self.unsettled_claims)
    }

    pub(crate) fn remaining_work(&self, requests: usize) -> RemainingWork {
        RemainingWork {
            requests,
            connections: self.connections.load(Ordering::Acquire),
            unsettled_claims: self.unsettled_claims.load(Ordering::Acquire),
        }
    }
}

/// Increments a counter until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> CountGuard {
        count.fetch_add(1, Ordering::AcqRel);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
