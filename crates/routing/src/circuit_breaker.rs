//! Circuit breaker of one backend server, driven by requests and probes.
//!
//! | state | new requests | ends after |
//! |---|---|---|
//! | closed | all | [`FAILURE_LIMIT`] consecutive failures |
//! | open | none | a backoff, which doubles with each failed trial |
//! | half open | one at a time | [`SUCCESS_LIMIT`] successes, or one failure |
//!
//! The breaker protects requests and does not prove that a server is down. If
//! every server of a layer boundary is suspect, the search considers all of
//! them again instead of none. The related paper reports the same fallback
//! ("If every ready replica is excluded, the Gateway can fall back").
//!
//! The fields are separate atomics, so that the request path takes no lock.
//! Two threads that end a request at the same time may miss one failure or
//! admit a second trial; both are harmless.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};

/// Consecutive failures that open a closed circuit.
pub const FAILURE_LIMIT: u32 = 3;
/// Consecutive successes that close a half-open circuit.
pub const SUCCESS_LIMIT: u32 = 2;
/// Backoff when a closed circuit opens.
pub const INITIAL_BACKOFF_MS: u64 = 500;
/// Maximum backoff of an open circuit.
pub const MAX_BACKOFF_MS: u64 = 30_000;
/// Time after which a trial without a result no longer blocks the next trial.
pub const TRIAL_TIMEOUT_MS: u64 = 10_000;

const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Value of `open_until_ms` of a closed circuit.
const CLOSED: u64 = 0;
const NO_TRIAL: u64 = 0;

/// State of a circuit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CircuitState {
    /// Requests are allowed.
    Closed,
    /// Requests are blocked until the backoff ends.
    Open {
        /// When the circuit becomes half open.
        until_ms: u64,
    },
    /// One request at a time is allowed, as a trial.
    HalfOpen,
}

impl CircuitState {
    /// Name of the state in status documents.
    pub fn name(self) -> &'static str {
        match self {
            CircuitState::Closed => "closed",
            CircuitState::Open { .. } => "open",
            CircuitState::HalfOpen => "half_open",
        }
    }
}

/// Circuit breaker of one backend server, shared by all threads.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    failures: AtomicU32,
    successes: AtomicU32,
    backoff_doublings: AtomicU32,
    open_until_ms: AtomicU64,
    trial_since_ms: AtomicU64,
}

impl CircuitBreaker {
    /// A closed circuit.
    pub fn new() -> CircuitBreaker {
        CircuitBreaker::default()
    }

    /// The state at the given time.
    pub fn state(&self, now_ms: u64) -> CircuitState {
        match self.open_until_ms.load(Relaxed) {
            CLOSED => CircuitState::Closed,
            until_ms if now_ms < until_ms => CircuitState::Open { until_ms },
            _ => CircuitState::HalfOpen,
        }
    }

    /// Whether a request may be sent at the given time.
    pub fn allows_requests(&self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            CircuitState::Closed => true,
            CircuitState::Open { .. } => false,
            CircuitState::HalfOpen => !self.has_trial(now_ms),
        }
    }

    /// Records that a request is sent. In the half-open state the request is
    /// the trial.
    pub fn record_sent(&self, now_ms: u64) {
        if self.open_until_ms.load(Relaxed) != CLOSED {
            self.trial_since_ms.store(now_ms.max(1), Relaxed);
        }
    }

    /// Records that a request or probe succeeded.
    pub fn record_success(&self, now_ms: u64) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
        match self.state(now_ms) {
            CircuitState::Closed => self.failures.store(0, Relaxed),
            // The request was sent before the circuit opened.
            CircuitState::Open { .. } => {}
            CircuitState::HalfOpen => {
                let successes = self.successes.fetch_add(1, Relaxed) + 1;
                if successes >= SUCCESS_LIMIT {
                    self.close();
                }
            }
        }
    }

    /// Records that a request or probe failed.
    pub fn record_failure(&self, now_ms: u64) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
        match self.state(now_ms) {
            CircuitState::Closed => {
                let failures = self.failures.fetch_add(1, Relaxed) + 1;
                if failures >= FAILURE_LIMIT {
                    self.open(now_ms);
                }
            }
            // The request was sent before the circuit opened, so the failure
            // is no new evidence.
            CircuitState::Open { .. } => {}
            CircuitState::HalfOpen => {
                self.backoff_doublings.fetch_add(1, Relaxed);
                self.open(now_ms);
            }
        }
    }

    /// Records a request whose result says nothing about the server.
    pub fn record_neutral(&self) {
        self.trial_since_ms.store(NO_TRIAL, Relaxed);
    }

    fn has_trial(&self, now_ms: u64) -> bool {
        match self.trial_since_ms.load(Relaxed) {
            NO_TRIAL => false,
            since_ms => now_ms.saturating_sub(since_ms) < TRIAL_TIMEOUT_MS,
        }
    }

    fn open(&self, now_ms: u64) {
        let backoff_doublings =
            self.backoff_doublings.load(Relaxed).min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms =
            (INITIAL_BACKOFF_MS << backoff_doublings).min(MAX_BACKOFF_MS);
        self.successes.store(0, Relaxed);
        self.open_until_ms.store(now_ms + backoff_ms, Relaxed);
    }

    fn close(&self) {
        self.failures.store(0, Relaxed);
        self.successes.store(0, Relaxed);
        self.backoff_doublings.store(0, Relaxed);
        self.open_until_ms.store(CLOSED, Relaxed);
    }
}
