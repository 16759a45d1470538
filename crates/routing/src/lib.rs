//! Routing and admission decisions.
//!
//! The crate decides which backend servers run a request, in which order, and
//! whether the request is admitted. The code reads no clock and does no I/O:
//! callers pass the time as milliseconds of a monotonic clock (`now_ms`) and
//! randomness as a [`fastrand::Rng`].
//!
//! | module | purpose |
//! |---|---|
//! | [`fleet`], [`network`] | servers and links as stated in the manifest |
//! | [`live_state`], [`circuit_breaker`] | current state of each server |
//! | [`policy`], [`request_shape`] | settings and request of a chain choice |
//! | [`chain`], [`mod@explain`] | choice of a chain, and its explanation |
//! | [`layer_path`] | which engines run which layers of a request |
//! | [`usage_estimate`] | usage of entries that have not reported yet |
//! | [`hedging`] | when a second attempt is sent beside one without an answer |
//! | [`interconnect`] | quota of an entry for the interconnect |
//! | [`throughput`] | upper bound on the tokens per second of a fleet |
//! | [`priority`], [`fair_queue`] | order in which requests are served |
//! | [`admission`] | whether a request can finish before its deadline |
//! | [`slot_queue`] | admission to the slots of one server |
//! | [`search_turns`] | which waiting requests may search for a path |
//! | [`demand`] | what callers ask for, by urgency and account |
//! | [`capacity_shares`] | which requests get the capacity that is left |
//! | [`fleet_fill`] | how full the servers of a pipeline are |
//! | [`return_times`] | when a refused caller is to return |
//! | [`caller_age`] | whether a caller has asked before |
//! | [`mod@capacity_wait`] | whether a request waits for free capacity |
//! | [`mod@cooldown_wait`] | whether a request waits for servers in cooldown |
//! | [`connection_limit`] | which new connections are left to other entries |
//! | [`startup_wait`] | how long a request waits for a configuration |
//! | [`stop_schedule`] | what a stopping entry does until its process ends |
//! | [`first_event_wait`] | whether the first event of a stream is overdue |
//! | [`stall_check`] | when a stream without events is checked |
//! | [`attempts`] | whether a request may be sent to another server |
//! | [`memory_pool`] | memory that requests or responses may hold |
//! | [`retry_budget`] | limit on the retries of one entry |
//! | [`retry_reports`] | what other processes reported to have sent |
//! | [`retry_window`] | limit on the retries of all entries in a window |
//! | [`rate_limit`] | rate limit that a server announced |
//! | [`permits`] | permits to send to a server with a rate limit |
//! | [`quarantine`] | requests that crash servers |
//! | [`exit_detection`] | whether the process of a server has exited |
//!
//! ```
//! use chestnutreach_routing::{
//!     BackendSpec, ChainRequest, Fleet, LiveState, Network, Policy, Presence,
//!     RequestShape, choose,
//! };
//!
//! let half = |name: &str, first_layer, end_layer| BackendSpec {
//!     name: name.to_string(),
//!     data_centre: 0,
//!     first_layer,
//!     end_layer,
//!     price_micros_per_hour: 900_000,
//!     prompt_tokens_per_s: 8_000,
//!     output_tokens_per_s: 1_200,
//!     max_running: 16,
//!     cache_tokens: 400_000,
//! };
//! let specs = vec![half("lower", 0, 16), half("upper", 16, 32)];
//! let fleet = Fleet::try_new(32, specs, Network::new(1))?;
//! let live = LiveState::new(fleet.len());
//! for index in fleet.indices() {
//!     live.set_presence(index, Presence::Serving);
//! }
//!
//! let shape = RequestShape::new(500, 100).deadline_ms(20_000);
//! let mut rng = fastrand::Rng::with_seed(7);
//! let policy = Policy::default();
//! let request = ChainRequest::new(&fleet, &live, &shape, &policy, 1_000);
//! let choice = choose(&request, &mut rng)?;
//! let names: Vec<&str> =
//!     choice.stages.iter().map(|&i| fleet.spec(i).name.as_str()).collect();
//! assert_eq!(names, ["lower", "upper"]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod admission;
pub mod attempts;
mod backend_spec;
pub mod caller_age;
mod candidate;
pub mod capacity_shares;
pub mod capacity_wait;
pub mod chain;
pub mod circuit_breaker;
pub mod connection_limit;
pub mod cooldown_wait;
mod cost;
pub mod demand;
mod drain_rate;
pub mod exit_detection;
pub mod explain;
pub mod fair_queue;
mod fair_shares;
mod fingerprint;
pub mod first_event_wait;
pub mod fleet;
mod fleet_error;
pub mod fleet_fill;
pub mod hedging;
pub mod interconnect;
pub mod layer_path;
pub mod live_state;
mod load_report;
mod max_min;
pub mod memory_pool;
pub mod network;
mod no_chain;
mod partial_chain;
pub mod permits;
pub mod policy;
pub mod priority;
mod push_error;
pub mod quarantine;
mod queue_account;
pub mod rate_limit;
mod recent_choices;
pub mod request_shape;
pub mod retry_budget;
pub mod retry_reports;
pub mod retry_window;
pub mod return_times;
mod search;
pub mod search_turns;
mod server_state;
pub mod slot_queue;
pub mod stall_check;
pub mod startup_wait;
pub mod stop_schedule;
pub mod throughput;
pub mod usage_estimate;

pub use admission::{
    DeadlineTooShort, LearnedSpeed, can_finish, expected_wait_ms,
    retry_after_ms,
};
pub use attempts::{Attempts, CountedBackends};
pub use caller_age::CallerAges;
pub use candidate::{Candidate, ExclusionReason};
pub use capacity_shares::{Admitter, CapacityShares, FleetFill};
pub use capacity_wait::{CapacityRequest, CapacityWait, CapacityWaits};
pub use chain::{ChainRequest, Choice, Chooser, choose};
pub use circuit_breaker::{CircuitBreaker, CircuitState};
pub use connection_limit::{ConnectionLimit, LoadSample};
pub use cooldown_wait::{CooldownWait, cooldown_wait};
pub use cost::CostBreakdown;
pub use demand::{
    ClassRates, DemandClass, DemandMeter, DemandRates, LATE_CLASS,
};
pub use exit_detection::{
    ExitStatus, FailedConnect, FailureEvidence, SilenceCheck, SilenceVerdict,
    detect_exit,
};
pub use explain::{Explanation, explain};
pub use fair_queue::{FairQueue, Popped};
pub use fingerprint::Fingerprint;
pub use first_event_wait::FirstEventWaits;
pub use fleet::{BackendIndex, BackendSpec, Fleet};
pub use fleet_error::{FleetError, FleetFinding};
pub use hedging::{AnswerTimes, HedgeBudget};
pub use interconnect::{InterconnectLimits, InterconnectQuota};
pub use layer_path::{LayerHolder, PathRequest, PathStage, find_path};
pub use live_state::{LiveState, LoadReport, Presence, RequestOutcome};
pub use memory_pool::{MemoryPool, MemoryPoolError, PoolShare};
pub use network::Network;
pub use no_chain::{NoChain, NoChainReason};
pub use permits::{
    PermitDemand, PermitGrant, PermitHolder, PermitIssuer, PermitRequest,
};
pub use policy::Policy;
pub use priority::Priority;
pub use push_error::{PushError, PushErrorReason};
pub use quarantine::{
    RequestKeys, RunCrash, RunPoint, RunProgress, RunSuspicion, SuspectReport,
    Suspects, Trials, Verdict,
};
pub use rate_limit::{AnnouncedLimit, ServerRateLimit};
pub use request_shape::RequestShape;
pub use retry_budget::RetryBudget;
pub use retry_reports::RetryReports;
pub use retry_window::{
    PeerReport, RetryLimit, RetrySharing, RetryWindow, SentCounts,
};
pub use return_times::ReturnTimes;
pub use search_turns::{SearchTurns, TurnRequest};
pub use stall_check::StallCheck;
pub use startup_wait::StartupWait;
pub use stop_schedule::{StopSchedule, UsualDuration};
pub use throughput::{TokenMix, throughput_bound};
pub use usage_estimate::UsageEstimate;
