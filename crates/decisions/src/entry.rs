//! One entry: what it knows and how it chooses.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    BackendIndex, ChainRequest, Choice, Chooser, Fleet, LiveState, NoChain,
    Policy, Presence, RequestOutcome, RequestShape, RetryBudget,
};

use crate::{
    baseline_chain::{CandidateFilter, ServersByLayer},
    case::Strategy,
};

/// Settings of the daemon, as they are by default.
const RETRY_BUDGET_PERCENT: u32 = 20;
/// When to come back where a baseline finds no chain.
const NO_CHAIN_RETRY_MS: u64 = 1_000;

/// One entry.
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

/// What all entries share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) strategy: Strategy,
    pub(crate) servers_by_layer: ServersByLayer,
    /// Exact counts of requests, by server.
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

    /// The chain for a request, or when to come back.
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
                let view =
                    CandidateFilter { fleet, live: &self.live, avoid, now_ms };
                let rng = &mut self.rng;
                let round_robin_counters = &mut self.round_robin_counters;
                let chain = baseline(shared, &view, round_robin_counters, rng);
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

    /// As a session tells it: `ended` for the server at fault, or for all.
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
    view: &CandidateFilter<'_>,
    round_robin_counters: &mut BTreeMap<u32, usize>,
    rng: &mut fastrand::Rng,
) -> Option<Vec<BackendIndex>> {
    let servers_by_layer = &shared.servers_by_layer;
    match shared.strategy {
        Strategy::RoundRobin => {
            servers_by_layer.round_robin_chain(view, round_robin_counters)
        }
        Strategy::LeastRequests => servers_by_layer
            .min_weight_chain(view, |index| {
                (view.live.in_flight(index), rng.u32(..))
            }),
        Strategy::SharedCounters => {
            servers_by_layer.min_weight_chain(view, |index| {
                let count = shared.counts[index.0 as usize];
                let slots = view.fleet.spec(index).max_running;
                (count * 1_000 / slots, rng.u32(..))
            })
        }
        Strategy::Sampled | Strategy::FullScan => None,
    }
}

fn add_jitter(base_ms: u64, rng: &mut fastrand::Rng) -> u64 {
    base_ms + rng.u64(0..=base_ms)
}
