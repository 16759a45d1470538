//! Discrete-event simulation that benchmarks routing decisions.
//!
//! Several entries run the state and the choice of
//! [`chestnutreach_routing`], and each backend server runs the slot queue
//! (fair queue, admission) of that crate, under a synthetic workload. The
//! simulation has no network, no failures and no processes; `engine` models
//! the speed of a backend server. The same seed yields the same figures.
//!
//! | module | contents |
//! |---|---|
//! | [`deployment`], `link` | the language service of a deployment |
//! | `request_kind`, `workload` | the requests of callers |
//! | [`case`] | settings of one run |
//! | [`world`], `events` | the virtual clock and the event loop |
//! | `request`, `entry`, `server`, `engine` | the simulated components |
//! | `baseline_chain`, `table` | baselines, table service model |
//! | [`figures`] | results of a run |
//! | [`suite`] | the runs behind each table |
//! | [`bounds`] | regression bounds |
//! | [`decision_cost`] | candidates and time per decision by fleet size |
//! | [`text`] | Markdown tables |

mod baseline_chain;
pub mod bounds;
pub mod case;
pub mod decision_cost;
pub mod deployment;
mod engine;
mod entry;
mod events;
pub mod figures;
mod link;
mod request;
mod request_kind;
mod server;
pub mod suite;
mod table;
pub mod text;
mod workload;
pub mod world;
