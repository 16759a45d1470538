//! A claim as stored in its row.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::hex;

/// Idempotency key of a client account.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    row_key: String,
}

impl ClaimKey {
    /// Creates the key for an idempotency key that a caller of the account
    /// sent. Equal keys of two accounts are distinct.
    pub fn new(account: &str, key: &str) -> ClaimKey {
        // A digest keeps bytes chosen by the caller out of the row key.
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(account.len() as u64).to_be_bytes());
        hasher.update(account.as_bytes());
        hasher.update(key.as_bytes());
        let digest = hasher.finalize();
        ClaimKey { row_key: format!("claim/{}", digest.to_hex()) }
    }

    pub(super) fn row_key(&self) -> &str {
        &self.row_key
    }
}

/// Claim of a key: which entry runs its request, and the request's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Random id of the claim.
    #[serde(with = "hex::number")]
    pub claim_id: u128,
    /// Digest of the caller's request.
    #[serde(with = "hex::digest")]
    pub request_digest: [u8; 32],
    /// Id of the request in messages between processes.
    #[serde(with = "hex::number")]
    pub request: u128,
    /// VM of the entry that owns the claim.
    pub entry_vm: String,
    /// Boot id of that entry.
    pub entry_boot_id: u64,
    /// Address of the side process that runs the first stage of the request.
    pub side_address: SocketAddr,
    /// Boot id of that side process.
    pub side_boot_id: u64,
    /// State of the request.
    pub state: ClaimState,
    /// Unix time in seconds from which the key may be reused.
    pub expires_at_unix_s: u64,
}

impl Claim {
    /// Returns whether the key may be reused.
    pub fn has_expired(&self, now_unix_s: u64) -> bool {
        self.expires_at_unix_s <= now_unix_s
    }
}

/// State of a claim's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request runs, or was about to run.
    Claimed,
    /// The request ran to completion.
    Completed {
        /// Response for every repeat.
        answer: StoredResponse,
    },
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request started and failed.
    Failed,
}

/// A complete response, kept for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header values by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The complete body.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// Current Unix time in seconds.
pub(super) fn now_unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

/// `#[serde(with)]` module for bytes.
mod base64_bytes {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

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
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
