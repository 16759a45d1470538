//! Decides which layers an engine that holds none is to load.
//!
//! Memory beside the layers holds the KV cache of requests, so engines are not
//! filled with layers. Each data centre gets a complete copy of the model with
//! the same KV capacity on every layer (`EvenLayout`). The layout of an empty
//! data centre is computed at once. Later, an empty engine takes a gap of its
//! data centre; without a gap, the layers where it makes up for most of the KV
//! capacity that they lack; and if no layer lacks capacity, the layers with
//! the fewest replicas.
//!
//! [`repair`] closes gaps for which no empty engine is left.
//!
//! [`repair`]: crate::repair
//!
//! The functions are pure: no clock, no I/O and no randomness. Their running
//! time grows with engines times layers.

use crate::{
    even_layout::{EvenLayout, Member},
    kv_capacity::KvCapacity,
    layout_model::{LayoutEngine, LayoutModel, MIN_KV_TOKENS, Placement},
    replicas::ReplicaCounts,
    service::LayerRange,
};

/// Minimum KV capacity of an engine that holds more layers than its share, as
/// a fraction of the capacity that two replicas give a layer. All requests of
/// a data centre pass through the only holder of a layer, so a much lower
/// capacity would block them as a gap does.
pub(crate) const MIN_KV_SHARE: f64 = 0.3;

/// Layers for each engine that accepts orders and holds none.
pub fn place_empty(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let mut counts = ReplicaCounts::new(model, engines);
    let mut placements = Vec::new();
    for data_centre in 0..counts.by_data_centre.len() {
        let here = |e: &LayoutEngine| e.data_centre == data_centre;
        let is_empty = |e: &LayoutEngine| e.accepts_orders && e.held.is_none();
        let mut empty: Vec<usize> = (0..engines.len())
            .filter(|at| here(&engines[*at]) && is_empty(&engines[*at]))
            .collect();
        if empty.is_empty() {
            continue;
        }
        let layout = even_layout(model, engines, data_centre);
        let mut available =
            engines.iter().filter(|e| here(e) && e.is_available);
        if layout.is_complete && available.all(is_empty) {
            for placement in layout.placements() {
                counts.add(data_centre, placement.range);
                empty.retain(|at| *at != placement.engine);
                placements.push(placement);
            }
        }
        // Large engines first: the short ranges of small engines fit anywhere.
        empty.sort_by(|a, b| {
            engines[*b].memory_mb.total_cmp(&engines[*a].memory_mb)
        });
        let mut draft = engines.to_vec();
        for placement in &placements {
            draft[placement.engine].held = Some(placement.range);
        }
        for at in empty {
            let Some(range) =
                range_for_empty(model, &draft, at, &counts, &layout)
            else {
                continue;
            };
            counts.add(data_centre, range);
            draft[at].held = Some(range);
            placements.push(Placement { engine: at, range });
        }
    }
    placements
}

/// Layers for an empty engine in a data centre where others hold layers.
///
/// If there is a gap, the engine takes as much of the gap as fits. Otherwise,
/// it takes the range in which it makes up for most of the KV capacity that
/// layers lack or, if no layer lacks any, the layers with the fewest replicas.
fn range_for_empty(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    at: usize,
    counts: &ReplicaCounts,
    layout: &EvenLayout<'_>,
) -> Option<LayerRange> {
    let engine = &engines[at];
    let data_centre = engine.data_centre;
    let layers_with_share = |share: f64| {
        let kv_tokens = (share * layout.pair_kv_tokens()).max(MIN_KV_TOKENS);
        model.max_layers(engine.memory_mb, kv_tokens)
    };
    let gaps = counts.gaps(data_centre);
    if let Some(gap) = gaps.iter().map(|gap| gap.layer_count()).max() {
        let layers =
            gap.clamp(layers_with_share(1.0), layers_with_share(MIN_KV_SHARE));
        let is_any = layers > 0;
        return is_any.then(|| counts.best_window(data_centre, layers));
    }
    let layers = layers_with_share(0.5);
    if layers == 0 {
        return None;
    }
    let capacity = KvCapacity::new(model, engines, data_centre);
    let max_layers = model.max_layers(engine.memory_mb, MIN_KV_TOKENS);
    let best = capacity.scarcest_range(layout.kv_tokens, max_layers, |n| {
        model.kv_tokens(engine.memory_mb, n)
    });
    best.or_else(|| Some(counts.best_window(data_centre, layers)))
}

/// Number of available engines that hold each layer, by data centre and layer.
pub fn replica_counts(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Vec<u32>> {
    ReplicaCounts::new(model, engines).by_data_centre
}

/// The layout that the available engines of a data centre would have if they
/// held no layers.
pub(crate) fn even_layout<'a>(
    model: &'a LayoutModel,
    engines: &[LayoutEngine],
    data_centre: usize,
) -> EvenLayout<'a> {
    let here = engines
        .iter()
        .enumerate()
        .filter(|(_, e)| e.data_centre == data_centre && e.is_available);
    let member = |(engine, e): (usize, &LayoutEngine)| Member {
        engine,
        memory_mb: e.memory_mb,
        layer_ms: e.layer_ms,
    };
    EvenLayout::new(model, here.map(member).collect())
}
