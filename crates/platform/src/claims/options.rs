//! Settings of a claim store.

use std::{sync::Arc, time::Duration};

use crate::{objects::ObjectClient, wire};

/// Settings of a claim store, set by chained methods.
///
/// One entry writes at most `1000 / flush_ms` transactions a second, each of
/// up to `batch` claims: with the shipped 20 ms and 50 claims, 50
/// transactions and 2,500 claims; a held key or a lost answer adds one to
/// its flush. Beyond that claims wait, up to
/// `queue_limit` of them and for `claim_timeout`; the rest is refused as if
/// the service were down.
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
    /// The shipped settings.
    pub fn new() -> ClaimOptions {
        ClaimOptions::default()
    }

    /// Most claims in one transaction. Out of 1 to 100, the service's
    /// limit, the nearest is taken.
    pub fn batch(mut self, count: usize) -> ClaimOptions {
        self.batch = count.clamp(1, wire::MAX_TRANSACT_ITEMS);
        self
    }

    /// Shortest time from one transaction to the next. A claim that comes
    /// after a longer pause is written at once.
    pub fn flush_ms(mut self, milliseconds: u64) -> ClaimOptions {
        self.flush_ms = milliseconds;
        self
    }

    /// How long a claim or an update may take. The table client's own
    /// timeout is best at most half of it, so that a lost answer can still
    /// be settled.
    pub fn claim_timeout(mut self, timeout: Duration) -> ClaimOptions {
        self.claim_timeout = timeout;
        self
    }

    /// Most claims that wait.
    pub fn queue_limit(mut self, count: usize) -> ClaimOptions {
        self.queue_limit = count.max(1);
        self
    }

    /// Longest answer kept in the row itself; 256 KiB at most, since a row
    /// may have 400 KB.
    pub fn inline_limit_bytes(mut self, limit: usize) -> ClaimOptions {
        self.inline_limit_bytes = limit.min(256 * 1024);
        self
    }

    /// Where longer answers go. Without it they cannot be kept.
    pub fn objects(mut self, objects: Arc<ObjectClient>) -> ClaimOptions {
        self.objects = Some(objects);
        self
    }
}
