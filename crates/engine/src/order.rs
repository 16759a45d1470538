//! Orders to an engine and the load that the engine reports.
//!
//! The types with `Body` in their name are the JSON bodies of calls. The model
//! of an order is part of the URL path.

use serde::{Deserialize, Serialize};

use crate::sequence::SequenceId;

/// An order to hold a range of layers of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapter that is applied to the weights.
    pub adapter: Option<String>,
    /// First layer to hold.
    pub first_layer: u32,
    /// Layer after the last one to hold.
    pub end_layer: u32,
    /// Fencing number of the lease under which the order is issued.
    pub fencing_number: u64,
}

/// The load of an engine at `as_of_unix_ms`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct EngineLoad {
    /// Steps in the running batch.
    pub running: u32,
    /// Steps that wait for a batch.
    pub waiting: u32,
    /// Token positions in use in the KV cache.
    pub cache_used_tokens: u64,
    /// Capacity of the KV cache, in token positions.
    pub cache_tokens: u64,
    /// Unix time of the measurement, in milliseconds.
    pub as_of_unix_ms: u64,
}

/// Body of a load call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadBody {
    /// Parameters of the order.
    pub parameters: LoadParameters,
}

/// Parameters of a load call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadParameters {
    /// Version of the weights.
    pub version: String,
    /// Adapter that is applied to the weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// First layer to hold.
    pub first_layer: u32,
    /// Layer after the last one to hold.
    pub end_layer: u32,
    /// Fencing number of the lease.
    pub fencing_number: u64,
}

impl LoadBody {
    /// Creates the body for an order.
    pub fn new(order: &LoadOrder) -> LoadBody {
        LoadBody {
            parameters: LoadParameters {
                version: order.version.clone(),
                adapter: order.adapter.clone(),
                first_layer: order.first_layer,
                end_layer: order.end_layer,
                fencing_number: order.fencing_number,
            },
        }
    }

    /// Converts the body to an order; `model` comes from the URL path.
    pub fn into_order(self, model: &str) -> LoadOrder {
        let parameters = self.parameters;
        LoadOrder {
            model: model.to_owned(),
            version: parameters.version,
            adapter: parameters.adapter,
            first_layer: parameters.first_layer,
            end_layer: parameters.end_layer,
            fencing_number: parameters.fencing_number,
        }
    }
}

/// Body of a release call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReleaseBody {
    /// Sequences to release, each as `<request in hex>/<attempt>`.
    pub sequences: Vec<String>,
}

impl ReleaseBody {
    /// Creates the body that releases `sequences`.
    pub fn new(sequences: &[SequenceId]) -> ReleaseBody {
        let sequences = sequences.iter().map(|s| s.to_string()).collect();
        ReleaseBody { sequences }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: String,
    /// The engine's fencing number, if the order carried an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing_number: Option<u64>,
}
