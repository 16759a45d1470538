//! The task that writes claims, one transaction at a time.
//!
//! Transactions are atomic, so a single claim whose key is already held fails
//! the whole batch. The flusher removes that claim, replies to it from the row
//! that it reads back, and sends the rest again. After a lost response, the
//! flusher reads the rows back too. Missing rows may still be written by the
//! lost transaction, so the flusher repeats the same writes with the same
//! token, which the service applies once, until all callers have timed out.

use std::{
    collections::{BTreeSet, VecDeque},
    mem,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt as _;

use super::{
    ClaimError, ClaimOptions,
    counts::{Counters, increment},
    pending::{PendingWrite, Reply, WriteKind},
};
use crate::table::{TableClient, TableError};

mod resolve;

/// Maximum bytes of values in one transaction; the limit of the service is
/// 4 MB.
const MAX_FLUSH_BYTES: usize = 3 << 20;
/// Maximum backoff while the service throttles calls or is unavailable.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Minimum pause before a retry.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Pause between two attempts to withdraw claims while there are no other
/// writes.
const WITHDRAW_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Flusher {
    table: Arc<TableClient>,
    options: ClaimOptions,
    inbox: Receiver<PendingWrite>,
    counters: Arc<Counters>,
    queue: VecDeque<PendingWrite>,
    withdrawals: VecDeque<PendingWrite>,
    backoff: Duration,
    next_flush: Instant,
}

impl Flusher {
    pub(super) fn new(
        table: Arc<TableClient>,
        options: ClaimOptions,
        inbox: Receiver<PendingWrite>,
        counters: Arc<Counters>,
    ) -> Flusher {
        Flusher {
            table,
            options,
            inbox,
            counters,
            queue: VecDeque::new(),
            withdrawals: VecDeque::new(),
            backoff: Duration::ZERO,
            next_flush: Instant::now(),
        }
    }

    pub(super) async fn run(mut self) {
        while self.wait_for_work().await {
            Timer::at(self.next_flush).await;
            self.fill_queue();
            let batch = self.next_batch();
            if !batch.is_empty() {
                let started = Instant::now();
                self.commit(batch).await;
                self.schedule_next_flush(started);
            }
        }
    }

    /// Waits for writes; returns false after the store was dropped and all
    /// writes are done.
    async fn wait_for_work(&mut self) -> bool {
        if !self.queue.is_empty() {
            return true;
        }
        let has_withdrawals = !self.withdrawals.is_empty();
        let next = async { self.inbox.recv().await.map(Some) };
        let pause = async {
            match has_withdrawals {
                true => Timer::after(WITHDRAW_INTERVAL).await,
                false => std::future::pending().await,
            };
            Ok(None)
        };
        match next.or(pause).await {
            Ok(Some(pending)) => {
                self.queue.push_back(pending);
                true
            }
            Ok(None) => true,
            Err(_) => false,
        }
    }

    /// Sets the earliest time of the next flush.
    fn schedule_next_flush(&mut self, started: Instant) {
        let after_backoff = Instant::now() + self.backoff;
        self.next_flush = after_backoff.max(started + self.interval());
    }

    fn interval(&self) -> Duration {
        Duration::from_millis(self.options.flush_ms)
    }

    /// Doubles the backoff, up to a quarter of the claim timeout, so that no
    /// claim times out during a pause after the service is available again.
    fn increase_backoff(&mut self) {
        let quarter = self.options.claim_timeout / 4;
        let doubled = (self.backoff * 2).max(MIN_BACKOFF);
        self.backoff = doubled.min(MAX_BACKOFF).min(quarter);
    }

    /// Moves writes for one flush from the inbox to the queue. The rest stays
    /// in the inbox, whose capacity is `queue_limit`.
    fn fill_queue(&mut self) {
        while self.queue.len() < self.options.batch
            && let Ok(pending) = self.inbox.try_recv()
        {
            self.queue.push_back(pending);
        }
    }

    /// Returns the writes of the next transaction. The service refuses two
    /// writes of one row in a transaction, so the second write waits.
    fn next_batch(&mut self) -> Vec<PendingWrite> {
        let now = Instant::now();
        let withdrawals = mem::take(&mut self.withdrawals);
        let unexpired = withdrawals.into_iter().filter(|p| p.deadline > now);
        self.queue.extend(unexpired);
        let mut keys = BTreeSet::new();
        let mut bytes: usize = 0;
        let mut batch: Vec<PendingWrite> = Vec::new();
        let mut deferred = VecDeque::new();
        while let Some(pending) = self.queue.pop_front() {
            let size = pending.value.len();
            let is_full = batch.len() == self.options.batch
                || (bytes + size > MAX_FLUSH_BYTES && !batch.is_empty());
            if is_full {
                deferred.push_back(pending);
                break;
            }
            if keys.contains(&pending.row_key) {
                deferred.push_back(pending);
            } else if pending.mark_sent() {
                keys.insert(pending.row_key.clone());
                bytes += size;
                batch.push(pending);
            }
        }
        deferred.append(&mut self.queue);
        self.queue = deferred;
        batch
    }

    async fn commit(&mut self, mut batch: Vec<PendingWrite>) {
        let mut token = new_token();
        while !batch.is_empty() {
            increment(&self.counters.transactions);
            let writes = batch.iter().map(PendingWrite::write).collect();
            let result = self.table.transact_expiring(writes, &token).await;
            let was_ambiguous = batch.iter().any(|p| p.is_ambiguous);
            match result {
                Ok(()) => return self.complete_all(batch),
                Err(TableError::Conflict { failed }) => {
                    self.backoff = Duration::ZERO;
                    token = new_token();
                    let (conflicting, rest) = split_off(batch, &failed);
                    self.reply_to_conflicts(conflicting).await;
                    batch = rest;
                }
                // After a lost response, an error describes only the last
                // attempt; an earlier one may have been applied.
                Err(e) if was_ambiguous || is_lost_response(&e) => {
                    increment(&self.counters.lost_responses);
                    let resolution = self.resolve(batch).await;
                    if !resolution.is_entire_batch {
                        token = new_token();
                    }
                    batch = resolution.unwritten;
                }
                Err(TableError::Unavailable { is_throttled, .. }) => {
                    return self.handle_unapplied(batch, is_throttled);
                }
                Err(_) => return self.handle_unapplied(batch, false),
            }
        }
    }

    fn complete_all(&mut self, batch: Vec<PendingWrite>) {
        for pending in batch {
            let version = pending.new_version();
            self.complete(pending, version);
        }
    }

    fn complete(&mut self, pending: PendingWrite, version: u64) {
        self.backoff = Duration::ZERO;
        if let WriteKind::Withdraw { .. } = pending.kind {
            return increment(&self.counters.withdrawn);
        }
        increment(&self.counters.written);
        let is_delivered = pending.reply(Ok(Reply::Written { version }));
        if !is_delivered {
            self.withdraw(&pending);
        }
    }

    /// Queues a write that marks a claim as not run, because its caller did
    /// not learn that it holds the key.
    fn withdraw(&mut self, pending: &PendingWrite) {
        let has_capacity = self.withdrawals.len() < self.options.queue_limit;
        if pending.kind == WriteKind::Claim && has_capacity {
            let withdrawal =
                PendingWrite::withdrawal(&pending.row_key, &pending.row);
            self.withdrawals.push_back(withdrawal);
        }
    }

    /// Queues a batch again if the service throttled it, and fails it
    /// otherwise. There is no backoff in the second case: claims that arrive
    /// while the service is unavailable must fail immediately too.
    fn handle_unapplied(
        &mut self,
        batch: Vec<PendingWrite>,
        is_throttled: bool,
    ) {
        if is_throttled {
            self.increase_backoff();
        }
        for pending in batch.into_iter().rev() {
            if let WriteKind::Withdraw { .. } = pending.kind {
                self.withdrawals.push_back(pending);
            } else if is_throttled {
                self.requeue(pending);
            } else {
                pending.reply(Err(ClaimError::StoreUnavailable));
            }
        }
    }

    /// Queues a write again after no attempt was applied.
    fn requeue(&mut self, mut pending: PendingWrite) {
        if pending.mark_queued() {
            self.queue.push_front(pending);
        }
    }
}

fn is_lost_response(error: &TableError) -> bool {
    matches!(error, TableError::Ambiguous { .. })
}

/// Splits off the writes with the given indexes.
fn split_off(
    batch: Vec<PendingWrite>,
    indexes: &[usize],
) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let (mut selected, mut rest) = (Vec::new(), Vec::new());
    for (index, pending) in batch.into_iter().enumerate() {
        match indexes.contains(&index) {
            true => selected.push(pending),
            false => rest.push(pending),
        }
    }
    (selected, rest)
}

/// Creates a random request token; the service allows at most 36 characters.
fn new_token() -> String {
    format!("{:032x}", fastrand::u128(..))
}
