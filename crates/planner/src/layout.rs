//! Which layers an engine that holds none is to load.
//!
//! Memory that holds no layers holds requests, so engines are not filled:
//! each data centre gets so many copies of the model as its memory allows
//! beside a common room for requests. Engines are placed one after another,
//! each on the layers that are held least: first those nobody holds, then
//! those nobody in its data centre holds, then those a single engine holds.
//! The same rule lays out an empty fleet and mends one.
//!
//! What is done where no empty engine is left for a gap is in [`mend`].
//!
//! [`mend`]: crate::mend
//!
//! A pure function: no clock, no I/O, no randomness; its time grows with
//! engines times layers.

use crate::{cover::Cover, service::LayerRange};

/// Share of a data centre's memory that layers take.
///
/// More makes more copies of the model, so that the loss of an engine leaves
/// its layers in place; each further tenth takes room from requests.
const LAYER_SHARE: f64 = 0.72;
/// Least room for requests beside the layers, in tokens.
pub(crate) const MIN_TOKENS: f64 = 20_000.0;
/// Steps of the search for the common room.
const SEARCH_STEPS: usize = 40;

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

/// How many engines hold each layer in each data centre.
pub fn cover(model: &LayoutModel, engines: &[LayoutEngine]) -> Vec<Vec<u32>> {
    Cover::new(model, engines).here
}

/// Room for requests that all engines of a data centre have, in tokens.
pub(crate) fn room_tokens(
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
pub(crate) fn layers_beside(
    model: &LayoutModel,
    engine: &LayoutEngine,
    tokens: f64,
) -> u32 {
    let each_mb = model.layer_mb + tokens * model.token_layer_bytes / 1e6;
    ((engine.memory_mb / each_mb) as u32).min(model.layer_count)
}
