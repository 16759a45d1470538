//! Search for the path of a request: which engines run which layers.
//!
//! The stages of a path cover a range of layers without gaps or overlaps. An
//! engine may run any part of the layers that it holds. The search finds the
//! cheapest path over the layer boundaries. The cost is the time of the layers
//! on each engine, plus a cost that grows as the memory for requests fills up,
//! a cost for each change of engine, and a high cost for each change of data
//! centre, since all requests share the interconnect. A small jitter keeps
//! entries with the same view from choosing the same path.
//!
//! Engines refuse a path with too many stages. A search by cost alone finds
//! such paths if many engines hold a few layers each. The search then repeats
//! with a higher cost of an engine change, until the path is short enough or
//! the shortest path is still too long.

use std::collections::BTreeSet;

use crate::interconnect::MAX_UTILISATION;

/// Cost of a change of engine, in milliseconds per token: the wait for the
/// running pass of the next engine, and the transfer.
const ENGINE_CHANGE_MS: f64 = 0.8;
/// Minimum cost of a change of data centre, in milliseconds per token; higher
/// than the cost of engines that are half full.
const MIN_INTERCONNECT_MS: f64 = 15.0;
/// Cost of a change of data centre per millisecond for which the request's
/// prefill occupies the interconnect. The utilisation is known with a delay,
/// so this cost keeps requests off a narrow interconnect before the
/// utilisation rises.
const INTERCONNECT_PREFILL_FACTOR: f64 = 2.5;
/// Cost of a change of data centre over a nearly full interconnect, so high
/// that a path uses the interconnect only if no other path exists.
const FULL_INTERCONNECT_MS: f64 = 1_000.0;
/// Utilisation of the interconnect above which the cost rises, and at which
/// the interconnect counts as full. No path uses a full interconnect, even if
/// no other path exists: requests that wait there hold memory in all data
/// centres until none is left for requests within one data centre.
const INTERCONNECT_UTILISATION: (f64, f64) = (0.2, MAX_UTILISATION);
/// Cost of a first stage in another data centre, in milliseconds per token.
/// Only the events of the stream use the interconnect then.
const REMOTE_START_MS: f64 = 1.0;
/// Share of the memory for requests above which the memory cost applies.
const MEMORY_COST_FROM: f64 = 0.6;
/// Cost of an engine whose memory is full, in milliseconds per token.
const FULL_MEMORY_MS: f64 = 10.0;
/// Share of an engine's time spent on prefill above which the prefill cost
/// applies.
const PREFILL_COST_FROM: f64 = 0.35;
/// Cost of an engine that spends all its time on prefill, in milliseconds per
/// token.
const FULL_PREFILL_MS: f64 = 40.0;
/// Maximum of the prefill share above [`PREFILL_COST_FROM`], relative to the
/// range from there to 1.
const MAX_PREFILL_EXCESS: f64 = 3.0;
/// Factor by which the cost of an engine change grows if a path has too many
/// stages.
const ENGINE_CHANGE_GROWTH: f64 = 8.0;
/// Maximum number of searches. In the last one an engine change costs 3.3 s,
/// which exceeds all other costs, so that the search finds the path with the
/// fewest stages.
const MAX_SEARCHES: usize = 5;
/// Relative jitter of the times.
const JITTER: f64 = 0.15;

/// An engine that holds a range of layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayerHolder {
    /// Data centre, as an index.
    pub data_centre: usize,
    /// First layer that the engine holds.
    pub first_layer: u32,
    /// End of the layer range, exclusive.
    pub end_layer: u32,
    /// Time of a token through one layer, in milliseconds.
    pub layer_ms: f64,
    /// Share of the engine's time spent on prefill; above 1 on a slow engine.
    pub prefill_share: f64,
    /// Memory for requests in use, in tokens times layers.
    pub used_token_layers: u64,
    /// Memory for requests, in tokens times layers.
    pub total_token_layers: u64,
    /// Whether the engine may run a stage.
    pub is_usable: bool,
    /// Whether the engine may run the first stage of a path.
    pub can_be_first: bool,
}

/// Input of a path search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathRequest {
    /// First layer to run.
    pub first_layer: u32,
    /// End of the layer range to run, exclusive.
    pub end_layer: u32,
    /// Tokens that the request will hold in memory.
    pub tokens: u64,
    /// Data centre from which the request enters the path, as an index.
    pub data_centre: usize,
    /// Whether the path starts with the first stage of the request, rather
    /// than replacing later stages.
    pub is_start: bool,
    /// Utilisation of the interconnect; 1 is the full bandwidth.
    pub interconnect_utilisation: f64,
    /// Time for which the request's prefill occupies the interconnect, in
    /// milliseconds.
    pub interconnect_prefill_ms: f64,
    /// Maximum number of stages of the path.
    pub max_stages: usize,
}

impl PathRequest {
    fn interconnect_ms(&self) -> f64 {
        let (from, to) = INTERCONNECT_UTILISATION;
        if self.interconnect_utilisation >= to {
            return f64::INFINITY;
        }
        let share = ((self.interconnect_utilisation - from) / (to - from))
            .clamp(0.0, 1.0);
        let min_ms = MIN_INTERCONNECT_MS
            .max(INTERCONNECT_PREFILL_FACTOR * self.interconnect_prefill_ms);
        min_ms + share * (FULL_INTERCONNECT_MS - min_ms).max(0.0)
    }
}

/// A stage of a path: the layers that one engine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// Index of the engine among the holders.
    pub holder: usize,
    /// First layer of the stage.
    pub first_layer: u32,
    /// End of the layer range of the stage, exclusive.
    pub end_layer: u32,
}

#[derive(Clone, Copy)]
struct PathState {
    cost_ms: f64,
    stage: PathStage,
    /// Data centre of the stage before, or where the request enters.
    previous_data_centre: usize,
}

/// Finds the cheapest path. Returns `None` if no engine with enough free
/// memory holds some layer, or if every path found has too many stages.
pub fn find_path(
    holders: &[LayerHolder],
    request: &PathRequest,
    rng: &mut fastrand::Rng,
) -> Option<Vec<PathStage>> {
    let mut search = Search::new(holders, request, rng);
    for _ in 0..MAX_SEARCHES {
        let stages = merge_revisits(search.run()?);
        if stages.len() <= request.max_stages {
            return Some(stages);
        }
        search.engine_change_ms *= ENGINE_CHANGE_GROWTH;
    }
    None
}

struct Search<'a> {
    holders: &'a [LayerHolder],
    request: &'a PathRequest,
    jitter_factors: Vec<f64>,
    boundaries: BTreeSet<u32>,
    data_centre_count: usize,
    interconnect_ms: f64,
    /// Cost of a change of engine.
    engine_change_ms: f64,
}

impl Search<'_> {
    fn new<'a>(
        holders: &'a [LayerHolder],
        request: &'a PathRequest,
        rng: &mut fastrand::Rng,
    ) -> Search<'a> {
        let factor = |_: &LayerHolder| 1.0 + JITTER * (rng.f64() * 2.0 - 1.0);
        let jitter_factors = holders.iter().map(factor).collect();
        let usable = || holders.iter().filter(|h| h.is_usable);
        let bounds = usable().flat_map(|h| [h.first_layer, h.end_layer]);
        let last = holders.iter().map(|h| h.data_centre);
        let data_centre_count = last.chain([request.data_centre]).max();
        Search {
            holders,
            request,
            jitter_factors,
            boundaries: bounds.chain([request.end_layer]).collect(),
            data_centre_count: data_centre_count.unwrap_or(0) + 1,
            interconnect_ms: request.interconnect_ms(),
            engine_change_ms: ENGINE_CHANGE_MS,
        }
    }

    fn run(&self) -> Option<Vec<PathStage>> {
        let (first, end) = (self.request.first_layer, self.request.end_layer);
        let width = (end - first) as usize + 1;
        // The cheapest path to each layer and data centre.
        let mut best: Vec<Vec<Option<PathState>>> =
            vec![vec![None; self.data_centre_count]; width];
        for at in first..end {
            for from in 0..self.data_centre_count {
                let cost_ms = match best[(at - first) as usize][from] {
                    Some(state) => state.cost_ms,
                    None if at == first
                        && from == self.request.data_centre =>
                    {
                        0.0
                    }
                    None => continue,
                };
                self.extend(&mut best, at, from, cost_ms);
            }
        }
        self.reconstruct(&best)
    }

    fn extend(
        &self,
        best: &mut [Vec<Option<PathState>>],
        at: u32,
        previous_data_centre: usize,
        cost_ms: f64,
    ) {
        let is_first = at == self.request.first_layer && self.request.is_start;
        for (index, holder) in self.holders.iter().enumerate() {
            let holds = holder.first_layer <= at && at < holder.end_layer;
            if !holds
                || !holder.is_usable
                || (is_first && !holder.can_be_first)
            {
                continue;
            }
            let last = holder.end_layer.min(self.request.end_layer);
            for &end in self.boundaries.range(at + 1..=last) {
                let Some(stage_ms) = self.stage_ms(index, at, end) else {
                    break;
                };
                let transition_ms = self.transition_ms(
                    is_first,
                    previous_data_centre,
                    holder.data_centre,
                );
                let cost_ms = cost_ms + stage_ms + transition_ms;
                if cost_ms.is_infinite() {
                    break;
                }
                let stage = PathStage {
                    holder: index,
                    first_layer: at,
                    end_layer: end,
                };
                let row = (end - self.request.first_layer) as usize;
                let slot = &mut best[row][holder.data_centre];
                if slot.is_none_or(|state| cost_ms < state.cost_ms) {
                    *slot = Some(PathState {
                        cost_ms,
                        stage,
                        previous_data_centre,
                    });
                }
            }
        }
    }

    fn transition_ms(&self, is_first: bool, from: usize, to: usize) -> f64 {
        match (from == to, is_first) {
            (true, true) => 0.0,
            (true, false) => self.engine_change_ms,
            (false, true) => REMOTE_START_MS,
            (false, false) => self.engine_change_ms + self.interconnect_ms,
        }
    }

    /// Cost of a range of layers on an engine, or `None` if the engine lacks
    /// the memory.
    fn stage_ms(&self, index: usize, first: u32, end: u32) -> Option<f64> {
        let holder = &self.holders[index];
        let layers = u64::from(end - first);
        let used = holder.used_token_layers + layers * self.request.tokens;
        if used > holder.total_token_layers {
            return None;
        }
        let fill = used as f64 / holder.total_token_layers as f64;
        let memory =
            ((fill - MEMORY_COST_FROM) / (1.0 - MEMORY_COST_FROM)).max(0.0);
        let time_ms =
            layers as f64 * holder.layer_ms * self.jitter_factors[index];
        let prefill = ((holder.prefill_share - PREFILL_COST_FROM)
            / (1.0 - PREFILL_COST_FROM))
            .max(0.0);
        let prefill_ms =
            FULL_PREFILL_MS * prefill.min(MAX_PREFILL_EXCESS).powi(2);
        Some(
            time_ms * (1.0 + fill)
                + FULL_MEMORY_MS * memory * memory
                + prefill_ms,
        )
    }

    fn reconstruct(
        &self,
        best: &[Vec<Option<PathState>>],
    ) -> Option<Vec<PathStage>> {
        let states = best.last()?.iter().flatten();
        let mut state =
            *states.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
        let mut stages = vec![state.stage];
        while state.stage.first_layer > self.request.first_layer {
            let row =
                (state.stage.first_layer - self.request.first_layer) as usize;
            state = best[row][state.previous_data_centre]?;
            stages.push(state.stage);
        }
        stages.reverse();
        Some(stages)
    }
}

/// Merges stages if a path returns to an engine, because an engine may occur
/// only once. The engine holds the layers in between as well.
fn merge_revisits(stages: Vec<PathStage>) -> Vec<PathStage> {
    let mut merged: Vec<PathStage> = Vec::with_capacity(stages.len());
    for stage in stages {
        match merged.iter().position(|p| p.holder == stage.holder) {
            Some(at) => {
                merged.truncate(at + 1);
                merged[at].end_layer = stage.end_layer;
            }
            None => merged.push(stage),
        }
    }
    merged
}
