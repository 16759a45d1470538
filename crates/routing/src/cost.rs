//! What a stage on one backend server costs a request.
//!
//! * A step over the batch takes half as long on an empty server as on a
//!   full one, and grows evenly between: engines that batch are bound by
//!   reading the weights first and by arithmetic later.
//! * The price of a token is the server's time for the step over all that
//!   share it: a server in use gives it for less than an empty one.
//! * Load counts little until a server is nearly full and then fast, see
//!   [`load_ms`]: what is full refuses, and what has room is not slower.
//! * A prompt is slowed by the share of the server that is in use.
//! * A cached prefix leaves [`UNCACHED_SHARE`] of the prompt to compute.
//! * A plain service has no tokens: its stage takes the smoothed time of its
//!   answers, once there were any.

use serde::Serialize;

use crate::{
    fleet::{BackendIndex, Facts, Fleet},
    live_state::{LiveState, Presence, TypicalLoad},
    policy::{Policy, Weights},
    request_shape::RequestShape,
    server::Reading,
};

const MS_PER_S: f64 = 1_000.0;
const PERMILLE: f64 = 1_000.0;
/// Time of a step on an empty server, as a share of one on a full server.
const EMPTY_STEP_SHARE: f64 = 0.5;
/// Weight of the part of the load's cost that grows fast.
const CROWDING: f64 = 30.0;
/// Part of a prompt that is computed although its prefix is cached.
const UNCACHED_SHARE: f64 = 0.25;

/// What stays the same for all candidates of one choice.
pub(crate) struct Pricing<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) live: &'a LiveState,
    pub(crate) shape: &'a RequestShape,
    pub(crate) policy: &'a Policy,
    pub(crate) weights: Weights,
    pub(crate) now_ms: u64,
    typical: TypicalLoad,
    ms_per_micro: f64,
}

/// Parts of a stage's cost.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostBreakdown {
    /// Wait until it begins; a chain counts its longest only.
    pub wait_ms: f64,
    /// The prompt.
    pub prompt_ms: f64,
    /// One output token.
    pub step_ms: f64,
    /// Price of its time, in millionths of the currency.
    pub price_micros: f64,
    /// Load as share of its places, with the ramp and unseen requests.
    pub utilisation: f64,
    /// The price as it counts.
    pub weighted_price: f64,
    /// The load as it counts.
    pub weighted_load: f64,
    /// All but the wait as it counts, moved within the near-equal band.
    pub weighted: f64,
}

/// Cost of one stage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageCost {
    pub(crate) wait_ms: f64,
    pub(crate) prompt_ms: f64,
    /// For each output token.
    pub(crate) step_ms: f64,
    pub(crate) price_micros: f64,
    pub(crate) utilisation: f64,
    /// Everything but the wait, weighted.
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

impl<'a> Pricing<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        live: &'a LiveState,
        shape: &'a RequestShape,
        policy: &'a Policy,
        now_ms: u64,
    ) -> Pricing<'a> {
        let mean = fleet.mean_price_micros_per_ms();
        Pricing {
            fleet,
            live,
            shape,
            policy,
            weights: policy.weights(shape.priority),
            now_ms,
            typical: live.typical(),
            ms_per_micro: if mean > 0.0 { 1.0 / mean } else { 0.0 },
        }
    }

    /// Cost of a stage on a server. `jitter` in 0..1 moves it within the
    /// band of near-equal costs.
    pub(crate) fn stage(&self, index: BackendIndex, jitter: f64) -> StageCost {
        let facts = self.fleet.facts(index);
        let reading = self.live.server(index).read();
        let load = self.load(index, facts, &reading);
        let work = self.work(index, facts, &reading, &load);
        let weights = &self.weights;
        let output = f64::from(self.shape.output_tokens);
        let time_ms = work.prompt_ms + output * work.step_ms;
        let price_micros = work.busy_ms * facts.price_micros_per_ms;
        let weighted_price = weights.price * price_micros * self.ms_per_micro;
        let weighted_load =
            weights.load * load_ms(work.lone_ms, load.utilisation);
        let weighted = weights.time * time_ms + weighted_price + weighted_load;
        StageCost {
            wait_ms: load.wait_ms,
            prompt_ms: work.prompt_ms,
            step_ms: work.step_ms,
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
        facts: &Facts,
        reading: &Reading,
    ) -> Load {
        let is_recent = reading.reported_ms.is_some_and(|at| {
            self.now_ms.saturating_sub(at) <= self.policy.max_report_age_ms
        });
        if !is_recent {
            self.live.leave_mean(index);
        }
        let told = f64::from(reading.reported_requests);
        let change = f64::from(reading.request_change);
        let known = (told + change).max(f64::from(reading.in_flight));
        let typical = self.typical.requests * facts.max_running
            / self.fleet.mean_max_running();
        let requests = if is_recent { known } else { known.max(typical) };
        let told_wait_ms = f64::from(reading.queue_wait_ms);
        let wait_ms = if is_recent {
            told_wait_ms
        } else {
            told_wait_ms.max(self.typical.wait_ms)
        };
        let excess_ms = if requests > facts.max_running {
            reading.token_change.max(0) as f64
                / output_tokens_per_ms(facts, reading)
        } else {
            0.0
        };
        let others = f64::from(self.policy.entry_count - 1);
        let unseen = others * f64::from(reading.sent.min(reading.in_flight));
        let synthetic = typical.max(1.0) * self.ramp_left(index);
        let ramped = requests + synthetic;
        let share = (ramped + unseen) / facts.max_running;
        let cache = f64::from(reading.cache_used_permille) / PERMILLE;
        Load {
            in_use: (ramped / facts.max_running).min(1.0),
            utilisation: if is_recent { share.max(cache) } else { share },
            wait_ms: wait_ms + excess_ms,
        }
    }

    /// Part of the synthetic load that a joining server still carries.
    fn ramp_left(&self, index: BackendIndex) -> f64 {
        let Presence::Joining { since_ms } = self.live.presence(index) else {
            return 0.0;
        };
        let age_ms = self.now_ms.saturating_sub(since_ms);
        if age_ms >= self.policy.ramp_ms {
            return 0.0;
        }
        1.0 - age_ms as f64 / self.policy.ramp_ms as f64
    }

    fn work(
        &self,
        index: BackendIndex,
        facts: &Facts,
        reading: &Reading,
        load: &Load,
    ) -> Work {
        let server = self.live.server(index);
        let answer_ms = f64::from(server.answer_ms());
        if self.fleet.is_plain() && answer_ms > 0.0 {
            return Work {
                prompt_ms: answer_ms,
                step_ms: 0.0,
                lone_ms: answer_ms,
                busy_ms: answer_ms / facts.max_running,
            };
        }
        let prompt_rate = prompt_tokens_per_ms(facts, reading);
        let output_rate = output_tokens_per_ms(facts, reading);
        let is_cached = self
            .shape
            .prefix
            .is_some_and(|prefix| self.live.has_prefix(index, prefix));
        let uncached = if is_cached { UNCACHED_SHARE } else { 1.0 };
        let prompt = f64::from(self.shape.prompt_tokens) * uncached;
        let output = f64::from(self.shape.output_tokens);
        let prompt_ms = prompt / prompt_rate;
        let full_step_ms = facts.max_running / output_rate;
        let places = facts.max_running;
        let sharers = ((load.in_use * places + 1.0) / places).min(1.0);
        let token_ms = step_share(places, sharers) / sharers / output_rate;
        let empty_step_ms = full_step_ms * step_share(facts.max_running, 0.0);
        Work {
            prompt_ms: prompt_ms * (1.0 + load.in_use),
            step_ms: full_step_ms * step_share(facts.max_running, load.in_use),
            lone_ms: prompt_ms + output * empty_step_ms,
            busy_ms: prompt_ms + output * token_ms,
        }
    }
}

/// What the load of a server costs a request that takes `lone_ms` on an empty
/// one. Up to three quarters in use it is about as much as the share in use;
/// a full server costs [`CROWDING`] times more than one that has room.
fn load_ms(lone_ms: f64, utilisation: f64) -> f64 {
    let square = utilisation * utilisation;
    let eighth = square * square * square * square;
    lone_ms * (utilisation + CROWDING * eighth)
}

/// Time of a step as a share of one over a full batch of `places`.
pub(crate) fn step_share(places: f64, in_use: f64) -> f64 {
    let grown = EMPTY_STEP_SHARE + (1.0 - EMPTY_STEP_SHARE) * in_use;
    grown.max(1.0 / places)
}

/// How loaded a server is.
struct Load {
    /// Share of its places that are taken, at most 1; for times. The ramp is
    /// part of it: an empty newcomer is as fast as it looks only until all
    /// entries have seen it.
    in_use: f64,
    /// The same with what other entries may have sent, for ranking.
    utilisation: f64,
    wait_ms: f64,
}

/// What a stage takes.
struct Work {
    prompt_ms: f64,
    step_ms: f64,
    /// Time on an empty server.
    lone_ms: f64,
    /// Time of the whole server that the request uses up.
    busy_ms: f64,
}

/// Prompt speed: as reported, else the first guess.
pub(crate) fn prompt_tokens_per_ms(facts: &Facts, reading: &Reading) -> f64 {
    if reading.prompt_tokens_per_s > 0.0 {
        f64::from(reading.prompt_tokens_per_s) / MS_PER_S
    } else {
        facts.prompt_tokens_per_ms
    }
}

/// Output speed: as reported, else the first guess.
pub(crate) fn output_tokens_per_ms(facts: &Facts, reading: &Reading) -> f64 {
    if reading.output_tokens_per_s > 0.0 {
        f64::from(reading.output_tokens_per_s) / MS_PER_S
    } else {
        facts.output_tokens_per_ms
    }
}
