//! The accepted generation that this process has in force.
//!
//! The follower notes it after a manifest was applied, so that whoever asks
//! is never told a generation that requests don't see yet.

use std::sync::{Mutex, MutexGuard};

use chestnutreach_platform::manifest_store::Head;

/// The generation in force.
#[derive(Debug, Default)]
pub struct InForce {
    head: Mutex<Option<Head>>,
}

impl InForce {
    /// None yet.
    pub fn new() -> InForce {
        InForce::default()
    }

    /// A generation was applied.
    pub fn note(&self, head: &Head) {
        *self.lock() = Some(head.clone());
    }

    /// The generation in force; none before the first.
    pub fn head(&self) -> Option<Head> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Head>> {
        self.head.lock().expect("no holder panics")
    }
}
