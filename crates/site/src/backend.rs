//! Backend servers, the layers they hold, and their models and accelerators.

use std::{collections::BTreeMap, net::SocketAddr};

pub use chestnutreach_planner::LayerRange;

/// State that a backend server reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name; it may stay the same across restarts.
    pub id: String,
    /// Unix time of the process start, in milliseconds, if reported.
    pub started_unix_ms: Option<u64>,
    /// Heartbeats that the process has counted, as of the row's last change.
    pub heartbeats: u64,
    /// Name of the service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether the server accepts requests.
    pub state: BackendState,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Kind of accelerator; set for model engines only.
    pub kind: Option<String>,
    /// Layers that the engine holds, if any.
    pub held: Option<LayerRange>,
}

impl Backend {
    /// Identifies one process lifetime of the server. State observed for one
    /// incarnation does not apply to another.
    pub fn incarnation(&self) -> String {
        match self.started_unix_ms {
            Some(started_unix_ms) => format!("{}@{started_unix_ms}", self.id),
            None => self.id.clone(),
        }
    }
}

/// Whether a backend server accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendState {
    /// Accepts requests.
    Ready,
    /// Finishes running requests and accepts no new ones.
    Draining,
}

/// What an engine does with running requests that use layers which the
/// engine is ordered to release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPolicy {
    /// The requests finish before the engine loads other layers.
    Finish,
    /// The requests are aborted.
    Abort,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a step.
    pub pace: f64,
    /// Factor on the prefill time.
    pub prefill_factor: f64,
}

/// A model whose layers are distributed over several engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Number of layers.
    pub layer_count: u32,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV memory of a request per token and layer, in bytes.
    pub token_layer_bytes: f64,
    /// Time of one step through all layers at pace 1, in milliseconds.
    pub step_ms: f64,
    /// Prefill throughput through all layers at prefill factor 1, in tokens
    /// per second.
    pub prefill_tokens_per_s: f64,
    /// Bytes of activations per token that one stage sends to the next.
    pub activation_bytes: f64,
    /// Bandwidth of the interconnect between data centres, shared by all
    /// engines, in Mbit/s.
    pub interconnect_mbps: f64,
    /// Time to load the whole model, in seconds.
    pub load_s: f64,
    /// Steps per pass through the engines.
    pub stride: u32,
    /// Mean tokens of a prompt.
    pub typical_prompt_tokens: u32,
    /// Mean output tokens of a request.
    pub typical_output_tokens: u32,
    /// Age of the state that an engine reports, in milliseconds.
    pub report_lag_ms: f64,
    /// Kinds of accelerators by name.
    pub kinds: BTreeMap<String, AcceleratorKind>,
}

impl Model {
    /// Maximum number of layers that fit into the memory of an accelerator.
    pub fn max_layers(&self, kind: &AcceleratorKind) -> u32 {
        ((kind.memory_mb / self.layer_mb) as u32).min(self.layer_count)
    }

    /// KV capacity, in tokens times layers, that remains on an accelerator
    /// which holds `layers` layers.
    pub fn token_layer_capacity(
        &self,
        kind: &AcceleratorKind,
        layers: u32,
    ) -> u64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        (free_mb.max(0.0) * 1e6 / self.token_layer_bytes) as u64
    }

    /// Time of one step through `layers` layers, in milliseconds.
    pub fn layers_step_ms(&self, kind: &AcceleratorKind, layers: u32) -> f64 {
        let share = f64::from(layers) / f64::from(self.layer_count.max(1));
        self.step_ms * kind.pace * share
    }

    /// Time for which the prefill of `tokens` tokens occupies the interconnect
    /// between data centres, in milliseconds.
    pub fn interconnect_prefill_ms(&self, tokens: u64) -> f64 {
        let bits = tokens as f64 * self.activation_bytes * 8.0;
        bits / (self.interconnect_mbps.max(1.0) * 1e3)
    }

    /// Prefill time of one token through `layers` layers, in milliseconds.
    pub fn layers_prefill_ms(
        &self,
        kind: &AcceleratorKind,
        layers: u32,
    ) -> f64 {
        let share = f64::from(layers) / f64::from(self.layer_count.max(1));
        let rate_per_ms = (self.prefill_tokens_per_s / 1e3).max(1e-9);
        kind.prefill_factor * share / rate_per_ms
    }
}
