//! Options of a claim store.

use std::{sync::Arc, time::Duration};

use crate::{objects::ObjectClient, wire};

/// Options of a claim store.
///
/// One entry writes at most `1000 / flush_ms` transactions per second, each
/// with up to `batch` claims: with the defaults of 20 ms and 50 claims, 50
/// transactions and 2,500 claims. A key that is already held or a lost
/// response adds one transaction to its flush. Above this rate, up to
/// `queue_limit` claims wait for at most `claim_timeout`; further claims fail
/// as if the service were unavailable.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    pub(super) batch: usize,
    pub(super) flush_ms: u64,
    pub(super) claim_timeout: Duration,
    pub(super) queue_limit: usize,
    pub(super) inline_limit_bytes: usize,
    pub(super) objects: Option<Arc<ObjectClient>>,
}

impl Default for ClaimOptions {
    fn default() -> ClaimOptions {
        ClaimOptions {
            batch: 50,
            flush_ms: 20,
            claim_timeout: Duration::from_secs(2),
            queue_limit: 10_000,
            inline_limit_bytes: 32 * 1024,
            objects: None,
        }
    }
}

impl ClaimOptions {
    /// Returns the default options.
    pub fn new() -> ClaimOptions {
        ClaimOptions::default()
    }

    /// Sets the maximum claims of one transaction, clamped to 1 to 100, the
    /// limit of the service.
    pub fn batch(mut self, count: usize) -> ClaimOptions {
        self.batch = count.clamp(1, wire::MAX_TRANSACT_ITEMS);
        self
    }

    /// Sets the minimum time from one transaction to the next. A claim that
    /// arrives later than that is written immediately.
    pub fn flush_ms(mut self, milliseconds: u64) -> ClaimOptions {
        self.flush_ms = milliseconds;
        self
    }

    /// Sets the timeout of a claim or an update. The timeout of the table
    /// client should be at most half of it, which leaves time to resolve a
    /// lost response.
    pub fn claim_timeout(mut self, timeout: Duration) -> ClaimOptions {
        self.claim_timeout = timeout;
        self
    }

    /// Sets the maximum number of claims that wait; at least 1.
    pub fn queue_limit(mut self, count: usize) -> ClaimOptions {
        self.queue_limit = count.max(1);
        self
    }

    /// Sets the maximum length of a response body stored in the row itself; at
    /// most 256 KiB, since the service limits a row to 400 KB.
    pub fn inline_limit_bytes(mut self, limit: usize) -> ClaimOptions {
        self.inline_limit_bytes = limit.min(256 * 1024);
        self
    }

    /// Sets the object store for longer response bodies. Without an object
    /// store, such responses cannot be stored.
    pub fn objects(mut self, objects: Arc<ObjectClient>) -> ClaimOptions {
        self.objects = Some(objects);
        self
    }
}
