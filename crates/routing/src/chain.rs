//! The chain of a request: which backend servers run which layers.
//!
//! A chain tiles `0..L` exactly. At each layer boundary a few candidates are
//! drawn, the last ones chosen are added (see `memory`), and the cheapest tiling through them is found in one pass from
//! layer 0 to `L` (see `search`); the cost is that of [`crate::policy`]. The
//! work depends on the number of boundaries, not of servers.
//!
//! | what is missing | what happens |
//! |---|---|
//! | no healthy candidate drawn at a boundary | that boundary is scanned |
//! | none healthy at all | suspect ones are taken (the floor of `health`) |
//! | no tiling through the candidates | all boundaries are scanned |
//! | none through healthy ones | suspect ones are taken, as few as can be |
//! | the cheapest tiling is too late | the fastest is looked for |
//! | that one is too late as well | [`NoChainReason::TooLate`] |

use crate::{
    cost::Pricing,
    fleet::{BackendIndex, Fleet},
    live_state::LiveState,
    no_chain::{NoChain, NoChainReason, no_chain},
    policy::{Policy, Weights},
    request_shape::RequestShape,
    search::{Found, Reach, Search},
};

/// What a chain is chosen for, and from what.
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
    /// Asked by an entry in data centre 0, with no server to avoid.
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

    /// Servers that the request has to avoid.
    pub fn avoid(mut self, avoid: &'a [BackendIndex]) -> ChainRequest<'a> {
        self.avoid = avoid;
        self
    }

    /// Data centre of the entry, as an index.
    pub fn entry_data_centre(mut self, index: u32) -> ChainRequest<'a> {
        self.entry_data_centre = index;
        self
    }

    pub(crate) fn fleet(&self) -> &'a Fleet {
        self.fleet
    }

    fn pricing(&self) -> Pricing<'a> {
        let ChainRequest { fleet, live, shape, policy, now_ms, .. } = *self;
        Pricing::new(fleet, live, shape, policy, now_ms)
    }
}

/// A chain for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The servers, from layer 0 up.
    pub stages: Vec<BackendIndex>,
    /// Expected time to the first token.
    pub first_token_ms: u64,
    /// Expected time to the end.
    pub total_ms: u64,
    /// Price of the hardware's time, in millionths of the currency.
    pub price_micros: u64,
    /// What the chain was ranked by.
    pub cost: f64,
}

/// Chooses the chain of a request; see the module.
///
/// # Panics
///
/// When `live` is of another fleet and shorter.
pub fn choose(
    need: &ChainRequest<'_>,
    rng: &mut fastrand::Rng,
) -> Result<Choice, NoChain> {
    Chooser::new().choose(need, rng)
}

/// Chooses with buffers that are kept between choices.
#[derive(Debug, Default)]
pub struct Chooser {
    search: Search,
}

impl Chooser {
    /// Empty buffers.
    pub fn new() -> Chooser {
        Chooser::default()
    }

    /// Like [`choose`].
    pub fn choose(
        &mut self,
        need: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let choice = self.run(need, rng)?;
        remember(need.fleet, need.live, &choice.stages);
        Ok(choice)
    }

    /// Like [`Chooser::choose`] over every server: what sampling is measured
    /// against. Its cost grows with the fleet.
    pub fn choose_by_full_scan(
        &mut self,
        need: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let pricing = need.pricing();
        let entry = need.entry_data_centre;
        match self.search.run(&pricing, need.avoid, entry, Reach::All, rng) {
            Ok(found) => Ok(self.choice(&found)),
            Err(reason) => Err(no_chain(reason, rng)),
        }
    }

    pub(crate) fn search_mut(&mut self) -> &mut Search {
        &mut self.search
    }

    pub(crate) fn run(
        &mut self,
        need: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let mut pricing = need.pricing();
        let deadline_ms = pricing.shape.deadline_ms;
        let found = self
            .find(&pricing, need, rng)
            .map_err(|reason| no_chain(reason, rng))?;
        if found.total_ms <= deadline_ms as f64 {
            return Ok(self.choice(&found));
        }
        pricing.weights = Weights::fastest();
        let found = self
            .find(&pricing, need, rng)
            .map_err(|reason| no_chain(reason, rng))?;
        if found.total_ms <= deadline_ms as f64 {
            return Ok(self.choice(&found));
        }
        let needed_ms = found.total_ms.ceil() as u64;
        Err(no_chain(NoChainReason::TooLate { needed_ms }, rng))
    }

    fn find(
        &mut self,
        pricing: &Pricing<'_>,
        need: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<Found, NoChainReason> {
        let (avoid, entry) = (need.avoid, need.entry_data_centre);
        let mut run =
            |reach| self.search.run(pricing, avoid, entry, reach, rng);
        run(Reach::Sampled)
            .or_else(|_| run(Reach::All))
            .or_else(|_| run(Reach::AllAndSuspect))
    }

    fn choice(&self, found: &Found) -> Choice {
        Choice {
            stages: self.search.stages(found),
            first_token_ms: found.first_token_ms.ceil() as u64,
            total_ms: found.total_ms.ceil() as u64,
            price_micros: found.price_micros.ceil() as u64,
            cost: found.cost,
        }
    }
}

/// The next choice looks at the same servers again.
fn remember(fleet: &Fleet, live: &LiveState, stages: &[BackendIndex]) {
    let mut boundary = 0;
    for &index in stages {
        live.memory().note(boundary, index);
        boundary = fleet.facts(index).next_boundary as usize;
    }
}
