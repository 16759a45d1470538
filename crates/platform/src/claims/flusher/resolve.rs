//! Determines the outcome of writes that were not confirmed.
//!
//! The flusher reads the rows back. A missing row is not proof that the write
//! failed, since the write may still be applied later.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use async_io::Timer;

use super::{Flusher, MIN_BACKOFF};
use crate::{
    claims::{
        ClaimError,
        claim::{self, ClaimState},
        pending::{PendingWrite, Reply, WriteKind},
        row::ClaimRow,
    },
    table::{Condition, Row, TableError},
};

/// Result of reading back a batch.
pub(super) struct Resolution {
    /// Writes that were not applied and whose conditions still hold.
    pub(super) unwritten: Vec<PendingWrite>,
    /// Whether this is the entire batch, which then may still be in transit.
    pub(super) is_entire_batch: bool,
}

impl Flusher {
    /// Replies to writes whose condition failed.
    pub(super) async fn reply_to_conflicts(
        &mut self,
        conflicting: Vec<PendingWrite>,
    ) {
        let Ok(rows) = self.read_back(&conflicting).await else {
            for pending in conflicting {
                self.fail(pending);
            }
            return;
        };
        for pending in conflicting {
            let row = rows.get(&pending.row_key);
            self.reply_from_row(pending, row);
        }
    }

    fn reply_from_row(
        &mut self,
        mut pending: PendingWrite,
        row: Option<&Row>,
    ) {
        let Some(row) = row else {
            return match pending.kind {
                // The row existed when the write failed, but was removed
                // since.
                WriteKind::Claim | WriteKind::Withdraw { .. } => {
                    pending.condition = Condition::Absent;
                    self.requeue(pending);
                }
                WriteKind::Update => {
                    pending.reply(Ok(Reply::Occupied(None)));
                }
            };
        };
        if row.value == pending.value {
            return self.complete(pending, row.version);
        }
        let Some(found) = ClaimRow::try_decode(row) else {
            return self.fail(pending);
        };
        let may_overwrite = match pending.kind {
            WriteKind::Claim => found.claim.has_expired(claim::now_unix_s()),
            WriteKind::Update => false,
            WriteKind::Withdraw { call_id } => {
                let is_open = found.claim.state == ClaimState::Claimed;
                found.call_id == call_id && is_open
            }
        };
        if may_overwrite {
            pending.condition = Condition::Version(row.version);
            self.requeue(pending);
        } else {
            pending.reply(Ok(Reply::Occupied(Some(Box::new(found)))));
        }
    }

    /// Determines the outcome of a batch whose response was lost.
    pub(super) async fn resolve(
        &mut self,
        mut batch: Vec<PendingWrite>,
    ) -> Resolution {
        for pending in &mut batch {
            pending.is_ambiguous = true;
        }
        let deadline = batch.iter().filter(|p| has_receiver(p));
        let deadline = deadline.map(|p| p.deadline).max();
        let rows = loop {
            if deadline.is_none_or(|at| Instant::now() >= at) {
                return self.fail_all(batch);
            }
            match self.read_back(&batch).await {
                Ok(rows) => break rows,
                Err(_) => {
                    self.increase_backoff();
                    Timer::after(self.backoff).await;
                }
            }
        };
        // The service responds again, so a long pause would only delay the
        // callers.
        self.backoff = Duration::ZERO;
        let count = batch.len();
        let mut unwritten = Vec::new();
        for pending in batch {
            let row = rows.get(&pending.row_key);
            let is_written = row.is_some_and(|r| r.value == pending.value);
            if !is_written && pending.condition.holds(row) {
                unwritten.push(pending);
            } else {
                self.reply_from_row(pending, row);
            }
        }
        let is_entire_batch = unwritten.len() == count;
        if is_entire_batch {
            Timer::after(self.interval().max(MIN_BACKOFF)).await;
        }
        Resolution { unwritten, is_entire_batch }
    }

    fn fail_all(&mut self, batch: Vec<PendingWrite>) -> Resolution {
        for pending in batch {
            self.fail(pending);
        }
        Resolution { unwritten: Vec::new(), is_entire_batch: false }
    }

    /// Fails a write whose outcome cannot be determined in time. A withdrawal
    /// is queued again.
    fn fail(&mut self, pending: PendingWrite) {
        if let WriteKind::Withdraw { .. } = pending.kind {
            return self.withdrawals.push_back(pending);
        }
        if pending.is_ambiguous {
            pending.reply(Err(ClaimError::Ambiguous));
            self.withdraw(&pending);
        } else {
            pending.reply(Err(ClaimError::StoreUnavailable));
        }
    }

    async fn read_back(
        &self,
        batch: &[PendingWrite],
    ) -> Result<BTreeMap<String, Row>, TableError> {
        let keys: Vec<_> = batch.iter().map(|p| p.row_key.clone()).collect();
        self.table.read_many(&keys).await
    }
}

fn has_receiver(pending: &PendingWrite) -> bool {
    !matches!(pending.kind, WriteKind::Withdraw { .. })
}
