//! Digests of the keys of client accounts.
//!
//! A manifest travels and is stored, so it holds digests and never a key.
//! Keys are long and random, so a plain digest without salt is enough and
//! lets an entry look one up in a map.

/// Hexadecimal digits of a digest.
pub const KEY_DIGEST_DIGITS: usize = 64;

/// BLAKE3 digest of a bearer key, in lower-case hexadecimal digits.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Whether `text` has the form of a key digest.
pub(crate) fn is_key_digest(text: &str) -> bool {
    text.len() == KEY_DIGEST_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
