//! The cheapest tiling through sampled candidates.
//!
//! Boundaries are visited from layer 0 up. Each holds the cheapest partial
//! chains that reach it, at most one for each data centre they end in (the
//! next link depends on that alone) and [`BEAM`] in all. Partial chains that
//! are too dear are dropped, boundaries never are, so a tiling through the
//! candidates is found whenever there is one.

use crate::{
    candidate::{Candidate, ExclusionReason},
    cost::{Pricing, StageCost},
    fleet::BackendIndex,
    label::{BEAM, Beam, Label, NO_PARENT},
    no_chain::NoChainReason,
};

mod pick;

/// Dearer than any detour over servers that are not suspect.
const SUSPECT_PENALTY_MS: f64 = 1e6;

/// How many servers of a boundary are looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    /// A few of those that may be used.
    Sampled,
    /// All of those.
    All,
    /// Suspect ones as well, at [`SUSPECT_PENALTY_MS`] each.
    AllAndSuspect,
}

/// Buffers of a search, kept between choices.
#[derive(Debug, Default)]
pub(crate) struct Search {
    labels: Vec<Label>,
    beams: Vec<Beam>,
    picked: Vec<BackendIndex>,
    suspects: Vec<BackendIndex>,
    /// Every candidate that was looked at, when a caller wants to know.
    pub(crate) record: Option<Vec<Candidate>>,
}

/// A whole chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    label: u32,
    pub(crate) first_token_ms: f64,
    pub(crate) total_ms: f64,
    pub(crate) price_micros: f64,
    pub(crate) cost: f64,
}

impl Search {
    /// Finds the cheapest chain.
    pub(crate) fn run(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        entry: u32,
        reach: Reach,
        rng: &mut fastrand::Rng,
    ) -> Result<Found, NoChainReason> {
        let fleet = pricing.fleet;
        let goal = fleet.boundaries().len();
        if goal == 0 {
            return Err(NoChainReason::NoCandidate { first_layer: 0 });
        }
        self.labels.clear();
        self.beams.clear();
        self.beams.resize(goal + 1, Beam::default());
        let mut stuck = None;
        for boundary in 0..goal {
            if boundary > 0 && self.beams[boundary].len == 0 {
                continue;
            }
            self.pick(pricing, avoid, boundary, reach, rng);
            if self.picked.is_empty() {
                stuck = stuck.or(Some(boundary));
            }
            self.extend(pricing, entry, boundary, reach, rng);
        }
        self.best(pricing, entry)
            .ok_or_else(|| no_candidate(pricing, avoid, stuck))
    }

    /// The servers of a chain that was found last.
    pub(crate) fn stages(&self, found: &Found) -> Vec<BackendIndex> {
        let mut stages = Vec::with_capacity(8);
        let mut at = found.label;
        while at != NO_PARENT {
            let label = &self.labels[at as usize];
            stages.push(label.backend);
            at = label.parent;
        }
        stages.reverse();
        stages
    }

    /// Extends every partial chain at a boundary by every candidate.
    fn extend(
        &mut self,
        pricing: &Pricing<'_>,
        entry: u32,
        boundary: usize,
        reach: Reach,
        rng: &mut fastrand::Rng,
    ) {
        let beam = self.beams[boundary];
        for at in 0..self.picked.len() {
            let index = self.picked[at];
            let jitter =
                if pricing.weights.band > 0.0 { rng.f64() } else { 0.0 };
            let mut stage = pricing.stage(index, jitter);
            if reach == Reach::AllAndSuspect
                && pricing.live.is_suspect(index, pricing.now_ms)
            {
                stage.weighted += SUSPECT_PENALTY_MS;
            }
            let next = pricing.fleet.facts(index).next_boundary as usize;
            self.record_candidate(pricing, index, &stage);
            if boundary == 0 {
                let label = Label::begin(pricing, entry, index, &stage);
                self.insert(next, label);
                continue;
            }
            for &parent in beam.as_slice() {
                let before = &self.labels[parent as usize];
                let label = before.extended(pricing, parent, index, &stage);
                self.insert(next, label);
            }
        }
    }

    fn insert(&mut self, boundary: usize, label: Label) {
        let beam = &mut self.beams[boundary];
        let mut dearest = 0;
        let mut dearest_cost = f64::MIN;
        for (at, &other) in beam.as_slice().iter().enumerate() {
            let other = &self.labels[other as usize];
            if other.data_centre == label.data_centre {
                dearest = at;
                dearest_cost = other.cost;
                break;
            }
            if beam.len == BEAM && other.cost > dearest_cost {
                dearest = at;
                dearest_cost = other.cost;
            }
        }
        let id = self.labels.len() as u32;
        if dearest_cost == f64::MIN {
            beam.labels[beam.len] = id;
            beam.len += 1;
        } else if label.cost < dearest_cost {
            beam.labels[dearest] = id;
        } else {
            return;
        }
        self.labels.push(label);
    }

    /// The cheapest whole chain, rather one in time than one too late.
    fn best(&self, pricing: &Pricing<'_>, entry: u32) -> Option<Found> {
        let deadline_ms = pricing.shape.deadline_ms as f64;
        let rank = |found: &Found| (found.total_ms > deadline_ms, found.cost);
        let goal = self.beams.last()?;
        goal.as_slice()
            .iter()
            .map(|&label| self.finish(pricing, entry, label))
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
    }

    /// Adds the way back of each token to the first stage, and to the entry.
    fn finish(&self, pricing: &Pricing<'_>, entry: u32, label: u32) -> Found {
        let last = &self.labels[label as usize];
        let network = pricing.fleet.network();
        let is_chain = last.parent != NO_PARENT;
        let back_ms = if is_chain {
            network.path(last.data_centre, last.first_data_centre).latency_ms
        } else {
            0.0
        };
        let return_ms = network.path(last.first_data_centre, entry).latency_ms;
        let output = f64::from(pricing.shape.output_tokens);
        let links_ms = output * back_ms + return_ms;
        let first_token_ms =
            last.wait_ms + last.prompt_ms + last.step_ms + back_ms + return_ms;
        let total_ms =
            last.wait_ms + last.prompt_ms + output * last.step_ms + links_ms;
        Found {
            label,
            first_token_ms: first_token_ms.min(total_ms),
            total_ms,
            price_micros: last.price_micros,
            cost: last.cost + pricing.weights.time * links_ms,
        }
    }

    fn record_left_out(
        &mut self,
        pricing: &Pricing<'_>,
        index: BackendIndex,
        reason: ExclusionReason,
    ) {
        if let Some(record) = &mut self.record {
            let spec = pricing.fleet.spec(index);
            record.push(Candidate::left_out(index, spec, reason));
        }
    }

    fn record_candidate(
        &mut self,
        pricing: &Pricing<'_>,
        index: BackendIndex,
        stage: &StageCost,
    ) {
        if let Some(record) = &mut self.record {
            let spec = pricing.fleet.spec(index);
            record.push(Candidate::weighed(index, spec, stage.parts()));
        }
    }
}

/// Why there is no chain: where servers are there, they were all avoided.
fn no_candidate(
    pricing: &Pricing<'_>,
    avoid: &[BackendIndex],
    stuck: Option<usize>,
) -> NoChainReason {
    let boundary = stuck.unwrap_or(0);
    let is_avoided_only = pricing
        .fleet
        .members(boundary)
        .iter()
        .any(|&i| avoid.contains(&i) && pricing.live.is_present(i));
    if is_avoided_only {
        return NoChainReason::AllAvoided;
    }
    let first_layer = pricing.fleet.boundaries()[boundary].first_layer;
    NoChainReason::NoCandidate { first_layer }
}
