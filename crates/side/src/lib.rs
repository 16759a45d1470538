//! The role `side`: a proxy in front of the backend servers in its settings.
//!
//! All requests to these backend servers pass through the side process.
//! Decisions that need an exact count or order are made here, in memory:
//! admission, fair shares, run-once and the order of steps.
//!
//! | module | contents |
//! |---|---|
//! | [`node`] | the role as a whole |
//! | `backend` | a backend server: assignment, slots, health |
//! | `slot_queue` | slots of a backend server and the queue for them |
//! | `steps` | queue of steps for an engine, and batches |
//! | `run` | requests whose first stage runs here |
//! | `reservation` | requests of which a later stage runs here |
//! | `plain` | requests for plain services |
//! | `cooldown` | cooldowns that backend servers request |
//! | `priority` | conversions of priorities |
//! | `ended` | outputs of ended requests, kept for queries |
//! | `target` | target of a request, links to stages |
//! | `report` | status for peers, operators and metrics |
//! | `frames` | dispatch of link events and frames |
//! | `sweep` | deadlines, orphaned requests, load reports |

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
