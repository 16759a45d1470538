//! Memory that all requests, or all responses of backend servers, may hold.
//!
//! A server may send bytes without an end, in as many responses as the entry
//! has requests there, and each caller may send a body as long as the operator
//! allows. All bodies of a kind share one pool, which is a part of the memory
//! of the machine. A body may grow while it holds no more than is left free
//! afterwards: one such body gets half of the pool, `n` of them hold
//! `n / (n + 1)`, and what is left always admits a body of ordinary size.

use std::{
    error, fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

/// Share of the memory of the machine that responses may hold.
const RESPONSE_SHARE: f64 = 1.0 / 12.0;
/// The same for requests of callers. An attempt holds its request a second
/// time while it is sent.
const REQUEST_SHARE: f64 = 0.4;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// A body may not grow, since too little memory is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPoolError {
    asked_bytes: usize,
    free_bytes: usize,
}

impl fmt::Display for MemoryPoolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MemoryPoolError { asked_bytes, free_bytes } = self;
        write!(
            f,
            "{asked_bytes} bytes of memory are needed and {free_bytes} \
             bytes are free"
        )
    }
}

impl error::Error for MemoryPoolError {}

/// Memory that all bodies of a kind share.
#[derive(Debug, Default)]
pub struct MemoryPool {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
}

impl MemoryPool {
    /// Memory of at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> MemoryPool {
        MemoryPool { limit_bytes, held_bytes: AtomicUsize::new(0) }
    }

    /// The pool for responses on a machine with so many megabytes of memory.
    pub fn of_responses(memory_mb: u64) -> MemoryPool {
        MemoryPool::of_machine(memory_mb, RESPONSE_SHARE)
    }

    /// The pool for requests on a machine with so many megabytes of memory.
    pub fn of_requests(memory_mb: u64) -> MemoryPool {
        MemoryPool::of_machine(memory_mb, REQUEST_SHARE)
    }

    fn of_machine(memory_mb: u64, share: f64) -> MemoryPool {
        MemoryPool::new((memory_mb as f64 * share * BYTES_PER_MB) as usize)
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Relaxed)
    }

    /// Changes what one body holds.
    fn resize(
        &self,
        from_bytes: usize,
        to_bytes: usize,
    ) -> Result<(), MemoryPoolError> {
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
                Err(MemoryPoolError { asked_bytes: to_bytes, free_bytes })
            }
        }
    }
}

/// What one body holds, until dropped.
#[derive(Debug)]
pub struct PoolShare {
    memory: Arc<MemoryPool>,
    bytes: usize,
}

impl PoolShare {
    /// A body that holds nothing yet.
    pub fn new(memory: &Arc<MemoryPool>) -> PoolShare {
        PoolShare { memory: memory.clone(), bytes: 0 }
    }

    /// Changes what the body holds.
    ///
    /// # Errors
    ///
    /// Too little memory is free; the body holds what it held before.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), MemoryPoolError> {
        if bytes != self.bytes {
            self.memory.resize(self.bytes, bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for PoolShare {
    fn drop(&mut self) {
        self.memory.held_bytes.fetch_sub(self.bytes, Relaxed);
    }
}
