//! What the calls carry.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Who answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeInfo {
    /// Version of the control protocol that it speaks.
    pub protocol_version: u32,
    /// Name of its VM.
    pub vm: String,
    /// What it does.
    pub role: NodeRole,
    /// New at each start of the process.
    pub boot_id: u64,
}

/// What a daemon does.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum NodeRole {
    /// Speaks HTTP to callers.
    #[default]
    Entry,
    /// Stands beside backend servers.
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

/// What a daemon knows of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Name of its VM.
    pub vm: String,
    /// What it does.
    pub role: NodeRole,
    /// Data centre of its VM.
    pub data_centre: String,
    /// New at each start of the process.
    pub boot_id: u64,
    /// Generation of the manifest in force; 0 for none.
    pub generation: u64,
    /// It should get work.
    pub is_ready: bool,
    /// It refuses new work while the work in progress ends.
    pub is_draining: bool,
    /// Requests taken and not ended.
    pub requests_in_flight: u64,
    /// The backend servers beside it.
    pub backends: Vec<BackendStatus>,
    /// Its links to other processes.
    pub links: Vec<PeerStatus>,
}

/// A backend server, as its side process sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendStatus {
    /// Its name in the manifest.
    pub name: String,
    /// Requests that hold a reservation.
    pub running: u64,
    /// Requests that wait for admission.
    pub queued: u64,
    /// It answers its calls.
    pub is_healthy: bool,
    /// It gets no new work.
    pub is_leaving: bool,
}

/// Another process, as this one sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Name of its VM.
    pub vm: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The link is open.
    pub is_connected: bool,
    /// It said that it is leaving.
    pub is_leaving: bool,
    /// Generation that it has in force.
    pub generation: u64,
    /// Time since something was heard of it.
    pub silent_ms: u64,
}

/// A generation of the manifest.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerationInfo {
    /// Its number; 0 for none.
    pub generation: u64,
    /// Identity of the submission that made it.
    pub submission: String,
    /// Digest of its root part.
    #[serde(with = "base64_bytes")]
    pub root_digest: Vec<u8>,
}

/// Which routing choice to explain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ExplainQuery {
    /// The choice that was made for a request.
    Request {
        /// Identity of the request.
        request_id: String,
    },
    /// The choice that would be made now.
    Described(DescribedRequest),
}

/// A request that might come.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DescribedRequest {
    /// Service that it asks.
    pub service: String,
    /// Client account that sends it.
    pub account: String,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Most tokens that it wants.
    pub output_tokens: u32,
    /// What its caller waits.
    pub deadline_ms: u32,
    /// Its priority.
    pub priority: RequestPriority,
}

/// Priority of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub enum RequestPriority {
    /// After the others.
    Low,
    /// The ordinary one.
    #[default]
    Normal,
    /// Before the others.
    High,
}

/// Bytes that travel as base64.
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
