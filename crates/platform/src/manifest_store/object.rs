//! Digests and keys of the objects that store a manifest.

use chestnutreach_config::parts::{PART_DIGEST_BYTES, PartDigest};

use crate::hex;

/// Digest of an object: a root, or a part listed by a root.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectDigest {
    /// Digest of a root, which lists the digests of its parts.
    Root([u8; 32]),
    /// Digest of a part, which contains sections.
    Part(PartDigest),
}

impl ObjectDigest {
    /// Parses a digest; the two kinds differ in length.
    pub fn from_bytes(bytes: &[u8]) -> Option<ObjectDigest> {
        if let Ok(root) = bytes.try_into() {
            return Some(ObjectDigest::Root(root));
        }
        let part: [u8; PART_DIGEST_BYTES] = bytes.try_into().ok()?;
        Some(ObjectDigest::Part(PartDigest::from_bytes(part)))
    }

    /// Bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            ObjectDigest::Root(root) => root,
            ObjectDigest::Part(part) => part.as_bytes(),
        }
    }

    /// Returns whether this is the digest of the bytes.
    pub(crate) fn matches(&self, bytes: &[u8]) -> bool {
        match self {
            ObjectDigest::Root(root) => blake3::hash(bytes) == *root,
            ObjectDigest::Part(part) => PartDigest::of(bytes) == *part,
        }
    }

    /// Key of the object in the store.
    pub(crate) fn key(&self) -> String {
        match self {
            ObjectDigest::Root(root) => {
                format!("manifest/root/{}", hex::encode(root))
            }
            ObjectDigest::Part(part) => format!("manifest/part/{part}"),
        }
    }
}
