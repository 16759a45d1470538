//! A small fleet of separate processes on one machine, for the demo and the
//! tests of failures.
//!
//! A [`Fleet`] starts stand-ins of the platform, engines and plain services,
//! and the daemons before them, each a process of its own that talks over
//! loopback. It can kill, freeze and stop any of them, and reads what the
//! stand-ins have recorded, so that promises are checked from the record of
//! what ran and not from the router's own word.
//!
//! | module | what it holds |
//! |---|---|
//! | [`plan`] | what a fleet consists of |
//! | [`fleet`] | starting and stopping it |
//! | [`process`] | one process |
//! | [`ports`] | free ports |
//! | [`client`] | a caller |
//! | [`relay`] | connections that break, fall silent or slow down |
//! | [`record`] | what engines have run, and whether that was right |

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
