//! Explanation of a chain choice.
//!
//! [`explain()`] runs the same search as [`crate::choose`] and records the
//! candidates. With the same `rng` state both find the same chain. Unlike a
//! choice, an explanation is not stored in `recent_choices`.

use serde::Serialize;

use crate::{
    candidate::Candidate,
    chain::{ChainRequest, Chooser},
    fleet::BackendIndex,
    no_chain::{NoChain, NoChainReason},
};

/// Candidates and result of a chain choice.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Names of the chain's servers in order of their layers; empty if no
    /// chain was found.
    pub stages: Vec<String>,
    /// Expected time to the first token.
    pub first_token_ms: u64,
    /// Expected time until the response is complete.
    pub total_ms: u64,
    /// Price of the server time, in millionths of the currency.
    pub price_micros: u64,
    /// Cost by which the search ranked the chain; 0 if no chain was found.
    pub cost: f64,
    /// Why no chain was found.
    pub no_chain: Option<String>,
    /// When the caller may retry, if no chain was found.
    pub retry_after_ms: Option<u64>,
    /// Time that the fastest chain needs, if that misses the deadline.
    pub needed_ms: Option<u64>,
    /// Every server that the search considered, in order. A server is listed
    /// again when the search repeats with a larger scope.
    pub candidates: Vec<Candidate>,
}

/// Chooses a chain as [`crate::choose`] does and returns the candidates.
pub fn explain(
    request: &ChainRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Explanation {
    let mut chooser = Chooser::new();
    chooser.search_mut().record = Some(Vec::new());
    let result = chooser.run(request, rng);
    let record = chooser.search_mut().record.take().unwrap_or_default();
    match result {
        Ok(choice) => {
            let name =
                |&i: &BackendIndex| request.fleet().spec(i).name.clone();
            Explanation {
                stages: choice.stages.iter().map(name).collect(),
                first_token_ms: choice.first_token_ms,
                total_ms: choice.total_ms,
                price_micros: choice.price_micros,
                cost: choice.cost,
                candidates: mark_chosen(record, &choice.stages),
                ..empty_explanation()
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
        ..empty_explanation()
    }
}

fn mark_chosen(
    mut record: Vec<Candidate>,
    stages: &[BackendIndex],
) -> Vec<Candidate> {
    for candidate in &mut record {
        candidate.is_chosen =
            candidate.cost.is_some() && stages.contains(&candidate.index);
    }
    record
}

fn empty_explanation() -> Explanation {
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
