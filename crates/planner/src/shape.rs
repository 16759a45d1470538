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
//! A stream is as slow as the sum of its parts, and how long it runs decides
//! what every loss cuts and how much memory it holds. So where a few engines
//! are much faster than the others, they hold as many layers as leave them a
//! part of the common room, beside slower ones that hold the same
//! ([`Way::FastBeside`]). Paths go through the fast ones while these have
//! room, and through the others once they are full or lost: the load itself
//! decides between time and room. Layers that a fast engine holds are held
//! by one less of the slower ones, which pays for it.

use crate::layout::{LayoutModel, MIN_TOKENS};

/// Share of a data centre's memory that layers may take.
///
/// More makes more pairs, so that the loss of an engine leaves its layers in
/// place; each further tenth takes room from requests.
const LAYER_SHARE: f64 = 0.72;
/// Most groups, so that a path through them has parts left for a detour
/// before engines refuse it at 32.
const MOST_GROUPS: usize = 24;
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
/// An engine is fast whose layers take at most this share of the time that
/// those of the middle one take.
const FAST_SHARE: f64 = 0.5;
/// Room of a fast engine that holds layers beside slower ones, as a share of
/// the common room: with less it is full at the usual load, with more it
/// holds fewer layers.
const FAST_ROOM: f64 = 0.6;
/// Share of the even room that must be left where fast engines stand beside
/// others: streams that are faster hold their memory for less time.
const LEAST_EVEN_ROOM: f64 = 0.45;
/// Most time of a token, as a share of that of the even way, for which room
/// is given.
const MOST_EVEN_TIME: f64 = 0.9;
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
    /// layer on downwards.
    FastBeside(Vec<Group>),
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
    fn new(members: &[Member]) -> Group {
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
    /// Of engines: the even way, unless fast engines can stand beside the
    /// others at little cost in room.
    pub(crate) fn new(
        model: &LayoutModel,
        engines: impl Iterator<Item = Member>,
    ) -> Shape {
        let mut members: Vec<Member> = engines.collect();
        members.sort_by(|a, b| a.memory_mb.total_cmp(&b.memory_mb));
        let even = Shape::even(model, &members);
        let (fast, slow) = split_fast(&members);
        if fast.is_empty() || !even.is_whole {
            return even;
        }
        let copies = members.len().div_ceil(even.groups.len()).max(2);
        // Where there is room for fewer requests than one engine takes as
        // their first, room binds before time.
        let least_tokens =
            model.first_tokens.max(LEAST_EVEN_ROOM * even.room_tokens);
        let is_better = |beside: &Shape| {
            beside.room_tokens >= least_tokens
                && beside.token_ms(model)
                    <= MOST_EVEN_TIME * even.token_ms(model)
        };
        let beside = Shape::fast_beside(model, &fast, &slow, copies);
        beside.filter(is_better).unwrap_or(even)
    }

    /// Time of a token through all layers, by the fast engines where they
    /// hold some, in milliseconds.
    fn token_ms(&self, model: &LayoutModel) -> f64 {
        let fast: &[Group] = match &self.way {
            Way::Even => &[],
            Way::FastBeside(fast) => fast,
        };
        let mut left = model.layer_count;
        let mut token_ms = 0.0;
        let fast = fast.iter().map(|g| (g, self.fast_layers(model, g)));
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

    /// The even way: all engines in groups.
    fn even(model: &LayoutModel, members: &[Member]) -> Shape {
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

    /// Fast engines beside groups of the others: of `copies` engines where no
    /// fast one holds the layers, of one less where one does. As few of the
    /// larger groups as leave no layer to fewer holders than that: a gap in a
    /// data centre whose fast engines hold much takes long to close.
    fn fast_beside(
        model: &LayoutModel,
        fast: &[Member],
        slow: &[Member],
        copies: usize,
    ) -> Option<Shape> {
        let row: Vec<Group> =
            fast.iter().rev().map(|m| Group::new(&[*m])).collect();
        let first_copies = first_copies(model, slow, copies);
        for larger in 1..=slow.len() / copies {
            let rest = larger_groups(slow, larger, copies, first_copies);
            let (mut groups, rest) = rest?;
            let larger_count = groups.len();
            groups.extend(rest.chunks(copies - 1).map(Group::new));
            if groups.len() > MOST_GROUPS {
                continue;
            }
            let shape = Shape::of(model, slow, groups);
            let layers = |group: &Group, share: f64| {
                group.layers(model, share * shape.room_tokens)
            };
            let of_larger = shape.groups[..larger_count].iter();
            let others: u32 = of_larger.map(|g| layers(g, 1.0)).sum();
            let beside: u32 = row.iter().map(|g| layers(g, FAST_ROOM)).sum();
            if shape.is_whole && others + beside >= model.layer_count {
                return Some(Shape { way: Way::FastBeside(row), ..shape });
            }
        }
        None
    }

    /// An engine by itself, if it holds layers beside slower ones.
    pub(crate) fn fast_of(&self, engine: usize) -> Option<&Group> {
        match &self.way {
            Way::Even => None,
            Way::FastBeside(fast) => {
                fast.iter().find(|group| group.engines.contains(&engine))
            }
        }
    }

    /// Layers that a fast engine holds beside others.
    pub(crate) fn fast_layers(&self, model: &LayoutModel, of: &Group) -> u32 {
        of.layers(model, FAST_ROOM * self.room_tokens)
    }

    /// The same with as many engines in the first group as raise what can run.
    fn with_more_first(
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
        self.room_tokens.min(first as f64 * model.first_tokens)
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
    fn with_groups(
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
    fn of(
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

/// The fast engines and the others, each in the order given.
fn split_fast(members: &[Member]) -> (Vec<Member>, Vec<Member>) {
    let mut times: Vec<f64> = members.iter().map(|m| m.layer_ms).collect();
    times.sort_by(f64::total_cmp);
    let middle_ms = times.get(times.len() / 2).copied().unwrap_or(0.0);
    let is_fast = |m: &Member| m.layer_ms <= FAST_SHARE * middle_ms;
    members.iter().partition(|member| is_fast(member))
}

/// Engines of the first group, for as many places as that one would have
/// where all layers are held by so many.
fn first_copies(model: &LayoutModel, slow: &[Member], copies: usize) -> usize {
    let even = Shape::with_groups(model, slow, slow.len() / copies);
    let even = even.with_more_first(model, slow);
    even.groups.first().map_or(copies, |g| g.engines.len().max(copies))
}

/// So many groups of the smallest engines, the first one of more, with the
/// engines that are left.
fn larger_groups(
    slow: &[Member],
    count: usize,
    copies: usize,
    first_copies: usize,
) -> Option<(Vec<Group>, &[Member])> {
    let (first, slow) = slow.split_at_checked(first_copies)?;
    let (larger, rest) = slow.split_at_checked((count - 1) * copies)?;
    let mut groups = vec![Group::new(first)];
    groups.extend(larger.chunks(copies).map(Group::new));
    Some((groups, rest))
}
