//! One service's backend servers, as a manifest states them.
//!
//! A fleet is immutable and rebuilt for each manifest generation. It is
//! indexed by the layer at which a range begins, so that a choice looks only
//! at servers that can come next. A server whose range lies on no tiling of
//! `0..layer_count` is kept out of that index.
//!
//! Speeds of a [`BackendSpec`] are those of the accelerator through *all*
//! layers. A server that holds `k` of `L` layers runs its own part `L / k`
//! times as fast. Reported speeds (see [`crate::live_state`]) are measured through
//! the server's own range and are taken as they are.

use std::{collections::BTreeMap, ops::Range};

pub use crate::backend_spec::{BackendIndex, BackendSpec};
use crate::{
    fleet_error::{FleetError, check},
    network::Network,
};

const DEFAULT_TOKENS_PER_S: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;
const MS_PER_HOUR: f64 = 3_600_000.0;

/// One service's backend servers.
#[derive(Clone, Debug)]
pub struct Fleet {
    layer_count: u32,
    specs: Vec<BackendSpec>,
    facts: Vec<Facts>,
    boundaries: Vec<Boundary>,
    members: Vec<BackendIndex>,
    by_name: BTreeMap<String, BackendIndex>,
    network: Network,
    mean_price_micros_per_ms: f64,
    mean_max_running: f64,
}

/// A layer at which ranges begin.
#[derive(Clone, Debug)]
pub(crate) struct Boundary {
    pub(crate) first_layer: u32,
    members: Range<usize>,
}

/// What a cost needs of a spec, in its own units.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    pub(crate) data_centre: u32,
    /// The boundary that follows; the count of boundaries at the end.
    pub(crate) next_boundary: u32,
    /// Through its own layers.
    pub(crate) prompt_tokens_per_ms: f64,
    /// Through its own layers, all sequences together.
    pub(crate) output_tokens_per_ms: f64,
    pub(crate) price_micros_per_ms: f64,
    pub(crate) max_running: f64,
}

impl Fleet {
    /// Checks and indexes the specs. `layer_count` 0 is a plain service,
    /// whose chains are of one server.
    pub fn try_new(
        layer_count: u32,
        backends: Vec<BackendSpec>,
        network: Network,
    ) -> Result<Fleet, FleetError> {
        let findings = check(layer_count, &backends, &network);
        if !findings.is_empty() {
            return Err(FleetError { findings });
        }
        Ok(index(layer_count, backends, network))
    }

    /// The same servers over other paths, for links that were measured anew.
    pub fn with_network(&self, network: Network) -> Result<Fleet, FleetError> {
        Fleet::try_new(self.layer_count, self.specs.clone(), network)
    }

    /// How many backend servers there are.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Whether there is no backend server.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Layers of the model; 0 for a plain service.
    pub fn layer_count(&self) -> u32 {
        self.layer_count
    }

    /// Whether chains are of one server.
    pub fn is_plain(&self) -> bool {
        self.layer_count == 0
    }

    /// Every index, in order.
    pub fn indices(&self) -> impl Iterator<Item = BackendIndex> + use<> {
        (0..self.specs.len() as u32).map(BackendIndex)
    }

    /// What the manifest says of one server.
    ///
    /// # Panics
    ///
    /// When the index is of another fleet and not below [`Fleet::len`].
    pub fn spec(&self, index: BackendIndex) -> &BackendSpec {
        &self.specs[index.at()]
    }

    /// The server of that name.
    pub fn find(&self, name: &str) -> Option<BackendIndex> {
        self.by_name.get(name).copied()
    }

    /// Whether the server lies on some tiling of all layers.
    pub fn is_in_some_chain(&self, index: BackendIndex) -> bool {
        self.members.contains(&index)
    }

    pub(crate) fn facts(&self, index: BackendIndex) -> &Facts {
        &self.facts[index.at()]
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

fn index(
    layer_count: u32,
    specs: Vec<BackendSpec>,
    network: Network,
) -> Fleet {
    let useful = useful(layer_count, &specs);
    let mut members: Vec<BackendIndex> = useful;
    members.sort_by_key(|&i| (specs[i.at()].first_layer, i));
    let boundaries = boundaries(&specs, &members);
    let guess = Guess::new(&specs);
    let facts = specs
        .iter()
        .map(|spec| facts(layer_count, spec, &boundaries, &guess))
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
        facts,
        boundaries,
        members,
        by_name,
        network,
        mean_price_micros_per_ms,
        mean_max_running,
    }
}

/// Servers that lie on a tiling: their first layer can be reached from 0,
/// and the end from their end layer.
fn useful(layer_count: u32, specs: &[BackendSpec]) -> Vec<BackendIndex> {
    let all = || (0..specs.len() as u32).map(BackendIndex);
    if layer_count == 0 {
        return all().collect();
    }
    let mut by_range: Vec<(u32, u32)> =
        specs.iter().map(|spec| (spec.first_layer, spec.end_layer)).collect();
    by_range.sort_unstable();
    by_range.dedup();
    let mut is_reached = vec![false; layer_count as usize + 1];
    is_reached[0] = true;
    for &(first, end) in &by_range {
        is_reached[end as usize] |= is_reached[first as usize];
    }
    let mut is_open = vec![false; layer_count as usize + 1];
    is_open[layer_count as usize] = true;
    for &(first, end) in by_range.iter().rev() {
        is_open[first as usize] |= is_open[end as usize];
    }
    all()
        .filter(|i| {
            let spec = &specs[i.at()];
            is_reached[spec.first_layer as usize]
                && is_open[spec.end_layer as usize]
        })
        .collect()
}

fn boundaries(
    specs: &[BackendSpec],
    members: &[BackendIndex],
) -> Vec<Boundary> {
    let mut boundaries: Vec<Boundary> = Vec::new();
    for (at, &member) in members.iter().enumerate() {
        let first_layer = specs[member.at()].first_layer;
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

/// Means that stand in for speeds the manifest leaves open.
struct Guess {
    prompt_tokens_per_s: f64,
    output_tokens_per_s: f64,
}

impl Guess {
    fn new(specs: &[BackendSpec]) -> Guess {
        let known = |speed: fn(&BackendSpec) -> u32| {
            let speeds = specs.iter().map(speed).filter(|&s| s > 0);
            mean(speeds.map(f64::from)).unwrap_or(DEFAULT_TOKENS_PER_S)
        };
        Guess {
            prompt_tokens_per_s: known(|spec| spec.prompt_tokens_per_s),
            output_tokens_per_s: known(|spec| spec.output_tokens_per_s),
        }
    }
}

fn facts(
    layer_count: u32,
    spec: &BackendSpec,
    boundaries: &[Boundary],
    guess: &Guess,
) -> Facts {
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
    let per_ms = |stated: u32, guess: f64| {
        let per_s = if stated == 0 { guess } else { f64::from(stated) };
        per_s * speed_up / MS_PER_S
    };
    Facts {
        data_centre: spec.data_centre,
        next_boundary: next_boundary as u32,
        prompt_tokens_per_ms: per_ms(
            spec.prompt_tokens_per_s,
            guess.prompt_tokens_per_s,
        ),
        output_tokens_per_ms: per_ms(
            spec.output_tokens_per_s,
            guess.output_tokens_per_s,
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
