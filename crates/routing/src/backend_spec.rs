//! Backend servers as stated in the manifest.

use serde::Serialize;

/// Index of a backend server in its [`crate::Fleet`].
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct BackendIndex(pub u32);

impl BackendIndex {
    pub(crate) fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// A backend server as stated in the manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSpec {
    /// Unique in the fleet.
    pub name: String,
    /// Index of the data centre.
    pub data_centre: u32,
    /// First layer that the server holds; 0 for a plain service.
    pub first_layer: u32,
    /// End of the layer range, exclusive; 0 for a plain service.
    pub end_layer: u32,
    /// Price per hour, in millionths of the deployment's currency.
    pub price_micros_per_hour: u64,
    /// Configured estimate of the prefill speed through all layers; 0 if
    /// unknown.
    pub prompt_tokens_per_s: u32,
    /// Configured estimate of the output speed through all layers, summed
    /// over all sequences; 0 if unknown.
    pub output_tokens_per_s: u32,
    /// Requests that the server runs concurrently.
    pub max_running: u32,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
}
