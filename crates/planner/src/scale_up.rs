//! Orders that add capacity at the bottleneck.
//!
//! The boundaries of the ranges that are part of a chain divide the layers
//! into segments. The segment with the lowest capacity gets one more server at
//! a time. Servers outside of all chains are preferred, the cheapest by the
//! capacity that they add up to the demand. Without such a server, a server of
//! another segment moves if that raises the capacity.

use crate::{draft::Draft, order::Reason, service::LayerRange};

/// Layers between two boundaries, with the capacity of the servers that hold
/// all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Segment {
    range: LayerRange,
    tokens_per_s: u64,
}

/// Adds orders until the demand is met or no order adds capacity, and then
/// removes the orders that turn out to be unnecessary.
pub(crate) fn meet_demand(draft: &mut Draft<'_>) {
    let demand = draft.service.demand_tokens_per_s;
    loop {
        let capacity = draft.chain_capacity();
        if capacity == 0 || capacity >= demand {
            break;
        }
        let Some((at, range)) = next_order(draft, capacity) else {
            break;
        };
        draft.add_order(at, range, Reason::AddCapacity);
    }
    remove_unnecessary_orders(draft);
}

fn remove_unnecessary_orders(draft: &mut Draft<'_>) {
    let demand = draft.service.demand_tokens_per_s;
    let reached = draft.chain_capacity().min(demand);
    for at in (0..draft.orders.len()).rev() {
        if draft.orders[at].reason != Reason::AddCapacity {
            continue;
        }
        let without = draft.without_order(at);
        if without.chain_capacity().min(demand) >= reached {
            *draft = without;
        }
    }
}

fn next_order(
    draft: &Draft<'_>,
    capacity: u64,
) -> Option<(usize, LayerRange)> {
    let mut segments = segments(draft);
    segments.sort_by_key(|segment| (segment.tokens_per_s, segment.range));
    let spare = segments.iter().find_map(|s| cheapest_spare(draft, s));
    spare.or_else(|| {
        let lowest = segments.first()?;
        best_donor(draft, lowest, capacity)
    })
}

fn segments(draft: &Draft<'_>) -> Vec<Segment> {
    let in_chain = draft.in_some_chain();
    let ranges = || in_chain.iter().filter_map(|at| draft.held(*at));
    let mut bounds: Vec<u32> =
        ranges().flat_map(|r| [r.first_layer, r.end_layer]).collect();
    bounds.sort_unstable();
    bounds.dedup();
    let between = bounds.windows(2).map(|b| LayerRange::new(b[0], b[1]));
    let capacity = |range: LayerRange| {
        let covering = in_chain.iter().filter_map(|&at| {
            let held = draft.held(at)?;
            held.contains(range).then(|| draft.server_capacity(at, held))
        });
        covering.fold(0, u64::saturating_add)
    };
    between
        .map(|range| Segment { range, tokens_per_s: capacity(range) })
        .collect()
}

/// The server outside of all chains with the lowest price for the capacity
/// that it adds up to the demand.
fn cheapest_spare(
    draft: &Draft<'_>,
    segment: &Segment,
) -> Option<(usize, LayerRange)> {
    let demand = draft.service.demand_tokens_per_s;
    let missing = demand.saturating_sub(segment.tokens_per_s);
    if missing == 0 {
        return None;
    }
    let in_chain = draft.in_some_chain();
    let range = segment.range;
    let spares = draft.present().filter(|at| {
        draft.can_order(*at)
            && !in_chain.contains(at)
            && draft.fits(*at, range)
    });
    let best = spares.min_by_key(|&at| {
        let added = draft.server_capacity(at, range).min(missing).max(1);
        let price = draft.service.kinds[at].price_micros_per_hour;
        // Price per token per second, scaled to an integer.
        let unit_price = u128::from(price) * 1_000_000 / u128::from(added);
        (unit_price, range.layers_not_in(draft.held(at)), at)
    });
    best.map(|at| (at, range))
}

/// The server whose move to the lowest segment raises the capacity most; among
/// equals, the server that loads the fewest layers.
fn best_donor(
    draft: &Draft<'_>,
    lowest: &Segment,
    capacity: u64,
) -> Option<(usize, LayerRange)> {
    let range = lowest.range;
    let after = |at: usize| {
        let mut moved = draft.clone();
        moved.add_order(at, range, Reason::AddCapacity);
        moved.chain_capacity()
    };
    let donors = draft.present().filter(|at| {
        draft.can_order(*at)
            && draft.fits(*at, range)
            && draft.held(*at) != Some(range)
    });
    let raised = donors
        .map(|at| (after(at), at))
        .filter(|(after, _)| *after > capacity);
    let best = raised.max_by_key(|&(after, at)| {
        let loaded = range.layers_not_in(draft.held(at));
        (after, u32::MAX - loaded, usize::MAX - at)
    });
    best.map(|(_, at)| (at, range))
}
