//! A manifest cut into parts by content.
//!
//! The sections are spread over 256 buckets by the digest of their name, so
//! that a change of one account changes one part. The root lists the digests
//! of all parts; 16 bytes each keep it at 4 KiB.
//!
//! To be merged with the module of the same purpose in the config crate.

use std::collections::BTreeMap;

use crate::hex;

/// Number of parts.
pub(crate) const PART_COUNT: usize = 256;
/// Bytes of a part's digest.
const DIGEST_BYTES: usize = 16;
/// Bytes of a root.
const ROOT_BYTES: usize = PART_COUNT * DIGEST_BYTES;
/// Encoding of a part without sections.
const EMPTY_PART: &[u8] = b"{}";

/// Digest of a part's encoding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PartDigest([u8; DIGEST_BYTES]);

impl PartDigest {
    pub(crate) fn of(encoding: &[u8]) -> PartDigest {
        let whole = blake3::hash(encoding);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole.as_bytes()[..DIGEST_BYTES]);
        PartDigest(digest)
    }

    pub(crate) fn is_empty_part(self) -> bool {
        self == PartDigest::of(EMPTY_PART)
    }

    pub(crate) fn to_hex(self) -> String {
        hex::encode(&self.0)
    }
}

/// Digests of all parts, in the order of the buckets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Root(Vec<PartDigest>);

impl Root {
    pub(crate) fn try_decode(bytes: &[u8]) -> Option<Root> {
        if bytes.len() != ROOT_BYTES {
            return None;
        }
        let digests = bytes.chunks_exact(DIGEST_BYTES).map(|chunk| {
            let mut digest = [0; DIGEST_BYTES];
            digest.copy_from_slice(chunk);
            PartDigest(digest)
        });
        Some(Root(digests.collect()))
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        self.0.iter().flat_map(|digest| digest.0).collect()
    }

    pub(crate) fn digests(&self) -> &[PartDigest] {
        &self.0
    }
}

/// Encoded parts and their root.
pub(crate) struct Parts {
    pub(crate) root: Root,
    pub(crate) encodings: BTreeMap<PartDigest, Vec<u8>>,
}

/// Cuts sections into parts.
pub(crate) fn cut(sections: &BTreeMap<String, String>) -> Parts {
    let mut buckets = vec![BTreeMap::new(); PART_COUNT];
    for (name, text) in sections {
        let bucket = blake3::hash(name.as_bytes()).as_bytes()[0];
        buckets[usize::from(bucket)].insert(name, text);
    }
    let mut digests = Vec::with_capacity(PART_COUNT);
    let mut encodings = BTreeMap::new();
    for bucket in &buckets {
        let encoding =
            serde_json::to_vec(bucket).expect("a map of texts can be written");
        let digest = PartDigest::of(&encoding);
        digests.push(digest);
        encodings.insert(digest, encoding);
    }
    Parts { root: Root(digests), encodings }
}

/// Sections of one encoded part.
pub(crate) fn sections(encoding: &[u8]) -> Option<BTreeMap<String, String>> {
    serde_json::from_slice(encoding).ok()
}
