//! A manifest split for storing and sending.
//!
//! Sections fall into a fixed count of buckets by the digest of their name.
//! Each bucket is stored under the digest of its content, and the root lists
//! the digests of all. One changed section changes one bucket and the root,
//! whatever the size of the manifest; that costs a root of 4 KiB even for a
//! small one, which is still one write.

use std::{collections::BTreeMap, error, fmt};

/// Buckets of a manifest; part of the stored form.
pub const BUCKET_COUNT: usize = 256;

/// Bytes of a [`PartDigest`].
pub const PART_DIGEST_BYTES: usize = 16;

/// Body of a bucket without sections.
pub const EMPTY_BUCKET: &[u8] = b"{}";

/// Bytes of an encoded root.
pub const ROOT_BYTES: usize = BUCKET_COUNT * PART_DIGEST_BYTES;

/// BLAKE3 digest of a part, cut to 16 bytes. Only operators who may change
/// the manifest anyway write parts, so collisions by chance alone matter.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct PartDigest([u8; PART_DIGEST_BYTES]);

impl PartDigest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> PartDigest {
        let mut digest = [0; PART_DIGEST_BYTES];
        let whole = blake3::hash(bytes);
        digest.copy_from_slice(&whole.as_bytes()[..PART_DIGEST_BYTES]);
        PartDigest(digest)
    }

    /// Digest of a bucket without sections, which needs no storing.
    pub fn of_empty_bucket() -> PartDigest {
        PartDigest::of(EMPTY_BUCKET)
    }

    /// A digest that was encoded before.
    pub fn from_bytes(bytes: [u8; PART_DIGEST_BYTES]) -> PartDigest {
        PartDigest(bytes)
    }

    /// The digest's bytes.
    pub fn as_bytes(&self) -> &[u8; PART_DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PartDigest({self})")
    }
}

/// A manifest in parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Parts {
    /// Digest of each bucket's body, by bucket.
    pub root: Vec<PartDigest>,
    /// Bodies by digest; buckets with equal bodies share one.
    pub bodies: BTreeMap<PartDigest, Vec<u8>>,
}

impl Parts {
    /// Splits `sections`.
    pub fn from_sections(sections: &BTreeMap<String, String>) -> Parts {
        let mut buckets = vec![BTreeMap::new(); BUCKET_COUNT];
        for (name, body) in sections {
            buckets[bucket_of(name)].insert(name.as_str(), body.as_str());
        }
        let mut parts = Parts { root: Vec::new(), bodies: BTreeMap::new() };
        for bucket in &buckets {
            let body = encode_bucket(bucket);
            let digest = PartDigest::of(&body);
            parts.root.push(digest);
            parts.bodies.insert(digest, body);
        }
        parts
    }

    /// The bodies that a holder of `known` root doesn't have.
    pub fn new_bodies(
        &self,
        known: &[PartDigest],
    ) -> BTreeMap<PartDigest, &[u8]> {
        self.bodies
            .iter()
            .filter(|(digest, _)| !known.contains(digest))
            .map(|(digest, body)| (*digest, body.as_slice()))
            .collect()
    }
}

/// Why parts don't make a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartsError {
    /// An encoded root has the wrong length.
    RootLength {
        /// Its length.
        length_bytes: usize,
    },
    /// A root has the wrong count of buckets.
    BucketCount {
        /// Its count.
        count: usize,
    },
    /// A body isn't there.
    Missing {
        /// Its digest.
        digest: PartDigest,
    },
    /// A body has another digest than the root says.
    DigestMismatch {
        /// Digest in the root.
        expected: PartDigest,
        /// Digest of the body.
        actual: PartDigest,
    },
    /// A body can't be read.
    Unreadable {
        /// Its digest.
        digest: PartDigest,
    },
    /// A section stands in a bucket that isn't its own.
    WrongBucket {
        /// Heading of the section, without brackets.
        name: String,
    },
}

impl fmt::Display for PartsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PartsError::RootLength { length_bytes } => write!(
                f,
                "the root has {length_bytes} bytes; \
                 it must have {ROOT_BYTES} bytes",
            ),
            PartsError::BucketCount { count } => write!(
                f,
                "the root has {count} buckets; it must have {BUCKET_COUNT}",
            ),
            PartsError::Missing { digest } => {
                write!(f, "part {digest} is missing")
            }
            PartsError::DigestMismatch { expected, actual } => {
                write!(f, "part {expected} has the digest {actual}")
            }
            PartsError::Unreadable { digest } => {
                write!(f, "part {digest} can't be read")
            }
            PartsError::WrongBucket { name } => {
                write!(f, "section [{name}] is in the wrong bucket")
            }
        }
    }
}

impl error::Error for PartsError {}

/// The root as it is stored.
pub fn encode_root(root: &[PartDigest]) -> Vec<u8> {
    root.iter().flat_map(|digest| digest.0).collect()
}

/// The root from its stored form.
///
/// # Errors
///
/// When the length is wrong.
pub fn decode_root(bytes: &[u8]) -> Result<Vec<PartDigest>, PartsError> {
    if bytes.len() != ROOT_BYTES {
        return Err(PartsError::RootLength { length_bytes: bytes.len() });
    }
    let (digests, _) = bytes.as_chunks::<PART_DIGEST_BYTES>();
    Ok(digests.iter().copied().map(PartDigest).collect())
}

/// The sections again; each body is checked against its digest.
///
/// # Errors
///
/// When a body is missing or isn't what the root names.
pub fn assemble<B: AsRef<[u8]>>(
    root: &[PartDigest],
    bodies: &BTreeMap<PartDigest, B>,
) -> Result<BTreeMap<String, String>, PartsError> {
    if root.len() != BUCKET_COUNT {
        return Err(PartsError::BucketCount { count: root.len() });
    }
    let mut sections = BTreeMap::new();
    for (index, digest) in root.iter().enumerate() {
        let bucket = decode_bucket(*digest, bodies)?;
        if let Some(name) = bucket.keys().find(|name| bucket_of(name) != index)
        {
            return Err(PartsError::WrongBucket { name: name.clone() });
        }
        sections.extend(bucket);
    }
    Ok(sections)
}

fn bucket_of(name: &str) -> usize {
    // One byte of the digest, since there are 256 buckets.
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0])
}

/// JSON, since headings and bodies are then free of any form of their own.
fn encode_bucket(bucket: &BTreeMap<&str, &str>) -> Vec<u8> {
    let pairs =
        bucket.iter().map(|(&name, &body)| (name.to_owned(), body.into()));
    let object: serde_json::Map<String, serde_json::Value> = pairs.collect();
    serde_json::Value::Object(object).to_string().into_bytes()
}

fn decode_bucket<B: AsRef<[u8]>>(
    digest: PartDigest,
    bodies: &BTreeMap<PartDigest, B>,
) -> Result<BTreeMap<String, String>, PartsError> {
    let body = bodies.get(&digest).ok_or(PartsError::Missing { digest })?;
    let body = body.as_ref();
    let actual = PartDigest::of(body);
    if actual != digest {
        return Err(PartsError::DigestMismatch { expected: digest, actual });
    }
    serde_json::from_slice(body).map_err(|_| PartsError::Unreadable { digest })
}
