//! Parts of the manifest that a process holds.
//!
//! What is held can come from anywhere: each object is checked against its
//! digest when it is taken. A read that fails half way keeps what it got, so
//! that a store which often fails still brings a generation through.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chestnutreach_config::parts::{
    EMPTY_BUCKET, PartDigest, assemble, decode_root, encode_root,
};

use super::{FetchError, ObjectDigest};

/// Objects of the generation held last, and those got for the next.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    root: Option<HeldRoot>,
    parts: BTreeMap<PartDigest, Arc<[u8]>>,
}

#[derive(Clone, Debug)]
struct HeldRoot {
    digest: [u8; 32],
    parts: Arc<[PartDigest]>,
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

    /// Objects that a generation still needs: its root, or where that is
    /// held the parts that are not.
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

    /// An object that is held.
    pub fn get(&self, digest: &ObjectDigest) -> Option<Vec<u8>> {
        match digest {
            ObjectDigest::Root(root) => self.root(root).map(encode_root),
            ObjectDigest::Part(part) => {
                self.parts.get(part).map(|body| body.to_vec())
            }
        }
    }

    /// Takes an object.
    ///
    /// # Errors
    ///
    /// It is not what its digest says.
    pub fn insert(
        &mut self,
        digest: ObjectDigest,
        bytes: Vec<u8>,
    ) -> Result<(), FetchError> {
        if !digest.is_of(&bytes) {
            return Err(FetchError::corrupt(&digest.key()));
        }
        match digest {
            ObjectDigest::Root(root) => {
                let parts = decode_root(&bytes)
                    .map_err(|_| FetchError::corrupt(&digest.key()))?;
                let parts = parts.into();
                self.root = Some(HeldRoot { digest: root, parts });
            }
            ObjectDigest::Part(part) => {
                self.parts.insert(part, bytes.into());
            }
        }
        Ok(())
    }

    /// Sections of a generation of which nothing is missing; forgets the
    /// parts that it does not name.
    ///
    /// # Errors
    ///
    /// Something is missing, or is not what a manifest is made of.
    pub fn sections(
        &mut self,
        root: &[u8; 32],
    ) -> Result<BTreeMap<String, String>, FetchError> {
        let digests = self.root.as_ref().filter(|held| held.digest == *root);
        let Some(held) = digests.cloned() else {
            let root = ObjectDigest::Root(*root);
            return Err(FetchError::missing(&root.key()));
        };
        let empty = PartDigest::of_empty_bucket();
        self.parts.entry(empty).or_insert_with(|| EMPTY_BUCKET.into());
        let sections = assemble(&held.parts, &self.parts)?;
        let named: BTreeSet<&PartDigest> = held.parts.iter().collect();
        self.parts.retain(|digest, _| named.contains(digest));
        Ok(sections)
    }

    fn root(&self, digest: &[u8; 32]) -> Option<&[PartDigest]> {
        let held = self.root.as_ref()?;
        (held.digest == *digest).then_some(&held.parts)
    }
}
