//! What may be wrong with a fleet: all findings are told together.

use std::{collections::BTreeSet, fmt};

use crate::{backend_spec::BackendSpec, network::Network};

const MAX_LAYER_COUNT: u32 = 4_096;

/// Everything that is wrong with the specs of a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetError {
    /// At least one.
    pub findings: Vec<FleetFinding>,
}

/// One thing that is wrong with a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum FleetFinding {
    /// More layers than a fleet takes.
    LayerCount {
        /// What was given.
        layer_count: u32,
    },
    /// Two servers share a name.
    DuplicateName {
        /// The name.
        backend: String,
    },
    /// Not a range of the model's layers.
    LayerRange {
        /// The server.
        backend: String,
        /// What was given.
        first_layer: u32,
        /// What was given.
        end_layer: u32,
        /// Layers of the model.
        layer_count: u32,
    },
    /// A data centre that the network lacks.
    DataCentre {
        /// The server.
        backend: String,
        /// What was given.
        data_centre: u32,
        /// Data centres of the network.
        data_centre_count: u32,
    },
    /// A server that may run nothing.
    MaxRunning {
        /// The server.
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
                write!(f, "backend server {backend} is named twice")
            }
            FleetFinding::LayerRange {
                backend,
                first_layer,
                end_layer,
                layer_count,
            } => write!(
                f,
                "backend server {backend}: layers {first_layer}..{end_layer} \
                 are no part of 0..{layer_count}"
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
                "backend server {backend}: max_running 0 is below 1 request"
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
