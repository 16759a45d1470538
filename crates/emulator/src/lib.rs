//! The users' platform in small, on loopback, with faults.
//!
//! Stand-ins of the platform's store, of model engines that hold ranges of
//! layers, and of a plain service run in one process; entries run as the
//! real program in processes of their own. Load is open-loop: requests begin
//! at their times, however slow the answers are. What callers, engines and
//! the store saw is checked against what must always hold.
//!
//! | module | what it holds |
//! |---|---|
//! | [`backend_servers`] | engines, their layers, runs and faults |
//! | [`store`] | the platform's store |
//! | [`link`] | connections that are late, cut, reset or silent |
//! | [`engines`] | the ports of engines and of the plain service |
//! | [`site`] | what is emulated: counts, layers, configuration |
//! | [`entries`] | the real program in processes of its own |
//! | [`caller`] | one request of a client, and its checks |
//! | [`load`] | requests at their times |
//! | [`experiment`] | load and faults from a file |
//! | [`report`] | outcomes, latencies and recovery as text, JSON, plot |
//! | [`running`] | a running site, and faults of it |
//! | [`soak`] | seeded mixes of faults against the promises |
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
pub mod engines;
pub mod entries;
pub mod experiment;
pub mod link;
pub mod load;
pub mod report;
pub mod running;
pub mod site;
pub mod soak;
pub mod store;

use std::{sync::Arc, thread};

use async_executor::Executor;
use futures_lite::future;

/// An executor that runs on a thread of its own until the process ends.
///
/// # Errors
///
/// The system gives no more threads.
pub fn start_executor() -> std::io::Result<Arc<Executor<'static>>> {
    let executor = Arc::new(Executor::new());
    let runs = executor.clone();
    let run = move || async_io::block_on(runs.run(future::pending::<()>()));
    thread::Builder::new().name("emulator".to_owned()).spawn(run)?;
    Ok(executor)
}
