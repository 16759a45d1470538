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

use std::fmt;

use crate::{
    cost::Pricing,
    fleet::{BackendIndex, Fleet},
    live::Live,
    policy::{Policy, Weights},
    priority::Priority,
    search::{Found, Reach, Search},
};

const MIN_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 30_000;
/// Without a server the fleet has to change first.
const NO_CANDIDATE_RETRY_MS: u64 = 1_000;

/// What matters of a request for the choice of its chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shape {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// What is left of the caller's time, from now.
    pub deadline_ms: u64,
    /// How urgent it is.
    pub priority: Priority,
    /// Key of its longest prefix that may be cached.
    pub prefix: Option<u64>,
}

impl Shape {
    /// A request of normal priority without a deadline or prefix.
    pub fn new(prompt_tokens: u32, output_tokens: u32) -> Shape {
        Shape {
            prompt_tokens,
            output_tokens,
            deadline_ms: u64::MAX,
            priority: Priority::Normal,
            prefix: None,
        }
    }

    /// What is left of the caller's time, from now.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Shape {
        self.deadline_ms = deadline_ms;
        self
    }

    /// How urgent it is.
    pub fn priority(mut self, priority: Priority) -> Shape {
        self.priority = priority;
        self
    }

    /// Key of its longest prefix that may be cached.
    pub fn prefix(mut self, prefix: u64) -> Shape {
        self.prefix = Some(prefix);
        self
    }

    /// Prompt and answer together.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
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

/// No chain for a request: nothing was sent anywhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoChain {
    /// Why.
    pub reason: NoChainReason,
    /// When to come back, spread so that callers do not come together.
    pub retry_after_ms: u64,
}

/// Why there is no chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum NoChainReason {
    /// No server that is there continues from a layer.
    NoCandidate {
        /// The layer.
        first_layer: u32,
    },
    /// There are servers, but the request has to avoid all of them.
    AllAvoided,
    /// The fastest chain found is too slow.
    TooLate {
        /// What it needs.
        needed_ms: u64,
    },
}

impl fmt::Display for NoChain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            NoChainReason::NoCandidate { first_layer } => {
                write!(f, "no backend server continues at layer {first_layer}")
            }
            NoChainReason::AllAvoided => {
                f.write_str("every backend server has been tried")
            }
            NoChainReason::TooLate { needed_ms } => {
                write!(f, "the fastest chain needs {needed_ms} ms")
            }
        }
    }
}

impl std::error::Error for NoChain {}

/// Chooses the chain of a request; see the module.
///
/// # Panics
///
/// When `live` is of another fleet and shorter.
#[allow(clippy::too_many_arguments)]
pub fn choose(
    fleet: &Fleet,
    live: &Live,
    shape: &Shape,
    policy: &Policy,
    avoid: &[BackendIndex],
    entry_data_centre: u32,
    now_ms: u64,
    rng: &mut fastrand::Rng,
) -> Result<Choice, NoChain> {
    Chooser::new().choose(
        fleet,
        live,
        shape,
        policy,
        avoid,
        entry_data_centre,
        now_ms,
        rng,
    )
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
    #[allow(clippy::too_many_arguments)]
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        live: &Live,
        shape: &Shape,
        policy: &Policy,
        avoid: &[BackendIndex],
        entry_data_centre: u32,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let pricing = Pricing::new(fleet, live, shape, policy, now_ms);
        let choice = self.run(pricing, avoid, entry_data_centre, rng)?;
        remember(fleet, live, &choice.stages);
        Ok(choice)
    }

    /// Like [`Chooser::choose`] over every server: what sampling is measured
    /// against. Its cost grows with the fleet.
    #[allow(clippy::too_many_arguments)]
    pub fn choose_by_full_scan(
        &mut self,
        fleet: &Fleet,
        live: &Live,
        shape: &Shape,
        policy: &Policy,
        avoid: &[BackendIndex],
        entry_data_centre: u32,
        now_ms: u64,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let pricing = Pricing::new(fleet, live, shape, policy, now_ms);
        let entry = entry_data_centre;
        match self.search.run(&pricing, avoid, entry, Reach::All, rng) {
            Ok(found) => Ok(self.choice(&found)),
            Err(reason) => Err(no_chain(reason, rng)),
        }
    }

    pub(crate) fn search_mut(&mut self) -> &mut Search {
        &mut self.search
    }

    pub(crate) fn run(
        &mut self,
        mut pricing: Pricing<'_>,
        avoid: &[BackendIndex],
        entry: u32,
        rng: &mut fastrand::Rng,
    ) -> Result<Choice, NoChain> {
        let deadline_ms = pricing.shape.deadline_ms;
        let found = self
            .find(&pricing, avoid, entry, rng)
            .map_err(|reason| no_chain(reason, rng))?;
        if found.total_ms <= deadline_ms as f64 {
            return Ok(self.choice(&found));
        }
        pricing.weights = Weights::fastest();
        let found = self
            .find(&pricing, avoid, entry, rng)
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
        avoid: &[BackendIndex],
        entry: u32,
        rng: &mut fastrand::Rng,
    ) -> Result<Found, NoChainReason> {
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
fn remember(fleet: &Fleet, live: &Live, stages: &[BackendIndex]) {
    let mut boundary = 0;
    for &index in stages {
        live.memory().note(boundary, index);
        boundary = fleet.facts(index).next_boundary as usize;
    }
}

fn no_chain(reason: NoChainReason, rng: &mut fastrand::Rng) -> NoChain {
    let base_ms = match reason {
        NoChainReason::NoCandidate { .. } => NO_CANDIDATE_RETRY_MS,
        NoChainReason::AllAvoided => MIN_RETRY_MS,
        // Half of it: others finish while this caller waits.
        NoChainReason::TooLate { needed_ms } => {
            (needed_ms / 2).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
        }
    };
    NoChain { reason, retry_after_ms: base_ms + rng.u64(0..=base_ms) }
}
