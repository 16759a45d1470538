//! What tells that two requests are the same under different ids.
//!
//! Requests of one client account with the same method, host, target and
//! body are the same. The digest is not keyed: entries must agree on it, and
//! they share no secret. A caller can make only its own requests collide,
//! since the account is part of it.

use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::Fingerprint;

/// Separates this use of the digest from others.
const CONTEXT: &str = "chestnutreach 2026 request fingerprint";

/// Fingerprint of a request of a client account.
pub(crate) fn of(request: &RelayRequest, account: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    let host = request.header("host").unwrap_or_default();
    let parts = [account, &request.method, host, &request.target];
    for part in parts.map(str::as_bytes).into_iter().chain([&*request.body]) {
        // Its length, so that no two lists of parts read the same.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_le_bytes(bytes))
}
