//! Which layers an engine that holds none is to load.
//!
//! Memory that holds no layers holds requests, so engines are not filled:
//! each data centre gets a whole copy of the model, part of it twice, with
//! the same room for requests on every layer ([`Shape`]). An empty data
//! centre is laid out at once. Later an empty engine takes a gap of its data
//! centre, or else what lacks most room, or else what is held least.
//!
//! What is done where no empty engine is left for a gap is in [`mend`].
//!
//! [`mend`]: crate::mend
//!
//! A pure function: no clock, no I/O, no randomness; its time grows with
//! engines times layers.

use crate::{
    cover::Cover,
    fast_beside,
    room::{Rooms, room_beside},
    service::LayerRange,
    shape::{Member, Shape},
};

/// Least room for requests beside the layers, in tokens.
pub(crate) const MIN_TOKENS: f64 = 20_000.0;
/// Room for requests that an engine keeps where it holds more than its share,
/// as a share of that of a layer. All requests of a data centre pass through
/// the engine that holds a layer alone, so much less would stop them as a gap
/// does.
pub(crate) const LEAST_ROOM: f64 = 0.3;

/// A model as far as memory goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutModel {
    /// Layers.
    pub layer_count: u32,
    /// Memory of a layer, in megabytes.
    pub layer_mb: f64,
    /// Memory of a request for each token and layer, in bytes.
    pub token_layer_bytes: f64,
    /// Tokens of the requests that an engine takes as their first one, as
    /// many as it has places; infinite where nothing bounds them.
    pub first_stage_tokens: f64,
}

/// An engine as far as memory goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutEngine {
    /// Data centre, as an index.
    pub data_centre: usize,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Time of a token through one layer, in milliseconds.
    pub layer_ms: f64,
    /// Layers that it holds or was ordered to hold.
    pub held: Option<LayerRange>,
    /// Whether what it holds can be counted on.
    pub is_available: bool,
    /// Whether it may be given an order.
    pub accepts_orders: bool,
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
    let mut placements = Vec::new();
    for data_centre in 0..cover.here.len() {
        let here = |e: &LayoutEngine| e.data_centre == data_centre;
        let is_empty = |e: &LayoutEngine| e.accepts_orders && e.held.is_none();
        let mut free: Vec<usize> = (0..engines.len())
            .filter(|at| here(&engines[*at]) && is_empty(&engines[*at]))
            .collect();
        if free.is_empty() {
            continue;
        }
        let shape = shape(model, engines, data_centre);
        let mut sound = engines.iter().filter(|e| here(e) && e.is_available);
        if shape.is_whole && sound.all(is_empty) {
            for placement in tiled(model, &shape) {
                cover.add(data_centre, placement.range);
                free.retain(|at| *at != placement.engine);
                placements.push(placement);
            }
        }
        // Large engines first: what is left for small ones fits anywhere.
        free.sort_by(|a, b| {
            engines[*b].memory_mb.total_cmp(&engines[*a].memory_mb)
        });
        let mut draft = engines.to_vec();
        for placement in &placements {
            draft[placement.engine].held = Some(placement.range);
        }
        for at in free {
            let Some(range) = range_for(model, &draft, at, &cover, &shape)
            else {
                continue;
            };
            cover.add(data_centre, range);
            draft[at].held = Some(range);
            placements.push(Placement { engine: at, range });
        }
    }
    placements
}

/// The groups of a data centre in a row over the layers.
fn tiled(model: &LayoutModel, shape: &Shape) -> Vec<Placement> {
    let mut placements = Vec::new();
    let mut first = 0;
    for group in &shape.groups {
        let layers = group.layers(model, shape.room_tokens);
        let end = (first + layers).min(model.layer_count);
        let range = LayerRange::new(first, end);
        let held = group.engines.iter().filter(|_| range.layer_count() > 0);
        placements.extend(held.map(|at| Placement { engine: *at, range }));
        first = end;
    }
    placements.extend(fast_row(model, shape));
    placements
}

/// Fast engines in a row from the last layer on downwards, again from there
/// once all layers have one.
fn fast_row(model: &LayoutModel, shape: &Shape) -> Vec<Placement> {
    let mut placements = Vec::new();
    let mut end = model.layer_count;
    for (group, tokens) in shape.fast() {
        let layers = group.layers(model, tokens).min(end);
        let range = LayerRange::new(end - layers, end);
        let held = group.engines.iter().filter(|_| layers > 0);
        placements.extend(held.map(|at| Placement { engine: *at, range }));
        end = match range.first_layer {
            0 => model.layer_count,
            first => first,
        };
    }
    placements
}

/// Layers that an empty engine takes beside others: a gap, as far as it can;
/// else it is a further one on what it takes, needs its part of the room, and
/// goes where most of the room is lacking, or where layers are held least.
fn range_for(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    at: usize,
    cover: &Cover,
    shape: &Shape,
) -> Option<LayerRange> {
    let engine = &engines[at];
    let data_centre = engine.data_centre;
    let with_room = |share: f64| {
        let tokens = (share * shape.room_of_two()).max(MIN_TOKENS);
        layers_beside(model, engine, tokens)
    };
    let gaps = cover.gaps(data_centre);
    if let Some(gap) = gaps.iter().map(|gap| gap.layer_count()).max() {
        let layers = gap.clamp(with_room(1.0), with_room(LEAST_ROOM));
        let is_any = layers > 0;
        return is_any.then(|| cover.best_window(data_centre, layers));
    }
    let mut fast = shape.fast();
    let layers = match fast.find(|(group, _)| group.engines.contains(&at)) {
        Some((group, tokens)) => group.layers(model, tokens),
        None => with_room(0.5),
    };
    if layers == 0 {
        return None;
    }
    let rooms = Rooms::new(model, engines, data_centre);
    let own = room_beside(model, engine, layers);
    match rooms.scarcest_window(layers, shape.room_tokens, own) {
        (range, made_up) if made_up > 0.0 => Some(range),
        _ => Some(cover.best_window(data_centre, layers)),
    }
}

/// How many engines hold each layer in each data centre.
pub fn replica_counts(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Vec<u32>> {
    Cover::new(model, engines).here
}

/// The groups of the engines of a data centre that can be counted on.
pub(crate) fn shape(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    data_centre: usize,
) -> Shape {
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
    let even = Shape::even(model, &members);
    fast_beside::better_than(model, &members, &even).unwrap_or(even)
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
