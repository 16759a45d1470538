//! What a manifest states of a backend server, and its place.

use serde::Serialize;

/// Place of a backend server in its [`crate::Fleet`].
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct BackendIndex(pub u32);

impl BackendIndex {
    pub(crate) fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// What the manifest says of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSpec {
    /// Unique in the fleet.
    pub name: String,
    /// Index of its data centre.
    pub data_centre: u32,
    /// First layer it holds; 0 for a plain service.
    pub first_layer: u32,
    /// First layer it no longer holds; 0 for a plain service.
    pub end_layer: u32,
    /// Price, in millionths of the deployment's currency an hour.
    pub price_micros_per_hour: u64,
    /// First guess through all layers; 0 where unknown.
    pub prompt_tokens_per_s: u32,
    /// First guess through all layers, all sequences together; 0 if unknown.
    pub output_tokens_per_s: u32,
    /// Requests it runs at the same time.
    pub max_running: u32,
    /// Tokens its cache holds.
    pub cache_tokens: u64,
}
