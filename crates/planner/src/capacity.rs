//! Tokens per second of all chains together.
//!
//! Layer boundaries are the nodes of a graph, and each backend server is an
//! edge from its first layer to its end layer. The maximum flow from layer 0
//! to the end is the capacity of all chains. A server that holds `k` of `L`
//! layers runs them `L / k` times as fast as all layers.

use std::collections::{BTreeMap, VecDeque};

use crate::service::{AcceleratorKind, LayerRange};

/// Tokens per second of a server of a kind that holds a range.
pub fn server_capacity(
    kind: &AcceleratorKind,
    range: LayerRange,
    layer_count: u32,
) -> u64 {
    let layers = u64::from(range.layer_count().max(1));
    kind.tokens_per_s.saturating_mul(layer_count.into()) / layers
}

/// Tokens per second of all chains over these ranges, each with the tokens
/// per second of the server that holds the range.
pub fn chain_capacity(layer_count: u32, held: &[(LayerRange, u64)]) -> u64 {
    let mut residual: BTreeMap<u32, BTreeMap<u32, u64>> = BTreeMap::new();
    for (range, capacity) in held {
        let ends = residual.entry(range.first_layer).or_default();
        let edge = ends.entry(range.end_layer).or_default();
        *edge = edge.saturating_add(*capacity);
    }
    let mut flow: u64 = 0;
    while let Some(path) = shortest_augmenting_path(&residual, layer_count) {
        let min = path.iter().map(|(from, to)| residual[from][to]).min();
        let min = min.unwrap_or(0);
        for (from, to) in path {
            push_flow(&mut residual, from, to, min);
        }
        flow = flow.saturating_add(min);
    }
    flow
}

/// Moves capacity from an edge to its reverse edge.
fn push_flow(
    residual: &mut BTreeMap<u32, BTreeMap<u32, u64>>,
    from: u32,
    to: u32,
    amount: u64,
) {
    if let Some(edge) = residual.get_mut(&from).and_then(|e| e.get_mut(&to)) {
        *edge -= amount;
    }
    let reverse = residual.entry(to).or_default().entry(from).or_default();
    *reverse = reverse.saturating_add(amount);
}

/// A path with the fewest edges, all of which have residual capacity.
fn shortest_augmenting_path(
    residual: &BTreeMap<u32, BTreeMap<u32, u64>>,
    sink: u32,
) -> Option<Vec<(u32, u32)>> {
    let mut predecessors: BTreeMap<u32, u32> = BTreeMap::new();
    let mut queue = VecDeque::from([0]);
    while let Some(at) = queue.pop_front() {
        for (&to, &capacity) in residual.get(&at).into_iter().flatten() {
            if capacity == 0 || to == 0 || predecessors.contains_key(&to) {
                continue;
            }
            predecessors.insert(to, at);
            if to == sink {
                return Some(path_to(sink, &predecessors));
            }
            queue.push_back(to);
        }
    }
    None
}

fn path_to(sink: u32, predecessors: &BTreeMap<u32, u32>) -> Vec<(u32, u32)> {
    let mut path = Vec::new();
    let mut at = sink;
    while at != 0 {
        let from = predecessors[&at];
        path.push((from, at));
        at = from;
    }
    path
}
