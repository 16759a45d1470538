//! What engines that hold layers do where their data centre lacks some and
//! no empty engine is left for them.
//!
//! | way | what it costs |
//! |---|---|
//! | engines beside the gap take its layers on as well | room for requests there; nothing is given up, so nothing has to end first |
//! | an engine whose layers others hold moves to the gap | it first lets end what passes through it |
//! | where none can, engines take on what one of them holds alone | room; that one moves then |
//!
//! No layer is given up that another engine does not surely hold. Pure
//! functions, as the layout.

use std::collections::BTreeMap;

use crate::{
    cover::{Cover, WORTH_UNHELD_HERE},
    layout::{
        LEAST_ROOM, LayoutEngine, LayoutModel, MIN_TOKENS, Placement,
        layers_beside, shape,
    },
    room::{Rooms, room_beside},
    service::LayerRange,
};

/// A layer with less than this share of the room that each is to have is
/// scarce: one of a pair has left.
const SCARCE_ROOM: f64 = 0.7;
/// Share of that room which an engine's layers must keep without it.
const SPARE_ROOM: f64 = 0.95;
/// Least share of what the engine has room for that a move must make up.
const LEAST_GAIN: f64 = 0.5;

/// Engines that take on layers beside theirs, so that gaps close as a whole;
/// none for a gap that they can't close.
pub fn grow_into_gaps(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let cover = Cover::new(model, engines);
    let mut draft = engines.to_vec();
    let mut grown = BTreeMap::new();
    for data_centre in 0..cover.here.len() {
        for gap in cover.gaps(data_centre) {
            let growth = Growth::new(model, &draft, data_centre);
            for (at, range) in growth.close(gap).unwrap_or_default() {
                draft[at].held = Some(range);
                grown.insert(at, range);
            }
        }
    }
    as_placements(grown)
}

/// Engines that take on what another one holds alone, so that that one can
/// move to the largest gap of its data centre: the one for which fewest
/// layers are taken on.
pub fn grow_to_free(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let cover = Cover::new(model, engines);
    let mut grown = BTreeMap::new();
    for data_centre in 0..cover.here.len() {
        let gaps = cover.gaps(data_centre);
        let Some(gap) = gaps.into_iter().max_by_key(|gap| gap.layer_count())
        else {
            continue;
        };
        let growth = Growth::new(model, engines, data_centre);
        let free = growth.members().filter_map(|(at, held)| {
            let is_enough = held.layer_count() >= gap.layer_count();
            let free = is_enough.then(|| growth.without(at, &cover))??;
            let taken_on = |(at, range): (&usize, &LayerRange)| {
                range.layers_beyond(engines[*at].held)
            };
            Some((free.iter().map(taken_on).sum::<u32>(), free))
        });
        if let Some((_, free)) = free.min_by_key(|(taken_on, _)| *taken_on) {
            grown.extend(free);
        }
    }
    as_placements(grown)
}

/// The move of an engine that holds layers which gains most; none where none
/// fills a gap.
pub fn move_one(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Option<Placement> {
    let sure: Vec<_> = engines.iter().map(|engine| engine.held).collect();
    move_sure(model, engines, &sure)
}

/// The same where engines surely hold less than they may.
pub(crate) fn move_sure(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    sure: &[Option<LayerRange>],
) -> Option<Placement> {
    let cover = Cover::new(model, engines);
    let surely = |(engine, sure): (&LayoutEngine, &Option<LayerRange>)| {
        LayoutEngine { held: *sure, ..*engine }
    };
    let surely: Vec<_> = engines.iter().zip(sure).map(surely).collect();
    let sure_cover = Cover::new(model, &surely);
    let mut best: Option<((bool, u64), Placement)> = None;
    for (at, engine) in engines.iter().enumerate() {
        let Some(held) = engine.held.filter(|_| engine.accepts_orders) else {
            continue;
        };
        let data_centre = engine.data_centre;
        if !cover.has_gap(data_centre) {
            continue;
        }
        let mut without = cover.clone();
        without.take(data_centre, held);
        let window = without.best_window(data_centre, held.layer_count());
        let mut sure_without = sure_cover.clone();
        if let Some(sure) = sure[at] {
            sure_without.take(data_centre, sure);
        }
        let alone = sure_without.unheld_in(data_centre, held);
        if alone.iter().any(|run| !window.contains(*run)) {
            continue;
        }
        let gain = without
            .window_worth(data_centre, window)
            .saturating_sub(without.window_worth(data_centre, held));
        // Streams can't be led around their first engine, and it loads only
        // once they have ended.
        let rank = (held.first_layer > 0, gain);
        let is_best = best.is_none_or(|(most, _)| rank > most);
        if gain >= WORTH_UNHELD_HERE && is_best {
            best = Some((rank, Placement { engine: at, range: window }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// The move of an engine whose layers have room enough without it to where
/// most room is lacking; none where little would be gained.
///
/// Engines that come one by one while others leave are placed before it shows
/// what will be missing.
pub(crate) fn move_spare(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    sure: &[Option<LayerRange>],
) -> Option<Placement> {
    let last = engines.iter().map(|e| e.data_centre).max()?;
    let mut best: Option<(f64, Placement)> = None;
    for data_centre in 0..=last {
        let wanted = shape(model, engines, data_centre).room_tokens;
        let rooms = Rooms::new(model, engines, data_centre);
        let all = LayerRange::new(0, model.layer_count);
        if rooms.least(all) >= SCARCE_ROOM * wanted {
            continue;
        }
        for (at, engine) in engines.iter().enumerate() {
            let is_here =
                engine.data_centre == data_centre && engine.accepts_orders;
            let Some(held) = engine.held.filter(|_| is_here) else {
                continue;
            };
            let own = room_beside(model, engine, held.layer_count());
            let is_spare = sure[at] == Some(held)
                && held.first_layer > 0
                && rooms.least(held) - own >= SPARE_ROOM * wanted;
            if !is_spare {
                continue;
            }
            let (range, made_up) =
                rooms.scarcest_window(held.layer_count(), wanted, own);
            let is_enough =
                made_up >= LEAST_GAIN * own * f64::from(held.layer_count());
            if is_enough && best.is_none_or(|(most, _)| made_up > most) {
                best = Some((made_up, Placement { engine: at, range }));
            }
        }
    }
    best.map(|(_, placement)| placement)
}

fn as_placements(grown: BTreeMap<usize, LayerRange>) -> Vec<Placement> {
    let placement = |(engine, range)| Placement { engine, range };
    grown.into_iter().map(placement).collect()
}

/// Engines of a data centre that may grow.
struct Growth<'a> {
    model: &'a LayoutModel,
    engines: &'a [LayoutEngine],
    data_centre: usize,
    least_tokens: f64,
}

impl Growth<'_> {
    fn new<'a>(
        model: &'a LayoutModel,
        engines: &'a [LayoutEngine],
        data_centre: usize,
    ) -> Growth<'a> {
        let room = shape(model, engines, data_centre).room_of_two();
        let least_tokens = (LEAST_ROOM * room).max(MIN_TOKENS);
        Growth { model, engines, data_centre, least_tokens }
    }

    fn members(&self) -> impl Iterator<Item = (usize, LayerRange)> {
        let engines = self.engines.iter().enumerate();
        let here = engines.filter(|(_, e)| {
            e.data_centre == self.data_centre && e.accepts_orders
        });
        here.filter_map(|(at, engine)| Some((at, engine.held?)))
    }

    /// Ranges with which engines hold all of a gap beside what they hold.
    fn close(&self, gap: LayerRange) -> Option<BTreeMap<usize, LayerRange>> {
        self.close_all(&[gap], self.engines.len())
    }

    /// Ranges with which others hold what one engine holds alone.
    fn without(
        &self,
        engine: usize,
        cover: &Cover,
    ) -> Option<BTreeMap<usize, LayerRange>> {
        let held = self.engines[engine].held?;
        let mut cover = cover.clone();
        cover.take(self.data_centre, held);
        let alone = cover.unheld_in(self.data_centre, held);
        self.close_all(&alone, engine)
    }

    fn close_all(
        &self,
        gaps: &[LayerRange],
        without: usize,
    ) -> Option<BTreeMap<usize, LayerRange>> {
        let mut ranges: BTreeMap<usize, LayerRange> =
            self.members().filter(|(at, _)| *at != without).collect();
        let before = ranges.clone();
        for gap in gaps {
            self.fill(&mut ranges, *gap)?;
        }
        ranges.retain(|at, range| before[at] != *range);
        Some(ranges)
    }

    /// Adds a gap's layers from both ends, each to the engine that keeps
    /// most room.
    fn fill(
        &self,
        ranges: &mut BTreeMap<usize, LayerRange>,
        mut gap: LayerRange,
    ) -> Option<()> {
        while gap.layer_count() > 0 {
            let beside = |(at, range): (&usize, &LayerRange)| {
                let is_before = range.end_layer == gap.first_layer;
                let is_after = range.first_layer == gap.end_layer;
                let most = layers_beside(
                    self.model,
                    &self.engines[*at],
                    self.least_tokens,
                );
                let may_grow =
                    (is_before || is_after) && range.layer_count() < most;
                let engine = &self.engines[*at];
                let room =
                    room_beside(self.model, engine, range.layer_count() + 1);
                may_grow.then_some((room, *at, is_before))
            };
            let roomiest = ranges
                .iter()
                .filter_map(beside)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let (_, at, is_before) = roomiest?;
            let range = ranges.get_mut(&at)?;
            if is_before {
                range.end_layer += 1;
                gap.first_layer += 1;
            } else {
                range.first_layer -= 1;
                gap.end_layer -= 1;
            }
        }
        Some(())
    }
}
