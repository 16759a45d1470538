//! What both roles of the daemon share.
//!
//! | module | what it holds |
//! |---|---|
//! | [`clock`] | the monotonic clock of a process |
//! | [`follow`] | following the manifest |
//! | [`heard`] | what peers have told of the manifest |
//! | [`in_force`] | the accepted generation that is in force |
//! | [`links`] | link options from settings |
//! | [`peers`] | the manifest as other processes have it |
//! | [`threads`] | the threads that run its tasks |
//! | [`traffic`] | bytes and counts of links as metrics |
//! | [`vm_list`] | following the list of VMs |

pub mod clock;
pub mod follow;
pub mod heard;
pub mod in_force;
pub mod links;
mod outage;
pub mod peers;
pub mod threads;
pub mod traffic;
pub mod vm_list;

pub use clock::Clock;
pub use heard::Heard;
pub use in_force::InForce;
