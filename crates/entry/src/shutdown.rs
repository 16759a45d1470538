//! How an entry stops.
//!
//! First it only says so: answers close their connections, and the balancer
//! is told by readiness. Then it takes no more connections and closes those
//! without a request. What is left is waited for, and at the bound of the
//! stop every request that is still open is ended with an outcome.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Where an entry is on its way to its end.
#[derive(Debug)]
pub(crate) struct Shutdown {
    is_draining: AtomicBool,
    is_aborting: AtomicBool,
    closing_sender: async_channel::Sender<()>,
    closing: async_channel::Receiver<()>,
    connections: Arc<AtomicUsize>,
    unsettled_claims: Arc<AtomicUsize>,
}

/// What an entry still holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemainingWork {
    /// Requests in flight.
    pub requests: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Requests with a key whose end is not noted yet.
    pub unsettled_claims: usize,
}

impl RemainingWork {
    /// Whether nothing is left.
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

    /// No connection is taken any more.
    pub(crate) fn stop_accepting(&self) {
        self.closing_sender.close();
    }

    /// Closes when no connection is taken any more.
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

    /// Counts a request whose end is to be noted, likewise.
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

/// Counts one thing until it is dropped.
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
