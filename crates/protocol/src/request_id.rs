//! Identifier of a request, chosen by the entry that accepted the request.

use std::{fmt, num::ParseIntError, str::FromStr};

use crate::wire;

/// A random 128-bit number, displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u128);

impl RequestId {
    /// Creates a random identifier, other than 0.
    pub fn random() -> RequestId {
        RequestId(fastrand::u128(1..))
    }

    /// Creates the identifier with this number.
    pub fn from_u128(number: u128) -> RequestId {
        RequestId(number)
    }

    /// The number itself.
    pub fn as_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RequestId, ParseIntError> {
        u128::from_str_radix(text, 16).map(RequestId)
    }
}

impl From<RequestId> for wire::RequestId {
    fn from(id: RequestId) -> wire::RequestId {
        let high = (id.0 >> 64) as u64;
        let low = id.0 as u64;
        wire::RequestId { high, low }
    }
}

impl From<wire::RequestId> for RequestId {
    fn from(id: wire::RequestId) -> RequestId {
        RequestId((u128::from(id.high) << 64) | u128::from(id.low))
    }
}
