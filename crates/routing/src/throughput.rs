//! The most tokens a second that the hardware allows.
//!
//! Layer boundaries are nodes, and each backend server is an edge from its
//! first layer to its end layer with the tokens a second it can take. The
//! maximum flow from layer 0 to `L` bounds what any choice of chains can
//! reach, because a token in flight uses each edge of its chain once.
//!
//! Requests are a mix of prompt and output tokens, which run at different
//! speeds; the bound counts both. It leaves out links and waiting, so it is
//! never below what can be reached.

use crate::{
    cost::{output_tokens_per_ms, prompt_tokens_per_ms},
    fleet::{BackendIndex, Fleet},
    live_state::LiveState,
    server::Server,
};

const MS_PER_S: f64 = 1_000.0;
/// Flow below this is rounding.
const EPSILON: f64 = 1e-9;

/// What a typical request is made of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenMix {
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Length of its answer.
    pub output_tokens: u32,
}

/// Most tokens a second, prompt and output together, over all chains. With
/// `live`, at learned speeds and without servers that are not there.
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
            let next = fleet.facts(index).next_boundary as usize;
            graph.add(boundary, next, capacity(index));
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
    let facts = fleet.facts(index);
    let reading = match live {
        Some(live) => live.server(index).read(),
        None => Server::new().read(),
    };
    let prompt = f64::from(mix.prompt_tokens);
    let output = f64::from(mix.output_tokens);
    let busy_ms = prompt / prompt_tokens_per_ms(facts, &reading)
        + output / output_tokens_per_ms(facts, &reading);
    if busy_ms <= 0.0 {
        return 0.0;
    }
    (prompt + output) * MS_PER_S / busy_ms
}

/// What is left of each edge, as a dense matrix: boundaries are few.
struct Graph {
    node_count: usize,
    left: Vec<f64>,
}

impl Graph {
    fn new(node_count: usize) -> Graph {
        Graph { node_count, left: vec![0.0; node_count * node_count] }
    }

    fn add(&mut self, from: usize, to: usize, capacity: f64) {
        self.left[from * self.node_count + to] += capacity;
    }

    /// Augments shortest paths until none is left (Edmonds and Karp).
    fn max_flow(&mut self) -> f64 {
        let mut flow = 0.0;
        while let Some(path) = self.shortest_path() {
            let amount = path
                .windows(2)
                .map(|edge| self.left[edge[0] * self.node_count + edge[1]])
                .fold(f64::INFINITY, f64::min);
            for edge in path.windows(2) {
                self.add(edge[0], edge[1], -amount);
                self.add(edge[1], edge[0], amount);
            }
            flow += amount;
        }
        flow
    }

    fn shortest_path(&self) -> Option<Vec<usize>> {
        let sink = self.node_count - 1;
        let mut before = vec![None; self.node_count];
        let mut queue = std::collections::VecDeque::from([0]);
        while let Some(node) = queue.pop_front() {
            let row = node * self.node_count;
            let edges = &self.left[row..row + self.node_count];
            for (next, &left) in edges.iter().enumerate().skip(1) {
                if left > EPSILON && before[next].is_none() {
                    before[next] = Some(node);
                    queue.push_back(next);
                }
            }
        }
        let mut path = vec![sink];
        while let Some(node) = before[*path.last()?] {
            path.push(node);
        }
        path.reverse();
        (path[0] == 0 && path.len() > 1).then_some(path)
    }
}
