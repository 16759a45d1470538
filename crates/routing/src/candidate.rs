//! A server that a chain search considered.

use serde::Serialize;

use crate::{
    cost::CostBreakdown,
    fleet::{BackendIndex, BackendSpec},
};

/// A server that a chain search considered.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// Index in the fleet.
    pub index: BackendIndex,
    /// Name of the server.
    pub backend: String,
    /// First layer that the server holds.
    pub first_layer: u32,
    /// End of the layer range, exclusive.
    pub end_layer: u32,
    /// Why the server was excluded, if no cost was computed.
    pub left_out: Option<ExclusionReason>,
    /// Cost of a stage on the server.
    pub cost: Option<CostBreakdown>,
    /// Whether the server is a stage of the chosen chain.
    pub is_chosen: bool,
}

/// Why a server was excluded from a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// The request must avoid the server.
    Avoided,
    /// The server is absent or draining.
    NotPresent,
    /// The server is suspect and other servers are available.
    Suspect,
}

impl Candidate {
    pub(crate) fn excluded(
        index: BackendIndex,
        spec: &BackendSpec,
        reason: ExclusionReason,
    ) -> Candidate {
        Candidate { left_out: Some(reason), ..Candidate::new(index, spec) }
    }

    pub(crate) fn evaluated(
        index: BackendIndex,
        spec: &BackendSpec,
        cost: CostBreakdown,
    ) -> Candidate {
        Candidate { cost: Some(cost), ..Candidate::new(index, spec) }
    }

    fn new(index: BackendIndex, spec: &BackendSpec) -> Candidate {
        Candidate {
            index,
            backend: spec.name.clone(),
            first_layer: spec.first_layer,
            end_layer: spec.end_layer,
            left_out: None,
            cost: None,
            is_chosen: false,
        }
    }
}
