//! A small emulation of the users' platform on loopback, with fault injection.
//!
//! Stand-ins for the platform's store, for model engines that hold ranges of
//! layers, and for a plain service run in one process. Entries run the real
//! binary in separate processes. The load is open-loop: requests start on
//! schedule, however slow the responses are. The observations of callers,
//! engines and the store are checked against invariants.
//!
//! | module | contents |
//! |---|---|
//! | [`backend_servers`] | backend servers: layers, runs, faults |
//! | [`store`] | the platform's store |
//! | [`link`] | faults of connections: delay, reset, silence, partition |
//! | [`peer_links`] | links between entries, which can be cut |
//! | [`engines`] | HTTP servers of the engines and of the plain service |
//! | [`unending`] | responses that never end |
//! | [`site`] | what is emulated: counts, layers, configuration |
//! | [`core_quota`] | a share of a core for each entry |
//! | [`entries`] | entry processes that run the real binary |
//! | [`caller`] | sends one request and checks the responses |
//! | [`load`] | sends requests on a schedule |
//! | [`experiment`] | parses load and faults from a file |
//! | [`report`] | outcomes and latencies as text, JSON and plot |
//! | [`retry_rules`] | repeats, as the platform's rules count them |
//! | [`running`] | a running site and its fault injection |
//! | [`soak`] | seeded random faults, checked against the invariants |
//!
//! # Example
//!
//! ```
//! use chestnutreach_emulator::site::Site;
//!
//! let site = Site::small();
//! assert!(site.layer_capacity() >= site.layer_count);
//! ```

pub mod backend_servers;
pub mod caller;
pub mod core_quota;
pub mod engines;
pub mod entries;
pub mod experiment;
pub mod link;
pub mod load;
pub mod peer_links;
pub mod report;
pub mod retry_rules;
pub mod running;
pub mod site;
pub mod soak;
pub mod store;
pub mod unending;

use std::{sync::Arc, thread};

use async_executor::Executor;
use futures_lite::future;

/// Starts an executor on a dedicated thread that runs until the process exits.
///
/// # Errors
///
/// The system can't start the thread.
pub fn start_executor() -> std::io::Result<Arc<Executor<'static>>> {
    let executor = Arc::new(Executor::new());
    let on_thread = executor.clone();
    let run =
        move || async_io::block_on(on_thread.run(future::pending::<()>()));
    thread::Builder::new().name("emulator".to_owned()).spawn(run)?;
    Ok(executor)
}
