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
pub(crate) struct Stop {
    is_leaving: AtomicBool,
    is_cut: AtomicBool,
    close: async_channel::Sender<()>,
    closing: async_channel::Receiver<()>,
    callers: Arc<AtomicUsize>,
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

impl Stop {
    pub(crate) fn new() -> Stop {
        let (close, closing) = async_channel::bounded(1);
        Stop {
            is_leaving: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
            close,
            closing,
            callers: Arc::default(),
            unsettled_claims: Arc::default(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    pub(crate) fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Release);
    }

    /// No connection is taken any more.
    pub(crate) fn close_callers(&self) {
        self.close.close();
    }

    /// Closes when no connection is taken any more.
    pub(crate) fn closing(&self) -> &async_channel::Receiver<()> {
        &self.closing
    }

    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Acquire)
    }

    pub(crate) fn set_cut(&self) {
        self.is_cut.store(true, Ordering::Release);
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn enter_caller(&self) -> Counted {
        Counted::new(&self.callers)
    }

    /// Counts a request whose end is to be noted, likewise.
    pub(crate) fn enter_unsettled(&self) -> Counted {
        Counted::new(&self.unsettled_claims)
    }

    pub(crate) fn remaining_work(&self, requests: usize) -> RemainingWork {
        RemainingWork {
            requests,
            connections: self.callers.load(Ordering::Acquire),
            unsettled_claims: self.unsettled_claims.load(Ordering::Acquire),
        }
    }
}

/// Counts one thing until it is dropped.
#[derive(Debug)]
pub(crate) struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Counted {
        count.fetch_add(1, Ordering::AcqRel);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
