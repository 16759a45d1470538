//! Components that both roles of the daemon use.
//!
//! | module | contents |
//! |---|---|
//! | [`clock`] | the monotonic clock of a process |
//! | [`manifest_follower`] | follows the manifest |
//! | [`peer_reports`] | manifest generations that peers have reported |
//! | [`active_manifest`] | the manifest generation in force |
//! | [`links`] | link options from settings |
//! | [`peers`] | fetches the manifest from peers |
//! | [`threads`] | threads that run the tasks of a process |
//! | [`traffic`] | link metrics |
//! | [`vm_list`] | follows the list of VMs |

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
