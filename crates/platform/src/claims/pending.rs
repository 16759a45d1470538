//! A write that waits for its flush, and the receiver of its result.
//!
//! Both ends share the send state. A receiver that gives up before the write
//! is sent cancels the write, and so knows that it is not applied.

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

/// How long the withdrawal of an abandoned claim is retried.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(600);

/// Send state: in the queue.
const QUEUED: u8 = 0;
/// Send state: sent at least once since the write was queued.
const SENT: u8 = 1;
/// Send state: cancelled by the receiver before the write was sent.
const CANCELLED: u8 = 2;

/// Result of a write.
#[derive(Debug)]
pub(super) enum Reply {
    /// The row has the written value.
    Written { version: u64 },
    /// The row has a different value or was removed.
    Occupied(Option<Box<ClaimRow>>),
}

pub(super) type ReplyResult = Result<Reply, ClaimError>;

/// Purpose of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WriteKind {
    /// A new claim.
    Claim,
    /// A change by the owner.
    Update,
    /// Marks the abandoned claim of this call as not run.
    Withdraw { call_id: u128 },
}

/// A write that waits for its flush.
pub(super) struct PendingWrite {
    pub(super) row_key: String,
    pub(super) row: ClaimRow,
    pub(super) value: Vec<u8>,
    pub(super) condition: Condition,
    pub(super) kind: WriteKind,
    pub(super) deadline: Instant,
    /// Whether an earlier attempt may have been applied.
    pub(super) is_ambiguous: bool,
    reply_to: Option<(Arc<AtomicU8>, Sender<ReplyResult>)>,
}

impl PendingWrite {
    /// Creates a write and the receiver of its result.
    pub(super) fn new(
        row_key: &str,
        row: ClaimRow,
        condition: Condition,
        kind: WriteKind,
        timeout: Duration,
    ) -> (PendingWrite, ReplyReceiver) {
        let send_state = Arc::new(AtomicU8::new(QUEUED));
        let (sender, receiver) = async_channel::bounded(1);
        let deadline = Instant::now() + timeout;
        let pending = PendingWrite {
            row_key: row_key.to_owned(),
            value: row.encode(),
            row,
            condition,
            kind,
            deadline,
            is_ambiguous: false,
            reply_to: Some((send_state.clone(), sender)),
        };
        (pending, ReplyReceiver { send_state, receiver, deadline })
    }

    /// Creates the write that marks an abandoned claim as not run. Its first
    /// condition, that the row is absent, also makes an original write that is
    /// still in transit fail.
    pub(super) fn withdrawal(row_key: &str, row: &ClaimRow) -> PendingWrite {
        let state = ClaimState::NotRun;
        let claim = Claim { state, ..row.claim.clone() };
        let kind = WriteKind::Withdraw { call_id: row.call_id };
        let row = ClaimRow::new(claim);
        PendingWrite {
            row_key: row_key.to_owned(),
            value: row.encode(),
            row,
            condition: Condition::Absent,
            kind,
            deadline: Instant::now() + WITHDRAW_TIMEOUT,
            is_ambiguous: false,
            reply_to: None,
        }
    }

    /// Marks the write as sent; returns false if the receiver cancelled the
    /// write.
    pub(super) fn mark_sent(&self) -> bool {
        let Some((send_state, _)) = &self.reply_to else {
            return true;
        };
        send_state
            .compare_exchange(
                QUEUED,
                SENT,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    /// Marks the write as queued again after no attempt was applied; returns
    /// false if the receiver is closed.
    pub(super) fn mark_queued(&mut self) -> bool {
        self.is_ambiguous = false;
        let Some((send_state, sender)) = &self.reply_to else {
            return true;
        };
        send_state.store(QUEUED, Ordering::Release);
        !sender.is_closed()
    }

    /// Sends the result to the receiver; returns false if the receiver is
    /// closed.
    pub(super) fn reply(&self, reply: ReplyResult) -> bool {
        match &self.reply_to {
            Some((_, sender)) => sender.try_send(reply).is_ok(),
            None => true,
        }
    }

    /// Version of the row after this write is applied.
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

/// Receives the result of a write.
pub(super) struct ReplyReceiver {
    send_state: Arc<AtomicU8>,
    receiver: Receiver<ReplyResult>,
    deadline: Instant,
}

impl ReplyReceiver {
    pub(super) async fn wait(&self) -> ReplyResult {
        let reply = async {
            let reply = self.receiver.recv().await;
            reply.unwrap_or_else(|_| Err(self.cancel()))
        };
        let timeout = async {
            Timer::at(self.deadline).await;
            Err(self.cancel())
        };
        reply.or(timeout).await
    }

    /// Stops receiving; returns true if the write was applied and its result
    /// was never received.
    pub(super) fn close(&self) -> bool {
        self.cancel();
        self.receiver.close();
        let unreceived = self.receiver.try_recv();
        matches!(unreceived, Ok(Ok(Reply::Written { .. })))
    }

    /// Cancels the write if it was not sent, and returns the error for the
    /// caller.
    fn cancel(&self) -> ClaimError {
        let send_state = self.send_state.compare_exchange(
            QUEUED,
            CANCELLED,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        match send_state {
            Ok(_) | Err(CANCELLED) => ClaimError::StoreUnavailable,
            Err(_) => ClaimError::Ambiguous,
        }
    }
}
