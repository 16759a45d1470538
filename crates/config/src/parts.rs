//! Content-addressed parts of a manifest, for storage and transfer.
//!
//! Sections are hashed by name into a fixed number of buckets. Each bucket is
//! stored under the digest of its content, and the root lists the digests of
//! all buckets. Changing one section changes one bucket and the root, whatever
//! the size of the manifest. The root takes 4 KiB even for a small manifest,
//! which is still a single write.

use std::{collections::BTreeMap, error, fmt};

/// Number of buckets of a manifest; part of the stored format.
pub const BUCKET_COUNT: usize = 256;

/// Length of a [`PartDigest`].
pub const PART_DIGEST_BYTES: usize = 16;

/// Encoding of a bucket without sections.
pub const EMPTY_BUCKET: &[u8] = b"{}";

/// Length of an encoded root.
pub const ROOT_BYTES: usize = BUCKET_COUNT * PART_DIGEST_BYTES;

/// BLAKE3 digest of a part, truncated to 16 bytes. Only operators who may
/// change the manifest write parts, so the digest only needs to prevent
/// accidental collisions.
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

    /// Digest of a bucket without sections; such a bucket need not be stored.
    pub fn of_empty_bucket() -> PartDigest {
        PartDigest::of(EMPTY_BUCKET)
    }

    /// Digest from its encoded bytes.
    pub fn from_bytes(bytes: [u8; PART_DIGEST_BYTES]) -> PartDigest {
        PartDigest(bytes)
    }

    /// Encoded bytes of the digest.
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

/// Root and bucket bodies of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Parts {
    /// Digest of the body of each bucket, in bucket order.
    pub root: Vec<PartDigest>,
    /// Bodies by digest; buckets with equal bodies share an element.
    pub bodies: BTreeMap<PartDigest, Vec<u8>>,
}

impl Parts {
    /// Distributes `sections` over the buckets.
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

    /// Bodies that are not listed in the root `known`.
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

/// Reason why a manifest cannot be assembled from parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartsError {
    /// An encoded root has the wrong length.
    RootLength {
        /// Actual length.
        length_bytes: usize,
    },
    /// A root has the wrong number of buckets.
    BucketCount {
        /// Actual number of buckets.
        count: usize,
    },
    /// A body is missing.
    Missing {
        /// Digest of the body in the root.
        digest: PartDigest,
    },
    /// The digest of a body differs from the digest in the root.
    DigestMismatch {
        /// Digest in the root.
        expected: PartDigest,
        /// Digest of the body.
        actual: PartDigest,
    },
    /// A body is not valid JSON.
    Unreadable {
        /// Digest of the body in the root.
        digest: PartDigest,
    },
    /// A section is not in the bucket that its name hashes to.
    WrongBucket {
        /// Heading of the section without brackets.
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
                write!(f, "part {digest} cannot be decoded")
            }
            PartsError::WrongBucket { name } => {
                write!(f, "section [{name}] is in the wrong bucket")
            }
        }
    }
}

impl error::Error for PartsError {}

/// Encodes a root for storage.
pub fn encode_root(root: &[PartDigest]) -> Vec<u8> {
    root.iter().flat_map(|digest| digest.0).collect()
}

/// Decodes a stored root.
///
/// # Errors
///
/// [`PartsError::RootLength`] if the length is wrong.
pub fn decode_root(bytes: &[u8]) -> Result<Vec<PartDigest>, PartsError> {
    if bytes.len() != ROOT_BYTES {
        return Err(PartsError::RootLength { length_bytes: bytes.len() });
    }
    let (digests, _) = bytes.as_chunks::<PART_DIGEST_BYTES>();
    Ok(digests.iter().copied().map(PartDigest).collect())
}

/// Reassembles the sections and checks each body against its digest.
///
/// # Errors
///
/// When a body is missing, does not match its digest or cannot be decoded.
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
    // One byte of the digest covers the 256 buckets.
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0])
}

/// Encodes a bucket as JSON, which can represent any heading and body without
/// escaping rules of its own.
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
