//! Names of the objects that a manifest is stored in.

use chestnutreach_config::parts::{PART_DIGEST_BYTES, PartDigest};

use crate::hex;

/// Digest of one object: a root, or a part that a root names.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectDigest {
    /// A root, which lists the digests of the parts.
    Root([u8; 32]),
    /// A part, which holds sections.
    Part(PartDigest),
}

impl ObjectDigest {
    /// A digest from its bytes; the two kinds differ in length.
    pub fn from_bytes(bytes: &[u8]) -> Option<ObjectDigest> {
        if let Ok(root) = bytes.try_into() {
            return Some(ObjectDigest::Root(root));
        }
        let part: [u8; PART_DIGEST_BYTES] = bytes.try_into().ok()?;
        Some(ObjectDigest::Part(PartDigest::from_bytes(part)))
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            ObjectDigest::Root(root) => root,
            ObjectDigest::Part(part) => part.as_bytes(),
        }
    }

    /// Whether it is the digest of these bytes.
    pub(crate) fn is_of(&self, bytes: &[u8]) -> bool {
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
