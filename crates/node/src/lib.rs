//! What both roles of the daemon share.
//!
//! | module | what it holds |
//! |---|---|
//! | [`clock`] | the monotonic clock of a process |
//! | [`follow`] | following the manifest and the list of VMs |
//! | [`heard`] | generations that peers have told of |
//! | [`in_force`] | the accepted generation that is in force |
//! | [`links`] | link options from settings |
//! | [`threads`] | the threads that run its tasks |
//! | [`traffic`] | bytes and counts of links as metrics |

pub mod clock;
pub mod follow;
pub mod heard;
pub mod in_force;
pub mod links;
pub mod threads;
pub mod traffic;

pub use clock::Clock;
pub use heard::Heard;
pub use in_force::InForce;
