//! Routing decisions: which backend servers, in which order, and whether.
//!
//! Nothing here reads a clock or does I/O. Time comes in as milliseconds of a
//! monotonic clock (`now_ms`), randomness as a `fastrand::Rng`.
//!
//! | module | decides |
//! |---|---|
//! | [`priority`] | the order of requests |
//! | [`fleet`], [`network`] | what the manifest says of a service's servers |
//! | [`live_state`], [`circuit_breaker`] | what this process knows of each one now |
//! | [`policy`], [`request_shape`], [`chain`], [`mod@explain`] | the chain of a request, why |
//! | [`attempts`] | whether a request may be handed to a backend again |
//! | [`mod@cooldown_wait`] | whether a request waits where all servers are at rest |
//! | [`retry_budget`] | whether a failure may be tried again |
//! | [`retry_window`] | the same where all entries share a bound in time |
//! | [`usage_estimate`] | what entries that have not told yet are taken to use |
//! | [`layer_path`] | which engines run which layers of a request |
//! | [`fair_queue`], [`admission`] | who goes next, and who can finish in time |
//! | [`slot_queue`] | who may run on one server now, and who waits |
//! | [`search_turns`] | who may seek a path now, and who waits |
//! | [`startup_wait`] | how long a request waits for the first configuration |
//! | [`first_event_wait`] | whether a stream will hardly begin any more |
//! | [`stall_check`] | when a stream that pauses is looked at |
//! | [`permits`] | who may send to a server that named a limit |
//! | [`rate_limit`] | which limit on its requests a server has named |
//! | [`quarantine`] | which requests crash servers, and may not run |
//! | [`throughput`] | the most tokens a second the hardware allows |
//!
//! ```
//! use chestnutreach_routing::{
//!     BackendSpec, ChainRequest, Fleet, LiveState, Network, Policy, Presence, RequestShape,
//!     choose,
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
//! let need = ChainRequest::new(&fleet, &live, &shape, &policy, 1_000);
//! let choice = choose(&need, &mut rng)?;
//! let names: Vec<&str> =
//!     choice.stages.iter().map(|&i| fleet.spec(i).name.as_str()).collect();
//! assert_eq!(names, ["lower", "upper"]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod admission;
pub mod attempts;
mod backend_spec;
mod candidate;
pub mod capacity_wait;
pub mod chain;
pub mod circuit_breaker;
pub mod cooldown_wait;
mod cost;
mod drain_rate;
pub mod exit_detection;
pub mod explain;
pub mod fair_queue;
mod fair_shares;
mod fingerprint;
pub mod first_event_wait;
pub mod fleet;
mod fleet_error;
pub mod interconnect;
mod label;
pub mod layer_path;
pub mod live_state;
mod load_report;
mod memory;
pub mod network;
mod no_chain;
pub mod permits;
pub mod policy;
pub mod priority;
mod push_error;
pub mod quarantine;
mod queue_account;
pub mod rate_limit;
pub mod request_shape;
pub mod retry_budget;
pub mod retry_window;
mod search;
pub mod search_turns;
mod server;
pub mod slot_queue;
pub mod stall_check;
pub mod startup_wait;
pub mod throughput;
pub mod usage_estimate;

pub use admission::{
    DeadlineTooShort, LearnedSpeed, can_finish, expected_wait_ms,
    retry_after_ms,
};
pub use attempts::{Attempts, CountedBackends};
pub use candidate::{Candidate, ExclusionReason};
pub use capacity_wait::{CapacityRequest, CapacityWait, CapacityWaits};
pub use chain::{ChainRequest, Choice, Chooser, choose};
pub use circuit_breaker::{CircuitBreaker, CircuitState};
pub use cooldown_wait::{CooldownWait, cooldown_wait};
pub use cost::CostBreakdown;
pub use exit_detection::{ExitStatus, FailureEvidence, detect_exit};
pub use explain::{Explanation, explain};
pub use fair_queue::{FairQueue, Popped};
pub use fingerprint::Fingerprint;
pub use first_event_wait::FirstEventWaits;
pub use fleet::{BackendIndex, BackendSpec, Fleet};
pub use fleet_error::{FleetError, FleetFinding};
pub use interconnect::{InterconnectLimits, InterconnectQuota};
pub use layer_path::{LayerHolder, PathRequest, PathStage, find_path};
pub use live_state::{LiveState, LoadReport, Presence, RequestOutcome};
pub use network::Network;
pub use no_chain::{NoChain, NoChainReason};
pub use permits::{
    PermitDemand, PermitGrant, PermitHolder, PermitIssuer, PermitRequest,
};
pub use policy::Policy;
pub use priority::Priority;
pub use push_error::{PushError, PushErrorReason};
pub use quarantine::{RunProgress, SuspectReport, Suspects, Trials, Verdict};
pub use rate_limit::{AnnouncedLimit, ServerRateLimit};
pub use request_shape::RequestShape;
pub use retry_budget::RetryBudget;
pub use retry_window::{RetryLimit, RetryWindow, SentCounts};
pub use search_turns::{SearchTurns, TurnRequest};
pub use stall_check::StallCheck;
pub use startup_wait::StartupWait;
pub use throughput::{TokenMix, throughput_bound};
pub use usage_estimate::UsageEstimate;
