//! Claims of idempotency keys.
//!
//! Before an entry dispatches a request with an idempotency key, it claims the
//! key by inserting a row that must not exist yet. The claim later holds the
//! complete response for repeats, which can arrive at any entry. Claims are
//! written by group commit: one task per store writes the waiting claims in
//! one transaction at a time, so that the rate of writes does not grow with
//! the load.
//!
//! A claim whose caller has stopped waiting by the time that it is known to be
//! written is withdrawn, which marks it as not run. Its caller never learned
//! that it holds the key, so the request was not dispatched.
//!
//! | module | contents |
//! |---|---|
//! | `claim` | a claim and its states |
//! | `row` | the stored value of a claim's row |
//! | `decide` | decisions on repeated requests |
//! | `pending` | a write that waits for its flush, and its result's receiver |
//! | `flusher` | the task that writes claims |
//! | `options` | options of a claim store |
//! | `outcome` | results of claims and updates |

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use async_channel::Sender;
use async_executor::Executor;

use crate::table::{Condition, Row, TableClient};

mod claim;
mod counts;
mod decide;
mod flusher;
mod options;
mod outcome;
mod pending;
mod row;

pub use claim::{Claim, ClaimKey, ClaimState, StoredResponse};
pub use counts::ClaimCounts;
pub use decide::{
    OwnerStatus, RepeatAction, SideDecision, SideResponse, decide,
    decide_by_side_response,
};
pub use options::ClaimOptions;
pub use outcome::{ClaimError, ClaimOutcome};

use counts::Counters;
use flusher::Flusher;
use pending::{PendingWrite, Reply, ReplyReceiver, WriteKind};
use row::ClaimRow;

/// Maximum cached versions of open claims; an update without one reads the row
/// first.
const MAX_CACHED_VERSIONS: usize = 100_000;

/// Store of claims in the table service.
#[derive(Debug)]
pub struct ClaimStore {
    table: Arc<TableClient>,
    options: ClaimOptions,
    queue: Sender<PendingWrite>,
    /// Row versions of open claims owned by this process, by claim id.
    versions: Mutex<BTreeMap<u128, u64>>,
    counters: Arc<Counters>,
}

impl ClaimStore {
    /// Creates a store. Its flusher runs on the executor until the store is
    /// dropped and all waiting writes are done.
    pub fn new(
        table: Arc<TableClient>,
        options: ClaimOptions,
        executor: Arc<Executor<'static>>,
    ) -> ClaimStore {
        let (queue, inbox) = async_channel::bounded(options.queue_limit);
        let counters = Arc::new(Counters::default());
        let flusher = Flusher::new(
            table.clone(),
            options.clone(),
            inbox,
            counters.clone(),
        );
        executor.spawn(flusher.run()).detach();
        let versions = Mutex::default();
        ClaimStore { table, options, queue, versions, counters }
    }

    /// Claims a key that is free or whose claim has expired.
    ///
    /// # Errors
    ///
    /// [`ClaimError::StoreUnavailable`] or [`ClaimError::Ambiguous`]; after
    /// either the request must not be dispatched.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        claim: Claim,
    ) -> Result<ClaimOutcome, ClaimError> {
        self.write_claim(key, claim, Condition::Absent).await
    }

    /// Replaces a claim if it has not changed: to run a request that certainly
    /// did not run, or to record the outcome of a request whose owner is
    /// unavailable.
    ///
    /// # Errors
    ///
    /// As for [`ClaimStore::claim`].
    pub async fn replace(
        &self,
        key: &ClaimKey,
        held: &Claim,
        claim: Claim,
    ) -> Result<ClaimOutcome, ClaimError> {
        let Some((version, row)) = self.read_row(key).await? else {
            return self.write_claim(key, claim, Condition::Absent).await;
        };
        let current = row.load_claim(self.objects()).await?;
        if current != *held {
            return Ok(ClaimOutcome::Held(current));
        }
        self.write_claim(key, claim, Condition::Version(version)).await
    }

    /// Updates a claim that the caller owns: with another side process, before
    /// the request is dispatched there, or with the outcome of the request.
    /// Updates of a claim must not run concurrently.
    ///
    /// # Errors
    ///
    /// See [`ClaimError`].
    pub async fn update(
        &self,
        key: &ClaimKey,
        claim: Claim,
    ) -> Result<(), ClaimError> {
        let claim_id = claim.claim_id;
        let is_open = claim.state == ClaimState::Claimed;
        let version = match self.remove_version(claim_id) {
            Some(version) => version,
            None => self.read_own_version(key, claim_id).await?,
        };
        let mut row = ClaimRow::new(claim);
        let limit_bytes = self.options.inline_limit_bytes;
        row.offload_body(self.objects(), limit_bytes).await?;
        let condition = Condition::Version(version);
        let waiter = self.enqueue(key, row, condition, WriteKind::Update)?;
        match waiter.receiver.wait().await? {
            Reply::Written { version } => {
                if is_open {
                    self.cache_version(claim_id, version);
                }
                Ok(())
            }
            Reply::Occupied(row) => {
                let current = match row {
                    Some(row) => Some(row.load_claim(self.objects()).await?),
                    None => None,
                };
                let current = current.map(Box::new);
                Err(ClaimError::NotOwner { current })
            }
        }
    }

    /// Reads the claim of a key; none if there is none or it has expired.
    ///
    /// # Errors
    ///
    /// [`ClaimError::StoreUnavailable`].
    pub async fn read(
        &self,
        key: &ClaimKey,
    ) -> Result<Option<Claim>, ClaimError> {
        let Some((_, row)) = self.read_row(key).await? else {
            return Ok(None);
        };
        if row.claim.has_expired(claim::now_unix_s()) {
            return Ok(None);
        }
        row.load_claim(self.objects()).await.map(Some)
    }

    /// Counts since the store was created.
    pub fn counts(&self) -> ClaimCounts {
        self.counters.read()
    }

    async fn write_claim(
        &self,
        key: &ClaimKey,
        claim: Claim,
        condition: Condition,
    ) -> Result<ClaimOutcome, ClaimError> {
        let claim_id = claim.claim_id;
        let is_open = claim.state == ClaimState::Claimed;
        let mut row = ClaimRow::new(claim);
        let limit_bytes = self.options.inline_limit_bytes;
        row.offload_body(self.objects(), limit_bytes).await?;
        let waiter = self.enqueue(key, row, condition, WriteKind::Claim)?;
        match waiter.receiver.wait().await? {
            Reply::Written { version } => {
                if is_open {
                    self.cache_version(claim_id, version);
                }
                Ok(ClaimOutcome::Acquired)
            }
            Reply::Occupied(Some(row)) => {
                row.load_claim(self.objects()).await.map(ClaimOutcome::Held)
            }
            Reply::Occupied(None) => Err(ClaimError::StoreUnavailable),
        }
    }

    /// Queues a write; a full queue counts as an unavailable service.
    fn enqueue(
        &self,
        key: &ClaimKey,
        row: ClaimRow,
        condition: Condition,
        kind: WriteKind,
    ) -> Result<ReplyWaiter, ClaimError> {
        let withdrawal = (kind == WriteKind::Claim)
            .then(|| (key.row_key().to_owned(), row.clone()));
        let timeout = self.options.claim_timeout;
        let (pending, receiver) =
            PendingWrite::new(key.row_key(), row, condition, kind, timeout);
        let queued = self.queue.try_send(pending);
        queued.map_err(|_| ClaimError::StoreUnavailable)?;
        Ok(ReplyWaiter { receiver, withdrawal, queue: self.queue.clone() })
    }

    async fn read_row(
        &self,
        key: &ClaimKey,
    ) -> Result<Option<(u64, ClaimRow)>, ClaimError> {
        let row = self.table.read(key.row_key()).await;
        let Some(row) = row.map_err(|_| ClaimError::StoreUnavailable)? else {
            return Ok(None);
        };
        decode(&row).map(|decoded| Some((row.version, decoded)))
    }

    async fn read_own_version(
        &self,
        key: &ClaimKey,
        claim_id: u128,
    ) -> Result<u64, ClaimError> {
        let Some((version, row)) = self.read_row(key).await? else {
            return Err(ClaimError::NotOwner { current: None });
        };
        if row.claim.claim_id == claim_id {
            return Ok(version);
        }
        let current = row.load_claim(self.objects()).await?;
        let current = Some(Box::new(current));
        Err(ClaimError::NotOwner { current })
    }

    fn objects(&self) -> Option<&crate::ObjectClient> {
        self.options.objects.as_deref()
    }

    /// Removes a cached version, so that the row is read again if the update
    /// does not return the next version.
    fn remove_version(&self, claim_id: u128) -> Option<u64> {
        let mut versions = self
            .versions
            .lock()
            .expect("no thread panics while it holds the lock");
        versions.remove(&claim_id)
    }

    fn cache_version(&self, claim_id: u128, version: u64) {
        let mut versions = self
            .versions
            .lock()
            .expect("no thread panics while it holds the lock");
        if versions.len() >= MAX_CACHED_VERSIONS {
            versions.clear();
        }
        versions.insert(claim_id, version);
    }
}

fn decode(row: &Row) -> Result<ClaimRow, ClaimError> {
    ClaimRow::try_decode(row).ok_or(ClaimError::StoreUnavailable)
}

/// Receiver that withdraws its claim if it is dropped before it has received
/// the result.
struct ReplyWaiter {
    receiver: ReplyReceiver,
    withdrawal: Option<(String, ClaimRow)>,
    queue: Sender<PendingWrite>,
}

impl Drop for ReplyWaiter {
    fn drop(&mut self) {
        let is_unreceived = self.receiver.close();
        if let Some((row_key, row)) = &self.withdrawal
            && is_unreceived
        {
            // If the queue is full, the claim stays until it expires. A repeat
            // learns from the side process that the request never ran.
            let pending = PendingWrite::withdrawal(row_key, row);
            let _ = self.queue.try_send(pending);
        }
    }
}
