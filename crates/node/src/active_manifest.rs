//! The manifest generation that this process has in force.
//!
//! The follower sets the generation after the manifest was applied, so that
//! this process never reports a generation that requests don't use yet. The
//! objects of the generation are kept for peers that cannot fetch them from
//! the store.

use std::sync::{Mutex, MutexGuard};

use chestnutreach_platform::manifest_store::{Head, ObjectDigest, PartCache};

/// The generation in force and its objects.
#[derive(Debug, Default)]
pub struct ActiveManifest {
    current: Mutex<Option<Generation>>,
}

#[derive(Debug)]
struct Generation {
    head: Head,
    objects: PartCache,
}

impl ActiveManifest {
    /// Creates a record without a generation.
    pub fn new() -> ActiveManifest {
        ActiveManifest::default()
    }

    /// Sets the generation that was applied, and its objects.
    pub fn set(&self, head: &Head, objects: &PartCache) {
        let current =
            Generation { head: head.clone(), objects: objects.clone() };
        *self.lock() = Some(current);
    }

    /// Head of the generation in force, if any.
    pub fn head(&self) -> Option<Head> {
        self.lock().as_ref().map(|current| current.head.clone())
    }

    /// Returns an object of the generation in force by its digest.
    pub fn object(&self, digest: &[u8]) -> Option<Vec<u8>> {
        let digest = ObjectDigest::from_bytes(digest)?;
        self.lock().as_ref()?.objects.get(&digest)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Generation>> {
        self.current.lock().expect("no holder panics")
    }
}
