//! The model, the engines and the placements of a layout.

use crate::service::LayerRange;

/// Minimum KV capacity of an engine, in tokens.
pub(crate) const MIN_KV_TOKENS: f64 = 20_000.0;

/// Memory requirements of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutModel {
    /// Number of layers.
    pub layer_count: u32,
    /// Memory of a layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of a token in a layer, in bytes.
    pub token_layer_bytes: f64,
    /// Tokens of the requests that an engine accepts as their first stage, one
    /// for each slot; infinite without a limit.
    pub first_stage_tokens: f64,
}

impl LayoutModel {
    /// KV cache of this number of tokens in a layer, in megabytes.
    pub(crate) fn kv_mb(&self, kv_tokens: f64) -> f64 {
        kv_tokens * self.token_layer_bytes / 1e6
    }

    /// KV capacity of an engine with this memory that holds this number of
    /// layers, in tokens.
    pub(crate) fn kv_tokens(&self, memory_mb: f64, layers: u32) -> f64 {
        let layers = f64::from(layers.max(1));
        let free_mb = memory_mb - layers * self.layer_mb;
        free_mb.max(0.0) * 1e6 / (layers * self.token_layer_bytes)
    }

    /// Maximum number of layers that leave an engine with this memory this KV
    /// capacity.
    pub(crate) fn max_layers(&self, memory_mb: f64, kv_tokens: f64) -> u32 {
        let each_mb = self.layer_mb + self.kv_mb(kv_tokens);
        ((memory_mb / each_mb) as u32).min(self.layer_count)
    }
}

/// An engine as the layout sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutEngine {
    /// Index of the data centre.
    pub data_centre: usize,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a token through one layer, in milliseconds.
    pub layer_ms: f64,
    /// Layers that the engine holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// Whether the layers that the engine holds can be used.
    pub is_available: bool,
    /// Whether the engine may be given an order.
    pub accepts_orders: bool,
}

/// The layers that an engine is to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Index of the engine.
    pub engine: usize,
    /// Layers to hold.
    pub range: LayerRange,
}
