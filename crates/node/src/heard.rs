//! The highest generation of the manifest that peers have told of.
//!
//! Every message between processes that says who they are carries the
//! generation in force. Hearing a higher one than this process has makes it
//! look at the store at once instead of at its next poll.

use std::sync::atomic::{AtomicU64, Ordering};

/// What peers have told.
#[derive(Debug)]
pub struct Heard {
    generation: AtomicU64,
    wake: async_channel::Sender<()>,
    woken: async_channel::Receiver<()>,
}

impl Heard {
    /// Nothing heard yet.
    pub fn new() -> Heard {
        let (wake, woken) = async_channel::bounded(1);
        Heard { generation: AtomicU64::new(0), wake, woken }
    }

    /// A peer has this generation in force.
    pub fn note(&self, generation: u64) {
        let old = self.generation.fetch_max(generation, Ordering::AcqRel);
        if generation > old {
            // A full channel has woken the reader already.
            let _ = self.wake.try_send(());
        }
    }

    /// The highest generation heard of.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Waits until a higher generation than before is heard of.
    pub async fn woken(&self) {
        let _ = self.woken.recv().await;
    }
}

impl Default for Heard {
    fn default() -> Heard {
        Heard::new()
    }
}
