//! Identifies requests, and parts of their prompts, under different ids.
//!
//! Requests of one client account with the same method, host, target and body
//! are equal. Requests of any account may share a part of the prompt, which
//! the caller names. The digests have no key, since all entries must compute
//! the same digests and share no secret. A caller can cause collisions of
//! whole requests only among its own, since the account is part of the digest.

use chestnutreach_adapter::caller;
use chestnutreach_http::relay::RelayRequest;
use chestnutreach_routing::{Fingerprint, RequestKeys};

use crate::request::capacity_control::account_hash;

/// Separates the uses of the hash function from others.
const REQUEST_CONTEXT: &str = "chestnutreach 2026 request fingerprint";
const PART_CONTEXT: &str = "chestnutreach 2026 prompt part fingerprint";

/// The fingerprint of a request of a client account.
pub(crate) fn of_request(
    request: &RelayRequest,
    account: &str,
) -> Fingerprint {
    let host = request.header("host").unwrap_or_default();
    let parts = [account, &request.method, host, &request.target];
    let parts = parts.map(str::as_bytes).into_iter();
    let digest = digest(REQUEST_CONTEXT, parts.chain([&*request.body]));
    Fingerprint::of_request(digest)
}

/// The fingerprint of a part of a prompt.
pub(crate) fn of_part(id: &str) -> Fingerprint {
    Fingerprint::of_part(digest(PART_CONTEXT, [id.as_bytes()]))
}

/// All fingerprints of a request of a client account.
pub(crate) fn keys(request: &RelayRequest, account: &str) -> RequestKeys {
    RequestKeys::new(
        account_hash(account),
        of_request(request, account),
        shared_parts(request).map(of_part),
    )
}

/// Ids of the parts of a prompt that other requests may share.
pub(crate) fn shared_parts(
    request: &RelayRequest,
) -> impl Iterator<Item = &str> {
    let value = request.header(caller::PROMPT_PARTS).unwrap_or_default();
    caller::shared_prompt_parts(value)
}

fn digest<'a>(
    context: &str,
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> u64 {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        // The length prefix makes different lists of parts hash differently.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
