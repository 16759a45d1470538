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
const CHANGE_MS: f64 = 0.8;
/// Least price of a change of data centre, in the same unit: above that of
/// engines that are half full.
const CROSSING_MS: f64 = 15.0;
/// Price of one for each millisecond for which the request takes up what
/// joins data centres. Use is known some time late, so the price must keep
/// requests off a narrow join before its use shows.
const CROSSING_PRICE: f64 = 2.5;
/// Price of one where what joins them is nearly full: only where no other
/// path exists.
const FULL_CROSSING_MS: f64 = 1_000.0;
/// Use of what joins data centres from which on the price rises, and at
/// which it counts as full. Then no path crosses, even where no other is:
/// everything that waits there would hold memory in all data centres until
/// none is left for requests that need not cross.
const CROSSING_USE: (f64, f64) = (0.2, MAX_UTILISATION);
/// Price of starting in another data centre, where only the events of one
/// stream cross, in the same unit.
const FAR_START_MS: f64 = 1.0;
/// Share of the memory for requests above which each further part is dear.
const FULL_FROM: f64 = 0.6;
/// Price of an engine whose memory is full, in the same unit.
const FULL_MS: f64 = 10.0;
/// Share of an engine's time from which on further reading is dear.
const BUSY_FROM: f64 = 0.35;
/// Price of an engine that reads all the time, in the same unit.
const BUSY_MS: f64 = 40.0;
/// Where that price ends, as a multiple of the way from dear to all.
const MAX_BUSY: f64 = 3.0;
/// Factor by which changes of engine grow dearer where a path has too many
/// parts, and most searches: at the last one the price of a change, 3.3 s, is
/// above that of all else, so that it finds the path of fewest parts.
const DEARER: f64 = 8.0;
const MOST_SEARCHES: usize = 5;
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
    /// Memory for requests that is used, in tokens times layers.
    pub used_token_layers: u64,
    /// Memory for requests, in tokens times layers.
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
    fn crossing_ms(&self) -> f64 {
        let (from, to) = CROSSING_USE;
        if self.interconnect_utilisation >= to {
            return f64::INFINITY;
        }
        let share = ((self.interconnect_utilisation - from) / (to - from))
            .clamp(0.0, 1.0);
        let least =
            CROSSING_MS.max(CROSSING_PRICE * self.interconnect_prefill_ms);
        least + share * (FULL_CROSSING_MS - least).max(0.0)
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
struct Step {
    cost_ms: f64,
    part: PathStage,
    /// Data centre before it.
    came_from: usize,
}

/// The cheapest path; none where layers or room are lacking, or where it
/// would have too many parts.
pub fn find_path(
    holders: &[LayerHolder],
    request: &PathRequest,
    rng: &mut fastrand::Rng,
) -> Option<Vec<PathStage>> {
    let mut search = Search::new(holders, request, rng);
    for _ in 0..MOST_SEARCHES {
        let parts = without_returns(search.run()?);
        if parts.len() <= request.max_stages {
            return Some(parts);
        }
        search.change_ms *= DEARER;
    }
    None
}

struct Search<'a> {
    holders: &'a [LayerHolder],
    request: &'a PathRequest,
    factors: Vec<f64>,
    boundaries: BTreeSet<u32>,
    data_centres: usize,
    crossing_ms: f64,
    /// Price of a change of engine.
    change_ms: f64,
}

impl Search<'_> {
    fn new<'a>(
        holders: &'a [LayerHolder],
        request: &'a PathRequest,
        rng: &mut fastrand::Rng,
    ) -> Search<'a> {
        let factor = |_: &LayerHolder| 1.0 + JITTER * (rng.f64() * 2.0 - 1.0);
        let factors = holders.iter().map(factor).collect();
        let usable = || holders.iter().filter(|h| h.is_usable);
        let bounds = usable().flat_map(|h| [h.first_layer, h.end_layer]);
        let last = holders.iter().map(|h| h.data_centre);
        let data_centres = last.chain([request.data_centre]).max();
        Search {
            holders,
            request,
            factors,
            boundaries: bounds.chain([request.end_layer]).collect(),
            data_centres: data_centres.unwrap_or(0) + 1,
            crossing_ms: request.crossing_ms(),
            change_ms: CHANGE_MS,
        }
    }

    fn run(&self) -> Option<Vec<PathStage>> {
        let (first, end) = (self.request.first_layer, self.request.end_layer);
        let width = (end - first) as usize + 1;
        // The best way to each layer and data centre.
        let mut best: Vec<Vec<Option<Step>>> =
            vec![vec![None; self.data_centres]; width];
        for at in first..end {
            for from in 0..self.data_centres {
                let cost_ms = match best[(at - first) as usize][from] {
                    Some(step) => step.cost_ms,
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
        self.walk_back(&best)
    }

    fn extend(
        &self,
        best: &mut [Vec<Option<Step>>],
        at: u32,
        came_from: usize,
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
                let Some(price_ms) = self.price_ms(index, at, end) else {
                    break;
                };
                let entry_ms =
                    self.entry_ms(is_first, came_from, holder.data_centre);
                let cost_ms = cost_ms + price_ms + entry_ms;
                if cost_ms.is_infinite() {
                    break;
                }
                let part = PathStage {
                    holder: index,
                    first_layer: at,
                    end_layer: end,
                };
                let row = (end - self.request.first_layer) as usize;
                let slot = &mut best[row][holder.data_centre];
                if slot.is_none_or(|step| cost_ms < step.cost_ms) {
                    *slot = Some(Step { cost_ms, part, came_from });
                }
            }
        }
    }

    fn entry_ms(&self, is_first: bool, from: usize, to: usize) -> f64 {
        match (from == to, is_first) {
            (true, true) => 0.0,
            (true, false) => self.change_ms,
            (false, true) => FAR_START_MS,
            (false, false) => self.change_ms + self.crossing_ms,
        }
    }

    /// Price of layers on an engine; none where it lacks the room.
    fn price_ms(&self, index: usize, first: u32, end: u32) -> Option<f64> {
        let holder = &self.holders[index];
        let layers = u64::from(end - first);
        let used = holder.used_token_layers + layers * self.request.tokens;
        if used > holder.total_token_layers {
            return None;
        }
        let fill = used as f64 / holder.total_token_layers as f64;
        let over = ((fill - FULL_FROM) / (1.0 - FULL_FROM)).max(0.0);
        let time_ms = layers as f64 * holder.layer_ms * self.factors[index];
        let busy =
            ((holder.prefill_share - BUSY_FROM) / (1.0 - BUSY_FROM)).max(0.0);
        let waits_ms = BUSY_MS * busy.min(MAX_BUSY).powi(2);
        Some(time_ms * (1.0 + fill) + FULL_MS * over * over + waits_ms)
    }

    fn walk_back(&self, best: &[Vec<Option<Step>>]) -> Option<Vec<PathStage>> {
        let steps = best.last()?.iter().flatten();
        let mut step =
            *steps.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
        let mut parts = vec![step.part];
        while step.part.first_layer > self.request.first_layer {
            let row =
                (step.part.first_layer - self.request.first_layer) as usize;
            step = best[row][step.came_from]?;
            parts.push(step.part);
        }
        parts.reverse();
        Some(parts)
    }
}

/// A path may not come back to an engine: what lies between goes to it, since
/// it holds that as well.
fn without_returns(parts: Vec<PathStage>) -> Vec<PathStage> {
    let mut out: Vec<PathStage> = Vec::with_capacity(parts.len());
    for part in parts {
        match out.iter().position(|p| p.holder == part.holder) {
            Some(at) => {
                out.truncate(at + 1);
                out[at].end_layer = part.end_layer;
            }
            None => out.push(part),
        }
    }
    out
}
