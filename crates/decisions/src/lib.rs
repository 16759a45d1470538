//! Routing decisions measured on a virtual clock.
//!
//! Several entries with the router's own [`chestnutreach_routing`] state and
//! choice, and at each backend server its own gate (fair queue, admission),
//! driven by the requests of a trade. It is a benchmark of decisions: no
//! network, no failures and no processes; a backend server is the speed model
//! of `engine`. With the same seed a run comes to the same figures.
//!
//! | module | what it holds |
//! |---|---|
//! | [`deployment`], `link` | a deployment's language service |
//! | `trade`, `workload` | what callers ask |
//! | [`case`] | settings of one run |
//! | [`world`], `events` | the clock and what happens on it |
//! | `request`, `entry`, `server`, `engine` | those that act |
//! | `pick`, `table` | the ways that the router's own is measured against |
//! | [`figures`] | what a run came to |
//! | [`suite`] | the runs behind each table |
//! | [`bounds`] | regression bounds |
//! | [`work`] | work and time of one decision by the fleet's size |
//! | [`text`] | tables for people |

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
