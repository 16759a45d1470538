//! Validation of a fleet. One error lists all findings.

use std::{collections::BTreeSet, fmt};

use crate::{backend_spec::BackendSpec, network::Network};

const MAX_LAYER_COUNT: u32 = 4_096;

/// The specs of a fleet are invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetError {
    /// All findings; at least one.
    pub findings: Vec<FleetFinding>,
}

/// One reason why a fleet is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum FleetFinding {
    /// The layer count exceeds the maximum.
    LayerCount {
        /// Layer count of the fleet.
        layer_count: u32,
    },
    /// Two servers have the same name.
    DuplicateName {
        /// The shared name.
        backend: String,
    },
    /// The layers of a server are not a range of the model's layers.
    LayerRange {
        /// Name of the server.
        backend: String,
        /// First layer of the server.
        first_layer: u32,
        /// End of the server's layer range, exclusive.
        end_layer: u32,
        /// Number of layers of the model.
        layer_count: u32,
    },
    /// The data centre of a server is not in the network.
    DataCentre {
        /// Name of the server.
        backend: String,
        /// Data centre of the server, as an index.
        data_centre: u32,
        /// Number of data centres of the network.
        data_centre_count: u32,
    },
    /// The server may run no requests.
    MaxRunning {
        /// Name of the server.
        backend: String,
    },
}

impl fmt::Display for FleetFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetFinding::LayerCount { layer_count } => write!(
                f,
                "layer_count {layer_count} is outside 0..={MAX_LAYER_COUNT} \
                 layers"
            ),
            FleetFinding::DuplicateName { backend } => {
                write!(f, "backend server {backend} is defined twice")
            }
            FleetFinding::LayerRange {
                backend,
                first_layer,
                end_layer,
                layer_count,
            } => write!(
                f,
                "backend server {backend}: layers {first_layer}..{end_layer} \
                 are not a range within 0..{layer_count}"
            ),
            FleetFinding::DataCentre {
                backend,
                data_centre,
                data_centre_count,
            } => write!(
                f,
                "backend server {backend}: data centre {data_centre} is \
                 outside 0..{data_centre_count}"
            ),
            FleetFinding::MaxRunning { backend } => write!(
                f,
                "backend server {backend}: max_running is 0 but must be at \
                 least 1"
            ),
        }
    }
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, finding) in self.findings.iter().enumerate() {
            if at > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FleetError {}

pub(crate) fn check(
    layer_count: u32,
    specs: &[BackendSpec],
    network: &Network,
) -> Vec<FleetFinding> {
    let mut findings = Vec::new();
    if layer_count > MAX_LAYER_COUNT {
        findings.push(FleetFinding::LayerCount { layer_count });
    }
    let mut names = BTreeSet::new();
    for spec in specs {
        if !names.insert(spec.name.as_str()) {
            let backend = spec.name.clone();
            findings.push(FleetFinding::DuplicateName { backend });
        }
        check_spec(layer_count, spec, network, &mut findings);
    }
    findings
}

fn check_spec(
    layer_count: u32,
    spec: &BackendSpec,
    network: &Network,
    findings: &mut Vec<FleetFinding>,
) {
    let backend = || spec.name.clone();
    let is_range = if layer_count == 0 {
        spec.first_layer == 0 && spec.end_layer == 0
    } else {
        spec.first_layer < spec.end_layer && spec.end_layer <= layer_count
    };
    if !is_range {
        findings.push(FleetFinding::LayerRange {
            backend: backend(),
            first_layer: spec.first_layer,
            end_layer: spec.end_layer,
            layer_count,
        });
    }
    if spec.data_centre >= network.data_centre_count() {
        findings.push(FleetFinding::DataCentre {
            backend: backend(),
            data_centre: spec.data_centre,
            data_centre_count: network.data_centre_count(),
        });
    }
    if spec.max_running == 0 {
        findings.push(FleetFinding::MaxRunning { backend: backend() });
    }
}
