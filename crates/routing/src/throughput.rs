//! Upper bound on the tokens per second of a fleet.
//!
//! Layer boundaries are nodes, and each backend server is an edge from its
//! first layer to its end layer whose capacity is its tokens per second. The
//! maximum flow from layer 0 to `L` bounds the throughput of any choice of
//! chains, because a token uses each edge of its chain once.
//!
//! The bound covers prompt and output tokens, which run at different speeds.
//! It ignores links and queueing, so the achievable throughput is never above
//! the bound.

use crate::{
    cost::{output_tokens_per_ms, prompt_tokens_per_ms},
    fleet::{BackendIndex, Fleet},
    live_state::LiveState,
    server_state::ServerState,
};

const MS_PER_S: f64 = 1_000.0;
/// Flow below this is a rounding error.
const EPSILON: f64 = 1e-9;

/// Tokens of a typical request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenMix {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the output.
    pub output_tokens: u32,
}

/// Upper bound on the tokens per second over all chains, counting prompt and
/// output tokens. With `live`, the bound uses reported speeds and leaves out
/// servers that are not present.
pub fn throughput_bound(
    fleet: &Fleet,
    live: Option<&LiveState>,
    mix: &TokenMix,
) -> f64 {
    let capacity = |index| capacity_tokens_per_s(fleet, live, mix, index);
    if fleet.is_plain() {
        return fleet.indices().map(capacity).sum();
    }
    let node_count = fleet.boundaries().len() + 1;
    let mut graph = Graph::new(node_count);
    for boundary in 0..fleet.boundaries().len() {
        for &index in fleet.members(boundary) {
            let next = fleet.cost_inputs(index).next_boundary as usize;
            graph.add_capacity(boundary, next, capacity(index));
        }
    }
    graph.max_flow()
}

fn capacity_tokens_per_s(
    fleet: &Fleet,
    live: Option<&LiveState>,
    mix: &TokenMix,
    index: BackendIndex,
) -> f64 {
    if live.is_some_and(|live| !live.is_present(index)) {
        return 0.0;
    }
    let inputs = fleet.cost_inputs(index);
    let snapshot = match live {
        Some(live) => live.server(index).snapshot(),
        None => ServerState::new().snapshot(),
    };
    let prompt = f64::from(mix.prompt_tokens);
    let output = f64::from(mix.output_tokens);
    let server_ms = prompt / prompt_tokens_per_ms(inputs, &snapshot)
        + output / output_tokens_per_ms(inputs, &snapshot);
    if server_ms <= 0.0 {
        return 0.0;
    }
    (prompt + output) * MS_PER_S / server_ms
}

/// Residual capacity of each edge. The matrix is dense because a fleet has
/// few boundaries.
struct Graph {
    node_count: usize,
    residual: Vec<f64>,
}

impl Graph {
    fn new(node_count: usize) -> Graph {
        Graph { node_count, residual: vec![0.0; node_count * node_count] }
    }

    fn add_capacity(&mut self, from: usize, to: usize, capacity: f64) {
        self.residual[from * self.node_count + to] += capacity;
    }

    /// Augments shortest paths until none is left (Edmonds–Karp).
    fn max_flow(&mut self) -> f64 {
        let mut flow = 0.0;
        while let Some(path) = self.shortest_path() {
            let amount = path
                .windows(2)
                .map(|edge| self.residual[edge[0] * self.node_count + edge[1]])
                .fold(f64::INFINITY, f64::min);
            for edge in path.windows(2) {
                self.add_capacity(edge[0], edge[1], -amount);
                self.add_capacity(edge[1], edge[0], amount);
            }
            flow += amount;
        }
        flow
    }

    fn shortest_path(&self) -> Option<Vec<usize>> {
        let sink = self.node_count - 1;
        let mut predecessor = vec![None; self.node_count];
        let mut queue = std::collections::VecDeque::from([0]);
        while let Some(node) = queue.pop_front() {
            let row = node * self.node_count;
            let edges = &self.residual[row..row + self.node_count];
            for (next, &capacity) in edges.iter().enumerate().skip(1) {
                if capacity > EPSILON && predecessor[next].is_none() {
                    predecessor[next] = Some(node);
                    queue.push_back(next);
                }
            }
        }
        let mut path = vec![sink];
        while let Some(node) = predecessor[*path.last()?] {
            path.push(node);
        }
        path.reverse();
        (path[0] == 0 && path.len() > 1).then_some(path)
    }
}
