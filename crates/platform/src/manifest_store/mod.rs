//! Generations of the manifest.
//!
//! The head is one row, changed by compare-and-set. The sections lie in the
//! object store in parts named by their digest, put there before the head
//! names them, so that whoever reads a head can read all it names. A
//! submission also writes a row of its own in the same transaction: whoever
//! lost the answer can tell later that it was accepted, even when other
//! generations came after it.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_config::{
    Parts,
    parts::{PartDigest, decode_root, encode_root},
};
use serde::{Deserialize, Serialize};

use crate::{
    concurrent, hex,
    objects::ObjectClient,
    table::{Row, TableClient, TableError},
};

mod cache;
mod change;
mod errors;
mod object;

pub use cache::PartCache;
pub use errors::{FetchError, SubmitError};
pub use object::ObjectDigest;

use change::{Change, HEAD_KEY, SubmissionRow, submission_key};

/// How long a submission whose answer was lost is asked for.
const SETTLE_FOR: Duration = Duration::from_secs(5);
/// Pause between two questions after it.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest id of a submission, in bytes.
const MAX_SUBMISSION_BYTES: usize = 128;

/// The accepted generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// 1 for the first, one more with each accepted submission.
    pub generation: u64,
    /// Id of the submission that made it.
    pub submission: String,
    /// Id of the submission it came after; none for the first.
    pub parent_submission: Option<String>,
    /// BLAKE3 digest of the root, which names the parts.
    #[serde(with = "hex::digest")]
    pub root: [u8; 32],
}

/// An accepted submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Its generation.
    pub generation: u64,
}

/// Manifests in the platform's services.
#[derive(Clone, Debug)]
pub struct ManifestStore {
    table: Arc<TableClient>,
    objects: Arc<ObjectClient>,
    settle_for: Duration,
}

impl ManifestStore {
    /// A store over the two services.
    pub fn new(
        table: Arc<TableClient>,
        objects: Arc<ObjectClient>,
    ) -> ManifestStore {
        ManifestStore { table, objects, settle_for: SETTLE_FOR }
    }

    /// How long a submission whose answer was lost is asked for.
    pub fn settle_for(mut self, time: Duration) -> ManifestStore {
        self.settle_for = time;
        self
    }

    /// The accepted generation; none before the first.
    ///
    /// # Errors
    ///
    /// The table service gives no answer, or no head.
    pub async fn head(&self) -> Result<Option<Head>, TableError> {
        let head = self.head_row().await?;
        Ok(head.map(|(_, head)| head))
    }

    /// Sections of a generation. Only parts that the cache does not hold are
    /// read; afterwards it holds just the parts of this generation.
    ///
    /// # Errors
    ///
    /// See [`FetchError`].
    pub async fn fetch(
        &self,
        head: &Head,
        cache: &mut PartCache,
    ) -> Result<BTreeMap<String, String>, FetchError> {
        self.read_missing(&head.root, cache).await?;
        cache.sections(&head.root)
    }

    /// Reads the objects of a generation that the cache does not hold. What
    /// was read before an error stays in the cache.
    ///
    /// # Errors
    ///
    /// See [`FetchError`].
    pub async fn read_missing(
        &self,
        root: &[u8; 32],
        cache: &mut PartCache,
    ) -> Result<(), FetchError> {
        loop {
            let missing = cache.missing(root);
            if missing.is_empty() {
                return Ok(());
            }
            // A borrowing closure would keep the future from being `Send`
            // for any lifetime.
            let mut reads = Vec::new();
            for digest in missing.iter().take(concurrent::CALLS_AT_ONCE) {
                reads.push(read_object(&self.objects, *digest));
            }
            let read = concurrent::call_each(reads).await;
            let mut result = Ok(());
            for (digest, bytes) in missing.into_iter().zip(read) {
                let taken = bytes.and_then(|b| cache.insert(digest, b));
                result = result.and(taken);
            }
            result?;
        }
    }

    /// Submits sections to follow a generation, 0 for none. Repeating it
    /// with the same id and sections gives the same answer.
    ///
    /// # Errors
    ///
    /// See [`SubmitError`].
    pub async fn submit(
        &self,
        base_generation: u64,
        sections: &BTreeMap<String, String>,
        submission: &str,
    ) -> Result<Accepted, SubmitError> {
        check_id(submission)?;
        let parts = Parts::from_sections(sections);
        let root = *blake3::hash(&encode_root(&parts.root)).as_bytes();
        if let Some(accepted) = self.accepted(submission, &root).await? {
            return Ok(accepted);
        }
        let base = self.head_row().await?;
        let current = base.as_ref().map_or(0, |(_, head)| head.generation);
        if current != base_generation {
            let current = base.map(|(_, head)| head);
            return Err(SubmitError::Stale { base_generation, current });
        }
        self.put_parts(&parts, base.as_ref().map(|(_, h)| h)).await?;
        let change = Change::new(base, submission, root);
        self.commit(&change).await
    }

    async fn head_row(&self) -> Result<Option<(u64, Head)>, TableError> {
        let Some(row) = self.table.read(HEAD_KEY).await? else {
            return Ok(None);
        };
        let head = decode_row(HEAD_KEY, &row)?;
        Ok(Some((row.version, head)))
    }

    /// Whether a submission has been accepted.
    async fn accepted(
        &self,
        submission: &str,
        root: &[u8; 32],
    ) -> Result<Option<Accepted>, SubmitError> {
        let key = submission_key(submission);
        let Some(row) = self.table.read(&key).await? else {
            return Ok(None);
        };
        let found: SubmissionRow = decode_row(&key, &row)?;
        let generation = found.generation;
        if found.root != *root {
            return Err(SubmitError::IdReused { generation });
        }
        Ok(Some(Accepted { generation }))
    }

    /// Puts the parts that the base does not have, then the root. What the
    /// base names is there already, and the base is still the head when the
    /// transaction succeeds.
    async fn put_parts(
        &self,
        parts: &Parts,
        base: Option<&Head>,
    ) -> Result<(), SubmitError> {
        let known = match base {
            Some(head) => self.read_root(&head.root).await.ok(),
            None => None,
        };
        let mut new = parts.new_bodies(known.as_deref().unwrap_or_default());
        new.remove(&PartDigest::of_empty_bucket());
        let puts = new.into_iter().map(|(digest, body)| async move {
            let key = ObjectDigest::Part(digest).key();
            self.objects.put(&key, body).await
        });
        concurrent::call_all(puts).await?;
        let root = encode_root(&parts.root);
        let digest = ObjectDigest::Root(*blake3::hash(&root).as_bytes());
        self.objects.put(&digest.key(), &root).await?;
        Ok(())
    }

    async fn commit(&self, change: &Change) -> Result<Accepted, SubmitError> {
        let give_up = Instant::now() + self.settle_for;
        // Once an answer was lost, "not applied" is true of that attempt
        // only and no longer of the submission.
        let mut is_ambiguous = false;
        loop {
            let writes = change.writes();
            let result = self.table.transact(writes, &change.token).await;
            let error = match result {
                Ok(()) => return Ok(change.accepted()),
                Err(TableError::Conflict { .. }) => {
                    return self.lost(change).await;
                }
                Err(e @ TableError::Ambiguous { .. }) => {
                    is_ambiguous = true;
                    e
                }
                Err(e) if is_ambiguous => e,
                Err(e) => return Err(e.into()),
            };
            let name = &change.head.submission;
            let root = &change.head.root;
            if let Ok(Some(accepted)) = self.accepted(name, root).await {
                return Ok(accepted);
            }
            // Not there yet; it may still be on its way. The same token
            // makes sending it again safe.
            if Instant::now() >= give_up {
                let detail = error.to_string();
                return Err(SubmitError::Unknown { detail });
            }
            Timer::after(SETTLE_PAUSE).await;
        }
    }

    /// Tells what a submission lost to, unless it is itself the winner.
    async fn lost(&self, change: &Change) -> Result<Accepted, SubmitError> {
        let name = &change.head.submission;
        let found = self.accepted(name, &change.head.root).await;
        match found.map_err(unknown)? {
            Some(accepted) => Ok(accepted),
            None => match self.head().await.map_err(unknown)? {
                Some(winner) => Err(SubmitError::LostRace { winner }),
                None => {
                    let detail = "the head row is gone".to_owned();
                    Err(SubmitError::Unavailable { detail })
                }
            },
        }
    }

    async fn read_root(
        &self,
        digest: &[u8; 32],
    ) -> Result<Vec<PartDigest>, FetchError> {
        let digest = ObjectDigest::Root(*digest);
        let bytes = read_object(&self.objects, digest).await?;
        decode_root(&bytes).map_err(|_| FetchError::corrupt(&digest.key()))
    }
}

async fn read_object(
    objects: &ObjectClient,
    digest: ObjectDigest,
) -> Result<Vec<u8>, FetchError> {
    let key = digest.key();
    let bytes = objects.read(&key).await?;
    let bytes = bytes.ok_or_else(|| FetchError::missing(&key))?;
    if !digest.is_of(&bytes) {
        return Err(FetchError::corrupt(&key));
    }
    Ok(bytes)
}

fn check_id(submission: &str) -> Result<(), SubmitError> {
    let is_plain = |b: u8| b.is_ascii_graphic();
    let length = submission.len();
    let is_in_range = (1..=MAX_SUBMISSION_BYTES).contains(&length);
    if is_in_range && submission.bytes().all(is_plain) {
        return Ok(());
    }
    let detail = format!(
        "submission id {submission:?} is not 1 to {MAX_SUBMISSION_BYTES} \
         bytes of printable ASCII without spaces"
    );
    Err(SubmitError::Invalid { detail })
}

fn unknown(error: impl std::fmt::Display) -> SubmitError {
    SubmitError::Unknown { detail: error.to_string() }
}

fn decode_row<'a, R: Deserialize<'a>>(
    key: &str,
    row: &'a Row,
) -> Result<R, TableError> {
    serde_json::from_slice(&row.value).map_err(|e| {
        let detail = format!("row {key:?}: {e}");
        TableError::Protocol { detail }
    })
}
