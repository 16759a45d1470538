//! A write that waits for its flush, and whoever waits for it.
//!
//! The two ends share one stage: a waiter that gives up before the write was
//! sent takes it out of the queue and knows that it was not applied.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt as _;

use super::{
    ClaimError,
    claim::{Claim, ClaimState},
    row::ClaimRow,
};
use crate::table::{Condition, ExpiringWrite, Write};

/// How long it is tried to withdraw a claim that nobody waits for.
const WITHDRAW_FOR: Duration = Duration::from_secs(600);

/// In the queue.
const QUEUED: u8 = 0;
/// Sent at least once since it was queued.
const SENT: u8 = 1;
/// Given up by its waiter before it was sent.
const CANCELLED: u8 = 2;

/// How a write ended.
#[derive(Debug)]
pub(super) enum Reply {
    /// The row has the value.
    Written { version: u64 },
    /// The row has another value, or is gone.
    Occupied(Option<Box<ClaimRow>>),
}

pub(super) type ReplyResult = Result<Reply, ClaimError>;

/// What a write is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// A new claim.
    Claim,
    /// A change by the owner.
    Update,
    /// Marks the claim of this call, which nobody waits for, as not run.
    Withdraw { call_id: u128 },
}

/// A write that waits for its flush.
pub(super) struct Pending {
    pub(super) row_key: String,
    pub(super) row: ClaimRow,
    pub(super) value: Vec<u8>,
    pub(super) condition: Condition,
    pub(super) kind: Kind,
    pub(super) deadline: Instant,
    /// A write of it may have been applied.
    pub(super) is_ambiguous: bool,
    waiter: Option<(Arc<AtomicU8>, Sender<ReplyResult>)>,
}

impl Pending {
    /// A write and the end that waits for it.
    pub(super) fn new(
        row_key: &str,
        row: ClaimRow,
        condition: Condition,
        kind: Kind,
        timeout: Duration,
    ) -> (Pending, Reception) {
        let stage = Arc::new(AtomicU8::new(QUEUED));
        let (sender, receiver) = async_channel::bounded(1);
        let deadline = Instant::now() + timeout;
        let pending = Pending {
            row_key: row_key.to_owned(),
            value: row.encode(),
            row,
            condition,
            kind,
            deadline,
            is_ambiguous: false,
            waiter: Some((stage.clone(), sender)),
        };
        (pending, Reception { stage, receiver, deadline })
    }

    /// The write that marks an unwanted claim as not run. Its first
    /// condition also keeps out a write that is still on its way.
    pub(super) fn withdrawal(row_key: &str, row: &ClaimRow) -> Pending {
        let state = ClaimState::NotRun;
        let claim = Claim { state, ..row.claim.clone() };
        let kind = Kind::Withdraw { call_id: row.call_id };
        let row = ClaimRow::new(claim);
        Pending {
            row_key: row_key.to_owned(),
            value: row.encode(),
            row,
            condition: Condition::Absent,
            kind,
            deadline: Instant::now() + WITHDRAW_FOR,
            is_ambiguous: false,
            waiter: None,
        }
    }

    /// Notes that it is being sent; false when its waiter has given up.
    pub(super) fn begin_sending(&self) -> bool {
        let Some((stage, _)) = &self.waiter else {
            return true;
        };
        stage
            .compare_exchange(
                QUEUED,
                SENT,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    /// Notes that what was sent was not applied; false when nobody waits
    /// any more.
    pub(super) fn take_back(&mut self) -> bool {
        self.is_ambiguous = false;
        let Some((stage, sender)) = &self.waiter else {
            return true;
        };
        stage.store(QUEUED, Ordering::Release);
        !sender.is_closed()
    }

    /// Tells the waiter; false when it has gone.
    pub(super) fn reply(&self, reply: ReplyResult) -> bool {
        match &self.waiter {
            Some((_, sender)) => sender.try_send(reply).is_ok(),
            None => true,
        }
    }

    /// Version of the row once this write is applied.
    pub(super) fn new_version(&self) -> u64 {
        match self.condition {
            Condition::Version(old) => old + 1,
            Condition::Absent | Condition::Any => 1,
        }
    }

    pub(super) fn write(&self) -> ExpiringWrite {
        let write = Write {
            key: self.row_key.clone(),
            value: Some(self.value.clone()),
            condition: self.condition,
        };
        let expires_at_unix_s = Some(self.row.claim.expires_at_unix_s);
        ExpiringWrite { write, expires_at_unix_s }
    }
}

/// Waits for a write.
pub(super) struct Reception {
    stage: Arc<AtomicU8>,
    receiver: Receiver<ReplyResult>,
    deadline: Instant,
}

impl Reception {
    pub(super) async fn wait(&self) -> ReplyResult {
        let reply = async {
            let reply = self.receiver.recv().await;
            reply.unwrap_or_else(|_| Err(self.give_up()))
        };
        let limit = async {
            Timer::at(self.deadline).await;
            Err(self.give_up())
        };
        reply.or(limit).await
    }

    /// Ends the waiting; true when the write turns out to be applied with
    /// nobody told.
    pub(super) fn close(&self) -> bool {
        self.give_up();
        self.receiver.close();
        let untaken = self.receiver.try_recv();
        matches!(untaken, Ok(Ok(Reply::Written { .. })))
    }

    /// Takes the write out of the queue if it was not sent.
    fn give_up(&self) -> ClaimError {
        let stage = self.stage.compare_exchange(
            QUEUED,
            CANCELLED,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        match stage {
            Ok(_) | Err(CANCELLED) => ClaimError::StoreUnavailable,
            Err(_) => ClaimError::Ambiguous,
        }
    }
}
