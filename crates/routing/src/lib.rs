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
//! | [`mod@rest_wait`] | whether a request waits where all servers are at rest |
//! | [`retry`] | whether a failure may be tried again |
//! | [`retry_window`] | the same where all entries share a bound in time |
//! | [`usage_estimate`] | what entries that have not told yet are taken to use |
//! | [`layer_path`] | which engines run which layers of a request |
//! | [`fair`], [`admission`] | who goes next, and who can finish in time |
//! | [`gate`] | who may run on one server now, and who waits |
//! | [`turns`] | who may seek a path now, and who waits |
//! | [`first_read`] | how long a request waits for the first configuration |
//! | [`first_wait`] | whether a stream will hardly begin any more |
//! | [`pause_look`] | when a stream that pauses is looked at |
//! | [`permits`] | who may send to a server that named a limit |
//! | [`server_limit`] | which limit on its requests a server has named |
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
mod candidate;
pub mod chain;
pub mod circuit_breaker;
mod cost;
mod drain;
pub mod end_proof;
pub mod explain;
pub mod fair;
mod fair_account;
mod fair_refusal;
mod fingerprint;
pub mod first_read;
pub mod first_wait;
pub mod fleet;
mod fleet_error;
pub mod gate;
pub mod interconnect;
pub mod layer_path;
pub mod live_state;
mod load_report;
pub mod network;
mod no_chain;
mod partial_chain;
pub mod pause_look;
pub mod permits;
pub mod policy;
pub mod priority;
pub mod quarantine;
mod recent_choices;
pub mod request_shape;
pub mod rest_wait;
pub mod retry;
pub mod retry_window;
pub mod room_wait;
mod search;
pub mod server_limit;
mod server_state;
mod shares;
pub mod throughput;
pub mod turns;
pub mod usage_estimate;

pub use admission::{
    Speed, TooLate, can_finish, expected_wait_ms, retry_after_ms,
};
pub use attempts::{Attempts, Counted};
pub use candidate::{Candidate, ExclusionReason};
pub use chain::{ChainRequest, Choice, Chooser, choose};
pub use circuit_breaker::{CircuitBreaker, CircuitState};
pub use cost::CostBreakdown;
pub use end_proof::{EndProof, Evidence, end_proof};
pub use explain::{Explanation, explain};
pub use fair::{FairQueue, Popped};
pub use fair_refusal::{PushRefusal, PushRefusalReason};
pub use fingerprint::Fingerprint;
pub use first_read::FirstRead;
pub use first_wait::FirstWaits;
pub use fleet::{BackendIndex, BackendSpec, Fleet};
pub use fleet_error::{FleetError, FleetFinding};
pub use interconnect::{InterconnectLimits, InterconnectQuota};
pub use layer_path::{LayerHolder, PathRequest, PathStage, find_path};
pub use live_state::{LiveState, LoadReport, Presence, RequestOutcome};
pub use network::Network;
pub use no_chain::{NoChain, NoChainReason};
pub use pause_look::PauseLook;
pub use permits::{Ask, Grant, PermitIssuer, PermitStock, Want};
pub use policy::Policy;
pub use priority::Priority;
pub use quarantine::{RunStart, SuspectNews, Suspects, Trials, Verdict};
pub use request_shape::RequestShape;
pub use rest_wait::{RestWait, rest_wait};
pub use retry::RetryBudget;
pub use retry_window::{RetryBounds, RetryWindow, Sent};
pub use room_wait::{RoomNeed, RoomWait, RoomWaits};
pub use server_limit::{NamedLimit, ServerLimit};
pub use throughput::{TokenMix, throughput_bound};
pub use turns::{TurnNeed, Turns};
pub use usage_estimate::UsageEstimate;
