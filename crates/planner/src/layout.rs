//! Decides which layers an engine that holds none is to load.
//!
//! Memory beside the layers holds the KV cache of requests, so engines are not
//! filled with layers. Each data centre gets a complete copy of the model with
//! the same KV capacity on every layer, and some layers get several replicas
//! (`EngineGroups`). The layout of an empty data centre is computed at once.
//! Later, an empty engine takes a gap of its data centre; without a gap, the
//! layers with the lowest KV capacity; and if no layer lacks capacity, the
//! layers with the fewest replicas.
//!
//! [`repair`] closes gaps for which no empty engine is left.
//!
//! [`repair`]: crate::repair
//!
//! The functions are pure: no clock, no I/O and no randomness. Their running
//! time grows with engines times layers.

use crate::{
    engine_groups::{EngineGroups, Member},
    fast_engines,
    kv_capacity::{KvCapacity, kv_tokens_for_layers},
    replicas::ReplicaCounts,
    service::LayerRange,
};

/// Minimum KV capacity of an engine, in tokens.
pub(crate) const MIN_KV_TOKENS: f64 = 20_000.0;
/// Minimum KV capacity of an engine that holds more layers than its share, as
/// a fraction of the capacity that two replicas give a layer. All requests of
/// a data centre pass through the only holder of a layer, so a much lower
/// capacity would block them as a gap does.
pub(crate) const MIN_KV_SHARE: f64 = 0.3;

/// Memory requirements of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutModel {
    /// Number of layers.
    pub layer_count: u32,
    /// Memory of a layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of a token in a layer, in bytes.
    pub token_layer_bytes: f64,
    /// Tokens of the requests that an engine accepts as their first stage, one
    /// for each slot; infinite without a limit.
    pub first_stage_tokens: f64,
}

/// An engine as the layout sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutEngine {
    /// Index of the data centre.
    pub data_centre: usize,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a token through one layer, in milliseconds.
    pub layer_ms: f64,
    /// Layers that the engine holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// Whether the layers that the engine holds can be used.
    pub is_available: bool,
    /// Whether the engine may be given an order.
    pub accepts_orders: bool,
}

/// The layers that an engine is to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Index of the engine.
    pub engine: usize,
    /// Layers to hold.
    pub range: LayerRange,
}

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
        let groups = engine_groups(model, engines, data_centre);
        let mut available =
            engines.iter().filter(|e| here(e) && e.is_available);
        if groups.is_complete && available.all(is_empty) {
            for placement in initial_placements(model, &groups) {
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
                range_for_empty(model, &draft, at, &counts, &groups)
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

/// Layout of an empty data centre: consecutive ranges for the groups, and the
/// ranges of the fast engines.
fn initial_placements(
    model: &LayoutModel,
    groups: &EngineGroups,
) -> Vec<Placement> {
    let mut placements = Vec::new();
    let mut first = 0;
    for group in &groups.groups {
        let layers = group.max_layers(model, groups.kv_tokens);
        let end = (first + layers).min(model.layer_count);
        let range = LayerRange::new(first, end);
        let holders = group.engines.iter().filter(|_| range.layer_count() > 0);
        placements.extend(holders.map(|at| Placement { engine: *at, range }));
        first = end;
    }
    placements.extend(fast_placements(model, groups));
    placements
}

/// Consecutive ranges for the fast engines, from the last layer downwards. At
/// layer 0 the next engine starts again from the last layer.
fn fast_placements(
    model: &LayoutModel,
    groups: &EngineGroups,
) -> Vec<Placement> {
    let mut placements = Vec::new();
    let mut end = model.layer_count;
    for (group, kv_tokens) in groups.fast() {
        let layers = group.max_layers(model, kv_tokens).min(end);
        let range = LayerRange::new(end - layers, end);
        let holders = group.engines.iter().filter(|_| layers > 0);
        placements.extend(holders.map(|at| Placement { engine: *at, range }));
        end = match range.first_layer {
            0 => model.layer_count,
            first => first,
        };
    }
    placements
}

/// Layers for an empty engine in a data centre where others hold layers.
///
/// If there is a gap, the engine takes as much of the gap as fits. Otherwise,
/// the engine adds replicas and keeps its share of the KV capacity. It takes
/// the layers that lack most capacity or, if no layer does, the layers with
/// the fewest replicas.
fn range_for_empty(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    at: usize,
    counts: &ReplicaCounts,
    groups: &EngineGroups,
) -> Option<LayerRange> {
    let engine = &engines[at];
    let data_centre = engine.data_centre;
    let layers_with_share = |share: f64| {
        let kv_tokens = (share * groups.pair_kv_tokens()).max(MIN_KV_TOKENS);
        max_layers_beside(model, engine, kv_tokens)
    };
    let gaps = counts.gaps(data_centre);
    if let Some(gap) = gaps.iter().map(|gap| gap.layer_count()).max() {
        let layers =
            gap.clamp(layers_with_share(1.0), layers_with_share(MIN_KV_SHARE));
        let is_any = layers > 0;
        return is_any.then(|| counts.best_window(data_centre, layers));
    }
    let mut fast = groups.fast();
    let layers = match fast.find(|(group, _)| group.engines.contains(&at)) {
        Some((group, kv_tokens)) => group.max_layers(model, kv_tokens),
        None => layers_with_share(0.5),
    };
    if layers == 0 {
        return None;
    }
    let capacity = KvCapacity::new(model, engines, data_centre);
    let own = kv_tokens_for_layers(model, engine, layers);
    match capacity.scarcest_window(layers, groups.kv_tokens, own) {
        (range, gain) if gain > 0.0 => Some(range),
        _ => Some(counts.best_window(data_centre, layers)),
    }
}

/// Number of available engines that hold each layer, by data centre and layer.
pub fn replica_counts(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Vec<u32>> {
    ReplicaCounts::new(model, engines).by_data_centre
}

/// The groups of the available engines of a data centre.
pub(crate) fn engine_groups(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    data_centre: usize,
) -> EngineGroups {
    let here = engines
        .iter()
        .enumerate()
        .filter(|(_, e)| e.data_centre == data_centre && e.is_available);
    let member = |(engine, e): (usize, &LayoutEngine)| Member {
        engine,
        memory_mb: e.memory_mb,
        layer_ms: e.layer_ms,
    };
    let mut members: Vec<Member> = here.map(member).collect();
    members.sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb));
    let uniform = EngineGroups::uniform(model, &members);
    fast_engines::better_than(model, &members, &uniform).unwrap_or(uniform)
}

/// Maximum number of layers that leave an engine this KV capacity.
pub(crate) fn max_layers_beside(
    model: &LayoutModel,
    engine: &LayoutEngine,
    kv_tokens: f64,
) -> u32 {
    let each_mb = model.layer_mb + kv_tokens * model.token_layer_bytes / 1e6;
    ((engine.memory_mb / each_mb) as u32).min(model.layer_count)
}
