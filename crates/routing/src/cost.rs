//! Cost of a stage of a request on one backend server.
//!
//! * A decode step takes half as long on an empty server as on a full one and
//!   grows linearly in between: small batches are bound by memory bandwidth
//!   (loading the weights), large batches by arithmetic.
//! * The requests of a batch share the price of a step, so a token is cheaper
//!   on a busy server than on an empty one.
//! * Load costs little until a server is nearly full and rises steeply from
//!   there (see [`load_cost_ms`]): a full server refuses requests, while a
//!   server with free slots does not delay them.
//! * Prefill slows down in proportion to the used slots of the server.
//! * With a cached prefix, [`UNCACHED_SHARE`] of the prompt is computed.
//! * A plain service has no tokens. Its stage takes the smoothed response time
//!   as soon as one has been observed.

use serde::Serialize;

use crate::{
    fleet::{BackendIndex, CostInputs, Fleet},
    live_state::{LiveState, MeanLoad, Presence},
    policy::{CostWeights, Policy},
    request_shape::RequestShape,
    server_state::ServerSnapshot,
};

const MS_PER_S: f64 = 1_000.0;
const PERMILLE: f64 = 1_000.0;
/// Step time of an empty server, relative to a full server.
const EMPTY_STEP_SHARE: f64 = 0.5;
/// Weight of the steep term of the load cost.
const SATURATION_WEIGHT: f64 = 30.0;
/// Share of a prompt that is computed although the prefix is cached.
const UNCACHED_SHARE: f64 = 0.25;

/// Inputs of the cost function that are the same for all candidates.
pub(crate) struct CostContext<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) live: &'a LiveState,
    pub(crate) shape: &'a RequestShape,
    pub(crate) policy: &'a Policy,
    pub(crate) weights: CostWeights,
    pub(crate) now_ms: u64,
    fleet_mean: MeanLoad,
    ms_per_price_micro: f64,
}

/// Components of the cost of a stage.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostBreakdown {
    /// Queue wait. A chain counts only the longest wait of its stages.
    pub wait_ms: f64,
    /// Time to prefill the prompt.
    pub prompt_ms: f64,
    /// Time for one output token.
    pub step_ms: f64,
    /// Price of the server time, in millionths of the currency.
    pub price_micros: f64,
    /// Load as a share of the slots, including the ramp of a new server and
    /// the estimated requests of other entries.
    pub utilisation: f64,
    /// Weighted price.
    pub weighted_price: f64,
    /// Weighted load.
    pub weighted_load: f64,
    /// Weighted cost without the wait, with jitter within the near-equal band.
    pub weighted: f64,
}

/// Cost of one stage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageCost {
    pub(crate) wait_ms: f64,
    pub(crate) prompt_ms: f64,
    /// Time for one output token.
    pub(crate) step_ms: f64,
    pub(crate) price_micros: f64,
    pub(crate) utilisation: f64,
    /// Weighted cost without the wait.
    pub(crate) weighted: f64,
    weighted_price: f64,
    weighted_load: f64,
}

impl StageCost {
    pub(crate) fn parts(&self) -> CostBreakdown {
        CostBreakdown {
            wait_ms: self.wait_ms,
            prompt_ms: self.prompt_ms,
            step_ms: self.step_ms,
            price_micros: self.price_micros,
            utilisation: self.utilisation,
            weighted_price: self.weighted_price,
            weighted_load: self.weighted_load,
            weighted: self.weighted,
        }
    }
}

impl<'a> CostContext<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        live: &'a LiveState,
        shape: &'a RequestShape,
        policy: &'a Policy,
        now_ms: u64,
    ) -> CostContext<'a> {
        let mean = fleet.mean_price_micros_per_ms();
        CostContext {
            fleet,
            live,
            shape,
            policy,
            weights: policy.weights(shape.priority),
            now_ms,
            fleet_mean: live.mean_load(),
            ms_per_price_micro: if mean > 0.0 { 1.0 / mean } else { 0.0 },
        }
    }

    /// Returns the cost of a stage on a server. `jitter` in `0..1` raises the
    /// cost within the band of near-equal costs.
    pub(crate) fn stage(&self, index: BackendIndex, jitter: f64) -> StageCost {
        let inputs = self.fleet.cost_inputs(index);
        let snapshot = self.live.server(index).snapshot();
        let load = self.load(index, inputs, &snapshot);
        let times = self.stage_times(index, inputs, &snapshot, &load);
        let weights = &self.weights;
        let output = f64::from(self.shape.output_tokens);
        let time_ms = times.prompt_ms + output * times.step_ms;
        let price_micros = times.server_ms * inputs.price_micros_per_ms;
        let weighted_price =
            weights.price * price_micros * self.ms_per_price_micro;
        let weighted_load =
            weights.load * load_cost_ms(times.unloaded_ms, load.utilisation);
        let weighted = weights.time * time_ms + weighted_price + weighted_load;
        StageCost {
            wait_ms: load.wait_ms,
            prompt_ms: times.prompt_ms,
            step_ms: times.step_ms,
            price_micros,
            utilisation: load.utilisation,
            weighted: weighted * (1.0 + weights.band * jitter),
            weighted_price,
            weighted_load,
        }
    }

    fn load(
        &self,
        index: BackendIndex,
        inputs: &CostInputs,
        snapshot: &ServerSnapshot,
    ) -> Load {
        let is_recent = snapshot.reported_ms.is_some_and(|at| {
            self.now_ms.saturating_sub(at) <= self.policy.max_report_age_ms
        });
        if !is_recent {
            self.live.remove_stale_from_mean(index);
        }
        let reported = f64::from(snapshot.reported_requests);
        let change = f64::from(snapshot.request_delta);
        let known = (reported + change).max(f64::from(snapshot.in_flight));
        let expected = self.fleet_mean.requests * inputs.max_running
            / self.fleet.mean_max_running();
        let requests = if is_recent { known } else { known.max(expected) };
        let reported_wait_ms = f64::from(snapshot.queue_wait_ms);
        let wait_ms = if is_recent {
            reported_wait_ms
        } else {
            reported_wait_ms.max(self.fleet_mean.wait_ms)
        };
        let excess_ms = if requests > inputs.max_running {
            snapshot.token_delta.max(0) as f64
                / output_tokens_per_ms(inputs, snapshot)
        } else {
            0.0
        };
        let other_entries = f64::from(self.policy.entry_count - 1);
        let unreported = other_entries
            * f64::from(snapshot.sent_since_report.min(snapshot.in_flight));
        let ramp_load = expected.max(1.0) * self.remaining_ramp(index);
        let with_ramp = requests + ramp_load;
        let share = (with_ramp + unreported) / inputs.max_running;
        let cache = f64::from(snapshot.cache_used_permille) / PERMILLE;
        Load {
            in_use: (with_ramp / inputs.max_running).min(1.0),
            utilisation: if is_recent { share.max(cache) } else { share },
            wait_ms: wait_ms + excess_ms,
        }
    }

    /// Share of the ramp load that still applies to a joining server.
    fn remaining_ramp(&self, index: BackendIndex) -> f64 {
        let Presence::Joining { since_ms } = self.live.presence(index) else {
            return 0.0;
        };
        let age_ms = self.now_ms.saturating_sub(since_ms);
        if age_ms >= self.policy.ramp_ms {
            return 0.0;
        }
        1.0 - age_ms as f64 / self.policy.ramp_ms as f64
    }

    fn stage_times(
        &self,
        index: BackendIndex,
        inputs: &CostInputs,
        snapshot: &ServerSnapshot,
        load: &Load,
    ) -> StageTimes {
        let server = self.live.server(index);
        let response_ms = f64::from(server.response_ms());
        if self.fleet.is_plain() && response_ms > 0.0 {
            return StageTimes {
                prompt_ms: response_ms,
                step_ms: 0.0,
                unloaded_ms: response_ms,
                server_ms: response_ms / inputs.max_running,
            };
        }
        let prompt_rate = prompt_tokens_per_ms(inputs, snapshot);
        let output_rate = output_tokens_per_ms(inputs, snapshot);
        let is_cached = self
            .shape
            .prefix
            .is_some_and(|prefix| self.live.has_prefix(index, prefix));
        let uncached = if is_cached { UNCACHED_SHARE } else { 1.0 };
        let prompt = f64::from(self.shape.prompt_tokens) * uncached;
        let output = f64::from(self.shape.output_tokens);
        let prompt_ms = prompt / prompt_rate;
        let full_step_ms = inputs.max_running / output_rate;
        let slots = inputs.max_running;
        let batch_fill = ((load.in_use * slots + 1.0) / slots).min(1.0);
        let shared_token_ms =
            step_share(slots, batch_fill) / batch_fill / output_rate;
        let empty_step_ms = full_step_ms * step_share(inputs.max_running, 0.0);
        StageTimes {
            prompt_ms: prompt_ms * (1.0 + load.in_use),
            step_ms: full_step_ms
                * step_share(inputs.max_running, load.in_use),
            unloaded_ms: prompt_ms + output * empty_step_ms,
            server_ms: prompt_ms + output * shared_token_ms,
        }
    }
}

/// Cost of a server's load for a request that takes `unloaded_ms` on an empty
/// server. The cost is roughly proportional to the utilisation up to one half;
/// above 0.6 the steep term dominates.
fn load_cost_ms(unloaded_ms: f64, utilisation: f64) -> f64 {
    let square = utilisation * utilisation;
    let eighth_power = square * square * square * square;
    unloaded_ms * (utilisation + SATURATION_WEIGHT * eighth_power)
}

/// Step time relative to a full batch of `slots` requests.
pub(crate) fn step_share(slots: f64, in_use: f64) -> f64 {
    let linear = EMPTY_STEP_SHARE + (1.0 - EMPTY_STEP_SHARE) * in_use;
    linear.max(1.0 / slots)
}

/// Load of a server.
struct Load {
    /// Share of the slots in use, at most 1, from which times are computed.
    /// Includes the ramp load: a new server is only as fast as an empty one
    /// until all entries send requests there.
    in_use: f64,
    /// Share of the slots in use, with the estimated requests of other
    /// entries, from which the load cost is computed.
    utilisation: f64,
    wait_ms: f64,
}

/// Times of a stage.
struct StageTimes {
    prompt_ms: f64,
    step_ms: f64,
    /// Time on an empty server.
    unloaded_ms: f64,
    /// Time of the whole server that the request is charged for.
    server_ms: f64,
}

/// Prefill speed: the reported one, or else the configured estimate.
pub(crate) fn prompt_tokens_per_ms(
    inputs: &CostInputs,
    snapshot: &ServerSnapshot,
) -> f64 {
    if snapshot.prompt_tokens_per_s > 0.0 {
        f64::from(snapshot.prompt_tokens_per_s) / MS_PER_S
    } else {
        inputs.prompt_tokens_per_ms
    }
}

/// Output speed: the reported one, or else the configured estimate.
pub(crate) fn output_tokens_per_ms(
    inputs: &CostInputs,
    snapshot: &ServerSnapshot,
) -> f64 {
    if snapshot.output_tokens_per_s > 0.0 {
        f64::from(snapshot.output_tokens_per_s) / MS_PER_S
    } else {
        inputs.output_tokens_per_ms
    }
}
