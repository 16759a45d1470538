//! Closes gaps of a data centre with engines that already hold layers, for
//! when no empty engine is left.
//!
//! | method | cost |
//! |---|---|
//! | engines next to the gap extend their range into the gap | KV capacity; no layer is released, so no stream has to end first |
//! | an engine whose layers have other replicas moves to the gap | streams through the engine have to end first |
//! | if no engine can move, engines extend to the layers of which one engine is the only holder | KV capacity; that engine then moves |
//!
//! An engine releases a layer only if another engine certainly holds the
//! layer. The functions are pure, as those of the layout.

use std::collections::BTreeMap;

use crate::{
    kv_capacity::KvCapacity,
    layout::{MIN_KV_SHARE, even_layout},
    layout_model::{LayoutEngine, LayoutModel, MIN_KV_TOKENS, Placement},
    replicas::{ReplicaCounts, SCORE_WITHOUT_LOCAL_REPLICA},
    service::LayerRange,
};

/// KV capacity of a layer, as a fraction of the common capacity, below which
/// the layer is scarce: one engine of a pair was removed.
const SCARCE_KV_SHARE: f64 = 0.7;
/// Minimum KV capacity, as a fraction of the common capacity, that the layers
/// of an engine must keep without the engine for it to move.
const SPARE_KV_SHARE: f64 = 0.95;
/// Minimum gain of a move, as a fraction of the KV capacity of the engine.
const MIN_GAIN_SHARE: f64 = 0.5;

/// Extensions with which engines close gaps completely; none for a gap that
/// extensions can't close.
pub fn extend_into_gaps(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let counts = ReplicaCounts::new(model, engines);
    let mut draft = engines.to_vec();
    let mut extended = BTreeMap::new();
    for data_centre in 0..counts.by_data_centre.len() {
        for gap in counts.gaps(data_centre) {
            let extension = Extension::new(model, &draft, data_centre);
            for (at, range) in extension.close(gap).unwrap_or_default() {
                draft[at].held = Some(range);
                extended.insert(at, range);
            }
        }
    }
    as_placements(extended)
}

/// Extensions to the layers of which one engine is the only holder, so that
/// this engine can move to the largest gap of its data centre. Chooses the
/// engine for which the fewest layers have to be loaded.
pub fn extend_to_free_engine(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Vec<Placement> {
    let counts = ReplicaCounts::new(model, engines);
    let mut extended = BTreeMap::new();
    for data_centre in 0..counts.by_data_centre.len() {
        let gaps = counts.gaps(data_centre);
        let Some(gap) = gaps.into_iter().max_by_key(|gap| gap.layer_count())
        else {
            continue;
        };
        let extension = Extension::new(model, engines, data_centre);
        let ranges = extension.candidates().filter_map(|(at, held)| {
            let is_large_enough = held.layer_count() >= gap.layer_count();
            let ranges =
                is_large_enough.then(|| extension.replace(at, &counts))??;
            let loaded = |(at, range): (&usize, &LayerRange)| {
                range.layers_not_in(engines[*at].held)
            };
            Some((ranges.iter().map(loaded).sum::<u32>(), ranges))
        });
        if let Some((_, ranges)) = ranges.min_by_key(|(loaded, _)| *loaded) {
            extended.extend(ranges);
        }
    }
    as_placements(extended)
}

/// The move with the highest gain, among engines that hold layers; `None` if
/// no move fills a gap.
pub fn best_move(
    model: &LayoutModel,
    engines: &[LayoutEngine],
) -> Option<Placement> {
    let certain: Vec<_> = engines.iter().map(|engine| engine.held).collect();
    best_safe_move(model, engines, &certain)
}

/// As [`best_move`], where engines certainly hold only the ranges in
/// `certain`, because some orders are pending.
pub(crate) fn best_safe_move(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    certain: &[Option<LayerRange>],
) -> Option<Placement> {
    let counts = ReplicaCounts::new(model, engines);
    let with_certain =
        |(engine, certain): (&LayoutEngine, &Option<LayerRange>)| {
            LayoutEngine { held: *certain, ..*engine }
        };
    let with_certain: Vec<_> =
        engines.iter().zip(certain).map(with_certain).collect();
    let certain_counts = ReplicaCounts::new(model, &with_certain);
    let mut best: Option<((bool, u64), Placement)> = None;
    for (at, engine) in engines.iter().enumerate() {
        let Some(held) = engine.held.filter(|_| engine.accepts_orders) else {
            continue;
        };
        let data_centre = engine.data_centre;
        if !counts.has_gap(data_centre) {
            continue;
        }
        let mut without = counts.clone();
        without.remove(data_centre, held);
        let window = without.best_window(data_centre, held.layer_count());
        let mut certain_without = certain_counts.clone();
        if let Some(certain) = certain[at] {
            certain_without.remove(data_centre, certain);
        }
        let sole = certain_without.gaps_in(data_centre, held);
        if sole.iter().any(|range| !window.contains(*range)) {
            continue;
        }
        let gain = without
            .window_score(data_centre, window)
            .saturating_sub(without.window_score(data_centre, held));
        // A stream can't be rerouted around its first stage, and an engine
        // loads new layers only after its streams have ended.
        let rank = (held.first_layer > 0, gain);
        let is_best = best.is_none_or(|(best_rank, _)| rank > best_rank);
        if gain >= SCORE_WITHOUT_LOCAL_REPLICA && is_best {
            best = Some((rank, Placement { engine: at, range: window }));
        }
    }
    best.map(|(_, placement)| placement)
}

/// The move of an engine whose layers have enough KV capacity without it, to
/// the layers that lack most; `None` if the gain would be small.
///
/// Such moves are needed because engines that are added one by one while
/// others are removed get their layers before the final deficit is known.
pub(crate) fn best_rebalancing_move(
    model: &LayoutModel,
    engines: &[LayoutEngine],
    certain: &[Option<LayerRange>],
) -> Option<Placement> {
    let last = engines.iter().map(|e| e.data_centre).max()?;
    let mut best: Option<(f64, Placement)> = None;
    for data_centre in 0..=last {
        let target = even_layout(model, engines, data_centre).kv_tokens;
        let capacity = KvCapacity::new(model, engines, data_centre);
        let all = LayerRange::new(0, model.layer_count);
        if capacity.min(all) >= SCARCE_KV_SHARE * target {
            continue;
        }
        for (at, engine) in engines.iter().enumerate() {
            let is_here =
                engine.data_centre == data_centre && engine.accepts_orders;
            let Some(held) = engine.held.filter(|_| is_here) else {
                continue;
            };
            let own = model.kv_tokens(engine.memory_mb, held.layer_count());
            let is_spare = certain[at] == Some(held)
                && held.first_layer > 0
                && capacity.min(held) - own >= SPARE_KV_SHARE * target;
            if !is_spare {
                continue;
            }
            let (range, gain) =
                capacity.scarcest_window(held.layer_count(), target, own);
            let is_enough =
                gain >= MIN_GAIN_SHARE * own * f64::from(held.layer_count());
            if is_enough && best.is_none_or(|(best_gain, _)| gain > best_gain)
            {
                best = Some((gain, Placement { engine: at, range }));
            }
        }
    }
    best.map(|(_, placement)| placement)
}

fn as_placements(extended: BTreeMap<usize, LayerRange>) -> Vec<Placement> {
    let placement = |(engine, range)| Placement { engine, range };
    extended.into_iter().map(placement).collect()
}

/// Extends the ranges of engines of a data centre.
struct Extension<'a> {
    model: &'a LayoutModel,
    engines: &'a [LayoutEngine],
    data_centre: usize,
    min_kv_tokens: f64,
}

impl Extension<'_> {
    fn new<'a>(
        model: &'a LayoutModel,
        engines: &'a [LayoutEngine],
        data_centre: usize,
    ) -> Extension<'a> {
        let pair_kv_tokens =
            even_layout(model, engines, data_centre).pair_kv_tokens();
        let min_kv_tokens = (MIN_KV_SHARE * pair_kv_tokens).max(MIN_KV_TOKENS);
        Extension { model, engines, data_centre, min_kv_tokens }
    }

    /// Engines that may be extended, with the layers that they hold.
    fn candidates(&self) -> impl Iterator<Item = (usize, LayerRange)> {
        let engines = self.engines.iter().enumerate();
        let here = engines.filter(|(_, e)| {
            e.data_centre == self.data_centre && e.accepts_orders
        });
        here.filter_map(|(at, engine)| Some((at, engine.held?)))
    }

    /// Extended ranges with which engines hold all layers of a gap.
    fn close(&self, gap: LayerRange) -> Option<BTreeMap<usize, LayerRange>> {
        self.close_all(&[gap], self.engines.len())
    }

    /// Extended ranges with which others hold all layers of which `engine` is
    /// the only holder.
    fn replace(
        &self,
        engine: usize,
        counts: &ReplicaCounts,
    ) -> Option<BTreeMap<usize, LayerRange>> {
        let held = self.engines[engine].held?;
        let mut counts = counts.clone();
        counts.remove(self.data_centre, held);
        let sole = counts.gaps_in(self.data_centre, held);
        self.close_all(&sole, engine)
    }

    fn close_all(
        &self,
        gaps: &[LayerRange],
        excluded: usize,
    ) -> Option<BTreeMap<usize, LayerRange>> {
        let mut ranges: BTreeMap<usize, LayerRange> =
            self.candidates().filter(|(at, _)| *at != excluded).collect();
        let before = ranges.clone();
        for gap in gaps {
            self.fill(&mut ranges, *gap)?;
        }
        ranges.retain(|at, range| before[at] != *range);
        Some(ranges)
    }

    /// Adds the layers of a gap one by one from both ends, each to the engine
    /// that keeps the highest KV capacity.
    fn fill(
        &self,
        ranges: &mut BTreeMap<usize, LayerRange>,
        mut gap: LayerRange,
    ) -> Option<()> {
        while gap.layer_count() > 0 {
            let adjacent = |(at, range): (&usize, &LayerRange)| {
                let is_before = range.end_layer == gap.first_layer;
                let is_after = range.first_layer == gap.end_layer;
                let memory_mb = self.engines[*at].memory_mb;
                let max_layers =
                    self.model.max_layers(memory_mb, self.min_kv_tokens);
                let can_extend = (is_before || is_after)
                    && range.layer_count() < max_layers;
                let kv_tokens =
                    self.model.kv_tokens(memory_mb, range.layer_count() + 1);
                can_extend.then_some((kv_tokens, *at, is_before))
            };
            let best = ranges
                .iter()
                .filter_map(adjacent)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let (_, at, is_before) = best?;
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
