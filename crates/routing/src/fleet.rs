//! The backend servers of a service, as stated in the manifest.
//!
//! A fleet is immutable and rebuilt for each manifest generation. An index by
//! first layer restricts a chain search to the servers that can come next. A
//! server whose layers fit into no chain through `0..layer_count` is left out
//! of the index.
//!
//! The speeds of a [`BackendSpec`] are those of the accelerator through *all*
//! layers. A server that holds `k` of `L` layers runs these `L / k` times as
//! fast. Reported speeds (see [`crate::live_state`]) are measured through the
//! server's own layers and used unchanged.

use std::{collections::BTreeMap, ops::Range};

pub use crate::backend_spec::{BackendIndex, BackendSpec};
use crate::{
    fleet_error::{FleetError, check},
    network::Network,
};

const DEFAULT_TOKENS_PER_S: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// The backend servers of a service.
#[derive(Clone, Debug)]
pub struct Fleet {
    layer_count: u32,
    specs: Vec<BackendSpec>,
    cost_inputs: Vec<CostInputs>,
    boundaries: Vec<Boundary>,
    members: Vec<BackendIndex>,
    by_name: BTreeMap<String, BackendIndex>,
    network: Network,
    mean_price_micros_per_ms: f64,
    mean_max_running: f64,
}

/// A layer at which the layer range of some server begins.
#[derive(Clone, Debug)]
pub(crate) struct Boundary {
    pub(crate) first_layer: u32,
    members: Range<usize>,
}

/// Values of a spec in the units of the cost function.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    pub(crate) data_centre: u32,
    /// Index of the boundary at the end layer; the number of boundaries if the
    /// server holds the last layer.
    pub(crate) next_boundary: u32,
    /// Speed through the server's own layers.
    pub(crate) prompt_tokens_per_ms: f64,
    /// Speed through the server's own layers, summed over all sequences.
    pub(crate) output_tokens_per_ms: f64,
    pub(crate) price_micros_per_ms: f64,
    pub(crate) max_running: f64,
}

impl Fleet {
    /// Validates and indexes the specs. A `layer_count` of 0 is a plain
    /// service, whose chains have one stage.
    pub fn try_new(
        layer_count: u32,
        backends: Vec<BackendSpec>,
        network: Network,
    ) -> Result<Fleet, FleetError> {
        let findings = check(layer_count, &backends, &network);
        if !findings.is_empty() {
            return Err(FleetError { findings });
        }
        Ok(build(layer_count, backends, network))
    }

    /// Returns the same servers with another network, for example after the
    /// links were measured again.
    pub fn with_network(&self, network: Network) -> Result<Fleet, FleetError> {
        Fleet::try_new(self.layer_count, self.specs.clone(), network)
    }

    /// Number of backend servers.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Whether the fleet has no backend servers.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Number of layers of the model; 0 for a plain service.
    pub fn layer_count(&self) -> u32 {
        self.layer_count
    }

    /// Whether this is a plain service, whose chains have one stage.
    pub fn is_plain(&self) -> bool {
        self.layer_count == 0
    }

    /// The indices of all servers, in order.
    pub fn indices(&self) -> impl Iterator<Item = BackendIndex> + use<> {
        (0..self.specs.len() as u32).map(BackendIndex)
    }

    /// The spec of a server.
    ///
    /// # Panics
    ///
    /// Panics if the index is not below [`Fleet::len`].
    pub fn spec(&self, index: BackendIndex) -> &BackendSpec {
        &self.specs[index.as_usize()]
    }

    /// The index of the server with this name.
    pub fn find(&self, name: &str) -> Option<BackendIndex> {
        self.by_name.get(name).copied()
    }

    /// Whether the server can be a stage of a chain through all layers.
    pub fn is_in_some_chain(&self, index: BackendIndex) -> bool {
        self.members.contains(&index)
    }

    pub(crate) fn cost_inputs(&self, index: BackendIndex) -> &CostInputs {
        &self.cost_inputs[index.as_usize()]
    }

    pub(crate) fn network(&self) -> &Network {
        &self.network
    }

    pub(crate) fn boundaries(&self) -> &[Boundary] {
        &self.boundaries
    }

    pub(crate) fn members(&self, boundary: usize) -> &[BackendIndex] {
        &self.members[self.boundaries[boundary].members.clone()]
    }

    pub(crate) fn mean_price_micros_per_ms(&self) -> f64 {
        self.mean_price_micros_per_ms
    }

    pub(crate) fn mean_max_running(&self) -> f64 {
        self.mean_max_running
    }
}

fn build(
    layer_count: u32,
    specs: Vec<BackendSpec>,
    network: Network,
) -> Fleet {
    let in_some_chain = in_some_chain(layer_count, &specs);
    let mut members: Vec<BackendIndex> = in_some_chain;
    members.sort_by_key(|&i| (specs[i.as_usize()].first_layer, i));
    let boundaries = boundaries(&specs, &members);
    let default = DefaultSpeeds::new(&specs);
    let cost_inputs = specs
        .iter()
        .map(|spec| cost_inputs(layer_count, spec, &boundaries, &default))
        .collect();
    let by_name = specs
        .iter()
        .enumerate()
        .map(|(at, spec)| (spec.name.clone(), BackendIndex(at as u32)))
        .collect();
    let mean_price_micros_per_ms =
        mean(specs.iter().map(|spec| spec.price_micros_per_hour as f64))
            .unwrap_or(0.0)
            / MS_PER_HOUR;
    let mean_max_running =
        mean(specs.iter().map(|spec| f64::from(spec.max_running)))
            .unwrap_or(1.0);
    Fleet {
        layer_count,
        specs,
        cost_inputs,
        boundaries,
        members,
        by_name,
        network,
        mean_price_micros_per_ms,
        mean_max_running,
    }
}

/// Servers that can be a stage of a chain: other servers connect layer 0 with
/// their first layer, and their end layer with the last layer.
fn in_some_chain(
    layer_count: u32,
    specs: &[BackendSpec],
) -> Vec<BackendIndex> {
    let all = || (0..specs.len() as u32).map(BackendIndex);
    if layer_count == 0 {
        return all().collect();
    }
    let mut by_range: Vec<(u32, u32)> =
        specs.iter().map(|spec| (spec.first_layer, spec.end_layer)).collect();
    by_range.sort_unstable();
    by_range.dedup();
    let mut is_reachable = vec![false; layer_count as usize + 1];
    is_reachable[0] = true;
    for &(first, end) in &by_range {
        is_reachable[end as usize] |= is_reachable[first as usize];
    }
    let mut reaches_end = vec![false; layer_count as usize + 1];
    reaches_end[layer_count as usize] = true;
    for &(first, end) in by_range.iter().rev() {
        reaches_end[first as usize] |= reaches_end[end as usize];
    }
    all()
        .filter(|i| {
            let spec = &specs[i.as_usize()];
            is_reachable[spec.first_layer as usize]
                && reaches_end[spec.end_layer as usize]
        })
        .collect()
}

fn boundaries(
    specs: &[BackendSpec],
    members: &[BackendIndex],
) -> Vec<Boundary> {
    let mut boundaries: Vec<Boundary> = Vec::new();
    for (at, &member) in members.iter().enumerate() {
        let first_layer = specs[member.as_usize()].first_layer;
        match boundaries.last_mut() {
            Some(last) if last.first_layer == first_layer => {
                last.members.end = at + 1;
            }
            _ => {
                boundaries.push(Boundary { first_layer, members: at..at + 1 })
            }
        }
    }
    boundaries
}

/// Mean speeds of the fleet, for servers without a configured speed.
struct DefaultSpeeds {
    prompt_tokens_per_s: f64,
    output_tokens_per_s: f64,
}

impl DefaultSpeeds {
    fn new(specs: &[BackendSpec]) -> DefaultSpeeds {
        let known = |speed: fn(&BackendSpec) -> u32| {
            let speeds = specs.iter().map(speed).filter(|&s| s > 0);
            mean(speeds.map(f64::from)).unwrap_or(DEFAULT_TOKENS_PER_S)
        };
        DefaultSpeeds {
            prompt_tokens_per_s: known(|spec| spec.prompt_tokens_per_s),
            output_tokens_per_s: known(|spec| spec.output_tokens_per_s),
        }
    }
}

fn cost_inputs(
    layer_count: u32,
    spec: &BackendSpec,
    boundaries: &[Boundary],
    default: &DefaultSpeeds,
) -> CostInputs {
    let next_boundary = boundaries
        .binary_search_by_key(&spec.end_layer, |b| b.first_layer)
        .ok()
        .filter(|_| layer_count > 0)
        .unwrap_or(boundaries.len());
    let layers = spec.end_layer - spec.first_layer;
    let speed_up = if layer_count == 0 {
        1.0
    } else {
        f64::from(layer_count) / f64::from(layers)
    };
    let per_ms = |configured: u32, default: f64| {
        let per_s =
            if configured == 0 { default } else { f64::from(configured) };
        per_s * speed_up / MS_PER_S
    };
    CostInputs {
        data_centre: spec.data_centre,
        next_boundary: next_boundary as u32,
        prompt_tokens_per_ms: per_ms(
            spec.prompt_tokens_per_s,
            default.prompt_tokens_per_s,
        ),
        output_tokens_per_ms: per_ms(
            spec.output_tokens_per_s,
            default.output_tokens_per_s,
        ),
        price_micros_per_ms: spec.price_micros_per_hour as f64 / MS_PER_HOUR,
        max_running: f64::from(spec.max_running),
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sum = 0.0;
    let mut count = 0_u32;
    for value in values {
        sum += value;
        count += 1;
    }
    (count > 0).then(|| sum / f64::from(count))
}
