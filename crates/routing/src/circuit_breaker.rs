//! Health of one backend server, from what requests and probes see.
//!
//! | state | new requests | leaves it by |
//! |---|---|---|
//! | closed | all | [`FAILURE_LIMIT`] failures in a row |
//! | open | none | time; the wait doubles with each failed trial |
//! | half open | one at a time | [`SUCCESS_LIMIT`] successes, or a failure |
//!
//! This is a protection of requests, not a fact about the server: a chooser
//! that finds every server of a layer boundary suspect takes them all again
//! (the floor), rather than none. The related paper reports the same floor
//! ("If every ready replica is excluded, the Gateway can fall back").
//!
//! The fields are separate atomics. Two threads that end a request at the
//! same moment may count one failure too few or admit a second trial; both
//! are harmless, and the request path takes no lock.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

/// Failures in a row that open a closed circuit.
pub const FAILURE_LIMIT: u32 = 3;
/// Successes in a row that close a half-open circuit.
pub const SUCCESS_LIMIT: u32 = 2;
/// First wait of an open circuit.
pub const FIRST_BACKOFF_MS: u64 = 500;
/// Longest wait of an open circuit.
pub const MAX_BACKOFF_MS: u64 = 30_000;
/// After this a trial that never ended no longer bars the next one.
pub const TRIAL_LIMIT_MS: u64 = 10_000;

const MAX_DOUBLINGS: u32 = 16;
/// Never a time: `open_until_ms` of a closed circuit.
const CLOSED: u64 = 0;
const NO_TRIAL: u64 = 0;

/// State of a circuit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CircuitState {
    /// Takes requests.
    Closed,
    /// Takes none for now.
    Open {
        /// When it turns half open.
        until_ms: u64,
    },
    /// Takes one request at a time, as a trial.
    HalfOpen,
}

impl CircuitState {
    /// Its name, as operators see it.
    pub fn name(self) -> &'static str {
        match self {
            CircuitState::Closed => "closed",
            CircuitState::Open { .. } => "open",
            CircuitState::HalfOpen => "half_open",
        }
    }
}

/// Circuit of one backend server, shared by all threads.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    failures: AtomicU32,
    successes: AtomicU32,
    doublings: AtomicU32,
    open_until_ms: AtomicU64,
    trial_since_ms: AtomicU64,
}

impl CircuitBreaker {
    /// A closed circuit.
    pub fn new() -> CircuitBreaker {
        CircuitBreaker::default()
    }

    /// Its state now.
    pub fn state(&self, now_ms: u64) -> CircuitState {
        match self.open_until_ms.load(Relaxed) {
            CLOSED => CircuitState::Closed,
            until_ms if now_ms < until_ms => CircuitState::Open { until_ms },
            _ => CircuitState::HalfOpen,
        }
    }

    /// Whether a request may be sent now.
    pub fn allows_requests(&self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            CircuitState::Closed => true,
            CircuitState::Open { .. } => false,
            CircuitState::HalfOpen => !self.has_trial(now_ms),
        }
    }

    /// Notes that a request is sent; in a half-open state it is the trial.
    pub fn record_sent(&self, now_ms: u64) {
        if self.open_until_ms.load(Relaxed) != CLOSED {
            self.trial_since_ms.store(now_ms.max(1), Relaxed);
        }
    }

    /// Notes that a request or probe succeeded.
    pub fn record_success(&self, now_ms: u64) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
        match self.state(now_ms) {
            CircuitState::Closed => self.failures.store(0, Relaxed),
            // The request was sent before the failures that opened it.
            CircuitState::Open { .. } => {}
            CircuitState::HalfOpen => {
                let successes = self.successes.fetch_add(1, Relaxed) + 1;
                if successes >= SUCCESS_LIMIT {
                    self.close();
                }
            }
        }
    }

    /// Notes that a request or probe failed.
    pub fn record_failure(&self, now_ms: u64) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
        match self.state(now_ms) {
            CircuitState::Closed => {
                let failures = self.failures.fetch_add(1, Relaxed) + 1;
                if failures >= FAILURE_LIMIT {
                    self.open(now_ms);
                }
            }
            // Sent before it opened: tells nothing new.
            CircuitState::Open { .. } => {}
            CircuitState::HalfOpen => {
                self.doublings.fetch_add(1, Relaxed);
                self.open(now_ms);
            }
        }
    }

    /// Notes an end that tells nothing of the server.
    pub fn record_neutral(&self) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
    }

    fn has_trial(&self, now_ms: u64) -> bool {
        match self.trial_since_ms.load(Relaxed) {
            NO_TRIAL => false,
            since_ms => now_ms.saturating_sub(since_ms) < TRIAL_LIMIT_MS,
        }
    }

    fn open(&self, now_ms: u64) {
        let doublings = self.doublings.load(Relaxed).min(MAX_DOUBLINGS);
        let backoff_ms = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.successes.store(0, Relaxed);
        self.open_until_ms.store(now_ms + backoff_ms, Relaxed);
    }

    fn close(&self) {
        self.failures.store(0, Relaxed);
        self.successes.store(0, Relaxed);
        self.doublings.store(0, Relaxed);
        self.open_until_ms.store(CLOSED, Relaxed);
    }
}
