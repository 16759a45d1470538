//! Tokens a second of all chains together.
//!
//! Layer boundaries are nodes and each backend server an edge from its first
//! layer to its end layer; the maximum flow from layer 0 to the last is what
//! chains can carry. A server with `k` of `L` layers runs its own part
//! `L / k` times as fast as all of them.

use std::collections::{BTreeMap, VecDeque};

use crate::service::{Kind, LayerRange};

/// What a server of a kind carries through a range.
pub fn of_server(kind: &Kind, range: LayerRange, layer_count: u32) -> u64 {
    let layers = u64::from(range.layer_count().max(1));
    kind.tokens_per_s.saturating_mul(layer_count.into()) / layers
}

/// What all chains over these ranges carry.
pub fn of_chains(layer_count: u32, held: &[(LayerRange, u64)]) -> u64 {
    let mut rest: BTreeMap<u32, BTreeMap<u32, u64>> = BTreeMap::new();
    for (range, capacity) in held {
        let ends = rest.entry(range.first_layer).or_default();
        let edge = ends.entry(range.end_layer).or_default();
        *edge = edge.saturating_add(*capacity);
    }
    let mut flow: u64 = 0;
    while let Some(path) = shortest_path(&rest, layer_count) {
        let least = path.iter().map(|(from, to)| rest[from][to]).min();
        let least = least.unwrap_or(0);
        for (from, to) in path {
            take(&mut rest, from, to, least);
        }
        flow = flow.saturating_add(least);
    }
    flow
}

/// Moves flow from an edge to its reverse.
fn take(
    rest: &mut BTreeMap<u32, BTreeMap<u32, u64>>,
    from: u32,
    to: u32,
    amount: u64,
) {
    if let Some(edge) = rest.get_mut(&from).and_then(|e| e.get_mut(&to)) {
        *edge -= amount;
    }
    let back = rest.entry(to).or_default().entry(from).or_default();
    *back = back.saturating_add(amount);
}

/// A path with the fewest edges that have something left.
fn shortest_path(
    rest: &BTreeMap<u32, BTreeMap<u32, u64>>,
    goal: u32,
) -> Option<Vec<(u32, u32)>> {
    let mut before: BTreeMap<u32, u32> = BTreeMap::new();
    let mut queue = VecDeque::from([0]);
    while let Some(at) = queue.pop_front() {
        for (&to, &left) in rest.get(&at).into_iter().flatten() {
            if left == 0 || to == 0 || before.contains_key(&to) {
                continue;
            }
            before.insert(to, at);
            if to == goal {
                return Some(path_to(goal, &before));
            }
            queue.push_back(to);
        }
    }
    None
}

fn path_to(goal: u32, before: &BTreeMap<u32, u32>) -> Vec<(u32, u32)> {
    let mut path = Vec::new();
    let mut at = goal;
    while at != 0 {
        let from = before[&at];
        path.push((from, at));
        at = from;
    }
    path
}
