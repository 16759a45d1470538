//! Hexadecimal encoding, also of numbers and digests in JSON.

use std::fmt::Write as _;

/// Encodes bytes as lower-case hex digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a String never fails");
    }
    text
}

/// Decodes exactly `2 * N` hex digits.
pub(crate) fn decode<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(bytes)
}

/// `#[serde(with)]` module for 32-byte digests.
pub(crate) mod digest {
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

    pub(crate) fn serialize<S: Serializer>(
        digest: &[u8; 32],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&super::encode(digest))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<[u8; 32], D::Error> {
        let text = String::deserialize(deserializer)?;
        super::decode(&text).ok_or_else(|| {
            D::Error::custom(format!("{text:?} is not 64 hex digits"))
        })
    }
}

/// `#[serde(with)]` module for 128-bit numbers.
pub(crate) mod number {
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

    pub(crate) fn serialize<S: Serializer>(
        number: &u128,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{number:032x}"))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        super::decode(&text).map(u128::from_be_bytes).ok_or_else(|| {
            D::Error::custom(format!("{text:?} is not 32 hex digits"))
        })
    }
}
