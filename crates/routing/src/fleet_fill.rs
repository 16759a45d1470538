//! How full the backend servers of a pipeline are.
//!
//! A request occupies memory on every layer, so a data centre has as much
//! capacity as its layer with the least. Requests may also use servers of
//! several data centres, as far as the interconnect bears it: then the layer
//! with the least counts over all of them. A request also occupies a slot of
//! its first server. The scarcer of memory and slots counts.

use crate::capacity_shares::FleetFill;

/// Capacity and load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Index of the data centre.
    pub data_centre: usize,
    /// First layer that the server holds.
    pub first_layer: u32,
    /// First layer after the range that the server holds.
    pub end_layer: u32,
    /// Tokens that fit on each layer.
    pub capacity_tokens: f64,
    /// Tokens in use on each layer.
    pub used_tokens: f64,
    /// Requests that the server accepts as their first one.
    pub slots: u64,
    /// Requests for which the server is the first.
    pub used_slots: u64,
}

/// The fill of all data centres together. `interconnect_utilisation` is 1 or
/// more if nothing may cross between them.
pub fn fleet_fill(
    layer_count: u32,
    servers: &[ServerLoad],
    interconnect_utilisation: f64,
) -> FleetFill {
    let data_centres = servers.iter().map(|s| s.data_centre + 1).max();
    let layers = layer_count as usize;
    let mut total = Layers::new(layers);
    let (mut local_capacity, mut local_free) = (0.0, 0.0);
    for data_centre in 0..data_centres.unwrap_or(0) {
        let mut here = Layers::new(layers);
        let servers = servers.iter().filter(|s| s.data_centre == data_centre);
        for server in servers {
            here.add(server);
            total.add(server);
        }
        let (capacity, free) = here.min();
        local_capacity += capacity;
        local_free += free;
    }
    let (capacity, free) = total.min();
    let crossing = (1.0 - interconnect_utilisation).clamp(0.0, 1.0);
    let between = |local: f64, all: f64| local + crossing * (all - local);
    let capacity_tokens = between(local_capacity, capacity);
    let free_tokens = between(local_free, free);
    let fill = match capacity_tokens > 0.0 {
        true => 1.0 - free_tokens / capacity_tokens,
        false => 1.0,
    };
    let memory = FleetFill { capacity_tokens, fill };
    match slots_in_tokens(layer_count, servers) {
        Some(slots) if slots.fill > memory.fill => slots,
        _ => memory,
    }
}

/// Capacity and free capacity by layer, in tokens.
struct Layers {
    capacity: Vec<f64>,
    free: Vec<f64>,
}

impl Layers {
    fn new(count: usize) -> Layers {
        Layers { capacity: vec![0.0; count], free: vec![0.0; count] }
    }

    fn add(&mut self, server: &ServerLoad) {
        let end = (server.end_layer as usize).min(self.capacity.len());
        let first = (server.first_layer as usize).min(end);
        let free = (server.capacity_tokens - server.used_tokens).max(0.0);
        for layer in first..end {
            self.capacity[layer] += server.capacity_tokens;
            self.free[layer] += free;
        }
    }

    /// The lowest capacity and the lowest free capacity of a layer.
    fn min(&self) -> (f64, f64) {
        let min = |tokens: &[f64]| {
            tokens.iter().copied().reduce(f64::min).unwrap_or(0.0)
        };
        (min(&self.capacity), min(&self.free))
    }
}

/// Capacity and fill of the slots of the servers that can be first, where a
/// slot counts as many tokens as running requests have on average; `None` if
/// no request runs.
fn slots_in_tokens(
    layer_count: u32,
    servers: &[ServerLoad],
) -> Option<FleetFill> {
    let first = servers.iter().filter(|s| s.first_layer == 0);
    let slots: u64 = first.clone().map(|s| s.slots).sum();
    let used: u64 = first.map(|s| s.used_slots.min(s.slots)).sum();
    if used == 0 {
        return None;
    }
    let token_layers: f64 = servers
        .iter()
        .map(|s| s.used_tokens * f64::from(s.end_layer - s.first_layer))
        .sum();
    let tokens = token_layers / f64::from(layer_count.max(1));
    let tokens_per_slot = tokens / used as f64;
    Some(FleetFill {
        capacity_tokens: slots as f64 * tokens_per_slot,
        fill: used as f64 / slots as f64,
    })
}
