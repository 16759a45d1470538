//! Arguments and results of the calls.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Identity of the process that handles calls.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeInfo {
    /// Version of the control protocol that the process uses.
    pub protocol_version: u32,
    /// Name of the process's VM.
    pub vm: String,
    /// Role of the process.
    pub role: NodeRole,
    /// Boot id, which is different after each start of the process.
    pub boot_id: u64,
}

/// Role of a daemon.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum NodeRole {
    /// Serves HTTP requests of callers.
    #[default]
    Entry,
    /// Runs next to backend servers and passes work to them.
    Side,
}

impl fmt::Display for NodeRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeRole::Entry => "entry",
            NodeRole::Side => "side",
        })
    }
}

/// Status of a daemon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Name of the daemon's VM.
    pub vm: String,
    /// Role of the daemon.
    pub role: NodeRole,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Boot id, which is different after each start of the process.
    pub boot_id: u64,
    /// Active manifest generation; 0 for none.
    pub generation: u64,
    /// Whether the daemon is ready for work.
    pub is_ready: bool,
    /// Whether the daemon is draining: it refuses new work while running work
    /// completes.
    pub is_draining: bool,
    /// Requests that were accepted and have not ended.
    pub requests_in_flight: u64,
    /// Backend servers next to the daemon.
    pub backends: Vec<BackendStatus>,
    /// Links to other processes.
    pub links: Vec<PeerStatus>,
}

/// A backend server, as its side process sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendStatus {
    /// Name of the backend server in the manifest.
    pub name: String,
    /// Requests that hold a reservation.
    pub running: u64,
    /// Requests that wait for admission.
    pub queued: u64,
    /// Whether the backend server responds to calls.
    pub is_healthy: bool,
    /// Whether the backend server is draining and gets no new work.
    pub is_leaving: bool,
}

/// A peer, as seen by the process that reports its status.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Name of the peer's VM.
    pub vm: String,
    /// Address on which the peer listens, as `ip:port`.
    pub address: String,
    /// Data centre of the peer.
    pub data_centre: String,
    /// Whether the link to the peer is open.
    pub is_connected: bool,
    /// Whether the peer reported that it is draining.
    pub is_leaving: bool,
    /// Active manifest generation of the peer.
    pub generation: u64,
    /// Time since the last message from the peer, in milliseconds.
    pub silent_ms: u64,
}

/// A manifest generation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerationInfo {
    /// Generation number; 0 for none.
    pub generation: u64,
    /// Id of the submission that created the generation.
    pub submission: String,
    /// Digest of the root part.
    #[serde(with = "base64_bytes")]
    pub root_digest: Vec<u8>,
}

/// The routing choice to explain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ExplainQuery {
    /// The choice made for an earlier request.
    Request {
        /// Id of the request.
        request_id: String,
    },
    /// The choice that would be made now for a described request.
    Described(DescribedRequest),
}

/// Description of a hypothetical request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DescribedRequest {
    /// Requested service.
    pub service: String,
    /// Client account that sends the request.
    pub account: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum output tokens.
    pub output_tokens: u32,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u32,
    /// Priority of the request.
    pub priority: RequestPriority,
}

/// Priority of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum RequestPriority {
    /// Served after requests of other priorities.
    Low,
    /// Default priority.
    #[default]
    Normal,
    /// Served before requests of other priorities.
    High,
}

/// Bytes that are encoded as base64.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Blob(#[serde(with = "base64_bytes")] pub(crate) Vec<u8>);

mod base64_bytes {
    use super::*;

    pub(super) fn serialize<S: Serializer>(
        bytes: &[u8],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(de::Error::custom)
    }
}
