//! Settings of one run.

use std::fmt;

/// A strategy that chooses chains.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Strategy {
    /// The router's choice over sampled candidates.
    Sampled,
    /// The router's cost function over all servers.
    FullScan,
    /// Each entry cycles through the servers of a layer.
    RoundRobin,
    /// Lowest number of requests in flight from this entry.
    LeastRequests,
    /// Lowest number of requests in flight per slot, counted exactly in
    /// the table service.
    SharedCounters,
}

impl Strategy {
    /// Every strategy, in the order of reports.
    pub const ALL: [Strategy; 5] = [
        Strategy::Sampled,
        Strategy::FullScan,
        Strategy::RoundRobin,
        Strategy::LeastRequests,
        Strategy::SharedCounters,
    ];

    /// Name in arguments and reports.
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

/// Load of each account, relative to its share by weight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// Every account sends its share.
    Even,
    /// Accounts send once and twice their share in alternation, so that at
    /// 200 % load accounts are backlogged by different factors.
    Skewed,
    /// The account of this index sends ten times its share, the others
    /// their share.
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

/// What a later stage without a free slot does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LaterStagePolicy {
    /// Refuses. All later stages are asked at the same time.
    Refuse,
    /// Queues the request for a limited time. Stages are asked in layer
    /// order.
    Wait,
}

impl LaterStagePolicy {
    /// Every policy.
    pub const ALL: [LaterStagePolicy; 2] =
        [LaterStagePolicy::Refuse, LaterStagePolicy::Wait];

    /// Name in arguments.
    pub fn name(self) -> &'static str {
        match self {
            LaterStagePolicy::Refuse => "refuses",
            LaterStagePolicy::Wait => "waits",
        }
    }
}

/// Settings of a run, set by builder methods.
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
    /// A run at this load, in percent of the throughput bound.
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

    /// Sets the seed of all random numbers.
    pub fn seed(mut self, seed: u64) -> Case {
        self.seed = seed;
        self
    }

    /// Sets the virtual time before the measurement.
    pub fn warm_up_ms(mut self, ms: u64) -> Case {
        self.warm_up_ms = ms;
        self
    }

    /// Sets the virtual time of the measurement.
    pub fn measure_ms(mut self, ms: u64) -> Case {
        self.measure_ms = ms;
        self
    }

    /// Sets the recovery weight; the default is that of the deployment.
    pub fn recovery_weight_percent(mut self, percent: u32) -> Case {
        self.recovery_weight_percent = Some(percent);
        self
    }

    /// Sets the load of each account.
    pub fn demand(mut self, demand: Demand) -> Case {
        self.demand = demand;
        self
    }

    /// Sets whether requests that can't finish by their deadline are
    /// refused at admission.
    pub fn refuses_late(mut self, refuses_late: bool) -> Case {
        self.refuses_late = refuses_late;
        self
    }

    /// Sets whether a server of the most expensive kind is added when the
    /// measurement starts.
    pub fn adds_server(mut self, adds_server: bool) -> Case {
        self.adds_server = adds_server;
        self
    }

    /// Sets what a later stage without a free slot does.
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
