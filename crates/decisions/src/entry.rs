//! A simulated entry: its state and its choice of chains.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    BackendIndex, ChainRequest, Choice, Chooser, Fleet, LiveState, NoChain,
    Policy, Presence, RequestOutcome, RequestShape, RetryBudget,
};

use crate::{
    baseline_chain::{CandidateFilter, ServersByLayer},
    case::Strategy,
};

/// Default of the daemon's retry budget.
const RETRY_BUDGET_PERCENT: u32 = 20;
/// Base of `Retry-After` if a baseline strategy finds no chain.
const NO_CHAIN_RETRY_MS: u64 = 1_000;

/// A simulated entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) live: LiveState,
    pub(crate) budget: RetryBudget,
    pub(crate) data_centre: u32,
    chooser: Chooser,
    policy: Policy,
    round_robin_counters: BTreeMap<u32, usize>,
    rng: fastrand::Rng,
}

/// State that all entries share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) strategy: Strategy,
    pub(crate) servers_by_layer: ServersByLayer,
    /// Exact number of requests in flight, by server.
    pub(crate) counts: Vec<u32>,
}

impl Entry {
    pub(crate) fn new(
        fleet: &Fleet,
        policy: Policy,
        data_centre: u32,
        seed: u64,
    ) -> Entry {
        let live = LiveState::new(fleet.len());
        for index in fleet.indices() {
            live.set_presence(index, Presence::Serving);
        }
        Entry {
            live,
            budget: RetryBudget::new(RETRY_BUDGET_PERCENT),
            data_centre,
            chooser: Chooser::new(),
            policy,
            round_robin_counters: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Chooses a chain.
    ///
    /// # Errors
    ///
    /// The time in ms after which the caller may retry.
    pub(crate) fn choose(
        &mut self,
        fleet: &Fleet,
        shared: &SharedState,
        shape: &RequestShape,
        avoid: &[BackendIndex],
        now_ms: u64,
    ) -> Result<Vec<BackendIndex>, u64> {
        match shared.strategy {
            Strategy::Sampled => {
                self.choose_by(Chooser::choose, fleet, shape, avoid, now_ms)
            }
            Strategy::FullScan => self.choose_by(
                Chooser::choose_by_full_scan,
                fleet,
                shape,
                avoid,
                now_ms,
            ),
            Strategy::RoundRobin
            | Strategy::LeastRequests
            | Strategy::SharedCounters => {
                let filter =
                    CandidateFilter { fleet, live: &self.live, avoid, now_ms };
                let rng = &mut self.rng;
                let round_robin_counters = &mut self.round_robin_counters;
                let chain =
                    baseline(shared, &filter, round_robin_counters, rng);
                chain.ok_or_else(|| add_jitter(NO_CHAIN_RETRY_MS, rng))
            }
        }
    }

    fn choose_by(
        &mut self,
        choose: ChooseFn,
        fleet: &Fleet,
        shape: &RequestShape,
        avoid: &[BackendIndex],
        now_ms: u64,
    ) -> Result<Vec<BackendIndex>, u64> {
        let request =
            ChainRequest::new(fleet, &self.live, shape, &self.policy, now_ms)
                .avoid(avoid)
                .entry_data_centre(self.data_centre);
        let choice = choose(&mut self.chooser, &request, &mut self.rng);
        match choice {
            Ok(choice) => Ok(choice.stages),
            Err(no_chain) => Err(no_chain.retry_after_ms),
        }
    }

    pub(crate) fn record_dispatch(
        &self,
        stages: &[BackendIndex],
        tokens: u32,
        now_ms: u64,
    ) {
        for index in stages {
            self.live.record_dispatch(*index, tokens, now_ms);
        }
    }

    /// Records `outcome` for the failed server, or for all stages if no
    /// server failed, as an entry does. The other stages count as cancelled.
    pub(crate) fn record_outcome(
        &self,
        stages: &[BackendIndex],
        tokens: u32,
        outcome: &RequestOutcome,
        failed_server: Option<BackendIndex>,
        now_ms: u64,
    ) {
        for index in stages {
            let applies = failed_server.is_none_or(|at| at == *index);
            let outcome =
                if applies { outcome } else { &RequestOutcome::Cancelled };
            self.live.record_outcome(*index, tokens, outcome, now_ms);
        }
    }
}

type ChooseFn = fn(
    &mut Chooser,
    &ChainRequest<'_>,
    &mut fastrand::Rng,
) -> Result<Choice, NoChain>;

fn baseline(
    shared: &SharedState,
    filter: &CandidateFilter<'_>,
    round_robin_counters: &mut BTreeMap<u32, usize>,
    rng: &mut fastrand::Rng,
) -> Option<Vec<BackendIndex>> {
    let servers_by_layer = &shared.servers_by_layer;
    match shared.strategy {
        Strategy::RoundRobin => {
            servers_by_layer.round_robin_chain(filter, round_robin_counters)
        }
        Strategy::LeastRequests => servers_by_layer
            .min_weight_chain(filter, |index| {
                (filter.live.in_flight(index), rng.u32(..))
            }),
        Strategy::SharedCounters => {
            servers_by_layer.min_weight_chain(filter, |index| {
                let count = shared.counts[index.0 as usize];
                let slots = filter.fleet.spec(index).max_running;
                (count * 1_000 / slots, rng.u32(..))
            })
        }
        Strategy::Sampled | Strategy::FullScan => None,
    }
}

fn add_jitter(base_ms: u64, rng: &mut fastrand::Rng) -> u64 {
    base_ms + rng.u64(0..=base_ms)
}
