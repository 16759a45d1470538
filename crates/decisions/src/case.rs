//! One run: which way of choosing, under which load.

use std::fmt;

/// A way of choosing chains.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Strategy {
    /// The router's own choice over sampled candidates.
    Sampled,
    /// The same cost over all servers.
    FullScan,
    /// Each entry takes the servers of a layer in turn.
    RoundRobin,
    /// Fewest requests in flight from this entry.
    LeastRequests,
    /// Fewest requests in flight for its places, counted exactly in the
    /// table service.
    SharedCounters,
}

impl Strategy {
    /// Every way, in the order of reports.
    pub const ALL: [Strategy; 5] = [
        Strategy::Sampled,
        Strategy::FullScan,
        Strategy::RoundRobin,
        Strategy::LeastRequests,
        Strategy::SharedCounters,
    ];

    /// Its name in arguments and reports.
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Sampled => "sampled",
            Strategy::FullScan => "full-scan",
            Strategy::RoundRobin => "round-robin",
            Strategy::LeastRequests => "least-requests",
            Strategy::SharedCounters => "shared-counters",
        }
    }
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How much each account asks for, against its share of the weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// Its share.
    Even,
    /// Its share and twice its share in turns, so that at twice the bound
    /// every account is backlogged by another factor.
    Skewed,
    /// The account at this place ten times its share, the others theirs.
    Greedy(usize),
}

impl Demand {
    pub(crate) fn demand_factor(self, account: usize) -> f64 {
        match self {
            Demand::Even => 1.0,
            Demand::Skewed if account.is_multiple_of(2) => 1.0,
            Demand::Skewed => 2.0,
            Demand::Greedy(greedy) if account == greedy => 10.0,
            Demand::Greedy(_) => 1.0,
        }
    }
}

/// What a later stage does that has no place free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LaterStagePolicy {
    /// Refuses; all later stages are asked at the same time.
    Refuse,
    /// Lets the request wait for a while; stages are asked in the order of
    /// their layers.
    Wait,
}

impl LaterStagePolicy {
    /// Both.
    pub const ALL: [LaterStagePolicy; 2] =
        [LaterStagePolicy::Refuse, LaterStagePolicy::Wait];

    /// Its name in arguments.
    pub fn name(self) -> &'static str {
        match self {
            LaterStagePolicy::Refuse => "refuses",
            LaterStagePolicy::Wait => "waits",
        }
    }
}

/// Settings of a run, set by chained methods.
#[derive(Clone, Debug)]
pub struct Case {
    pub(crate) strategy: Strategy,
    pub(crate) load_percent: u32,
    pub(crate) seed: u64,
    pub(crate) warm_up_ms: u64,
    pub(crate) measure_ms: u64,
    pub(crate) entry_count: u32,
    pub(crate) report_every_ms: u64,
    pub(crate) report_lag_ms: u64,
    pub(crate) recovery_weight_percent: Option<u32>,
    pub(crate) demand: Demand,
    pub(crate) refuses_late: bool,
    pub(crate) max_caller_retries: u32,
    pub(crate) adds_server: bool,
    pub(crate) later_stage_policy: LaterStagePolicy,
}

impl Case {
    /// A run at so many percent of the flow bound.
    pub fn new(strategy: Strategy, load_percent: u32) -> Case {
        Case {
            strategy,
            load_percent,
            seed: 1,
            warm_up_ms: 20_000,
            measure_ms: 40_000,
            entry_count: 3,
            report_every_ms: 200,
            report_lag_ms: 100,
            recovery_weight_percent: None,
            demand: Demand::Even,
            refuses_late: true,
            max_caller_retries: 2,
            adds_server: false,
            later_stage_policy: LaterStagePolicy::Wait,
        }
    }

    /// Seed of everything random.
    pub fn seed(mut self, seed: u64) -> Case {
        self.seed = seed;
        self
    }

    /// Time before the measured part.
    pub fn warm_up_ms(mut self, ms: u64) -> Case {
        self.warm_up_ms = ms;
        self
    }

    /// Length of the measured part.
    pub fn measure_ms(mut self, ms: u64) -> Case {
        self.measure_ms = ms;
        self
    }

    /// The operators' weight; the deployment's own where not set.
    pub fn recovery_weight_percent(mut self, percent: u32) -> Case {
        self.recovery_weight_percent = Some(percent);
        self
    }

    /// How much each account asks for.
    pub fn demand(mut self, demand: Demand) -> Case {
        self.demand = demand;
        self
    }

    /// Whether what cannot finish in time is refused at once.
    pub fn refuses_late(mut self, refuses_late: bool) -> Case {
        self.refuses_late = refuses_late;
        self
    }

    /// Whether a server of the dearest kind joins as measuring begins.
    pub fn adds_server(mut self, adds_server: bool) -> Case {
        self.adds_server = adds_server;
        self
    }

    /// What a later stage does that has no place free.
    pub fn later_stage_policy(
        mut self,
        later_stage_policy: LaterStagePolicy,
    ) -> Case {
        self.later_stage_policy = later_stage_policy;
        self
    }

    pub(crate) fn end_ms(&self) -> u64 {
        self.warm_up_ms + self.measure_ms
    }
}
