//! What a request has in common with others.

use crate::Fingerprint;

/// Limit on parts of one request, so that a caller that names many parts does
/// not fill the records of all others.
pub const MAX_PARTS: usize = 16;

/// The fingerprints by which a request is known again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestKeys {
    account: u32,
    request: Fingerprint,
    parts: Vec<Fingerprint>,
}

impl RequestKeys {
    /// The keys of a request of a client account, given as a short hash.
    /// Parts beyond [`MAX_PARTS`] are ignored.
    pub fn new(
        account: u32,
        request: Fingerprint,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> RequestKeys {
        let parts = parts.into_iter().take(MAX_PARTS).collect();
        RequestKeys { account, request, parts }
    }

    /// Short hash of the client account.
    pub fn account(&self) -> u32 {
        self.account
    }

    /// Fingerprint of the whole request.
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// The fingerprints under which servers may crash.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        [self.request].into_iter().chain(self.parts())
    }

    /// The fingerprints of the parts of the prompt.
    pub fn parts(&self) -> impl Iterator<Item = Fingerprint> {
        self.parts.iter().copied()
    }

    /// Whether the request has this fingerprint.
    pub fn contains(&self, key: Fingerprint) -> bool {
        self.iter().any(|own| own == key)
    }

    /// Identifies the trials of this request; never 0.
    pub(crate) fn trial_id(&self) -> u32 {
        let folded = (self.request.0 ^ (self.request.0 >> 32)) as u32;
        (folded << 1) | 1
    }
}
