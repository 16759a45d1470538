//! Choice of the chain of a request: which backend servers run which layers.
//!
//! The layer ranges of a chain cover `0..L` without gaps or overlaps. At each
//! layer boundary the search samples a few candidates and adds the servers
//! that were chosen most recently (see `recent_choices`). One pass from layer
//! 0 to `L` finds the cheapest chain through these candidates (see `search`)
//! under the cost function of [`crate::policy`]. The time of a choice depends
//! on the number of boundaries, not on the number of servers.
//!
//! | condition | fallback |
//! |---|---|
//! | no healthy candidate sampled at a boundary | scan of that boundary |
//! | no healthy server at a boundary | suspect servers of that boundary |
//! | no chain through the candidates | scan of all boundaries |
//! | no chain through healthy servers | a chain with few suspect servers |
//! | the cheapest chain misses the deadline | search for the fastest chain |
//! | the fastest chain misses the deadline | [`NoChainReason::TooLate`] |

use crate::{
    cost::CostContext,
    fleet::{BackendIndex, Fleet},
    live_state::LiveState,
    no_chain::{NoChain, NoChainReason, no_chain},
    policy::{CostWeights, Policy},
    request_shape::RequestShape,
    search::{FoundChain, Search, SearchScope},
};

/// Input of a chain choice.
#[derive(Clone, Copy, Debug)]
pub struct ChainRequest<'a> {
    fleet: &'a Fleet,
    live: &'a LiveState,
    shape: &'a RequestShape,
    policy: &'a Policy,
    avoid: &'a [BackendIndex],
    entry_data_centre: u32,
    now_ms: u64,
}

impl<'a> ChainRequest<'a> {
    /// A request at an entry in data centre 0, with no servers to avoid.
    pub fn new(
        fleet: &'a Fleet,
        live: &'a LiveState,
        shape: &'a RequestShape,
        policy: &'a Policy,
        now_ms: u64,
    ) -> ChainRequest<'a> {
        ChainRequest {
            fleet,
            live,
            shape,
            policy,
            avoid: &[],
            entry_data_centre: 0,
            now_ms,
        }
    }

    /// Sets the servers that the request must avoid.
    pub fn avoid(mut self, avoid: &'a [BackendIndex]) -> ChainRequest<'a> {
        self.avoid = avoid;
        self
    }

    /// Sets the data centre of the entry, as an index.
    pub fn entry_data_centre(mut self, index: u32) -> ChainRequest<'a> {
        self.entry_data_centre = index;
        self
    }

    pub(crate) fn fleet(&self) -> &'a Fleet {
        self.fleet
    }

    fn context(&self) -> CostContext<'a> {
        let ChainRequest { fleet, live, shape, policy, now_ms, .. } = *self;
        CostContext::new(fleet, live, shape, policy, now_ms)
    }
}

/// The chain chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Servers in order of their layers.
    pub stages: Vec<BackendIndex>,
    /// Expected time to the first token.
    pub first_token_ms: u64,
    /// Expected time until the response is complete.
    pub total_ms: u64,
    /// Price of the server time, in millionths of the currency.
    pub price_micros: u64,
    /// Cost by which the search ranked the chain.
    pub cost: f64,
}

/// Chooses the chain of a request, as described in the module documentation.
///
/// # Panics
///
/// Panics if `live` has fewer servers than the fleet.
pub fn choose(
    request: &ChainRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Result<Choice, NoChain> {
    Chooser::new().choose(request, rng)
}

/// Chooses chains and reuses its buffers between choices.
#[derive(Debug, Default)]
pub struct Chooser {
    search: Search,
}

impl Chooser {
    /// A chooser with empty buffers.
    pub fn new() -> Chooser {
        Chooser::default()
    }

    /// Chooses the chain of a request, as [`choose`] does.
    pub fn choose(
        &mut self,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let choice = self.run(request, rng)?;
        record_choice(request.fleet, request.live, &choice.stages);
        Ok(choice)
    }

    /// Chooses from all servers instead of samples, as a reference for the
    /// quality of sampling. The time grows with the size of the fleet.
    pub fn choose_by_full_scan(
        &mut self,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let ctx = request.context();
        let entry = request.entry_data_centre;
        match self.search.run(
            &ctx,
            request.avoid,
            entry,
            SearchScope::All,
            rng,
        ) {
            Ok(found) => Ok(self.choice(&found)),
            Err(reason) => Err(no_chain(reason, rng)),
        }
    }

    pub(crate) fn search_mut(&mut self) -> &mut Search {
        &mut self.search
    }

    pub(crate) fn run(
        &mut self,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let mut ctx = request.context();
        let deadline_ms = ctx.shape.deadline_ms;
        let found = self
            .find(&ctx, request, rng)
            .map_err(|reason| no_chain(reason, rng))?;
        if found.total_ms <= deadline_ms as f64 {
            return Ok(self.choice(&found));
        }
        ctx.weights = CostWeights::fastest();
        let found = self
            .find(&ctx, request, rng)
            .map_err(|reason| no_chain(reason, rng))?;
        if found.total_ms <= deadline_ms as f64 {
            return Ok(self.choice(&found));
        }
        let needed_ms = found.total_ms.ceil() as u64;
        Err(no_chain(NoChainReason::TooLate { needed_ms }, rng))
    }

    fn find(
        &mut self,
        ctx: &CostContext<'_>,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<FoundChain, NoChainReason> {
        let (avoid, entry) = (request.avoid, request.entry_data_centre);
        let mut run = |scope| self.search.run(ctx, avoid, entry, scope, rng);
        run(SearchScope::Sampled)
            .or_else(|_| run(SearchScope::All))
            .or_else(|_| run(SearchScope::AllIncludingSuspect))
    }

    fn choice(&self, found: &FoundChain) -> Choice {
        Choice {
            stages: self.search.stages(found),
            first_token_ms: found.first_token_ms.ceil() as u64,
            total_ms: found.total_ms.ceil() as u64,
            price_micros: found.price_micros.ceil() as u64,
            cost: found.cost,
        }
    }
}

/// Makes the servers of a chain candidates of the next choices.
fn record_choice(fleet: &Fleet, live: &LiveState, stages: &[BackendIndex]) {
    let mut boundary = 0;
    for &index in stages {
        live.recent_choices().record(boundary, index);
        boundary = fleet.cost_inputs(index).next_boundary as usize;
    }
}
