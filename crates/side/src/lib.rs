//! The role `side`: the only way to the backend servers beside it.
//!
//! Whatever needs an exact count or an exact order is decided here, in
//! memory: admission, fair shares, run-once and the order of steps.
//!
//! | module | what it holds |
//! |---|---|
//! | [`node`] | the process as a whole |
//! | `backend` | one backend server: what it serves, its health |
//! | `gate` | who may run on it now, and who waits |
//! | `steps` | steps that wait for an engine, and calls to it |
//! | `run` | a request whose first stage is here |
//! | `seat` | a request whose later stage is here |
//! | `plain` | a request for a plain service |
//! | `rest` | rest that a backend server asks for |
//! | `priority` | priorities as each part has them |
//! | `ended` | answers kept for who asks again |
//! | `target` | which backend server a request means, how stages are reached |
//! | `report` | what the process tells of itself |
//! | `frames` | what arrives on links |
//! | `sweep` | deadlines, lost entries, load reports |

mod backend;
mod cooldown;
mod ended;
mod frames;
pub mod node;
mod plain;
mod priority;
mod report;
mod reservation;
mod run;
mod slot_queue;
mod steps;
mod sweep;
mod target;

pub use node::{InFlight, Side, SideParts};
