//! Generations of the manifest.
//!
//! The head is a single row, changed by compare-and-swap. The sections are
//! stored in the object store, in parts named by their digest. The parts are
//! written before the head refers to them, so all objects of a head that was
//! read can be read too. The transaction of a submission also writes a row for
//! the submission itself: if the response is lost, this row shows later that
//! the submission was accepted, even after further generations.

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

/// How long a submission with an unknown outcome is retried.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two such retries.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum length of a submission id, in bytes.
const MAX_SUBMISSION_ID_BYTES: usize = 128;

/// The current generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Generation number: 1 for the first, incremented by each accepted
    /// submission.
    pub generation: u64,
    /// Id of the submission that created this generation.
    pub submission: String,
    /// Id of the submission that created the previous generation; none for the
    /// first.
    pub parent_submission: Option<String>,
    /// BLAKE3 digest of the root, which lists the parts.
    #[serde(with = "hex::digest")]
    pub root: [u8; 32],
}

/// An accepted submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// Generation that the submission created.
    pub generation: u64,
}

/// Store of manifest generations in the table service and the object store.
#[derive(Clone, Debug)]
pub struct ManifestStore {
    table: Arc<TableClient>,
    objects: Arc<ObjectClient>,
    resolve_timeout: Duration,
}

impl ManifestStore {
    /// Creates a store that uses the two services.
    pub fn new(
        table: Arc<TableClient>,
        objects: Arc<ObjectClient>,
    ) -> ManifestStore {
        ManifestStore { table, objects, resolve_timeout: RESOLVE_TIMEOUT }
    }

    /// Sets how long a submission with an unknown outcome is retried.
    pub fn resolve_timeout(mut self, timeout: Duration) -> ManifestStore {
        self.resolve_timeout = timeout;
        self
    }

    /// Reads the current generation; none before the first.
    ///
    /// # Errors
    ///
    /// The table service does not respond, or the head row is invalid.
    pub async fn head(&self) -> Result<Option<Head>, TableError> {
        let head = self.head_row().await?;
        Ok(head.map(|(_, head)| head))
    }

    /// Returns the sections of a generation. Reads only the objects that are
    /// not cached; afterwards the cache has only the parts of this generation.
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

    /// Reads the objects of a generation that are not cached. Objects read
    /// before an error stay in the cache.
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
            // A loop, because a closure that borrows would make the future not
            // `Send` for every lifetime.
            let mut reads = Vec::new();
            for digest in missing.iter().take(concurrent::MAX_CONCURRENT_CALLS)
            {
                reads.push(read_object(&self.objects, *digest));
            }
            let bodies = concurrent::join_all(reads).await;
            let mut result = Ok(());
            for (digest, bytes) in missing.into_iter().zip(bodies) {
                let inserted = bytes.and_then(|b| cache.insert(digest, b));
                result = result.and(inserted);
            }
            result?;
        }
    }

    /// Submits sections as the successor of a generation; 0 for the first.
    /// Repeating a submission with the same id and sections returns the same
    /// result.
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
        check_submission_id(submission)?;
        let parts = Parts::from_sections(sections);
        let root = *blake3::hash(&encode_root(&parts.root)).as_bytes();
        if let Some(accepted) = self.find_accepted(submission, &root).await? {
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

    /// Looks up whether a submission was accepted.
    async fn find_accepted(
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

    /// Writes the parts that the base does not have, then the root. The parts
    /// of the base already exist, and the base is still the head if the
    /// transaction succeeds.
    async fn put_parts(
        &self,
        parts: &Parts,
        base: Option<&Head>,
    ) -> Result<(), SubmitError> {
        let existing = match base {
            Some(head) => self.read_root(&head.root).await.ok(),
            None => None,
        };
        let mut new =
            parts.new_bodies(existing.as_deref().unwrap_or_default());
        new.remove(&PartDigest::of_empty_bucket());
        let puts = new.into_iter().map(|(digest, body)| async move {
            let key = ObjectDigest::Part(digest).key();
            self.objects.put(&key, body).await
        });
        concurrent::try_join_all(puts).await?;
        let root = encode_root(&parts.root);
        let digest = ObjectDigest::Root(*blake3::hash(&root).as_bytes());
        self.objects.put(&digest.key(), &root).await?;
        Ok(())
    }

    async fn commit(&self, change: &Change) -> Result<Accepted, SubmitError> {
        let deadline = Instant::now() + self.resolve_timeout;
        // After a lost response, "not applied" holds for the last attempt
        // only, not for the submission.
        let mut is_ambiguous = false;
        loop {
            let writes = change.writes();
            let result = self.table.transact(writes, &change.token).await;
            let error = match result {
                Ok(()) => return Ok(change.accepted()),
                Err(TableError::Conflict { .. }) => {
                    return self.resolve_conflict(change).await;
                }
                Err(e @ TableError::Ambiguous { .. }) => {
                    is_ambiguous = true;
                    e
                }
                Err(e) if is_ambiguous => e,
                Err(e) => return Err(e.into()),
            };
            let id = &change.head.submission;
            let root = &change.head.root;
            if let Ok(Some(accepted)) = self.find_accepted(id, root).await {
                return Ok(accepted);
            }
            // The write may still be in transit. Because of the token, it can
            // be repeated safely.
            if Instant::now() >= deadline {
                let detail = error.to_string();
                return Err(SubmitError::Unknown { detail });
            }
            Timer::after(RESOLVE_INTERVAL).await;
        }
    }

    /// Returns the result of a submission whose conditions failed: accepted by
    /// an earlier attempt, or beaten by another submission.
    async fn resolve_conflict(
        &self,
        change: &Change,
    ) -> Result<Accepted, SubmitError> {
        let id = &change.head.submission;
        let found = self.find_accepted(id, &change.head.root).await;
        match found.map_err(unknown_outcome)? {
            Some(accepted) => Ok(accepted),
            None => match self.head().await.map_err(unknown_outcome)? {
                Some(winner) => Err(SubmitError::LostRace { winner }),
                None => {
                    let detail = "the head row was removed".to_owned();
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
    if !digest.matches(&bytes) {
        return Err(FetchError::corrupt(&key));
    }
    Ok(bytes)
}

fn check_submission_id(id: &str) -> Result<(), SubmitError> {
    let is_allowed = |b: u8| b.is_ascii_graphic();
    let length = id.len();
    let is_in_range = (1..=MAX_SUBMISSION_ID_BYTES).contains(&length);
    if is_in_range && id.bytes().all(is_allowed) {
        return Ok(());
    }
    let detail = format!(
        "submission id {id:?} is not 1 to {MAX_SUBMISSION_ID_BYTES} \
         bytes of printable ASCII without spaces"
    );
    Err(SubmitError::Invalid { detail })
}

fn unknown_outcome(error: impl std::fmt::Display) -> SubmitError {
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
