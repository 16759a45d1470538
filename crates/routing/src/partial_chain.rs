//! Partial chains and the beam that is kept at a layer boundary.

use crate::{
    cost::{CostContext, StageCost},
    fleet::BackendIndex,
};

/// Maximum number of partial chains kept at a boundary.
pub(crate) const BEAM_WIDTH: usize = 4;
/// Parent of a partial chain with one stage.
pub(crate) const NO_PARENT: u32 = u32::MAX;

/// A chain from layer 0 to a boundary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartialChain {
    pub(crate) cost: f64,
    pub(crate) wait_ms: f64,
    /// Prompt time through all stages so far, with links.
    pub(crate) prompt_ms: f64,
    /// Time of one output token through all stages so far, with links.
    pub(crate) step_ms: f64,
    pub(crate) price_micros: f64,
    pub(crate) first_data_centre: u32,
    pub(crate) data_centre: u32,
    pub(crate) parent: u32,
    pub(crate) backend: BackendIndex,
}

/// The cheapest partial chains that reach a boundary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Beam {
    pub(crate) chains: [u32; BEAM_WIDTH],
    pub(crate) len: usize,
}

impl Beam {
    pub(crate) fn as_slice(&self) -> &[u32] {
        &self.chains[..self.len]
    }
}

impl PartialChain {
    /// A partial chain with one stage.
    pub(crate) fn first_stage(
        ctx: &CostContext<'_>,
        entry: u32,
        index: BackendIndex,
        stage: &StageCost,
    ) -> PartialChain {
        let data_centre = ctx.fleet.cost_inputs(index).data_centre;
        let link_ms = ctx.fleet.network().path(entry, data_centre).latency_ms;
        PartialChain {
            cost: stage.wait_ms + stage.weighted + ctx.weights.time * link_ms,
            wait_ms: stage.wait_ms,
            prompt_ms: link_ms + stage.prompt_ms,
            step_ms: stage.step_ms,
            price_micros: stage.price_micros,
            first_data_centre: data_centre,
            data_centre,
            parent: NO_PARENT,
            backend: index,
        }
    }

    /// This partial chain extended by one stage.
    pub(crate) fn with_stage(
        &self,
        ctx: &CostContext<'_>,
        parent: u32,
        index: BackendIndex,
        stage: &StageCost,
    ) -> PartialChain {
        let data_centre = ctx.fleet.cost_inputs(index).data_centre;
        let path = ctx.fleet.network().path(self.data_centre, data_centre);
        let token_bytes = f64::from(ctx.policy.activation_bytes_per_token);
        let prompt = f64::from(ctx.shape.prompt_tokens);
        let output = f64::from(ctx.shape.output_tokens);
        let prompt_link_ms = path.transfer_ms(prompt * token_bytes);
        let step_link_ms = path.transfer_ms(token_bytes);
        let link_ms = prompt_link_ms + output * step_link_ms;
        let wait_ms = self.wait_ms.max(stage.wait_ms);
        let weights = &ctx.weights;
        let leaves_data_centre = self.data_centre != data_centre;
        let interconnect_ms =
            if leaves_data_centre { weights.interconnect_ms } else { 0.0 };
        PartialChain {
            cost: self.cost
                + (wait_ms - self.wait_ms)
                + stage.weighted
                + weights.time * link_ms
                + weights.stage_ms
                + interconnect_ms,
            wait_ms,
            prompt_ms: self.prompt_ms + prompt_link_ms + stage.prompt_ms,
            step_ms: self.step_ms + step_link_ms + stage.step_ms,
            price_micros: self.price_micros + stage.price_micros,
            first_data_centre: self.first_data_centre,
            data_centre,
            parent,
            backend: index,
        }
    }
}
