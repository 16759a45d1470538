//! Why a chain was chosen.
//!
//! The same search as [`crate::choose`], with a record of what it looked at.
//! With the same `rng` state it comes to the chain that a choice at this
//! moment would come to. A choice is remembered (see `memory`), explaining is
//! not.

use serde::Serialize;

use crate::{
    candidate::Candidate,
    chain::{ChainRequest, Chooser},
    fleet::BackendIndex,
    no_chain::{NoChain, NoChainReason},
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

/// Like [`crate::choose`], with what it looked at.
pub fn explain(
    need: &ChainRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Explanation {
    let mut chooser = Chooser::new();
    chooser.search_mut().record = Some(Vec::new());
    let result = chooser.run(need, rng);
    let record = chooser.search_mut().record.take().unwrap_or_default();
    match result {
        Ok(choice) => {
            let name = |&i: &BackendIndex| need.fleet().spec(i).name.clone();
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
