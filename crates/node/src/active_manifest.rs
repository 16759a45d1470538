//! The accepted generation that this process has in force.
//!
//! The follower notes it after a manifest was applied, so that whoever asks
//! is never told a generation that requests don't see yet. The objects that
//! it is made of are kept for peers that cannot have them from the store.

use std::sync::{Mutex, MutexGuard};

use chestnutreach_platform::manifest_store::{Head, ObjectDigest, PartCache};

/// The generation in force.
#[derive(Debug, Default)]
pub struct ActiveManifest {
    held: Mutex<Option<Held>>,
}

#[derive(Debug)]
struct Held {
    head: Head,
    objects: PartCache,
}

impl ActiveManifest {
    /// None yet.
    pub fn new() -> ActiveManifest {
        ActiveManifest::default()
    }

    /// A generation was applied that is made of these objects.
    pub fn set(&self, head: &Head, objects: &PartCache) {
        let held = Held { head: head.clone(), objects: objects.clone() };
        *self.lock() = Some(held);
    }

    /// The generation in force; none before the first.
    pub fn head(&self) -> Option<Head> {
        self.lock().as_ref().map(|held| held.head.clone())
    }

    /// An object of the generation in force, by its digest.
    pub fn object(&self, digest: &[u8]) -> Option<Vec<u8>> {
        let digest = ObjectDigest::from_bytes(digest)?;
        self.lock().as_ref()?.objects.get(&digest)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().expect("no holder panics")
    }
}
