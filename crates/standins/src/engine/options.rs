//! Settings of an engine.

use std::{error, fmt};

/// Settings of an engine, set by chained methods.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub(super) model: String,
    pub(super) first_layer: u32,
    pub(super) end_layer: u32,
    pub(super) layer_count: u32,
    pub(super) prompt_tokens_per_s: u64,
    pub(super) output_tokens_per_s: u64,
    pub(super) step_us: u64,
    pub(super) cache_tokens: u64,
    pub(super) sequence_idle_ms: u64,
    pub(super) max_batch: usize,
    pub(super) report_lag_ms: u64,
    pub(super) load_ms_per_layer: u64,
    pub(super) checks_fencing: bool,
}

/// Layers that are no range within the model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerRangeError {
    pub(super) first_layer: u32,
    pub(super) end_layer: u32,
    pub(super) layer_count: u32,
}

impl fmt::Display for LayerRangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "layers {}..{} are no range within 0..{}",
            self.first_layer, self.end_layer, self.layer_count
        )
    }
}

impl error::Error for LayerRangeError {}

/// Checks that layers are a range within the model.
pub(super) fn check_layers(
    first_layer: u32,
    end_layer: u32,
    layer_count: u32,
) -> Result<(), LayerRangeError> {
    if first_layer < end_layer && end_layer <= layer_count {
        return Ok(());
    }
    Err(LayerRangeError { first_layer, end_layer, layer_count })
}

impl EngineOptions {
    /// An engine for `first_layer..end_layer` of a model with `layer_count`
    /// layers, that takes no time and checks no fencing numbers.
    ///
    /// # Errors
    ///
    /// The layers are no range within the model.
    pub fn new(
        model: &str,
        first_layer: u32,
        end_layer: u32,
        layer_count: u32,
    ) -> Result<EngineOptions, LayerRangeError> {
        check_layers(first_layer, end_layer, layer_count)?;
        Ok(EngineOptions {
            model: model.to_owned(),
            first_layer,
            end_layer,
            layer_count,
            prompt_tokens_per_s: 0,
            output_tokens_per_s: 0,
            step_us: 0,
            cache_tokens: 1_000_000,
            sequence_idle_ms: 60_000,
            max_batch: 64,
            report_lag_ms: 0,
            load_ms_per_layer: 0,
            checks_fencing: false,
        })
    }

    /// Rate at which prompts are read; 0 takes no time.
    pub fn prompt_tokens_per_s(mut self, rate: u64) -> EngineOptions {
        self.prompt_tokens_per_s = rate;
        self
    }

    /// Rate at which tokens of answers are made, over all sequences of a
    /// batch; 0 takes no time.
    pub fn output_tokens_per_s(mut self, rate: u64) -> EngineOptions {
        self.output_tokens_per_s = rate;
        self
    }

    /// Time of an iteration besides its tokens, in microseconds.
    pub fn step_us(mut self, time_us: u64) -> EngineOptions {
        self.step_us = time_us;
        self
    }

    /// Positions that KV memory holds.
    pub fn cache_tokens(mut self, count: u64) -> EngineOptions {
        self.cache_tokens = count;
        self
    }

    /// How long a sequence that is not used keeps its memory when another
    /// needs it, in milliseconds.
    pub fn sequence_idle_ms(mut self, time_ms: u64) -> EngineOptions {
        self.sequence_idle_ms = time_ms;
        self
    }

    /// Most steps in an iteration, at least 1.
    pub fn max_batch(mut self, count: usize) -> EngineOptions {
        self.max_batch = count.max(1);
        self
    }

    /// Time between two looks at the load that is reported, in milliseconds;
    /// 0 reports the present load.
    pub fn report_lag_ms(mut self, lag_ms: u64) -> EngineOptions {
        self.report_lag_ms = lag_ms;
        self
    }

    /// Time that loading the weights of a layer takes, in milliseconds.
    pub fn load_ms_per_layer(mut self, time_ms: u64) -> EngineOptions {
        self.load_ms_per_layer = time_ms;
        self
    }

    /// Refuses orders with an old fencing number.
    pub fn checks_fencing(mut self, checks: bool) -> EngineOptions {
        self.checks_fencing = checks;
        self
    }
}
