//! A claim as it lies in its row.

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
    /// A key that a caller of the account gave. Keys of two accounts never
    /// meet.
    pub fn new(account: &str, key: &str) -> ClaimKey {
        // The caller's bytes do not go into the row's key.
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

/// Who runs the request of a key, and how far it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Random id of the claim.
    #[serde(with = "hex::number")]
    pub claim_id: u128,
    /// Digest of what the caller asked for.
    #[serde(with = "hex::digest")]
    pub request_digest: [u8; 32],
    /// Number of the request between the processes.
    #[serde(with = "hex::number")]
    pub request: u128,
    /// VM of the entry that owns it.
    pub entry_vm: String,
    /// Boot id of that entry.
    pub entry_boot_id: u64,
    /// Side process of the first stage it is sent to.
    pub side_address: SocketAddr,
    /// Boot id of that side process.
    pub side_boot_id: u64,
    /// How far it is.
    pub state: ClaimState,
    /// When the key may be used anew, in seconds since 1970.
    pub expires_at_unix_s: u64,
}

impl Claim {
    /// Whether the key may be used anew.
    pub fn has_expired(&self, now_unix_s: u64) -> bool {
        self.expires_at_unix_s <= now_unix_s
    }
}

/// How far the request of a claim is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It is or was about to run.
    Claimed,
    /// It ran to its end.
    Completed {
        /// What every repeat gets.
        answer: StoredResponse,
    },
    /// It did not run; the key may be claimed again.
    NotRun,
    /// It began and failed.
    Failed,
}

/// A finished answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The whole body.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// Seconds since 1970.
pub(super) fn now_unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

/// For `#[serde(with)]` on bytes.
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
