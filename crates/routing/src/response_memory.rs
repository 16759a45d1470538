//! Memory that responses of backend servers may hold.
//!
//! A server may send bytes without an end, in as many responses as the entry
//! has requests there. All responses share one limit, which is a part of the
//! memory of the machine. A response may grow while it holds no more than is
//! left free afterwards: one such response gets half of the memory, `n` of
//! them hold `n / (n + 1)`, and what is left always admits a response of
//! ordinary size.

use std::{
    error, fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

/// Responses may hold one part in so many of the memory of the machine.
const MEMORY_DIVISOR: usize = 12;

/// A response may not grow, since too little memory is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseMemoryError {
    asked_bytes: usize,
    free_bytes: usize,
}

impl fmt::Display for ResponseMemoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ResponseMemoryError { asked_bytes, free_bytes } = self;
        write!(
            f,
            "the response needs {asked_bytes} bytes of memory and \
             {free_bytes} bytes are free"
        )
    }
}

impl error::Error for ResponseMemoryError {}

/// Memory that all responses share.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
}

impl ResponseMemory {
    /// Memory of at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> ResponseMemory {
        ResponseMemory { limit_bytes, held_bytes: AtomicUsize::new(0) }
    }

    /// The share of a machine with so many megabytes of memory.
    pub fn of_machine(memory_mb: u64) -> ResponseMemory {
        let memory_bytes =
            usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
        ResponseMemory::new(memory_bytes / MEMORY_DIVISOR)
    }

    /// Bytes that responses hold now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Relaxed)
    }

    /// Changes what one response holds.
    fn resize(
        &self,
        from_bytes: usize,
        to_bytes: usize,
    ) -> Result<(), ResponseMemoryError> {
        let mut free_bytes = 0;
        let update = |held_bytes: usize| {
            let others_bytes = held_bytes - from_bytes;
            free_bytes = self.limit_bytes.saturating_sub(others_bytes);
            let is_allowed =
                to_bytes <= from_bytes || to_bytes <= free_bytes / 2;
            is_allowed.then(|| others_bytes + to_bytes)
        };
        let updated = self.held_bytes.fetch_update(Relaxed, Relaxed, update);
        match updated {
            Ok(_) => Ok(()),
            Err(_) => {
                Err(ResponseMemoryError { asked_bytes: to_bytes, free_bytes })
            }
        }
    }
}

/// What one response holds, until dropped.
#[derive(Debug)]
pub struct HeldResponse {
    memory: Arc<ResponseMemory>,
    bytes: usize,
}

impl HeldResponse {
    /// A response that holds nothing yet.
    pub fn new(memory: &Arc<ResponseMemory>) -> HeldResponse {
        HeldResponse { memory: memory.clone(), bytes: 0 }
    }

    /// Changes what the response holds.
    ///
    /// # Errors
    ///
    /// Too little memory is free; the response holds what it held before.
    pub fn try_resize(
        &mut self,
        bytes: usize,
    ) -> Result<(), ResponseMemoryError> {
        if bytes != self.bytes {
            self.memory.resize(self.bytes, bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.memory.held_bytes.fetch_sub(self.bytes, Relaxed);
    }
}
