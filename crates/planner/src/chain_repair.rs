//! Making a chain possible again.
//!
//! A chain is a path over layer boundaries. What is held costs nothing on
//! it; a server that holds nothing useful costs the layers it has to load;
//! one that would give up a range costs more than any of those. So the gap
//! that a failed stage has left is filled where it is. Where no such path
//! can be made, for instance because what is held leaves gaps that no memory
//! fits, all is laid out anew.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    draft::Draft,
    order::Reason,
    service::{Kind, LayerRange},
};

/// Ways kept to each boundary. A cheap one may have taken a server that the
/// rest of the chain needs, so one is too few; with many servers all of them
/// would be too many.
const WAYS: usize = 16;

/// A way to a boundary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Way {
    cost: Cost,
    /// Servers on the way, which stay where they are or were placed there.
    taken: BTreeSet<usize>,
    placed: Vec<(usize, LayerRange)>,
}

/// In order of weight.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct Cost {
    given_up: u32,
    loaded_layers: u32,
    price_micros_per_hour: u64,
}

/// Adds orders until there is a chain; none when memory is too small.
pub(crate) fn fill_gaps(draft: &mut Draft<'_>) {
    match cheapest_way(draft) {
        Some(way) => {
            for (at, range) in way.placed {
                draft.order(at, range, Reason::FillsGap);
            }
        }
        None => lay_out_anew(draft),
    }
}

fn cheapest_way(draft: &Draft<'_>) -> Option<Way> {
    let layer_count = draft.service.layer_count;
    let boundaries = boundaries(draft);
    let mut ways: BTreeMap<u32, Vec<Way>> = BTreeMap::new();
    ways.insert(0, vec![Way::default()]);
    for from in 0..layer_count {
        for way in ways.remove(&from).unwrap_or_default() {
            for (to, next) in next_ways(draft, &way, from, &boundaries) {
                keep(ways.entry(to).or_default(), next);
            }
        }
    }
    let whole = ways.remove(&layer_count).unwrap_or_default();
    whole.into_iter().min_by_key(|way| way.cost)
}

/// Adds a way, unless one that costs no more leaves as many servers.
fn keep(ways: &mut Vec<Way>, new: Way) {
    let is_no_worse =
        |a: &Way, b: &Way| a.cost <= b.cost && a.taken.is_subset(&b.taken);
    if ways.iter().any(|way| is_no_worse(way, &new)) {
        return;
    }
    ways.retain(|way| !is_no_worse(&new, way));
    let at = ways.partition_point(|way| way.cost <= new.cost);
    ways.insert(at, new);
    ways.truncate(WAYS);
}

/// Where ranges begin or end, also those of servers that are not there.
fn boundaries(draft: &Draft<'_>) -> BTreeSet<u32> {
    let servers = draft.service.servers.iter();
    let ranges = servers.filter_map(|server| server.held);
    let bounds = ranges.flat_map(|r| [r.first_layer, r.end_layer]);
    bounds.chain([draft.service.layer_count]).collect()
}

/// Each way that goes one server further.
fn next_ways(
    draft: &Draft<'_>,
    way: &Way,
    from: u32,
    boundaries: &BTreeSet<u32>,
) -> Vec<(u32, Way)> {
    let mut next = Vec::new();
    // Servers of one kind that hold the same are as good as each other.
    let mut seen = Vec::new();
    for at in draft.present().filter(|at| !way.taken.contains(at)) {
        let like = (draft.service.kinds[at], draft.held(at));
        if seen.contains(&like) {
            continue;
        }
        seen.push(like);
        if let Some(range) = draft.held(at)
            && range.first_layer == from
        {
            next.push((range.end_layer, way.with_held(at)));
        }
        let last = from + draft.service.kinds[at].max_layers;
        let last = last.min(draft.service.layer_count);
        let ends = boundaries.range(from + 1..=last).copied();
        for end in ends.chain([last]) {
            let range = LayerRange::new(from, end);
            next.push((end, way.with_placed(draft, at, range)));
        }
    }
    next
}

impl Way {
    fn with_held(&self, at: usize) -> Way {
        let mut way = self.clone();
        way.taken.insert(at);
        way
    }

    fn with_placed(
        &self,
        draft: &Draft<'_>,
        at: usize,
        range: LayerRange,
    ) -> Way {
        let held = draft.held(at);
        let kind: &Kind = &draft.service.kinds[at];
        let mut way = self.with_held(at);
        way.placed.push((at, range));
        way.cost.given_up += u32::from(held.is_some());
        way.cost.loaded_layers += range.layers_beyond(held);
        way.cost.price_micros_per_hour += kind.price_micros_per_hour;
        way
    }
}

/// Gives each of the largest servers as much as it holds, until all layers
/// are held.
fn lay_out_anew(draft: &mut Draft<'_>) {
    let layer_count = draft.service.layer_count;
    let mut servers: Vec<usize> = draft.present().collect();
    servers.sort_by_key(|at| {
        let kind = &draft.service.kinds[*at];
        (u32::MAX - kind.max_layers, kind.price_micros_per_hour, *at)
    });
    let most = |at: &usize| u64::from(draft.service.kinds[*at].max_layers);
    let total: u64 = servers.iter().map(most).sum();
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
            draft.order(at, range, Reason::LaysOutAnew);
        }
        from = end;
    }
}
