//! Claims of requests with an idempotency key.
//!
//! Before a keyed request is dispatched its key is claimed, insert if
//! absent, and the finished answer is kept in the claim for repeats, which
//! may come to any entry. Claims are written by group commit: one task for
//! each store puts what waits into one transaction at a time, so that the
//! rate of writes does not grow with the load.
//!
//! A claim that nobody waits for any more when it turns out to be written is
//! withdrawn, that is, marked as not run: its caller was never told that it
//! holds the key, so nothing was dispatched.
//!
//! | module | what it holds |
//! |---|---|
//! | `claim` | a claim and its states |
//! | `row` | the value of its row |
//! | `decide` | what a repeated request gets |
//! | `pending` | a write that waits, and its waiter |
//! | `flusher` | the task that writes |
//! | `options` | settings |

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use async_channel::Sender;
use async_executor::Executor;

use crate::table::{Condition, Row, TableClient};

mod answer;
mod claim;
mod counts;
mod decide;
mod flusher;
mod options;
mod pending;
mod row;

pub use answer::{ClaimError, ClaimOutcome};
pub use claim::{Claim, ClaimKey, ClaimState, StoredResponse};
pub use counts::ClaimCounts;
pub use decide::{
    OwnerStatus, RepeatAction, SideDecision, SideResponse, decide,
    decide_by_side_response,
};
pub use options::ClaimOptions;

use counts::Counters;
use flusher::Flusher;
use pending::{Kind, Pending, Reception, Reply};
use row::ClaimRow;

/// Versions of open claims remembered; without one the row is read first.
const MAX_VERSIONS: usize = 100_000;

/// Claims in the table service.
#[derive(Debug)]
pub struct ClaimStore {
    table: Arc<TableClient>,
    options: ClaimOptions,
    queue: Sender<Pending>,
    /// Versions of the rows of open claims owned here, by claim id.
    versions: Mutex<BTreeMap<u128, u64>>,
    counters: Arc<Counters>,
}

impl ClaimStore {
    /// A store whose writing task runs on the executor until the store is
    /// dropped and all that waits is written.
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

    /// Claims a key if nobody holds it, or its claim has expired.
    ///
    /// # Errors
    ///
    /// [`ClaimError::StoreUnavailable`] and [`ClaimError::Ambiguous`]; the request
    /// must not be dispatched after either.
    pub async fn claim(
        &self,
        key: &ClaimKey,
        claim: Claim,
    ) -> Result<ClaimOutcome, ClaimError> {
        self.take(key, claim, Condition::Absent).await
    }

    /// Replaces a claim by another one if it has not changed: to run a
    /// request again that surely did not run, or to note how it ended after
    /// its owner has gone.
    ///
    /// # Errors
    ///
    /// As of [`ClaimStore::claim`].
    pub async fn replace(
        &self,
        key: &ClaimKey,
        held: &Claim,
        claim: Claim,
    ) -> Result<ClaimOutcome, ClaimError> {
        let Some((version, row)) = self.read_row(key).await? else {
            return self.take(key, claim, Condition::Absent).await;
        };
        let current = row.load(self.objects()).await?;
        if current != *held {
            return Ok(ClaimOutcome::Held(current));
        }
        self.take(key, claim, Condition::Version(version)).await
    }

    /// Changes a claim of one's own: to another side process before it is
    /// dispatched there, or to how it ended. One update at a time.
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
        let version = match self.take_version(claim_id) {
            Some(version) => version,
            None => self.own_version(key, claim_id).await?,
        };
        let mut row = ClaimRow::new(claim);
        let limit_bytes = self.options.inline_limit_bytes;
        row.store_body(self.objects(), limit_bytes).await?;
        let condition = Condition::Version(version);
        let waiter = self.send(key, row, condition, Kind::Update)?;
        match waiter.reception.wait().await? {
            Reply::Written { version } => {
                if is_open {
                    self.keep_version(claim_id, version);
                }
                Ok(())
            }
            Reply::Occupied(row) => {
                let current = match row {
                    Some(row) => Some(row.load(self.objects()).await?),
                    None => None,
                };
                let current = current.map(Box::new);
                Err(ClaimError::NotOwner { current })
            }
        }
    }

    /// Reads the claim of a key; none when there is none or it has expired.
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
        row.load(self.objects()).await.map(Some)
    }

    /// Counts since the store was made.
    pub fn counts(&self) -> ClaimCounts {
        self.counters.read()
    }

    async fn take(
        &self,
        key: &ClaimKey,
        claim: Claim,
        condition: Condition,
    ) -> Result<ClaimOutcome, ClaimError> {
        let claim_id = claim.claim_id;
        let is_open = claim.state == ClaimState::Claimed;
        let mut row = ClaimRow::new(claim);
        let limit_bytes = self.options.inline_limit_bytes;
        row.store_body(self.objects(), limit_bytes).await?;
        let waiter = self.send(key, row, condition, Kind::Claim)?;
        match waiter.reception.wait().await? {
            Reply::Written { version } => {
                if is_open {
                    self.keep_version(claim_id, version);
                }
                Ok(ClaimOutcome::Acquired)
            }
            Reply::Occupied(Some(row)) => {
                row.load(self.objects()).await.map(ClaimOutcome::Held)
            }
            Reply::Occupied(None) => Err(ClaimError::StoreUnavailable),
        }
    }

    /// Puts a write into the queue; a full one counts as a service that is
    /// down.
    fn send(
        &self,
        key: &ClaimKey,
        row: ClaimRow,
        condition: Condition,
        kind: Kind,
    ) -> Result<Waiter, ClaimError> {
        let withdrawal = (kind == Kind::Claim)
            .then(|| (key.row_key().to_owned(), row.clone()));
        let timeout = self.options.claim_timeout;
        let (pending, reception) =
            Pending::new(key.row_key(), row, condition, kind, timeout);
        let sent = self.queue.try_send(pending);
        sent.map_err(|_| ClaimError::StoreUnavailable)?;
        Ok(Waiter { reception, withdrawal, queue: self.queue.clone() })
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

    async fn own_version(
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
        let current = row.load(self.objects()).await?;
        let current = Some(Box::new(current));
        Err(ClaimError::NotOwner { current })
    }

    fn objects(&self) -> Option<&crate::ObjectClient> {
        self.options.objects.as_deref()
    }

    /// Takes a version out, so that it is read anew if the update does not
    /// come back with the next one.
    fn take_version(&self, claim_id: u128) -> Option<u64> {
        let mut versions = self.versions.lock().expect("no holder panics");
        versions.remove(&claim_id)
    }

    fn keep_version(&self, claim_id: u128, version: u64) {
        let mut versions = self.versions.lock().expect("no holder panics");
        if versions.len() >= MAX_VERSIONS {
            versions.clear();
        }
        versions.insert(claim_id, version);
    }
}

fn decode(row: &Row) -> Result<ClaimRow, ClaimError> {
    ClaimRow::try_decode(row).ok_or(ClaimError::StoreUnavailable)
}

/// A reception that withdraws its claim if it is dropped too early.
struct Waiter {
    reception: Reception,
    withdrawal: Option<(String, ClaimRow)>,
    queue: Sender<Pending>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let is_untaken = self.reception.close();
        if let Some((row_key, row)) = &self.withdrawal
            && is_untaken
        {
            // When the queue is full the claim stays until it expires, and
            // a repeat learns from the side process that it never ran.
            let pending = Pending::withdrawal(row_key, row);
            let _ = self.queue.try_send(pending);
        }
    }
}
