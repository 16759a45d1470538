//! Orders to an engine and the load it reports.
//!
//! The types with `Body` in their name are the JSON at the border; the model
//! of an order stands in the path of its call.

use serde::{Deserialize, Serialize};

use crate::sequence::SequenceId;

/// An order to hold a range of layers of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapter on top of them.
    pub adapter: Option<String>,
    /// First layer to hold.
    pub first_layer: u32,
    /// Layer after the last one to hold.
    pub end_layer: u32,
    /// Fencing number of the lease the order is given under.
    pub fencing_number: u64,
}

/// The load of an engine, as of some moment before.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct EngineLoad {
    /// Steps in the running batch.
    pub running: u32,
    /// Steps that wait for a batch.
    pub waiting: u32,
    /// Positions held in KV memory.
    pub cache_used_tokens: u64,
    /// Positions that KV memory holds at most.
    pub cache_tokens: u64,
    /// When this was so.
    pub as_of_unix_ms: u64,
}

/// Body of a load call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadBody {
    /// Settings of the order.
    pub parameters: LoadParameters,
}

/// Settings of a load call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadParameters {
    /// Version of the weights.
    pub version: String,
    /// Adapter on top of them.
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
    /// The body of an order's call.
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

    /// The order, with the model that the path names.
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
    /// Sequences to forget, each `<request in hex>/<attempt>`.
    pub sequences: Vec<String>,
}

impl ReleaseBody {
    /// The body that releases sequences.
    pub fn new(sequences: &[SequenceId]) -> ReleaseBody {
        let sequences = sequences.iter().map(|s| s.to_string()).collect();
        ReleaseBody { sequences }
    }
}

/// Body of any answer that is an error.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: String,
    /// The fencing number held, when an order carried an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing_number: Option<u64>,
}
