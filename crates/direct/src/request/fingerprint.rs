//! Identifies equal requests that have different ids.
//!
//! Requests of one client account with the same method, host, target and body
//! are equal. The digest has no key, since all entries must compute the same
//! digest and share no secret. A caller can cause collisions only among its
//! own requests, since the account is part of the digest.

use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::Fingerprint;

/// Separates this use of the hash function from others.
const CONTEXT: &str = "chestnutreach 2026 request fingerprint";

/// The fingerprint of a request of a client account.
pub(crate) fn of(request: &RelayRequest, account: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    let host = request.header("host").unwrap_or_default();
    let parts = [account, &request.method, host, &request.target];
    for part in parts.map(str::as_bytes).into_iter().chain([&*request.body]) {
        // The length prefix makes different lists of parts hash differently.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_le_bytes(bytes))
}
