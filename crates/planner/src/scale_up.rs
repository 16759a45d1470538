//! Adding capacity where it is least.
//!
//! Ranges that lie on a tiling cut the layers into segments. The segment
//! with the least capacity gets one more server at a time: one that holds
//! nothing useful, the cheapest for what it adds up to the demand; or, where
//! there is none, one from a segment that has more than it needs.

use crate::{draft::Draft, order::Reason, service::LayerRange};

/// Layers between two boundaries, and what servers carry through them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Segment {
    range: LayerRange,
    tokens_per_s: u64,
}

/// Adds orders until the demand is met or nothing more helps. Those that
/// turn out to add nothing are taken back.
pub(crate) fn meet_demand(draft: &mut Draft<'_>) {
    let demand = draft.service.demand_tokens_per_s;
    loop {
        let capacity = draft.capacity();
        if capacity == 0 || capacity >= demand {
            break;
        }
        let Some((at, range)) = next_move(draft, capacity) else {
            break;
        };
        draft.order(at, range, Reason::AddsCapacity);
    }
    take_back(draft);
}

fn take_back(draft: &mut Draft<'_>) {
    let demand = draft.service.demand_tokens_per_s;
    let reached = draft.capacity().min(demand);
    for at in (0..draft.orders.len()).rev() {
        if draft.orders[at].reason != Reason::AddsCapacity {
            continue;
        }
        let without = draft.without(at);
        if without.capacity().min(demand) >= reached {
            *draft = without;
        }
    }
}

fn next_move(draft: &Draft<'_>, capacity: u64) -> Option<(usize, LayerRange)> {
    let mut segments = segments(draft);
    segments.sort_by_key(|segment| (segment.tokens_per_s, segment.range));
    let spare = segments.iter().find_map(|s| cheapest_spare(draft, s));
    spare.or_else(|| {
        let lowest = segments.first()?;
        best_donor(draft, lowest, capacity)
    })
}

fn segments(draft: &Draft<'_>) -> Vec<Segment> {
    let useful = draft.useful();
    let ranges = || useful.iter().filter_map(|at| draft.held(*at));
    let mut bounds: Vec<u32> =
        ranges().flat_map(|r| [r.first_layer, r.end_layer]).collect();
    bounds.sort_unstable();
    bounds.dedup();
    let between = bounds.windows(2).map(|b| LayerRange::new(b[0], b[1]));
    let through = |range: LayerRange| {
        let covering = useful.iter().filter_map(|&at| {
            let held = draft.held(at)?;
            held.contains(range).then(|| draft.carries(at, held))
        });
        covering.fold(0, u64::saturating_add)
    };
    between
        .map(|range| Segment { range, tokens_per_s: through(range) })
        .collect()
}

/// The server without use that adds most for its price, up to the demand.
fn cheapest_spare(
    draft: &Draft<'_>,
    segment: &Segment,
) -> Option<(usize, LayerRange)> {
    let demand = draft.service.demand_tokens_per_s;
    let missing = demand.saturating_sub(segment.tokens_per_s);
    if missing == 0 {
        return None;
    }
    let useful = draft.useful();
    let range = segment.range;
    let spares = draft.present().filter(|at| {
        draft.may_move(*at) && !useful.contains(at) && draft.fits(*at, range)
    });
    let best = spares.min_by_key(|&at| {
        let added = draft.carries(at, range).min(missing).max(1);
        let price = draft.service.kinds[at].price_micros_per_hour;
        // Price of each token a second, in a whole number.
        let weighted = u128::from(price) * 1_000_000 / u128::from(added);
        (weighted, range.layers_beyond(draft.held(at)), at)
    });
    best.map(|at| (at, range))
}

/// The server whose move raises the capacity most, for the fewest layers.
fn best_donor(
    draft: &Draft<'_>,
    lowest: &Segment,
    capacity: u64,
) -> Option<(usize, LayerRange)> {
    let range = lowest.range;
    let after = |at: usize| {
        let mut moved = draft.clone();
        moved.order(at, range, Reason::AddsCapacity);
        moved.capacity()
    };
    let donors = draft.present().filter(|at| {
        draft.may_move(*at)
            && draft.fits(*at, range)
            && draft.held(*at) != Some(range)
    });
    let raised = donors
        .map(|at| (after(at), at))
        .filter(|(after, _)| *after > capacity);
    let best = raised.max_by_key(|&(after, at)| {
        let loaded = range.layers_beyond(draft.held(at));
        (after, u32::MAX - loaded, usize::MAX - at)
    });
    best.map(|(_, at)| (at, range))
}
