//! Digests of API keys of client accounts.
//!
//! A manifest is stored and sent between processes, so it contains digests and
//! never a key. Keys are long and random, so an unsalted digest is sufficient
//! and an entry can look a key up in a map by its digest.

/// Number of hexadecimal digits of a digest.
pub const KEY_DIGEST_DIGITS: usize = 64;

/// BLAKE3 digest of a bearer key in lower-case hexadecimal.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Whether `text` is formatted as a key digest.
pub(crate) fn is_key_digest(text: &str) -> bool {
    text.len() == KEY_DIGEST_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
