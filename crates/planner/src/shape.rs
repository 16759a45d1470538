//! How the engines of a data centre share one copy of a model, and which part
//! of it is held more than once.
//!
//! A request takes room on every layer, so what a data centre can run is the
//! least sum of room over the engines that hold a layer. Engines of a group
//! hold the same layers and share that room, so they hold more layers than one
//! that holds its layers alone. So all layers have the same room, however
//! often they are held, and none of it is out of reach.
//!
//! The smallest engines are paired first: a pair costs the memory of the
//! layers that it holds, so small pairs protect the most engines for it, and
//! what is held alone on a larger engine is more than any gap needs to be
//! closed by one of a pair.
//!
//! The load that larger groups answer: data centres of many engines. With
//! pairs alone a path would pass through half of them, and it is as slow as
//! the slowest part and as easily broken as all of them together; engines
//! refuse one of more than 32 parts. So there are never more than
//! [`MOST_GROUPS`] groups where the engines can hold a whole copy that way,
//! and down to [`ENOUGH_GROUPS`] where memory allows.
//!
//! An engine takes only so many requests as their first one, and only those
//! that hold layer 0 can be that. The load that a larger first group answers:
//! many short requests at a time, whose memory fits while they wait for a
//! place at one of two first engines. So the first group has as many engines
//! as raise what the data centre can run, the least of room and of places.
//!
//! Engines that are much faster than the others may stand beside them
//! instead: see [`crate::fast_beside`].

use crate::layout::{LayoutModel, MIN_TOKENS};

/// Share of a data centre's memory that layers may take.
///
/// More makes more pairs, so that the loss of an engine leaves its layers in
/// place; each further tenth takes room from requests.
const LAYER_SHARE: f64 = 0.72;
/// Most groups, so that a path through them has parts left for a detour
/// before engines refuse it at 32.
pub(crate) const MOST_GROUPS: usize = 24;
/// Groups from which on fewer gain little: each further replica of all layers
/// takes room from requests, and a path of so many parts is about as long as
/// one through pairs in a data centre of 30 engines.
const ENOUGH_GROUPS: usize = 16;
/// Engines for each one of the first group, at least: the others hold most of
/// the layers.
const LEAST_BESIDE_FIRST: usize = 4;
/// By how much more must run for another engine in the first group: each one
/// takes room from all layers.
const MORE_RUNS: f64 = 1.02;
/// Steps of the search for the common room.
const SEARCH_STEPS: usize = 40;

/// An engine of a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Member {
    /// The engine, as an index.
    pub(crate) engine: usize,
    /// Its memory, in megabytes.
    pub(crate) memory_mb: f64,
    /// Time of a token through one layer, in milliseconds.
    pub(crate) layer_ms: f64,
}

/// How fast engines are used.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Way {
    /// Like all others: each layer has the same room.
    Even,
    /// They hold layers beside slower ones: a row of them, from the last
    /// layer on downwards, each with this room, in tokens.
    FastBeside { row: Vec<Group>, room_tokens: f64 },
}

/// Engines that hold the same layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Group {
    /// The engines, as indices.
    pub(crate) engines: Vec<usize>,
    /// Their memory, in megabytes.
    memory_mb: f64,
    /// Memory of the smallest one, in megabytes.
    least_mb: f64,
    /// Mean time of a token through one layer, in milliseconds.
    layer_ms: f64,
}

impl Group {
    pub(crate) fn new(members: &[Member]) -> Group {
        let memories = members.iter().map(|member| member.memory_mb);
        Group {
            engines: members.iter().map(|member| member.engine).collect(),
            memory_mb: memories.clone().sum(),
            least_mb: memories.fold(f64::MAX, f64::min),
            layer_ms: members
                .iter()
                .map(|member| member.layer_ms)
                .sum::<f64>()
                / members.len().max(1) as f64,
        }
    }

    /// Layers that it holds so that each has this room, in tokens.
    pub(crate) fn layers(&self, model: &LayoutModel, tokens: f64) -> u32 {
        let copies = self.engines.len() as f64;
        let each_mb = copies * model.layer_mb + kv_mb(model, tokens);
        let by_room = self.memory_mb / each_mb;
        let by_least =
            self.least_mb / (model.layer_mb + kv_mb(model, MIN_TOKENS));
        (by_room.min(by_least) as u32).min(model.layer_count)
    }
}

/// Memory of so many tokens in a layer, in megabytes.
fn kv_mb(model: &LayoutModel, tokens: f64) -> f64 {
    tokens * model.token_layer_bytes / 1e6
}

/// Groups of the engines of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Shape {
    /// Room of each layer, in tokens.
    pub(crate) room_tokens: f64,
    /// Those of more engines first.
    pub(crate) groups: Vec<Group>,
    /// Whether they hold a whole copy.
    pub(crate) is_whole: bool,
    /// What fast engines hold.
    pub(crate) way: Way,
}

impl Shape {
    /// Time of a token through all layers, by the fast engines where they
    /// hold some, in milliseconds.
    pub(crate) fn token_ms(&self, model: &LayoutModel) -> f64 {
        let mut left = model.layer_count;
        let mut token_ms = 0.0;
        let fast = self.fast().map(|(g, tokens)| (g, g.layers(model, tokens)));
        // The groups of more engines are first, the fast ones last.
        let others = self.groups.iter();
        let others = others.map(|g| (g, g.layers(model, self.room_tokens)));
        for (group, layers) in fast.chain(others) {
            let layers = layers.min(left);
            token_ms += f64::from(layers) * group.layer_ms;
            left -= layers;
        }
        token_ms
    }

    /// The even way: all engines in groups, from the smallest on.
    pub(crate) fn even(model: &LayoutModel, members: &[Member]) -> Shape {
        let enough = members.len().div_ceil(2).min(ENOUGH_GROUPS);
        let mut shape = Shape::first(model, members);
        while shape.groups.len() > enough {
            let next =
                Shape::with_groups(model, members, shape.groups.len() - 1);
            if !next.is_whole || !next.is_within_share(model) {
                break;
            }
            shape = next;
        }
        shape.with_more_first(model, members)
    }

    /// The engines that hold layers beside slower ones, each by itself, with
    /// the room that it keeps, in tokens.
    pub(crate) fn fast(&self) -> impl Iterator<Item = (&Group, f64)> {
        let (row, room_tokens): (&[Group], f64) = match &self.way {
            Way::Even => (&[], 0.0),
            Way::FastBeside { row, room_tokens } => (row, *room_tokens),
        };
        row.iter().map(move |group| (group, room_tokens))
    }

    /// The same with as many engines in the first group as raise what can run.
    pub(crate) fn with_more_first(
        mut self,
        model: &LayoutModel,
        members: &[Member],
    ) -> Shape {
        let count = self.groups.len();
        if count < 2 {
            return self;
        }
        loop {
            let first = self.groups[0].engines.len() + 1;
            let are_places_enough =
                self.runs_tokens(model) >= self.room_tokens;
            if are_places_enough || first > members.len() / LEAST_BESIDE_FIRST
            {
                return self;
            }
            let next = Shape::with_first(model, members, count, first);
            let is_better =
                next.runs_tokens(model) > MORE_RUNS * self.runs_tokens(model);
            if !is_better || !next.is_whole || !next.is_within_share(model) {
                return self;
            }
            self = next;
        }
    }

    /// Tokens of requests that can run at the same time.
    fn runs_tokens(&self, model: &LayoutModel) -> f64 {
        let first = self.groups.first().map_or(0, |g| g.engines.len());
        self.room_tokens.min(first as f64 * model.first_stage_tokens)
    }

    /// Room that two engines of a group bring to a layer, in tokens; all of
    /// it where there are pairs at most.
    pub(crate) fn room_of_two(&self) -> f64 {
        let engines: usize = self.groups.iter().map(|g| g.engines.len()).sum();
        let groups = self.groups.len().max(1);
        let sharers = engines as f64 / groups as f64;
        2.0 * self.room_tokens / sharers.max(2.0)
    }

    /// As many groups as may be: engines alone where they are few.
    fn first(model: &LayoutModel, members: &[Member]) -> Shape {
        let most = members.len().min(MOST_GROUPS);
        let grouped = Shape::with_groups(model, members, most);
        match grouped.is_whole || members.len() <= MOST_GROUPS {
            true => grouped,
            // Engines too small for so few groups: any whole copy is better.
            false => Shape::with_groups(model, members, members.len()),
        }
    }

    /// Engines in so many groups of nearly the same count, those of one more
    /// at the smallest.
    pub(crate) fn with_groups(
        model: &LayoutModel,
        members: &[Member],
        count: usize,
    ) -> Shape {
        Shape::of(model, members, even_groups(members, count))
    }

    /// The same with so many of the smallest in the first group.
    fn with_first(
        model: &LayoutModel,
        members: &[Member],
        count: usize,
        first: usize,
    ) -> Shape {
        let (first, others) = members.split_at(first);
        let mut groups = vec![Group::new(first)];
        groups.extend(even_groups(others, count - 1));
        Shape::of(model, members, groups)
    }

    /// Of groups, with the most room that leaves a whole copy.
    pub(crate) fn of(
        model: &LayoutModel,
        members: &[Member],
        groups: Vec<Group>,
    ) -> Shape {
        let layers = |tokens: f64| -> u32 {
            groups.iter().map(|group| group.layers(model, tokens)).sum()
        };
        let largest_mb = members.last().map_or(0.0, |last| last.memory_mb);
        let mut low = MIN_TOKENS;
        let is_whole = layers(low) >= model.layer_count;
        let mut high = (largest_mb * 1e6 / model.token_layer_bytes).max(low);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            match layers(middle) >= model.layer_count {
                true => low = middle,
                false => high = middle,
            }
        }
        Shape { room_tokens: low, groups, is_whole, way: Way::Even }
    }

    fn is_within_share(&self, model: &LayoutModel) -> bool {
        let memory_mb: f64 = self.groups.iter().map(|g| g.memory_mb).sum();
        let layers_mb = |group: &Group| {
            let layers = group.layers(model, self.room_tokens);
            group.engines.len() as f64 * f64::from(layers) * model.layer_mb
        };
        let layers_mb: f64 = self.groups.iter().map(layers_mb).sum();
        layers_mb <= LAYER_SHARE * memory_mb
    }
}

/// Engines in so many groups of nearly the same count, those of one more
/// first and at the smallest, the others from the largest on.
fn even_groups(members: &[Member], count: usize) -> Vec<Group> {
    let (each, more) = match count {
        0 => (1, 0),
        _ => (members.len() / count, members.len() % count),
    };
    let (small, large) = members.split_at(more * (each + 1));
    let small = small.chunks(each + 1).map(Group::new);
    let large = large.chunks(each.max(1)).rev().map(Group::new);
    small.chain(large).collect()
}
