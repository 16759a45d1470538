//! Groups of engines that hold the same layers in a data centre, and the
//! common KV capacity of the groups.
//!
//! A request occupies KV cache on every layer, so the data centre can run as
//! many tokens as fit on the layer with the lowest KV capacity, summed over
//! the engines that hold the layer. Engines of a group hold the same layers
//! and share their KV capacity, so a group holds more layers than one engine.
//! Layers are distributed so that every layer has the same KV capacity,
//! whatever its number of replicas, and no memory is left unusable.
//!
//! Small engines are paired first. A pair costs a second replica of its
//! layers, so pairs of small engines protect the most engines per megabyte,
//! and what is held alone on a larger engine is more than any gap needs to be
//! closed by one of a pair.
//!
//! Large data centres need groups of more than two engines. With pairs alone,
//! a path would have a stage for every second engine: its time is the sum of
//! all stages, the failure of any stage breaks it, and engines refuse paths of
//! more than 32 stages. The number of groups is therefore at most
//! [`MAX_GROUPS`] if the engines can hold a complete copy that way, and is
//! reduced down to [`MIN_GROUPS`] if memory allows.
//!
//! An engine accepts a limited number of requests as their first stage, and
//! only holders of layer 0 can be the first stage. With many short requests,
//! the KV cache has capacity left while requests wait for a slot at one of two
//! first engines. The first group therefore has as many engines as raise the
//! number of tokens that can run, the lower of KV capacity and slots.
//!
//! Engines that are much faster than the others may hold additional replicas
//! instead of being part of a group: see [`crate::fast_engines`].

use crate::layout::{LayoutModel, MIN_KV_TOKENS};

/// Maximum fraction of a data centre's memory that layers may take.
///
/// A higher fraction allows more pairs, so that the loss of an engine leaves
/// its layers available. Each additional tenth takes KV capacity.
const MAX_LAYER_SHARE: f64 = 0.72;
/// Maximum number of groups. Paths of more than 32 stages are refused, and
/// some stages must be left for a detour.
pub(crate) const MAX_GROUPS: usize = 24;
/// Number of groups below which a further reduction gains little: each
/// additional replica of all layers takes KV capacity, and a path of this many
/// stages is about as long as a path through pairs in a data centre of 30
/// engines.
const MIN_GROUPS: usize = 16;
/// Minimum number of engines for each engine of the first group: the others
/// hold most of the layers.
const MIN_ENGINES_PER_FIRST: usize = 4;
/// Minimum growth of the tokens that can run for each additional engine in the
/// first group, which takes KV capacity from all layers.
const MIN_GROWTH: f64 = 1.02;
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

/// How fast engines are used.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Strategy {
    /// Like all others: fast engines are members of the groups.
    Uniform,
    /// Fast engines hold additional replicas, in consecutive ranges from the
    /// last layer downwards. Each keeps `kv_tokens` of KV capacity.
    FastReplicas { fast_groups: Vec<Group>, kv_tokens: f64 },
}

/// Engines that hold the same layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Group {
    /// Indices of the engines.
    pub(crate) engines: Vec<usize>,
    /// Memory of all engines, in megabytes.
    memory_mb: f64,
    /// Memory of the smallest engine, in megabytes.
    min_mb: f64,
    /// Mean time of a token through one layer, in milliseconds.
    layer_ms: f64,
}

impl Group {
    pub(crate) fn new(members: &[Member]) -> Group {
        let memories = members.iter().map(|member| member.memory_mb);
        Group {
            engines: members.iter().map(|member| member.engine).collect(),
            memory_mb: memories.clone().sum(),
            min_mb: memories.fold(f64::MAX, f64::min),
            layer_ms: members
                .iter()
                .map(|member| member.layer_ms)
                .sum::<f64>()
                / members.len().max(1) as f64,
        }
    }

    /// Maximum number of layers that leave each layer this KV capacity, in
    /// tokens.
    pub(crate) fn max_layers(
        &self,
        model: &LayoutModel,
        kv_tokens: f64,
    ) -> u32 {
        let replicas = self.engines.len() as f64;
        let each_mb = replicas * model.layer_mb + kv_mb(model, kv_tokens);
        let by_capacity = self.memory_mb / each_mb;
        let by_smallest =
            self.min_mb / (model.layer_mb + kv_mb(model, MIN_KV_TOKENS));
        (by_capacity.min(by_smallest) as u32).min(model.layer_count)
    }
}

/// KV cache of this number of tokens in a layer, in megabytes.
fn kv_mb(model: &LayoutModel, kv_tokens: f64) -> f64 {
    kv_tokens * model.token_layer_bytes / 1e6
}

/// Groups of the engines of a data centre.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineGroups {
    /// KV capacity of each layer, in tokens.
    pub(crate) kv_tokens: f64,
    /// The groups, those with more engines first.
    pub(crate) groups: Vec<Group>,
    /// Whether the groups hold all layers of the model.
    pub(crate) is_complete: bool,
    /// How fast engines are used.
    pub(crate) strategy: Strategy,
}

impl EngineGroups {
    /// Time of a token through all layers, in milliseconds. Layers that fast
    /// engines hold count with the time of the fast engines.
    pub(crate) fn token_ms(&self, model: &LayoutModel) -> f64 {
        let mut remaining = model.layer_count;
        let mut token_ms = 0.0;
        let fast = self
            .fast()
            .map(|(g, kv_tokens)| (g, g.max_layers(model, kv_tokens)));
        // The larger groups hold the first layers, the fast engines the last.
        let others = self.groups.iter();
        let others = others.map(|g| (g, g.max_layers(model, self.kv_tokens)));
        for (group, layers) in fast.chain(others) {
            let layers = layers.min(remaining);
            token_ms += f64::from(layers) * group.layer_ms;
            remaining -= layers;
        }
        token_ms
    }

    /// Groups of all engines, without regard to their speed. `members` are
    /// sorted by memory, ascending.
    pub(crate) fn uniform(
        model: &LayoutModel,
        members: &[Member],
    ) -> EngineGroups {
        let min_groups = members.len().div_ceil(2).min(MIN_GROUPS);
        let mut current = EngineGroups::largest_count(model, members);
        while current.groups.len() > min_groups {
            let next = EngineGroups::with_count(
                model,
                members,
                current.groups.len() - 1,
            );
            if !next.is_complete || !next.is_within_layer_share(model) {
                break;
            }
            current = next;
        }
        current.with_larger_first_group(model, members)
    }

    /// The fast engines with additional replicas, each as a group of its own,
    /// and the KV capacity that each keeps, in tokens.
    pub(crate) fn fast(&self) -> impl Iterator<Item = (&Group, f64)> {
        let (fast_groups, kv_tokens): (&[Group], f64) = match &self.strategy {
            Strategy::Uniform => (&[], 0.0),
            Strategy::FastReplicas { fast_groups, kv_tokens } => {
                (fast_groups, *kv_tokens)
            }
        };
        fast_groups.iter().map(move |group| (group, kv_tokens))
    }

    /// The same number of groups, with engines added to the first group as
    /// long as each raises the number of tokens that can run.
    pub(crate) fn with_larger_first_group(
        mut self,
        model: &LayoutModel,
        members: &[Member],
    ) -> EngineGroups {
        let count = self.groups.len();
        if count < 2 {
            return self;
        }
        loop {
            let first = self.groups[0].engines.len() + 1;
            let has_enough_slots =
                self.running_tokens(model) >= self.kv_tokens;
            if has_enough_slots
                || first > members.len() / MIN_ENGINES_PER_FIRST
            {
                return self;
            }
            let next =
                EngineGroups::with_first_group(model, members, count, first);
            let is_better = next.running_tokens(model)
                > MIN_GROWTH * self.running_tokens(model);
            if !is_better
                || !next.is_complete
                || !next.is_within_layer_share(model)
            {
                return self;
            }
            self = next;
        }
    }

    /// Tokens of the requests that can run at the same time.
    fn running_tokens(&self, model: &LayoutModel) -> f64 {
        let first = self.groups.first().map_or(0, |g| g.engines.len());
        self.kv_tokens.min(first as f64 * model.first_stage_tokens)
    }

    /// KV capacity that two engines of a mean group give a layer, in tokens;
    /// the whole capacity of the layer if groups are pairs or smaller.
    pub(crate) fn pair_kv_tokens(&self) -> f64 {
        let engines: usize = self.groups.iter().map(|g| g.engines.len()).sum();
        let groups = self.groups.len().max(1);
        let group_size = engines as f64 / groups as f64;
        2.0 * self.kv_tokens / group_size.max(2.0)
    }

    /// The largest allowed number of groups; one engine per group if there
    /// are few engines.
    fn largest_count(model: &LayoutModel, members: &[Member]) -> EngineGroups {
        let max = members.len().min(MAX_GROUPS);
        let grouped = EngineGroups::with_count(model, members, max);
        match grouped.is_complete || members.len() <= MAX_GROUPS {
            true => grouped,
            // The engines are too small for so few groups: a complete copy of
            // any kind is better.
            false => EngineGroups::with_count(model, members, members.len()),
        }
    }

    /// This number of groups of nearly equal size; the smallest engines form
    /// the groups with one engine more.
    pub(crate) fn with_count(
        model: &LayoutModel,
        members: &[Member],
        count: usize,
    ) -> EngineGroups {
        EngineGroups::of(model, members, equal_groups(members, count))
    }

    /// This number of groups, the first one with the `first` smallest engines.
    fn with_first_group(
        model: &LayoutModel,
        members: &[Member],
        count: usize,
        first: usize,
    ) -> EngineGroups {
        let (first, others) = members.split_at(first);
        let mut groups = vec![Group::new(first)];
        groups.extend(equal_groups(others, count - 1));
        EngineGroups::of(model, members, groups)
    }

    /// These groups, with the highest KV capacity at which they hold all
    /// layers.
    pub(crate) fn of(
        model: &LayoutModel,
        members: &[Member],
        groups: Vec<Group>,
    ) -> EngineGroups {
        let layers = |kv_tokens: f64| -> u32 {
            groups.iter().map(|group| group.max_layers(model, kv_tokens)).sum()
        };
        let largest_mb = members.last().map_or(0.0, |last| last.memory_mb);
        let mut low = MIN_KV_TOKENS;
        let is_complete = layers(low) >= model.layer_count;
        let mut high = (largest_mb * 1e6 / model.token_layer_bytes).max(low);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            match layers(middle) >= model.layer_count {
                true => low = middle,
                false => high = middle,
            }
        }
        EngineGroups {
            kv_tokens: low,
            groups,
            is_complete,
            strategy: Strategy::Uniform,
        }
    }

    fn is_within_layer_share(&self, model: &LayoutModel) -> bool {
        let memory_mb: f64 = self.groups.iter().map(|g| g.memory_mb).sum();
        let layers_mb = |group: &Group| {
            let layers = group.max_layers(model, self.kv_tokens);
            group.engines.len() as f64 * f64::from(layers) * model.layer_mb
        };
        let layers_mb: f64 = self.groups.iter().map(layers_mb).sum();
        layers_mb <= MAX_LAYER_SHARE * memory_mb
    }
}

/// `count` groups of nearly equal size. The smallest engines form the groups
/// with one engine more, which come first; the others follow from the largest
/// engines on.
fn equal_groups(members: &[Member], count: usize) -> Vec<Group> {
    let (each, more) = match count {
        0 => (1, 0),
        _ => (members.len() / count, members.len() % count),
    };
    let (small, large) = members.split_at(more * (each + 1));
    let small = small.chunks(each + 1).map(Group::new);
    let large = large.chunks(each.max(1)).rev().map(Group::new);
    small.chain(large).collect()
}
