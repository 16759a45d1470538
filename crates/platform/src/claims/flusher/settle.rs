//! What became of writes that were not plainly applied.
//!
//! The rows are read back and tell. A row that is not there yet may still
//! come, so it alone settles nothing.

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
        pending::{Kind, Pending, Reply},
        row::ClaimRow,
    },
    table::{Condition, Row, TableError},
};

/// What reading back told of a batch.
pub(super) struct Settled {
    /// Not written, and their conditions still hold.
    pub(super) open: Vec<Pending>,
    /// Whether all of the batch is open, so that it may still be on its way.
    pub(super) is_whole: bool,
}

impl Flusher {
    /// Answers writes whose condition failed.
    pub(super) async fn answer_taken(&mut self, taken: Vec<Pending>) {
        let Ok(rows) = self.read_back(&taken).await else {
            for pending in taken {
                self.fail(pending);
            }
            return;
        };
        for pending in taken {
            let row = rows.get(&pending.row_key);
            self.answer_from_row(pending, row);
        }
    }

    fn answer_from_row(&mut self, mut pending: Pending, row: Option<&Row>) {
        let Some(row) = row else {
            return match pending.kind {
                // The row was there a moment ago and has gone.
                Kind::Claim | Kind::Withdraw { .. } => {
                    pending.condition = Condition::Absent;
                    self.requeue(pending);
                }
                Kind::Update => {
                    pending.reply(Ok(Reply::Occupied(None)));
                }
            };
        };
        if row.value == pending.value {
            return self.written(pending, row.version);
        }
        let Some(found) = ClaimRow::try_decode(row) else {
            return self.fail(pending);
        };
        let may_overwrite = match pending.kind {
            Kind::Claim => found.claim.has_expired(claim::now_unix_s()),
            Kind::Update => false,
            Kind::Withdraw { call_id } => {
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

    /// Finds out what became of a batch whose answer was lost.
    pub(super) async fn settle(&mut self, mut batch: Vec<Pending>) -> Settled {
        for pending in &mut batch {
            pending.is_ambiguous = true;
        }
        let give_up = batch.iter().filter(|p| is_awaited(p));
        let give_up = give_up.map(|p| p.deadline).max();
        let rows = loop {
            if give_up.is_none_or(|at| Instant::now() >= at) {
                return self.leave_unsettled(batch);
            }
            match self.read_back(&batch).await {
                Ok(rows) => break rows,
                Err(_) => {
                    self.slow_down();
                    Timer::after(self.backoff).await;
                }
            }
        };
        // The service answers again, so a long pause would only cost the
        // waiters their time.
        self.backoff = Duration::ZERO;
        let count = batch.len();
        let mut open = Vec::new();
        for pending in batch {
            let row = rows.get(&pending.row_key);
            let is_written = row.is_some_and(|r| r.value == pending.value);
            if !is_written && pending.condition.holds(row) {
                open.push(pending);
            } else {
                self.answer_from_row(pending, row);
            }
        }
        let is_whole = open.len() == count;
        if is_whole {
            Timer::after(self.interval().max(MIN_BACKOFF)).await;
        }
        Settled { open, is_whole }
    }

    fn leave_unsettled(&mut self, batch: Vec<Pending>) -> Settled {
        for pending in batch {
            self.fail(pending);
        }
        Settled { open: Vec::new(), is_whole: false }
    }

    /// Ends a write that cannot be settled now.
    fn fail(&mut self, pending: Pending) {
        if let Kind::Withdraw { .. } = pending.kind {
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
        batch: &[Pending],
    ) -> Result<BTreeMap<String, Row>, TableError> {
        let keys: Vec<_> = batch.iter().map(|p| p.row_key.clone()).collect();
        self.table.read_many(&keys).await
    }
}

fn is_awaited(pending: &Pending) -> bool {
    !matches!(pending.kind, Kind::Withdraw { .. })
}
