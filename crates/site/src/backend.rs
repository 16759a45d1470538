//! Backend servers, the kinds of accelerators, and the layers they hold.

use std::{collections::BTreeMap, net::SocketAddr};

pub use chestnutreach_planner::LayerRange;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its name; a restart may keep it.
    pub id: String,
    /// Unix time of its start, in milliseconds; none where it tells none.
    pub started_unix_ms: Option<u64>,
    /// Service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes work.
    pub state: BackendState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Kind of its accelerator, for model engines.
    pub kind: Option<String>,
    /// Layers that it holds, if any.
    pub held: Option<LayerRange>,
}

impl Backend {
    /// Name of this start of the server. What is known of one start holds
    /// for no other.
    pub fn incarnation(&self) -> String {
        match self.started_unix_ms {
            Some(started_unix_ms) => format!("{}@{started_unix_ms}", self.id),
            None => self.id.clone(),
        }
    }
}

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackendState {
    /// It takes work.
    Ready,
    /// It ends what runs and leaves.
    Draining,
}

/// What becomes of requests that pass through layers which an engine is
/// ordered to give up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamPolicy {
    /// The engine lets them end before it takes other layers.
    Finish,
    /// They are cut there.
    Abort,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a step.
    pub pace: f64,
    /// Factor on the time to read a prompt.
    pub prefill_factor: f64,
}

/// A model that several engines hold in parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    /// Layers.
    pub layer_count: u32,
    /// Memory of a layer, in megabytes.
    pub layer_mb: f64,
    /// Memory of a request for each token and layer, in bytes.
    pub token_layer_bytes: f64,
    /// Time of one step through all layers at pace 1, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens read a second through all layers at factor 1.
    pub prefill_tokens_per_s: f64,
    /// Bytes sent on for each token where a request changes the engine.
    pub activation_bytes: f64,
    /// Rate between data centres that all engines share, in Mbit/s.
    pub interconnect_mbps: f64,
    /// Time to load the whole model, in seconds.
    pub load_s: f64,
    /// Steps that a pass runs.
    pub stride: u32,
    /// Mean tokens of a prompt.
    pub typical_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub typical_output_tokens: u32,
    /// Age of what an engine reports, in milliseconds.
    pub report_lag_ms: f64,
    /// Kinds of accelerators by name.
    pub kinds: BTreeMap<String, AcceleratorKind>,
}

impl Model {
    /// Most layers that fit into the memory of a kind.
    pub fn max_layers(&self, kind: &AcceleratorKind) -> u32 {
        ((kind.memory_mb / self.layer_mb) as u32).min(self.layer_count)
    }

    /// Tokens times layers of requests that fit beside so many layers.
    pub fn token_layer_capacity(
        &self,
        kind: &AcceleratorKind,
        layers: u32,
    ) -> u64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        (free_mb.max(0.0) * 1e6 / self.token_layer_bytes) as u64
    }

    /// Time of one step through so many layers, in milliseconds.
    pub fn layers_step_ms(&self, kind: &AcceleratorKind, layers: u32) -> f64 {
        let share = f64::from(layers) / f64::from(self.layer_count.max(1));
        self.step_ms * kind.pace * share
    }

    /// Time for which reading so many tokens takes up what joins data
    /// centres, in milliseconds.
    pub fn interconnect_prefill_ms(&self, tokens: u64) -> f64 {
        let bits = tokens as f64 * self.activation_bytes * 8.0;
        bits / (self.interconnect_mbps.max(1.0) * 1e3)
    }

    /// Time to read a token through so many layers, in milliseconds.
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
