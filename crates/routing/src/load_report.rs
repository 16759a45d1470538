//! Reported load and presence of a backend server.

use serde::Serialize;

/// Load of a backend server, as reported by the side process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that hold a reservation.
    pub running: u32,
    /// Requests that wait for admission.
    pub queued: u32,
    /// Tokens that running and queued requests still need.
    pub pending_tokens: u64,
    /// Measured prefill speed through the server's own layers; 0 if unknown.
    pub prompt_tokens_per_s: f32,
    /// Measured output speed through the server's own layers, summed over all
    /// sequences; 0 if unknown.
    pub output_tokens_per_s: f32,
    /// Cache memory in use, in thousandths.
    pub cache_used_permille: u32,
    /// Whether the backend server responds to calls.
    pub is_healthy: bool,
    /// Expected wait of a new request.
    pub queue_wait_ms: u32,
}

/// Presence of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The server is not connected or unreachable.
    Absent,
    /// The server was added recently and gets a growing share of requests.
    Joining {
        /// When the server was added.
        since_ms: u64,
    },
    /// The server gets its full share of requests.
    Serving,
    /// The server gets no new requests.
    Leaving,
}
