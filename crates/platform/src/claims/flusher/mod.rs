//! The task that writes claims, one transaction at a time.
//!
//! A transaction is all or nothing, so one claim whose key is held fails all
//! of it: it is taken out, answered from the row read back, and the rest is
//! sent again. When an answer is lost, the rows are read back. Rows that are
//! not there yet may still come, so the same writes are sent again with the
//! same token, which the service applies once; that goes on until every
//! waiter has given up.

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
    counts::{Counters, count},
    pending::{Kind, Pending, Reply},
};
use crate::table::{TableClient, TableError};

mod settle;

/// Most bytes of values in one transaction; the published limit is 4 MB.
const MAX_FLUSH_BYTES: usize = 3 << 20;
/// Longest pause while the service asks for a lower rate or is down.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Shortest pause before something is tried again.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Pause between two tries to withdraw claims when nothing else is written.
const WITHDRAW_PAUSE: Duration = Duration::from_secs(1);

pub(super) struct Flusher {
    table: Arc<TableClient>,
    options: ClaimOptions,
    inbox: Receiver<Pending>,
    counters: Arc<Counters>,
    queue: VecDeque<Pending>,
    withdrawals: VecDeque<Pending>,
    backoff: Duration,
    next_flush: Instant,
}

impl Flusher {
    pub(super) fn new(
        table: Arc<TableClient>,
        options: ClaimOptions,
        inbox: Receiver<Pending>,
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
            self.empty_inbox();
            let batch = self.take_batch();
            if !batch.is_empty() {
                let begin = Instant::now();
                self.commit(batch).await;
                self.pace(begin);
            }
        }
    }

    /// False when the store was dropped and nothing is left.
    async fn wait_for_work(&mut self) -> bool {
        if !self.queue.is_empty() {
            return true;
        }
        let has_withdrawals = !self.withdrawals.is_empty();
        let next = async { self.inbox.recv().await.map(Some) };
        let pause = async {
            match has_withdrawals {
                true => Timer::after(WITHDRAW_PAUSE).await,
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
    fn pace(&mut self, begin: Instant) {
        let after_backoff = Instant::now() + self.backoff;
        self.next_flush = after_backoff.max(begin + self.interval());
    }

    fn interval(&self) -> Duration {
        Duration::from_millis(self.options.flush_ms)
    }

    /// Doubles the pause, up to a quarter of the time that a claim has, so
    /// that none runs out of its time just after the service came back.
    fn slow_down(&mut self) {
        let quarter = self.options.claim_timeout / 4;
        let doubled = (self.backoff * 2).max(MIN_BACKOFF);
        self.backoff = doubled.min(MAX_BACKOFF).min(quarter);
    }

    /// Takes in what one flush needs; the rest waits in the inbox, whose
    /// bound is that of the queue.
    fn empty_inbox(&mut self) {
        while self.queue.len() < self.options.batch
            && let Ok(pending) = self.inbox.try_recv()
        {
            self.queue.push_back(pending);
        }
    }

    /// Takes what the next transaction writes. The service refuses two
    /// writes of one row in a transaction, so the second waits.
    fn take_batch(&mut self) -> Vec<Pending> {
        let now = Instant::now();
        let withdrawals = mem::take(&mut self.withdrawals);
        let in_time = withdrawals.into_iter().filter(|p| p.deadline > now);
        self.queue.extend(in_time);
        let mut keys = BTreeSet::new();
        let mut bytes: usize = 0;
        let mut batch: Vec<Pending> = Vec::new();
        let mut later = VecDeque::new();
        while let Some(pending) = self.queue.pop_front() {
            let size = pending.value.len();
            let is_full = batch.len() == self.options.batch
                || (bytes + size > MAX_FLUSH_BYTES && !batch.is_empty());
            if is_full {
                later.push_back(pending);
                break;
            }
            if keys.contains(&pending.row_key) {
                later.push_back(pending);
            } else if pending.begin_sending() {
                keys.insert(pending.row_key.clone());
                bytes += size;
                batch.push(pending);
            }
        }
        later.append(&mut self.queue);
        self.queue = later;
        batch
    }

    async fn commit(&mut self, mut batch: Vec<Pending>) {
        let mut token = new_token();
        while !batch.is_empty() {
            count(&self.counters.transactions);
            let writes = batch.iter().map(Pending::write).collect();
            let result = self.table.transact_expiring(writes, &token).await;
            let was_ambiguous = batch.iter().any(|p| p.is_ambiguous);
            match result {
                Ok(()) => return self.all_written(batch),
                Err(TableError::Conflict { failed }) => {
                    self.backoff = Duration::ZERO;
                    token = new_token();
                    let (taken, rest) = split(batch, &failed);
                    self.answer_taken(taken).await;
                    batch = rest;
                }
                // After a lost answer an error tells of the last attempt
                // only; an earlier one may have been applied.
                Err(e) if was_ambiguous || is_lost_answer(&e) => {
                    count(&self.counters.lost_responses);
                    let settled = self.settle(batch).await;
                    if !settled.is_whole {
                        token = new_token();
                    }
                    batch = settled.open;
                }
                Err(TableError::Unavailable { is_throttled, .. }) => {
                    return self.not_applied(batch, is_throttled);
                }
                Err(_) => return self.not_applied(batch, false),
            }
        }
    }

    fn all_written(&mut self, batch: Vec<Pending>) {
        for pending in batch {
            let version = pending.new_version();
            self.written(pending, version);
        }
    }

    fn written(&mut self, pending: Pending, version: u64) {
        self.backoff = Duration::ZERO;
        if let Kind::Withdraw { .. } = pending.kind {
            return count(&self.counters.withdrawn);
        }
        count(&self.counters.written);
        let is_told = pending.reply(Ok(Reply::Written { version }));
        if !is_told {
            self.withdraw(&pending);
        }
    }

    /// Marks a claim as not run whose caller was not told that it is theirs.
    fn withdraw(&mut self, pending: &Pending) {
        let has_room = self.withdrawals.len() < self.options.queue_limit;
        if pending.kind == Kind::Claim && has_room {
            let withdrawal =
                Pending::withdrawal(&pending.row_key, &pending.row);
            self.withdrawals.push_back(withdrawal);
        }
    }

    /// Queues a batch again when the service only wants a lower rate, and
    /// refuses it otherwise, without a pause: claims that come while the
    /// service is down are to be refused at once too.
    fn not_applied(&mut self, batch: Vec<Pending>, is_throttled: bool) {
        if is_throttled {
            self.slow_down();
        }
        for pending in batch.into_iter().rev() {
            if let Kind::Withdraw { .. } = pending.kind {
                self.withdrawals.push_back(pending);
            } else if is_throttled {
                self.requeue(pending);
            } else {
                pending.reply(Err(ClaimError::StoreUnavailable));
            }
        }
    }

    /// Queues a write again of which no attempt was applied.
    fn requeue(&mut self, mut pending: Pending) {
        if pending.take_back() {
            self.queue.push_front(pending);
        }
    }
}

fn is_lost_answer(error: &TableError) -> bool {
    matches!(error, TableError::Ambiguous { .. })
}

/// Splits off the writes with these indexes.
fn split(
    batch: Vec<Pending>,
    indexes: &[usize],
) -> (Vec<Pending>, Vec<Pending>) {
    let (mut taken, mut rest) = (Vec::new(), Vec::new());
    for (index, pending) in batch.into_iter().enumerate() {
        match indexes.contains(&index) {
            true => taken.push(pending),
            false => rest.push(pending),
        }
    }
    (taken, rest)
}

/// A request token; 36 characters at most.
fn new_token() -> String {
    format!("{:032x}", fastrand::u128(..))
}
