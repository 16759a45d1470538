//! What both roles of the daemon share.
//!
//! | module | what it holds |
//! |---|---|
//! | [`clock`] | the monotonic clock of a process |
//! | [`manifest_follower`] | following the manifest |
//! | [`peer_reports`] | what peers have told of the manifest |
//! | [`active_manifest`] | the accepted generation that is in force |
//! | [`links`] | link options from settings |
//! | [`peers`] | the manifest as other processes have it |
//! | [`threads`] | the threads that run its tasks |
//! | [`traffic`] | bytes and counts of links as metrics |
//! | [`vm_list`] | following the list of VMs |

pub mod active_manifest;
pub mod clock;
pub mod links;
pub mod manifest_follower;
mod outage;
pub mod peer_reports;
pub mod peers;
pub mod threads;
pub mod traffic;
pub mod vm_list;

pub use active_manifest::ActiveManifest;
pub use clock::Clock;
pub use peer_reports::PeerReports;
