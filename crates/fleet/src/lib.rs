//! A small fleet of separate processes on one machine, for the demo and the
//! fault tests.
//!
//! A [`Fleet`] starts stand-ins of the platform, engines and plain services,
//! and the daemons in front of them. Each is a separate process that
//! communicates over loopback. The fleet can kill, freeze and stop any of
//! them. It reads the records of the stand-ins, so guarantees are checked
//! against what actually ran instead of what the router reports.
//!
//! | module | contents |
//! |---|---|
//! | [`plan`] | the servers and settings of a fleet |
//! | [`fleet`] | starting, stopping and observing the fleet |
//! | [`process`] | a process of the fleet |
//! | [`ports`] | allocation of free ports |
//! | [`client`] | a caller of an entry |
//! | [`relay`] | a TCP relay that injects connection faults |
//! | [`record`] | checks of the guarantees against the engines' records |

pub mod client;
pub mod fleet;
pub mod plan;
pub mod ports;
pub mod process;
pub mod record;
pub mod relay;

pub use client::{Caller, Response};
pub use fleet::Fleet;
pub use plan::Plan;
pub use relay::{Direction, Relay};
