//! Which layers an engine that holds none is to load.
//!
//! Memory that holds no layers holds requests, so engines are not filled:
//! each data centre gets so many copies of the model as its memory allows
//! beside a common room for requests. Engines are placed one after another,
//! each on the layers that are held least: first those nobody holds, then
//! those nobody in its data centre holds, then those a single engine holds.
//! The same rule lays out an empty fleet and mends one.
//!
//! Where a data centre lacks layers and has no empty engine left, an engine
//! whose layers others hold as well moves to them; no last copy is given up.
//!
//! A pure function: no clock, no I/O, no randomness; its time grows with
//! engines times layers.

use crate::service::LayerRange;

/// Share of a data centre's memory that layers take.
///
/// More makes more copies of the model, so that the loss of an engine leaves
/// its layers in place; each further tenth takes room from requests.
const LAYER_SHARE: f64 = 0.72;
/// Least room for requests beside the layers, in tokens.
const MIN_TOKENS: f64 = 20_000.0;
/// Steps of the search for the common room.
const SEARCH_STEPS: usize = 40;
/// Worth of a layer that nobody holds.
const WORTH_UNHELD: u64 = 10_000;
/// Worth of a layer that nobody in the data centre holds.
const WORTH_UNHELD_HERE: u64 = 1_000;
/// Worth of a layer by how many in the data centre hold it, from one on.
const WORTH_HELD: [u64; 3] = [100, 10, 1];

/// A model as far as memory goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutModel {
    /// Layers.
    pub layer_count: u32,
    /// Memory of a layer, in megabytes.
    pub layer_mb: f64,
    /// Memory of a request for each token and layer, in bytes.
    pub token_layer_bytes: f64,
}

/// An engine as far as memory goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutEngine {
    /// Data centre, as an index.
    pub data_centre: usize,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Layers that it holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// Whether what it holds can be counted on.
    pub is_sound: bool,
    /// Whether it may be given an order.
    pub is_free: bool,
}

/// What an engine is to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The engine, as an index.
    pub engine: usize,
    /// The layers.
    pub range: LayerRange,
}

/// Layers for each engine that is free and holds none.
pub fn place_empty(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let mut cover = Cover::new(model, engines);
    let mut free: Vec<usize> = (0..engines.len())
        .filter(|at| engines[*at].is_free && engines[*at].held.is_none())
        .collect();
    // Large engines first: what is left for small ones fits anywhere.
    free.sort_by(|a, b| {
        engines[*b].memory_mb.total_cmp(&engines[*a].memory_mb)
    });
    let mut placements = Vec::new();
    for at in free {
        let engine = &engines[at];
        let room = room_tokens(model, engines, engine.data_centre);
        let layers = layers_beside(model, engine, room);
        if layers == 0 {
            continue;
        }
        let range = cover.best_window(engine.data_centre, layers);
        cover.add(engine.data_centre, range);
        placements.push(Placement { engine: at, range });
    }
    placements
}

/// The move of an engine that holds layers which gains most; none where none
/// fills a gap.
pub fn move_one(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Option<Placement> {
    let cover = Cover::new(model, engines);
    let mut best: Option<(u64, Placement)> = None;
    for (at, engine) in engines.iter().enumerate() {
        let Some(held) = engine.held.filter(|_| engine.is_free) else {
            continue;
        };
        if !cover.has_gap(engine.data_centre) {
            continue;
        }
        let mut without = Cover::new(model, engines);
        without.take(engine.data_centre, held);
        let window = without.best_window(engine.data_centre, held.layers());
        let given_up = |layer: usize| {
            let layer = layer as u32;
            !(window.first_layer..window.end_layer).contains(&layer)
        };
        let last = held.end_layer.min(model.layer_count);
        let loses_last = (held.first_layer..last)
            .map(|layer| layer as usize)
            .any(|l| given_up(l) && without.here[engine.data_centre][l] == 0);
        if loses_last {
            continue;
        }
        let gain = without
            .window_worth(engine.data_centre, window)
            .saturating_sub(without.window_worth(engine.data_centre, held));
        let is_best = best.is_none_or(|(most, _)| gain > most);
        if gain >= WORTH_UNHELD_HERE && is_best {
            best = Some((gain, Placement { engine: at, range: window }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// How many engines hold each layer in each data centre.
pub fn cover(model: &LayoutModel, engines: &[LayoutEngine]) -> Vec<Vec<u32>> {
    Cover::new(model, engines).here
}

/// Room for requests that all engines of a data centre have, in tokens.
fn room_tokens(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    data_centre: usize,
) -> f64 {
    let here = || {
        engines.iter().filter(|e| e.data_centre == data_centre && e.is_sound)
    };
    let memory_mb: f64 = here().map(|e| e.memory_mb).sum();
    let wanted = (LAYER_SHARE * memory_mb / model.layer_mb) as u32;
    // A whole copy, even where that leaves little room.
    let wanted = wanted.max(model.layer_count);
    let fits = |tokens: f64| {
        let layers = here().map(|e| layers_beside(model, e, tokens));
        layers.sum::<u32>() >= wanted
    };
    let largest = here().map(|e| e.memory_mb).fold(0.0, f64::max);
    let mut low = MIN_TOKENS;
    let mut high = (largest * 1e6 / model.token_layer_bytes).max(low);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        match fits(middle) {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Layers that fit beside so many tokens of requests.
fn layers_beside(
    model: &LayoutModel,
    engine: &LayoutEngine,
    tokens: f64,
) -> u32 {
    let each_mb = model.layer_mb + tokens * model.token_layer_bytes / 1e6;
    ((engine.memory_mb / each_mb) as u32).min(model.layer_count)
}

/// How many engines hold each layer.
struct Cover {
    /// By data centre and layer.
    here: Vec<Vec<u32>>,
    /// By layer.
    all: Vec<u32>,
}

impl Cover {
    fn new(model: &LayoutModel, engines: &[LayoutEngine]) -> Cover {
        let count = model.layer_count as usize;
        let last = engines.iter().map(|e| e.data_centre).max();
        let data_centres = last.map_or(0, |last| last + 1);
        let mut cover = Cover {
            here: vec![vec![0; count]; data_centres],
            all: vec![0; count],
        };
        for engine in engines.iter().filter(|e| e.is_sound) {
            if let Some(range) = engine.held {
                cover.add(engine.data_centre, range);
            }
        }
        cover
    }

    fn add(&mut self, data_centre: usize, range: LayerRange) {
        let last = (range.end_layer as usize).min(self.all.len());
        for layer in range.first_layer as usize..last {
            self.here[data_centre][layer] += 1;
            self.all[layer] += 1;
        }
    }

    fn take(&mut self, data_centre: usize, range: LayerRange) {
        let last = (range.end_layer as usize).min(self.all.len());
        for layer in range.first_layer as usize..last {
            self.here[data_centre][layer] -= 1;
            self.all[layer] -= 1;
        }
    }

    fn has_gap(&self, data_centre: usize) -> bool {
        self.here[data_centre].contains(&0)
    }

    fn window_worth(&self, data_centre: usize, range: LayerRange) -> u64 {
        let last = (range.end_layer as usize).min(self.all.len());
        let layers = range.first_layer as usize..last;
        layers.map(|layer| self.worth(data_centre, layer)).sum()
    }

    fn worth(&self, data_centre: usize, layer: usize) -> u64 {
        match (self.all[layer], self.here[data_centre][layer] as usize) {
            (0, _) => WORTH_UNHELD,
            (_, 0) => WORTH_UNHELD_HERE,
            (_, held) => WORTH_HELD.get(held - 1).copied().unwrap_or(0),
        }
    }

    /// The first of the windows that are worth most.
    fn best_window(&self, data_centre: usize, layers: u32) -> LayerRange {
        let worths: Vec<u64> = (0..self.all.len())
            .map(|layer| self.worth(data_centre, layer))
            .collect();
        // What an engine holds may be of a model with more layers.
        let length = (layers as usize).min(worths.len());
        let mut sum: u64 = worths[..length].iter().sum();
        let (mut best, mut best_sum) = (0, sum);
        for first in 1..=worths.len() - length {
            sum += worths[first + length - 1];
            sum -= worths[first - 1];
            if sum > best_sum {
                (best, best_sum) = (first, sum);
            }
        }
        LayerRange::new(best as u32, (best + length) as u32)
    }
}
