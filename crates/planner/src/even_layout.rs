//! Ranges of each engine's own for an empty data centre, so that every layer
//! has the same KV capacity.
//!
//! A request occupies KV cache on every layer, so the data centre can run as
//! many tokens as fit on the layer with the lowest KV capacity, summed over
//! the engines that hold the layer. Each engine therefore holds as many layers
//! as its memory pays for, whatever the engines beside it hold: a large engine
//! beside a small one would otherwise leave most of its memory unused.
//!
//! The layers are divided into sections ([`Shape`]). The body is held by
//! several tracks: consecutive ranges of different engines that together hold
//! all layers of the body. A track gives each of its layers the same KV
//! capacity if its engines hold layers in proportion to their memory. So any
//! distribution of engines to tracks uses all memory, and other needs decide:
//!
//! - Engines of the same speed share a track. A request that takes the fast
//!   track ends sooner and occupies memory for a shorter time.
//! - Two tracks leave every layer held after the loss of any engine. Where
//!   that takes too much memory, the largest engines alone hold the last
//!   layers: the smaller ones lose the least KV capacity per protected engine.
//!   If many layers are held once, engines of similar memory lie opposite each
//!   other instead of sharing a track by speed.
//! - Paths have few stages. Their time is the sum of all stages, the failure
//!   of any stage breaks them, and engines refuse paths of more than 32
//!   stages. Large data centres have more tracks instead of longer ones.
//! - An engine accepts a limited number of requests as their first stage.
//!   Where the holders of layer 0 in the tracks would accept fewer than the KV
//!   cache has capacity for, more engines share the first layers.
//!
//! Ranges are whole layers, so the capacities differ at first; [`balance`]
//! distributes layers until the lowest capacity is close to the common one.
//!
//! [`balance`]: crate::balance

use std::collections::BTreeSet;

use crate::{
    balance::{self, Balanced, Holding, Row},
    layout_model::{LayoutModel, MIN_KV_TOKENS, Placement},
    service::LayerRange,
};

/// Maximum fraction of a data centre's memory that layers may take. With more,
/// replicas take KV capacity that requests need every day, for a loss that
/// another data centre can bear.
const MAX_LAYER_SHARE: f64 = 0.72;
/// Maximum number of engines in a track. Paths of more than 32 stages are
/// refused, and some stages must be left for a detour.
const MAX_TRACK_ENGINES: usize = 24;
/// Number of engines in a track below which a further track gains little: the
/// replica of all layers takes KV capacity.
const MIN_TRACK_ENGINES: usize = 16;
/// Minimum number of engines for each engine of the first section: the others
/// hold most of the layers.
const MIN_ENGINES_PER_FIRST: usize = 4;
/// Minimum gain of an additional engine in the first section, as a fraction
/// of the requests that it accepts as their first stage.
const MIN_SLOT_GAIN_SHARE: f64 = 0.2;
/// Maximum fraction of layers held once with which engines of the same speed
/// share a track.
const MAX_SINGLE_SHARE_FOR_SPEED: f64 = 1.0 / 3.0;
/// Steps of the binary search for the common KV capacity.
const SEARCH_STEPS: usize = 40;

/// An engine of a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Member {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Memory of the engine, in megabytes.
    pub(crate) memory_mb: f64,
    /// Time of a token through one layer, in milliseconds.
    pub(crate) layer_ms: f64,
}

/// How the layers are divided into sections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Shape {
    /// Number of tracks of the body.
    tracks: usize,
    /// Number of engines that share the first layers; 0 if the body begins
    /// with layer 0.
    first: usize,
    /// Number of engines that hold the last layers in one track.
    single: usize,
}

/// The layout of a data centre whose engines hold no layers.
#[derive(Clone, Debug)]
pub(crate) struct EvenLayout<'a> {
    model: &'a LayoutModel,
    /// Sorted by memory, ascending.
    members: Vec<Member>,
    shape: Shape,
    /// KV capacity of each layer if ranges were not whole layers, in tokens.
    pub(crate) kv_tokens: f64,
    /// Whether the engines can hold all layers of the model.
    pub(crate) is_complete: bool,
}

impl<'a> EvenLayout<'a> {
    /// Chooses the sections for these engines.
    pub(crate) fn new(
        model: &'a LayoutModel,
        mut members: Vec<Member>,
    ) -> EvenLayout<'a> {
        members.sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb));
        let shape = Shape { tracks: 1, first: 0, single: 0 };
        let one_track = EvenLayout {
            model,
            members,
            shape,
            kv_tokens: 0.0,
            is_complete: false,
        }
        .with_shape(shape);
        if !one_track.is_complete {
            return one_track;
        }
        one_track.with_second_track().with_short_tracks().with_first_section()
    }

    /// KV capacity that two engines give a layer, in tokens; the whole
    /// capacity of the layer with two tracks or fewer.
    pub(crate) fn pair_kv_tokens(&self) -> f64 {
        2.0 * self.kv_tokens / self.shape.tracks.max(2) as f64
    }

    /// The ranges of all engines.
    ///
    /// Whole layers reach less than the common capacity, and an engine more at
    /// the first layers may cost more than its slots are worth.
    pub(crate) fn placements(&self) -> Vec<Placement> {
        let firsts = [0, self.shape.first.saturating_sub(1), self.shape.first];
        let is_useful =
            |first: &usize| *first == 0 || *first > self.shape.tracks;
        let firsts = BTreeSet::from(firsts).into_iter().filter(is_useful);
        let shapes = firsts.map(|first| Shape { first, ..self.shape });
        let best = shapes
            .map(|shape| {
                let layout = self.with_shape(shape);
                let balanced = layout.balanced();
                let kv_tokens = balanced.min_kv_tokens;
                (layout.running_tokens(kv_tokens), balanced)
            })
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let mut placements =
            best.map_or_else(Vec::new, |(_, found)| ranges(&found.rows));
        placements.retain(|placement| self.fits(placement));
        placements
    }

    /// Whether an engine has memory for a range. Rounded numbers of layers may
    /// exceed the memory where the search changes nothing; such an engine is
    /// placed like one that comes late.
    fn fits(&self, placement: &Placement) -> bool {
        let engine =
            self.members.iter().find(|m| m.engine == placement.engine);
        let layers = placement.range.layer_count();
        engine.is_some_and(|e| self.model.kv_tokens(e.memory_mb, layers) > 0.0)
    }

    fn balanced(&self) -> Balanced {
        balance::balance(self.model, &self.rows(), self.kv_tokens)
    }

    /// The tracks, and a row for each engine of the first section that no
    /// track begins with.
    fn rows(&self) -> Vec<Row> {
        let (first, body, single) = self.sections();
        let layer_count = self.model.layer_count;
        let body_from = self.width(first, first.len());
        let body_to = f64::from(layer_count) - self.width(single, 1);
        let mut firsts = first.iter().map(|member| {
            let layers = body_from.round().max(1.0) as u32;
            Holding { layers, ..tile(&[*member], 0.0, 0.0)[0] }
        });
        let tracks = self.split(body);
        let mut rows = Vec::new();
        for (at, track) in tracks.iter().enumerate() {
            let mut holdings: Vec<Holding> = firsts.by_ref().take(1).collect();
            holdings.extend(tile(track, body_from, body_to));
            // The last layers belong to the first track alone.
            if at == 0 {
                let end = f64::from(layer_count);
                holdings.extend(tile(single, body_to, end));
            }
            let min_layers = match at == 0 || single.is_empty() {
                true => layer_count,
                false => body_to.round() as u32,
            };
            rows.push(Row { holdings, min_layers });
        }
        let alone = |holding| Row { holdings: vec![holding], min_layers: 1 };
        rows.extend(firsts.map(alone));
        rows
    }

    /// A second track, which leaves only as many of the last layers to single
    /// engines as memory requires.
    fn with_second_track(self) -> EvenLayout<'a> {
        let count = self.members.len();
        let with_single = |single: usize| {
            let shape = Shape { tracks: 2, first: 0, single };
            self.with_shape(shape)
        };
        let fits = |layout: &EvenLayout<'_>| {
            layout.is_complete && layout.layer_share() <= MAX_LAYER_SHARE
        };
        (0..count).map(with_single).find(fits).unwrap_or(self)
    }

    /// More tracks where engines are so many that tracks would be long.
    fn with_short_tracks(mut self) -> EvenLayout<'a> {
        if self.shape.single > 0 || self.shape.tracks < 2 {
            return self;
        }
        loop {
            let shape = Shape { tracks: self.shape.tracks + 1, ..self.shape };
            let next = self.with_shape(shape);
            let longest = self.longest_track();
            let is_needed = longest > MAX_TRACK_ENGINES;
            let is_affordable = next.layer_share() <= MAX_LAYER_SHARE;
            let mean = self.members.len() as f64 / self.shape.tracks as f64;
            let is_useful = mean > MIN_TRACK_ENGINES as f64 && is_affordable;
            if !next.is_complete || !(is_needed || is_useful) {
                return self;
            }
            self = next;
        }
    }

    /// More engines at the first layers, as long as each raises the number of
    /// tokens that can run.
    fn with_first_section(mut self) -> EvenLayout<'a> {
        let others = self.members.len() - self.shape.single;
        let max_first = others / MIN_ENGINES_PER_FIRST;
        let min_gain = MIN_SLOT_GAIN_SHARE * self.model.first_stage_tokens;
        for first in self.shape.tracks + 1..=max_first {
            let next = self.with_shape(Shape { first, ..self.shape });
            let gain = next.running_tokens(next.kv_tokens)
                - self.running_tokens(self.kv_tokens);
            if !next.is_complete || gain < min_gain {
                break;
            }
            self = next;
        }
        self
    }

    /// Tokens of the requests that can run at the same time with this KV
    /// capacity.
    fn running_tokens(&self, kv_tokens: f64) -> f64 {
        let first = self.shape.first.max(self.shape.tracks) as f64;
        kv_tokens.min(first * self.model.first_stage_tokens)
    }

    /// The same engines in other sections, with the highest KV capacity at
    /// which they hold all layers.
    fn with_shape(&self, shape: Shape) -> EvenLayout<'a> {
        let mut layout = EvenLayout { shape, ..self.clone() };
        let layers = |kv_tokens: f64| {
            let candidate = EvenLayout { kv_tokens, ..layout.clone() };
            candidate.total_width()
        };
        let layer_count = f64::from(self.model.layer_count);
        let mut low = MIN_KV_TOKENS;
        let is_complete = layers(low) >= layer_count;
        let memory_mb = sum_memory_mb(&self.members);
        let mut high =
            (memory_mb * 1e6 / self.model.token_layer_bytes).max(low);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            match layers(middle) >= layer_count {
                true => low = middle,
                false => high = middle,
            }
        }
        layout.kv_tokens = low;
        layout.is_complete =
            is_complete && layout.tracks_fit() && layout.first_section_fits();
        layout
    }

    /// Whether the engines of each track have memory for all of its layers: a
    /// single large engine may have most of the memory.
    fn tracks_fit(&self) -> bool {
        let (_, body, _) = self.sections();
        let width = self.width(body, self.shape.tracks);
        let min_mb = self.model.layer_mb + self.model.kv_mb(MIN_KV_TOKENS);
        let fits =
            |track: &Vec<Member>| sum_memory_mb(track) >= width * min_mb;
        self.split(body).iter().all(fits)
    }

    /// Whether each engine of the first section has memory for all of its
    /// layers: they all hold the same ones.
    fn first_section_fits(&self) -> bool {
        let (first, _, _) = self.sections();
        let layers = self.width(first, first.len()).round();
        let min_mb = self.model.layer_mb + self.model.kv_mb(MIN_KV_TOKENS);
        first.iter().all(|member| member.memory_mb >= layers * min_mb)
    }

    /// The engines of the tracks of the body.
    ///
    /// Where memory is so short that many layers are held once, engines of
    /// similar memory lie opposite each other: the fewer engines a range
    /// overlaps with, the fewer losses of two engines open a gap.
    fn split(&self, body: &[Member]) -> Vec<Vec<Member>> {
        let (_, _, single) = self.sections();
        let layer_count = f64::from(self.model.layer_count);
        let single_share = self.width(single, 1) / layer_count;
        match single_share > MAX_SINGLE_SHARE_FOR_SPEED {
            true => split_in_turn(body, self.shape.tracks),
            false => split_by_speed(body, self.shape.tracks),
        }
    }

    /// The engines of the first section, of the body and of the last section.
    fn sections(&self) -> (&[Member], &[Member], &[Member]) {
        let (first, others) = self.members.split_at(self.shape.first);
        let (body, single) = others.split_at(others.len() - self.shape.single);
        (first, body, single)
    }

    /// Number of layers for which these engines give each layer this number
    /// of replicas and the common KV capacity.
    fn width(&self, members: &[Member], replicas: usize) -> f64 {
        let kv_mb = self.model.kv_mb(self.kv_tokens);
        let layer_mb = replicas as f64 * self.model.layer_mb + kv_mb;
        sum_memory_mb(members) / layer_mb
    }

    fn total_width(&self) -> f64 {
        let (first, body, single) = self.sections();
        let first = self.width(first, first.len());
        first + self.width(body, self.shape.tracks) + self.width(single, 1)
    }

    /// Fraction of the memory that layers take.
    fn layer_share(&self) -> f64 {
        let layer_count = f64::from(self.model.layer_count);
        let kv_mb = layer_count * self.model.kv_mb(self.kv_tokens);
        1.0 - kv_mb / sum_memory_mb(&self.members)
    }

    /// Number of engines of the longest track.
    fn longest_track(&self) -> usize {
        let (_, body, _) = self.sections();
        let tracks = self.split(body);
        tracks.iter().map(Vec::len).max().unwrap_or(0)
    }
}

fn sum_memory_mb(members: &[Member]) -> f64 {
    members.iter().map(|m| m.memory_mb).sum()
}

/// The ranges of the engines of all rows.
fn ranges(rows: &[Row]) -> Vec<Placement> {
    let mut placements = Vec::new();
    for row in rows {
        let mut first = 0;
        for holding in &row.holdings {
            let end = first + holding.layers;
            if holding.layers > 0 {
                let range = LayerRange::new(first, end);
                placements.push(Placement { engine: holding.engine, range });
            }
            first = end;
        }
    }
    placements
}

/// Numbers of layers of engines that hold the layers between two bounds, in
/// proportion to their memory.
fn tile(members: &[Member], from: f64, to: f64) -> Vec<Holding> {
    let memory_mb = sum_memory_mb(members);
    let bound = |mb: f64| (from + (to - from) * mb / memory_mb).round() as u32;
    let mut before_mb = 0.0;
    let holding = |member: &Member| {
        let first = bound(before_mb);
        before_mb += member.memory_mb;
        Holding {
            engine: member.engine,
            memory_mb: member.memory_mb,
            layers: bound(before_mb) - first,
        }
    };
    members.iter().map(holding).collect()
}

/// Tracks that get engines in turn, sorted by memory, ascending.
fn split_in_turn(members: &[Member], tracks: usize) -> Vec<Vec<Member>> {
    let mut split = vec![Vec::new(); tracks.max(1)];
    for (at, member) in members.iter().enumerate() {
        split[at % tracks.max(1)].push(*member);
    }
    split
}

/// Tracks of engines of similar speed with nearly equal memory, the fastest
/// first. The engines of a track are sorted by memory, ascending.
fn split_by_speed(members: &[Member], tracks: usize) -> Vec<Vec<Member>> {
    let mut by_speed = members.to_vec();
    by_speed.sort_by(|a, b| {
        let by_memory = b.memory_mb.total_cmp(&a.memory_mb);
        a.layer_ms.total_cmp(&b.layer_ms).then(by_memory)
    });
    let total_mb = sum_memory_mb(members);
    let mut split = vec![Vec::new(); tracks.max(1)];
    let mut before_mb = 0.0;
    for member in by_speed {
        let middle_mb = before_mb + member.memory_mb / 2.0;
        let at = (middle_mb / total_mb * split.len() as f64) as usize;
        let at = at.min(split.len() - 1);
        split[at].push(member);
        before_mb += member.memory_mb;
    }
    for track in &mut split {
        track.sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb));
    }
    split
}
