//! Identifies what crashes servers: a whole request, or a part of a prompt
//! that several requests share.

use std::{error, fmt, str::FromStr};

/// Digest of a whole request or of a part of a prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Set in fingerprints of parts only, so that entries that have not seen
    /// the request can tell the two apart.
    const PART_BIT: u64 = 1 << 63;

    /// The fingerprint of a whole request with this digest.
    pub fn of_request(digest: u64) -> Fingerprint {
        Fingerprint(digest & !Fingerprint::PART_BIT)
    }

    /// The fingerprint of a part of a prompt with this digest.
    pub fn of_part(digest: u64) -> Fingerprint {
        Fingerprint(digest | Fingerprint::PART_BIT)
    }

    /// Whether this is the fingerprint of a part of a prompt.
    pub fn is_part(self) -> bool {
        self.0 & Fingerprint::PART_BIT != 0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    /// Parses the output of `Display`.
    fn from_str(text: &str) -> Result<Fingerprint, FingerprintError> {
        let error = || FingerprintError { text: text.to_owned() };
        let is_digit = |c: char| c.is_ascii_hexdigit();
        if text.len() != DIGITS || !text.chars().all(is_digit) {
            return Err(error());
        }
        let number = u64::from_str_radix(text, 16);
        number.map(Fingerprint).map_err(|_| error())
    }
}

/// Length of a fingerprint in hexadecimal digits.
const DIGITS: usize = 16;

/// The error for text that is not a fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FingerprintError {
    text: String,
}

impl fmt::Display for FingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = &self.text;
        write!(f, "{text:?} is no fingerprint: {DIGITS} hexadecimal digits")
    }
}

impl error::Error for FingerprintError {}
