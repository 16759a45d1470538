//! Why a chain was chosen.
//!
//! The same search as [`crate::choose`], with a record of what it looked at.
//! With the same `rng` state it comes to the chain that a choice at this
//! moment would come to. A choice is remembered (see `memory`), explaining is
//! not.

use serde::Serialize;

use crate::{
    chain::{Chooser, NoChain, NoChainReason, Shape},
    cost::Pricing,
    fleet::{BackendIndex, BackendSpec, Fleet},
    live::Live,
    policy::Policy,
};

/// What a choice looked at and came to.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Names of the chain's servers, from layer 0 up; empty without a chain.
    pub stages: Vec<String>,
    /// Expected time to the first token.
    pub first_token_ms: u64,
    /// Expected time to the end.
    pub total_ms: u64,
    /// Price of the hardware's time, in millionths of the currency.
    pub price_micros: u64,
    /// What the chain was ranked by; 0 without a chain.
    pub cost: f64,
    /// Why there is no chain.
    pub no_chain: Option<String>,
    /// When to come back without a chain.
    pub retry_after_ms: Option<u64>,
    /// What is needed by the fastest chain, where that is too late.
    pub needed_ms: Option<u64>,
    /// Every server that was looked at, in order; one may stand twice when
    /// the search had to look again.
    pub candidates: Vec<Candidate>,
}

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
    pub left_out: Option<LeftOut>,
    /// What a stage there would cost.
    pub cost: Option<CostParts>,
    /// Part of the chain.
    pub is_chosen: bool,
}

/// Why a server was left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOut {
    /// The request has to avoid it.
    Avoided,
    /// Absent or leaving.
    NotPresent,
    /// Its health is in doubt, and others are there.
    Suspect,
}

/// Parts of a stage's cost.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostParts {
    /// Wait until it begins; a chain counts its longest only.
    pub wait_ms: f64,
    /// The prompt.
    pub prompt_ms: f64,
    /// One output token.
    pub step_ms: f64,
    /// Price of its time, in millionths of the currency.
    pub price_micros: f64,
    /// Load as share of its places, with the ramp and unseen requests.
    pub utilisation: f64,
    /// The price as it counts.
    pub weighted_price: f64,
    /// The load as it counts.
    pub weighted_load: f64,
    /// All but the wait as it counts, moved within the near-equal band.
    pub weighted: f64,
}

impl Candidate {
    pub(crate) fn left_out(
        index: BackendIndex,
        spec: &BackendSpec,
        reason: LeftOut,
    ) -> Candidate {
        Candidate { left_out: Some(reason), ..Candidate::bare(index, spec) }
    }

    pub(crate) fn weighed(
        index: BackendIndex,
        spec: &BackendSpec,
        cost: CostParts,
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

/// Like [`crate::choose`], with what it looked at.
#[allow(clippy::too_many_arguments)]
pub fn explain(
    fleet: &Fleet,
    live: &Live,
    shape: &Shape,
    policy: &Policy,
    avoid: &[BackendIndex],
    entry_data_centre: u32,
    now_ms: u64,
    rng: &mut fastrand::Rng,
) -> Explanation {
    let mut chooser = Chooser::new();
    chooser.search_mut().record = Some(Vec::new());
    let pricing = Pricing::new(fleet, live, shape, policy, now_ms);
    let result = chooser.run(pricing, avoid, entry_data_centre, rng);
    let record = chooser.search_mut().record.take().unwrap_or_default();
    match result {
        Ok(choice) => {
            let name = |&i: &BackendIndex| fleet.spec(i).name.clone();
            Explanation {
                stages: choice.stages.iter().map(name).collect(),
                first_token_ms: choice.first_token_ms,
                total_ms: choice.total_ms,
                price_micros: choice.price_micros,
                cost: choice.cost,
                candidates: mark(record, &choice.stages),
                ..nothing()
            }
        }
        Err(no_chain) => without_chain(no_chain, record),
    }
}

fn without_chain(no_chain: NoChain, record: Vec<Candidate>) -> Explanation {
    let needed_ms = match no_chain.reason {
        NoChainReason::TooLate { needed_ms } => Some(needed_ms),
        _ => None,
    };
    Explanation {
        no_chain: Some(no_chain.to_string()),
        retry_after_ms: Some(no_chain.retry_after_ms),
        needed_ms,
        candidates: record,
        ..nothing()
    }
}

fn mark(
    mut record: Vec<Candidate>,
    stages: &[BackendIndex],
) -> Vec<Candidate> {
    for candidate in &mut record {
        candidate.is_chosen =
            candidate.cost.is_some() && stages.contains(&candidate.index);
    }
    record
}

fn nothing() -> Explanation {
    Explanation {
        stages: Vec::new(),
        first_token_ms: 0,
        total_ms: 0,
        price_micros: 0,
        cost: 0.0,
        no_chain: None,
        retry_after_ms: None,
        needed_ms: None,
        candidates: Vec::new(),
    }
}
