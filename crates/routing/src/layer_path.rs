//! Which engines run which layers of a request.
//!
//! A path tiles a range of layers; an engine may run any part of what it
//! holds. The cheapest path is found over layer boundaries: the time of the
//! layers on each engine, a price that grows as the memory for requests
//! fills, a price for each change of engine, and a high one for each change
//! of data centre, since all requests share what joins those. A little
//! randomness keeps entries that know the same from choosing the same.
//!
//! Engines refuse a path of too many parts, which a search by price alone
//! finds where many engines hold a few layers each. Such a path is sought
//! again with changes of engine ever dearer, until it is short enough or the
//! shortest is too long.

use std::collections::BTreeSet;

use crate::interconnect::MAX_UTILISATION;

/// Price of a change of engine, in milliseconds of a token's time: a wait for
/// the pass that runs there, and the way.
const ENGINE_CHANGE_MS: f64 = 0.8;
/// Least price of a change of data centre, in the same unit: above that of
/// engines that are half full.
const MIN_INTERCONNECT_MS: f64 = 15.0;
/// Price of one for each millisecond for which the request takes up what
/// joins data centres. Use is known some time late, so the price must keep
/// requests off a narrow join before its use shows.
const INTERCONNECT_PREFILL_FACTOR: f64 = 2.5;
/// Price of one where what joins them is nearly full: only where no other
/// path exists.
const FULL_INTERCONNECT_MS: f64 = 1_000.0;
/// Use of what joins data centres from which on the price rises, and at
/// which it counts as full. Then no path crosses, even where no other is:
/// everything that waits there would hold memory in all data centres until
/// none is left for requests that need not cross.
const INTERCONNECT_UTILISATION: (f64, f64) = (0.2, MAX_UTILISATION);
/// Price of starting in another data centre, where only the events of one
/// stream cross, in the same unit.
const REMOTE_START_MS: f64 = 1.0;
/// Share of the memory for requests above which each further part is dear.
const MEMORY_FROM: f64 = 0.6;
/// Price of an engine whose memory is full, in the same unit.
const MEMORY_MS: f64 = 10.0;
/// Share of an engine's time from which on further reading is dear.
const PREFILL_FROM: f64 = 0.35;
/// Price of an engine that reads all the time, in the same unit.
const PREFILL_MS: f64 = 40.0;
/// Where that price ends, as a multiple of the way from dear to all.
const MAX_PREFILL_EXCESS: f64 = 3.0;
/// Factor by which changes of engine grow dearer where a path has too many
/// parts, and most searches: at the last one the price of a change, 3.3 s, is
/// above that of all else, so that it finds the path of fewest parts.
const ENGINE_CHANGE_GROWTH: f64 = 8.0;
const MAX_SEARCHES: usize = 5;
/// Share by which times are varied.
const JITTER: f64 = 0.15;

/// An engine that holds layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayerHolder {
    /// Data centre, as an index.
    pub data_centre: usize,
    /// First layer that it holds.
    pub first_layer: u32,
    /// First layer that it does not hold.
    pub end_layer: u32,
    /// Time of a token through one layer, in milliseconds.
    pub layer_ms: f64,
    /// Share of its time that reading prompts takes.
    pub prefill_share: f64,
    /// RecentChoices for requests that is used, in tokens times layers.
    pub used_token_layers: u64,
    /// RecentChoices for requests, in tokens times layers.
    pub total_token_layers: u64,
    /// Whether it may take a part now.
    pub is_usable: bool,
    /// Whether it may be the first of a path.
    pub can_be_first: bool,
}

/// What a path is sought for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathRequest {
    /// First layer to run.
    pub first_layer: u32,
    /// First layer not to run.
    pub end_layer: u32,
    /// Tokens that the request will hold in memory.
    pub tokens: u64,
    /// Data centre before the path, as an index.
    pub data_centre: usize,
    /// Whether the path begins the request, and not in its middle.
    pub is_start: bool,
    /// Use of what joins data centres; 1 is full.
    pub interconnect_utilisation: f64,
    /// Time for which reading the request takes it up, in milliseconds.
    pub interconnect_prefill_ms: f64,
    /// Most parts that the path may have.
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

/// Layers that one engine runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// The engine, as an index.
    pub holder: usize,
    /// First layer that it runs.
    pub first_layer: u32,
    /// First layer that it does not run.
    pub end_layer: u32,
}

#[derive(Clone, Copy)]
struct PathState {
    cost_ms: f64,
    stage: PathStage,
    /// Data centre before it.
    previous_data_centre: usize,
}

/// The cheapest path; none where layers or room are lacking, or where it
/// would have too many parts.
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
    /// Price of a change of engine.
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
        // The best way to each layer and data centre.
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

    /// Price of layers on an engine; none where it lacks the room.
    fn stage_ms(&self, index: usize, first: u32, end: u32) -> Option<f64> {
        let holder = &self.holders[index];
        let layers = u64::from(end - first);
        let used = holder.used_token_layers + layers * self.request.tokens;
        if used > holder.total_token_layers {
            return None;
        }
        let fill = used as f64 / holder.total_token_layers as f64;
        let memory = ((fill - MEMORY_FROM) / (1.0 - MEMORY_FROM)).max(0.0);
        let time_ms =
            layers as f64 * holder.layer_ms * self.jitter_factors[index];
        let prefill = ((holder.prefill_share - PREFILL_FROM)
            / (1.0 - PREFILL_FROM))
            .max(0.0);
        let prefill_ms = PREFILL_MS * prefill.min(MAX_PREFILL_EXCESS).powi(2);
        Some(time_ms * (1.0 + fill) + MEMORY_MS * memory * memory + prefill_ms)
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

/// A path may not come back to an engine: what lies between goes to it, since
/// it holds that as well.
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
