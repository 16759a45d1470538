//! In-memory cache of manifest objects.
//!
//! Objects can come from any source: the cache checks each against its digest.
//! A fetch that fails part way keeps the objects that it has read, so that
//! repeated fetches from an unreliable store complete eventually.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chestnutreach_config::parts::{
    EMPTY_BUCKET, PartDigest, assemble, decode_root, encode_root,
};

use super::{FetchError, ObjectDigest};

/// Objects of the last complete generation, and objects fetched so far for the
/// next.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    root: Option<CachedRoot>,
    parts: BTreeMap<PartDigest, Arc<[u8]>>,
}

#[derive(Clone, Debug)]
struct CachedRoot {
    digest: [u8; 32],
    parts: Arc<[PartDigest]>,
}

impl PartCache {
    /// Creates an empty cache.
    pub fn new() -> PartCache {
        PartCache::default()
    }

    /// Number of cached parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is cached.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the objects of a generation that are not cached: the root, or
    /// if the root is cached, the missing parts.
    pub fn missing(&self, root: &[u8; 32]) -> BTreeSet<ObjectDigest> {
        let Some(digests) = self.root(root) else {
            return BTreeSet::from([ObjectDigest::Root(*root)]);
        };
        let empty = PartDigest::of_empty_bucket();
        let is_missing = |digest: &PartDigest| {
            *digest != empty && !self.parts.contains_key(digest)
        };
        let missing = digests.iter().copied().filter(is_missing);
        missing.map(ObjectDigest::Part).collect()
    }

    /// Returns a cached object.
    pub fn get(&self, digest: &ObjectDigest) -> Option<Vec<u8>> {
        match digest {
            ObjectDigest::Root(root) => self.root(root).map(encode_root),
            ObjectDigest::Part(part) => {
                self.parts.get(part).map(|body| body.to_vec())
            }
        }
    }

    /// Adds an object.
    ///
    /// # Errors
    ///
    /// The bytes do not match the digest, or are not a valid root.
    pub fn insert(
        &mut self,
        digest: ObjectDigest,
        bytes: Vec<u8>,
    ) -> Result<(), FetchError> {
        if !digest.matches(&bytes) {
            return Err(FetchError::corrupt(&digest.key()));
        }
        match digest {
            ObjectDigest::Root(root) => {
                let parts = decode_root(&bytes)
                    .map_err(|_| FetchError::corrupt(&digest.key()))?;
                let parts = parts.into();
                self.root = Some(CachedRoot { digest: root, parts });
            }
            ObjectDigest::Part(part) => {
                self.parts.insert(part, bytes.into());
            }
        }
        Ok(())
    }

    /// Returns the sections of a generation whose objects are all cached, and
    /// drops the parts of other generations.
    ///
    /// # Errors
    ///
    /// An object is missing, or the parts do not form a valid manifest.
    pub fn sections(
        &mut self,
        root: &[u8; 32],
    ) -> Result<BTreeMap<String, String>, FetchError> {
        let cached =
            self.root.as_ref().filter(|cached| cached.digest == *root);
        let Some(cached) = cached.cloned() else {
            let root = ObjectDigest::Root(*root);
            return Err(FetchError::missing(&root.key()));
        };
        let empty = PartDigest::of_empty_bucket();
        self.parts.entry(empty).or_insert_with(|| EMPTY_BUCKET.into());
        let sections = assemble(&cached.parts, &self.parts)?;
        let listed: BTreeSet<&PartDigest> = cached.parts.iter().collect();
        self.parts.retain(|digest, _| listed.contains(digest));
        Ok(sections)
    }

    fn root(&self, digest: &[u8; 32]) -> Option<&[PartDigest]> {
        let cached = self.root.as_ref()?;
        (cached.digest == *digest).then_some(&cached.parts)
    }
}
