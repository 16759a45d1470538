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

/// Error for layers that aren't a non-empty range within the model.
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
            "layers {}..{} are not a non-empty range within 0..{}",
            self.first_layer, self.end_layer, self.layer_count
        )
    }
}

impl error::Error for LayerRangeError {}

/// Checks that the layers are a non-empty range within the model.
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
    /// Creates the settings of an engine for `first_layer..end_layer` of a
    /// model with `layer_count` layers. By default, steps and loads take no
    /// time and fencing numbers aren't checked.
    ///
    /// # Errors
    ///
    /// Returns an error if the layers aren't a non-empty range within the
    /// model.
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

    /// Sets the rate of prefill in tokens per second; 0 takes no time.
    pub fn prompt_tokens_per_s(mut self, rate: u64) -> EngineOptions {
        self.prompt_tokens_per_s = rate;
        self
    }

    /// Sets the rate of decoding in tokens per second, over all sequences of a
    /// batch; 0 takes no time.
    pub fn output_tokens_per_s(mut self, rate: u64) -> EngineOptions {
        self.output_tokens_per_s = rate;
        self
    }

    /// Sets the fixed time per iteration in microseconds, to which the time
    /// per token is added.
    pub fn step_us(mut self, time_us: u64) -> EngineOptions {
        self.step_us = time_us;
        self
    }

    /// Sets the capacity of KV memory in positions.
    pub fn cache_tokens(mut self, count: u64) -> EngineOptions {
        self.cache_tokens = count;
        self
    }

    /// Sets the idle time in milliseconds after which a sequence may be
    /// evicted when another one needs memory.
    pub fn sequence_idle_ms(mut self, time_ms: u64) -> EngineOptions {
        self.sequence_idle_ms = time_ms;
        self
    }

    /// Sets the maximum number of steps per iteration, at least 1.
    pub fn max_batch(mut self, count: usize) -> EngineOptions {
        self.max_batch = count.max(1);
        self
    }

    /// Sets the interval in milliseconds at which the load report is
    /// refreshed; 0 reports the current load.
    pub fn report_lag_ms(mut self, lag_ms: u64) -> EngineOptions {
        self.report_lag_ms = lag_ms;
        self
    }

    /// Sets the time to load the weights of a layer, in milliseconds.
    pub fn load_ms_per_layer(mut self, time_ms: u64) -> EngineOptions {
        self.load_ms_per_layer = time_ms;
        self
    }

    /// Sets whether orders with an old fencing number are rejected.
    pub fn checks_fencing(mut self, checks: bool) -> EngineOptions {
        self.checks_fencing = checks;
        self
    }
}
