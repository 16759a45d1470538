//! What both roles of the daemon share.
//!
//! | module | what it holds |
//! |---|---|
//! | [`clock`] | the monotonic clock of a process |
//! | [`links`] | link options from settings |
//! | [`threads`] | the threads that run its tasks |

pub mod clock;
pub mod links;
pub mod threads;

pub use clock::Clock;
