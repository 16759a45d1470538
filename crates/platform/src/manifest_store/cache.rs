//! Parts of the manifest that a process holds.

use std::collections::{BTreeMap, BTreeSet};

use super::{FetchError, part_key};
use crate::{
    concurrent,
    objects::ObjectClient,
    parts::{self, PartDigest, Root},
};

/// Parts of the generation held last.
#[derive(Debug, Default)]
pub struct PartCache {
    root: Option<([u8; 32], Root)>,
    parts: BTreeMap<PartDigest, Vec<u8>>,
}

impl PartCache {
    /// An empty cache.
    pub fn new() -> PartCache {
        PartCache::default()
    }

    /// Parts held.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is held.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    pub(super) fn root(&self, digest: &[u8; 32]) -> Option<&Root> {
        self.root.as_ref().filter(|(d, _)| d == digest).map(|(_, r)| r)
    }

    pub(super) fn set_root(&mut self, digest: [u8; 32], root: Root) {
        self.root = Some((digest, root));
    }

    /// Parts of a root that are not held.
    pub(super) fn missing(&self, root: &Root) -> BTreeSet<PartDigest> {
        let digests = root.digests().iter().copied();
        let is_missing = |digest: &PartDigest| {
            !digest.is_empty_part() && !self.parts.contains_key(digest)
        };
        digests.filter(is_missing).collect()
    }

    pub(super) async fn read_parts(
        &mut self,
        objects: &ObjectClient,
        digests: &BTreeSet<PartDigest>,
    ) -> Result<(), FetchError> {
        // A borrowing closure would keep the future from being `Send` for
        // any lifetime.
        let mut reads = Vec::with_capacity(digests.len());
        for digest in digests {
            reads.push(read_part(objects, *digest));
        }
        let read = concurrent::call_all(reads).await?;
        self.parts.extend(digests.iter().copied().zip(read));
        Ok(())
    }

    /// Forgets parts that a root does not name.
    pub(super) fn retain(&mut self, root: &Root) {
        let named: BTreeSet<_> = root.digests().iter().collect();
        self.parts.retain(|digest, _| named.contains(digest));
    }

    /// Sections of a held part.
    pub(super) fn sections(
        &self,
        digest: PartDigest,
    ) -> Result<BTreeMap<String, String>, FetchError> {
        if digest.is_empty_part() {
            return Ok(BTreeMap::new());
        }
        let encoding = self.parts.get(&digest);
        let sections = encoding.and_then(|bytes| parts::sections(bytes));
        sections.ok_or_else(|| FetchError::corrupt(&part_key(digest)))
    }
}

async fn read_part(
    objects: &ObjectClient,
    digest: PartDigest,
) -> Result<Vec<u8>, FetchError> {
    let key = part_key(digest);
    let encoding = objects.read(&key).await?;
    let encoding = encoding.ok_or_else(|| FetchError::missing(&key))?;
    if PartDigest::of(&encoding) != digest {
        return Err(FetchError::corrupt(&key));
    }
    Ok(encoding)
}
