//! What is told of a backend server: whether it is there, and its load.

use serde::Serialize;

/// What a side process tells of its backend server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that hold a reservation.
    pub running: u32,
    /// Requests that wait for admission.
    pub queued: u32,
    /// Work that both still need.
    pub pending_tokens: u64,
    /// Learned through the server's own layers; 0 where unknown.
    pub prompt_tokens_per_s: f32,
    /// Likewise, all sequences together.
    pub output_tokens_per_s: f32,
    /// Cache memory in use, in parts of 1000.
    pub cache_used_permille: u32,
    /// The backend server answers its calls.
    pub is_healthy: bool,
    /// Expected wait of a new request.
    pub queue_wait_ms: u32,
}

/// Whether a backend server is there.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Not connected, or out of reach.
    Absent,
    /// New: takes a growing share.
    Joining {
        /// When it came.
        since_ms: u64,
    },
    /// Takes its full share.
    Serving,
    /// Takes nothing new.
    Leaving,
}
