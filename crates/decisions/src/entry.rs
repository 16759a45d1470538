//! One entry: what it knows and how it chooses.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    BackendIndex, ChainRequest, Choice, Chooser, Fleet, LiveState, NoChain,
    Policy, Presence, RequestOutcome, RequestShape, RetryBudget,
};

use crate::{
    case::Way,
    pick::{Starts, View},
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
    turns: BTreeMap<u32, usize>,
    rng: fastrand::Rng,
}

/// What all entries share.
#[derive(Debug)]
pub(crate) struct Common {
    pub(crate) way: Way,
    pub(crate) starts: Starts,
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
            turns: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The chain for a request, or when to come back.
    pub(crate) fn choose(
        &mut self,
        fleet: &Fleet,
        common: &Common,
        shape: &RequestShape,
        avoid: &[BackendIndex],
        now_ms: u64,
    ) -> Result<Vec<BackendIndex>, u64> {
        match common.way {
            Way::Sampled => {
                self.choose_by(Chooser::choose, fleet, shape, avoid, now_ms)
            }
            Way::FullScan => self.choose_by(
                Chooser::choose_by_full_scan,
                fleet,
                shape,
                avoid,
                now_ms,
            ),
            Way::RoundRobin | Way::LeastRequests | Way::SharedCounters => {
                let view = View { fleet, live: &self.live, avoid, now_ms };
                let rng = &mut self.rng;
                let turns = &mut self.turns;
                let chain = baseline(common, &view, turns, rng);
                chain.ok_or_else(|| spread(NO_CHAIN_RETRY_MS, rng))
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
        let need =
            ChainRequest::new(fleet, &self.live, shape, &self.policy, now_ms)
                .avoid(avoid)
                .entry_data_centre(self.data_centre);
        let choice = choose(&mut self.chooser, &need, &mut self.rng);
        match choice {
            Ok(choice) => Ok(choice.stages),
            Err(no_chain) => Err(no_chain.retry_after_ms),
        }
    }

    pub(crate) fn sent(
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
    pub(crate) fn ended(
        &self,
        stages: &[BackendIndex],
        tokens: u32,
        ended: &RequestOutcome,
        at_fault: Option<BackendIndex>,
        now_ms: u64,
    ) {
        for index in stages {
            let is_meant = at_fault.is_none_or(|at| at == *index);
            let ended =
                if is_meant { ended } else { &RequestOutcome::Cancelled };
            self.live.record_outcome(*index, tokens, ended, now_ms);
        }
    }
}

type ChooseFn = fn(
    &mut Chooser,
    &ChainRequest<'_>,
    &mut fastrand::Rng,
) -> Result<Choice, NoChain>;

fn baseline(
    common: &Common,
    view: &View<'_>,
    turns: &mut BTreeMap<u32, usize>,
    rng: &mut fastrand::Rng,
) -> Option<Vec<BackendIndex>> {
    let starts = &common.starts;
    match common.way {
        Way::RoundRobin => starts.next_in_turn(view, turns),
        Way::LeastRequests => starts
            .least(view, |index| (view.live.in_flight(index), rng.u32(..))),
        Way::SharedCounters => starts.least(view, |index| {
            let count = common.counts[index.0 as usize];
            let places = view.fleet.spec(index).max_running;
            (count * 1_000 / places, rng.u32(..))
        }),
        Way::Sampled | Way::FullScan => None,
    }
}

fn spread(base_ms: u64, rng: &mut fastrand::Rng) -> u64 {
    base_ms + rng.u64(0..=base_ms)
}
