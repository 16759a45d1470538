//! Orders that restore a complete chain.
//!
//! A chain is a path over layer boundaries. The search for the cheapest chain
//! uses held ranges at no cost. A server that holds no useful range costs the
//! layers that it has to load, and a server that releases its range costs more
//! than any number of loaded layers. The gap of a failed stage is thus filled
//! in place. If no chain can be completed this way, for example because the
//! held ranges leave gaps that no server's memory fits, the whole layout is
//! rebuilt.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    draft::Draft,
    order::Reason,
    service::{AcceleratorKind, LayerRange},
};

/// Partial chains kept for each boundary. With 1, a cheap partial chain could
/// use up a server that the rest of the chain needs. Without a limit, their
/// number explodes with the number of servers.
const MAX_CHAINS_PER_BOUNDARY: usize = 16;

/// A chain from layer 0 to some boundary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct PartialChain {
    cost: Cost,
    /// Servers of the chain, including those in `placed`.
    used: BTreeSet<usize>,
    /// Servers that need an order, with their new range.
    placed: Vec<(usize, LayerRange)>,
}

/// Cost of a chain; earlier fields outweigh later ones.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    released_ranges: u32,
    loaded_layers: u32,
    price_micros_per_hour: u64,
}

/// Adds orders that complete a chain, or no orders if the memory of all servers
/// is too small for a chain.
pub(crate) fn restore_chain(draft: &mut Draft<'_>) {
    match cheapest_chain(draft) {
        Some(chain) => {
            for (at, range) in chain.placed {
                draft.add_order(at, range, Reason::FillGap);
            }
        }
        None => rebuild_layout(draft),
    }
}

fn cheapest_chain(draft: &Draft<'_>) -> Option<PartialChain> {
    let layer_count = draft.service.layer_count;
    let boundaries = boundaries(draft);
    let mut chains: BTreeMap<u32, Vec<PartialChain>> = BTreeMap::new();
    chains.insert(0, vec![PartialChain::default()]);
    for from in 0..layer_count {
        for chain in chains.remove(&from).unwrap_or_default() {
            for (to, next) in extensions(draft, &chain, from, &boundaries) {
                insert_unless_dominated(chains.entry(to).or_default(), next);
            }
        }
    }
    let complete = chains.remove(&layer_count).unwrap_or_default();
    complete.into_iter().min_by_key(|chain| chain.cost)
}

/// Adds a chain, unless another one costs no more and uses no other servers.
fn insert_unless_dominated(chains: &mut Vec<PartialChain>, new: PartialChain) {
    let dominates = |a: &PartialChain, b: &PartialChain| {
        a.cost <= b.cost && a.used.is_subset(&b.used)
    };
    if chains.iter().any(|chain| dominates(chain, &new)) {
        return;
    }
    chains.retain(|chain| !dominates(&new, chain));
    let at = chains.partition_point(|chain| chain.cost <= new.cost);
    chains.insert(at, new);
    chains.truncate(MAX_CHAINS_PER_BOUNDARY);
}

/// Boundaries of all held ranges, including those of absent servers.
fn boundaries(draft: &Draft<'_>) -> BTreeSet<u32> {
    let servers = draft.service.servers.iter();
    let ranges = servers.filter_map(|server| server.held);
    let bounds = ranges.flat_map(|r| [r.first_layer, r.end_layer]);
    bounds.chain([draft.service.layer_count]).collect()
}

/// The chain extended by one more server, for each server and end boundary.
fn extensions(
    draft: &Draft<'_>,
    chain: &PartialChain,
    from: u32,
    boundaries: &BTreeSet<u32>,
) -> Vec<(u32, PartialChain)> {
    let mut next = Vec::new();
    // Servers of the same kind that hold the same range are interchangeable.
    let mut seen = Vec::new();
    for at in draft.present().filter(|at| !chain.used.contains(at)) {
        let equivalent = (draft.service.kinds[at], draft.held(at));
        if seen.contains(&equivalent) {
            continue;
        }
        seen.push(equivalent);
        if let Some(range) = draft.held(at)
            && range.first_layer == from
        {
            next.push((range.end_layer, chain.with_held(at)));
        }
        let last = from + draft.service.kinds[at].max_layers;
        let last = last.min(draft.service.layer_count);
        let ends = boundaries.range(from + 1..=last).copied();
        for end in ends.chain([last]) {
            let range = LayerRange::new(from, end);
            next.push((end, chain.with_placed(draft, at, range)));
        }
    }
    next
}

impl PartialChain {
    fn with_held(&self, at: usize) -> PartialChain {
        let mut chain = self.clone();
        chain.used.insert(at);
        chain
    }

    fn with_placed(
        &self,
        draft: &Draft<'_>,
        at: usize,
        range: LayerRange,
    ) -> PartialChain {
        let held = draft.held(at);
        let kind: &AcceleratorKind = &draft.service.kinds[at];
        let mut chain = self.with_held(at);
        chain.placed.push((at, range));
        chain.cost.released_ranges += u32::from(held.is_some());
        chain.cost.loaded_layers += range.layers_not_in(held);
        chain.cost.price_micros_per_hour += kind.price_micros_per_hour;
        chain
    }
}

/// Fills the servers with the most memory completely, until all layers are
/// held.
fn rebuild_layout(draft: &mut Draft<'_>) {
    let layer_count = draft.service.layer_count;
    let mut servers: Vec<usize> = draft.present().collect();
    servers.sort_by_key(|at| {
        let kind = &draft.service.kinds[*at];
        (u32::MAX - kind.max_layers, kind.price_micros_per_hour, *at)
    });
    let max_layers =
        |at: &usize| u64::from(draft.service.kinds[*at].max_layers);
    let total: u64 = servers.iter().map(max_layers).sum();
    if total < layer_count.into() {
        return;
    }
    let mut from = 0;
    for at in servers {
        if from == layer_count {
            return;
        }
        let end = (from + draft.service.kinds[at].max_layers).min(layer_count);
        let range = LayerRange::new(from, end);
        if draft.held(at) != Some(range) {
            draft.add_order(at, range, Reason::RebuildLayout);
        }
        from = end;
    }
}
