//! A server that a search looked at.

use serde::Serialize;

use crate::{
    cost::CostBreakdown,
    fleet::{BackendIndex, BackendSpec},
};

/// One server that was looked at.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// Its place in the fleet.
    pub index: BackendIndex,
    /// Its name.
    pub backend: String,
    /// First layer it holds.
    pub first_layer: u32,
    /// First layer it no longer holds.
    pub end_layer: u32,
    /// Why it was left out before its cost was looked at.
    pub left_out: Option<ExclusionReason>,
    /// What a stage there would cost.
    pub cost: Option<CostBreakdown>,
    /// Part of the chain.
    pub is_chosen: bool,
}

/// Why a server was left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// The request has to avoid it.
    Avoided,
    /// Absent or leaving.
    NotPresent,
    /// Its health is in doubt, and others are there.
    Suspect,
}

impl Candidate {
    pub(crate) fn left_out(
        index: BackendIndex,
        spec: &BackendSpec,
        reason: ExclusionReason,
    ) -> Candidate {
        Candidate { left_out: Some(reason), ..Candidate::bare(index, spec) }
    }

    pub(crate) fn weighed(
        index: BackendIndex,
        spec: &BackendSpec,
        cost: CostBreakdown,
    ) -> Candidate {
        Candidate { cost: Some(cost), ..Candidate::bare(index, spec) }
    }

    fn bare(index: BackendIndex, spec: &BackendSpec) -> Candidate {
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
