//! Generates the requests of a run.
//!
//! Each account has its own random number stream, so a higher load of one
//! account leaves the requests of the others unchanged. Arrivals are a Poisson
//! process whose rate is multiplied by [`BURST_RATE_FACTOR`] for two of every
//! ten seconds and by [`BASE_RATE_FACTOR`] otherwise; the mean rate stays the
//! same.

use chestnutreach_routing::{TokenMix, throughput_bound};

use crate::{
    case::Case,
    deployment::{Account, Deployment},
    request_kind::{RequestKind, Sector},
};

const US_PER_S: f64 = 1e6;
/// Tokens of a mix; large integers keep its ratio precise.
const MIX_SCALE: f64 = 1e6;
const CYCLE_US: u64 = 10_000_000;
const BURST_US: u64 = 2_000_000;
const BURST_RATE_FACTOR: f64 = 1.6;
const BASE_RATE_FACTOR: f64 = 0.85;

/// A generated request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) account: usize,
    pub(crate) kind: RequestKind,
    pub(crate) prompt_tokens: u32,
    /// Maximum that the caller states.
    pub(crate) max_output_tokens: u32,
    /// Tokens that the output has.
    pub(crate) output_tokens: u32,
    pub(crate) deadline_ms: u64,
}

/// Mean tokens per request.
#[derive(Clone, Copy, Debug)]
struct MeanTokens {
    prompt: f64,
    output: f64,
}

impl MeanTokens {
    fn of_class(sector: Sector, class: &str) -> MeanTokens {
        let mut mean = MeanTokens { prompt: 0.0, output: 0.0 };
        for (kind, percent) in
            RequestKind::ALL.iter().zip(sector.mix_percent(class))
        {
            let share = f64::from(percent) / 100.0;
            let sizes = sector.sizes(*kind);
            mean.prompt += share * sizes.mean_prompt_tokens();
            mean.output += share * sizes.mean_output_tokens();
        }
        mean
    }

    fn tokens(&self) -> f64 {
        self.prompt + self.output
    }
}

/// Throughput bound for the token mix of all accounts at their shares.
pub(crate) fn bound_tokens_per_s(deployment: &Deployment) -> f64 {
    let mut prompt = 0.0;
    let mut output = 0.0;
    for account in &deployment.accounts {
        let mean = MeanTokens::of_class(deployment.sector, &account.class);
        let requests = f64::from(account.weight) / mean.tokens();
        prompt += requests * mean.prompt;
        output += requests * mean.output;
    }
    bound_of_mix(deployment, prompt, output)
}

/// Throughput bound for a token mix; only the ratio of `prompt` to `output`
/// matters.
pub(crate) fn bound_of_mix(
    deployment: &Deployment,
    prompt: f64,
    output: f64,
) -> f64 {
    let scale = MIX_SCALE / (prompt + output).max(1.0);
    let mix = TokenMix {
        prompt_tokens: (prompt * scale) as u32,
        output_tokens: (output * scale) as u32,
    };
    throughput_bound(&deployment.fleet, None, &mix)
}

/// The requests of all accounts in time order.
pub(crate) fn arrivals(deployment: &Deployment, case: &Case) -> Vec<Arrival> {
    let bound = bound_tokens_per_s(deployment);
    let tokens_per_s = bound * f64::from(case.load_percent) / 100.0;
    let weights: u32 = deployment.accounts.iter().map(|a| a.weight).sum();
    let mut all = Vec::new();
    for (at, account) in deployment.accounts.iter().enumerate() {
        let share = f64::from(account.weight) / f64::from(weights);
        let account_tokens_per_s =
            tokens_per_s * share * case.demand.demand_factor(at);
        let mean = MeanTokens::of_class(deployment.sector, &account.class);
        let requests_per_s = account_tokens_per_s / mean.tokens();
        let stream = ArrivalStream {
            sector: deployment.sector,
            account: at,
            of: account,
            requests_per_s,
        };
        stream.push_to(&mut all, case);
    }
    all.sort_by_key(|arrival| (arrival.at_us, arrival.account));
    all
}

/// Arrivals of one account.
struct ArrivalStream<'a> {
    sector: Sector,
    account: usize,
    of: &'a Account,
    requests_per_s: f64,
}

impl ArrivalStream<'_> {
    fn push_to(&self, all: &mut Vec<Arrival>, case: &Case) {
        let seed = case.seed.wrapping_mul(1_000_003) + self.account as u64;
        let mut rng = fastrand::Rng::with_seed(seed);
        let end_us = case.end_ms() * 1_000;
        let mut at_us = 0.0;
        loop {
            let is_burst = at_us as u64 % CYCLE_US < BURST_US;
            let rate_factor =
                if is_burst { BURST_RATE_FACTOR } else { BASE_RATE_FACTOR };
            let gap_s =
                -(1.0 - rng.f64()).ln() / (self.requests_per_s * rate_factor);
            at_us += gap_s * US_PER_S;
            if at_us >= end_us as f64 {
                return;
            }
            all.push(self.arrival(at_us as u64, &mut rng));
        }
    }

    fn arrival(&self, at_us: u64, rng: &mut fastrand::Rng) -> Arrival {
        let mut draw = rng.u32(0..100);
        let mut kind = RequestKind::Lookup;
        let mix = self.sector.mix_percent(&self.of.class);
        for (of, percent) in RequestKind::ALL.iter().zip(mix) {
            if draw < percent {
                kind = *of;
                break;
            }
            draw -= percent;
        }
        let sizes = self.sector.sizes(kind);
        let max_output_tokens = sizes.max_output_tokens;
        Arrival {
            at_us,
            account: self.account,
            kind,
            prompt_tokens: rng
                .u32(sizes.prompt_tokens.0..=sizes.prompt_tokens.1),
            max_output_tokens,
            output_tokens: rng.u32(max_output_tokens / 2..=max_output_tokens),
            deadline_ms: sizes.deadline_ms,
        }
    }
}
