//! Beam search for the cheapest chain through the candidates.
//!
//! The search visits the boundaries in order of their layers. Each boundary
//! keeps the cheapest partial chains that reach it: at most one per data
//! centre of the last stage, which alone determines the next link, and at most
//! [`BEAM_WIDTH`] in total. More expensive partial chains are dropped, but
//! each boundary that can be reached keeps a partial chain, so the search finds
//! a chain through the candidates whenever a chain exists.

use crate::{
    candidate::{Candidate, ExclusionReason},
    cost::{CostContext, StageCost},
    fleet::BackendIndex,
    no_chain::NoChainReason,
    partial_chain::{BEAM_WIDTH, Beam, NO_PARENT, PartialChain},
};

mod candidates;

/// Higher than the cost of any detour through servers that are not suspect.
const SUSPECT_PENALTY_MS: f64 = 1e6;

/// Which servers of a boundary the search considers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SearchScope {
    /// A sample of the usable servers.
    Sampled,
    /// All usable servers.
    All,
    /// All usable and suspect servers, with [`SUSPECT_PENALTY_MS`] for each
    /// suspect server.
    AllIncludingSuspect,
}

/// A search, with buffers that are reused between choices.
#[derive(Debug, Default)]
pub(crate) struct Search {
    chains: Vec<PartialChain>,
    beams: Vec<Beam>,
    candidates: Vec<BackendIndex>,
    suspects: Vec<BackendIndex>,
    /// Every server that the search considered, if requested.
    pub(crate) record: Option<Vec<Candidate>>,
}

/// A complete chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FoundChain {
    chain: u32,
    pub(crate) first_token_ms: f64,
    pub(crate) total_ms: f64,
    pub(crate) price_micros: f64,
    pub(crate) cost: f64,
}

impl Search {
    /// Finds the cheapest chain.
    pub(crate) fn run(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        entry: u32,
        scope: SearchScope,
        rng: &mut fastrand::Rng,
    ) -> Result<FoundChain, NoChainReason> {
        let fleet = ctx.fleet;
        let end = fleet.boundaries().len();
        if end == 0 {
            return Err(NoChainReason::NoCandidate { first_layer: 0 });
        }
        self.chains.clear();
        self.beams.clear();
        self.beams.resize(end + 1, Beam::default());
        let mut first_empty = None;
        for boundary in 0..end {
            if boundary > 0 && self.beams[boundary].len == 0 {
                continue;
            }
            self.select_candidates(ctx, avoid, boundary, scope, rng);
            if self.candidates.is_empty() {
                first_empty = first_empty.or(Some(boundary));
            }
            self.extend_chains(ctx, entry, boundary, scope, rng);
        }
        self.best(ctx, entry)
            .ok_or_else(|| no_candidate(ctx, avoid, first_empty))
    }

    /// The servers of a chain found by the last call of [`Search::run`].
    pub(crate) fn stages(&self, found: &FoundChain) -> Vec<BackendIndex> {
        let mut stages = Vec::with_capacity(8);
        let mut at = found.chain;
        while at != NO_PARENT {
            let chain = &self.chains[at as usize];
            stages.push(chain.backend);
            at = chain.parent;
        }
        stages.reverse();
        stages
    }

    /// Extends every partial chain at a boundary with every candidate.
    fn extend_chains(
        &mut self,
        ctx: &CostContext<'_>,
        entry: u32,
        boundary: usize,
        scope: SearchScope,
        rng: &mut fastrand::Rng,
    ) {
        let beam = self.beams[boundary];
        for at in 0..self.candidates.len() {
            let index = self.candidates[at];
            let jitter = if ctx.weights.band > 0.0 { rng.f64() } else { 0.0 };
            let mut stage = ctx.stage(index, jitter);
            if scope == SearchScope::AllIncludingSuspect
                && ctx.live.is_suspect(index, ctx.now_ms)
            {
                stage.weighted += SUSPECT_PENALTY_MS;
            }
            let next = ctx.fleet.cost_inputs(index).next_boundary as usize;
            self.record_evaluated(ctx, index, &stage);
            if boundary == 0 {
                let chain =
                    PartialChain::first_stage(ctx, entry, index, &stage);
                self.insert(next, chain);
                continue;
            }
            for &parent in beam.as_slice() {
                let parent_chain = &self.chains[parent as usize];
                let chain =
                    parent_chain.with_stage(ctx, parent, index, &stage);
                self.insert(next, chain);
            }
        }
    }

    fn insert(&mut self, boundary: usize, chain: PartialChain) {
        let beam = &mut self.beams[boundary];
        let mut most_expensive = 0;
        let mut highest_cost = f64::MIN;
        for (at, &other) in beam.as_slice().iter().enumerate() {
            let other = &self.chains[other as usize];
            if other.data_centre == chain.data_centre {
                most_expensive = at;
                highest_cost = other.cost;
                break;
            }
            if beam.len == BEAM_WIDTH && other.cost > highest_cost {
                most_expensive = at;
                highest_cost = other.cost;
            }
        }
        let id = self.chains.len() as u32;
        if highest_cost == f64::MIN {
            beam.chains[beam.len] = id;
            beam.len += 1;
        } else if chain.cost < highest_cost {
            beam.chains[most_expensive] = id;
        } else {
            return;
        }
        self.chains.push(chain);
    }

    /// The cheapest complete chain. A chain that meets the deadline is
    /// preferred to a chain that does not.
    fn best(&self, ctx: &CostContext<'_>, entry: u32) -> Option<FoundChain> {
        let deadline_ms = ctx.shape.deadline_ms as f64;
        let rank =
            |found: &FoundChain| (found.total_ms > deadline_ms, found.cost);
        let end = self.beams.last()?;
        end.as_slice()
            .iter()
            .map(|&chain| self.finish(ctx, entry, chain))
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
    }

    /// Completes a chain: adds the links from the last stage back to the first
    /// stage for each token, and from there to the entry.
    fn finish(
        &self,
        ctx: &CostContext<'_>,
        entry: u32,
        chain: u32,
    ) -> FoundChain {
        let last = &self.chains[chain as usize];
        let network = ctx.fleet.network();
        let is_chain = last.parent != NO_PARENT;
        let token_return_ms = if is_chain {
            network.path(last.data_centre, last.first_data_centre).latency_ms
        } else {
            0.0
        };
        let entry_return_ms =
            network.path(last.first_data_centre, entry).latency_ms;
        let output = f64::from(ctx.shape.output_tokens);
        let links_ms = output * token_return_ms + entry_return_ms;
        let first_token_ms = last.wait_ms
            + last.prompt_ms
            + last.step_ms
            + token_return_ms
            + entry_return_ms;
        let total_ms =
            last.wait_ms + last.prompt_ms + output * last.step_ms + links_ms;
        FoundChain {
            chain,
            first_token_ms: first_token_ms.min(total_ms),
            total_ms,
            price_micros: last.price_micros,
            cost: last.cost + ctx.weights.time * links_ms,
        }
    }

    fn record_excluded(
        &mut self,
        ctx: &CostContext<'_>,
        index: BackendIndex,
        reason: ExclusionReason,
    ) {
        if let Some(record) = &mut self.record {
            let spec = ctx.fleet.spec(index);
            record.push(Candidate::excluded(index, spec, reason));
        }
    }

    fn record_evaluated(
        &mut self,
        ctx: &CostContext<'_>,
        index: BackendIndex,
        stage: &StageCost,
    ) {
        if let Some(record) = &mut self.record {
            let spec = ctx.fleet.spec(index);
            record.push(Candidate::evaluated(index, spec, stage.parts()));
        }
    }
}

/// Why no chain was found. If servers are present at the first boundary
/// without candidates, the request avoids all of them.
fn no_candidate(
    ctx: &CostContext<'_>,
    avoid: &[BackendIndex],
    first_empty: Option<usize>,
) -> NoChainReason {
    let boundary = first_empty.unwrap_or(0);
    let has_avoided = ctx
        .fleet
        .members(boundary)
        .iter()
        .any(|&i| avoid.contains(&i) && ctx.live.is_present(i));
    if has_avoided {
        return NoChainReason::AllAvoided;
    }
    let first_layer = ctx.fleet.boundaries()[boundary].first_layer;
    NoChainReason::NoCandidate { first_layer }
}
