//! An entry that forwards requests directly to backend servers.
//!
//! This crate is for platforms whose engines form chains among themselves, so
//! that no side process is needed between the entry and the engines. The
//! entry follows the configuration and the list of backend servers through
//! feeds of the store, chooses the engines of each request, forwards the
//! response, and reroutes streams when an engine fails. One entry at a time
//! holds a lease and orders which engine holds which layers.
//!
//! | module | contents |
//! |---|---|
//! | [`entry`] | starting and stopping an entry |
//! | `request` | admission, routing and forwarding of requests |
//! | `cluster` | state of the store, the backend servers and the peers |
//! | `placement` | planner lease and placement orders |
//! | `core` | state shared by the tasks of an entry |
//! | `stop` | the planned stop, and what it waits for |
//! | [`clock`] | the clock of an entry |
//! | `by_name`, `subscribers`, `rate` | utilities |
//!
//! # Example
//!
//! ```
//! use chestnutreach_direct::events::EventSplitter;
//!
//! let mut splitter = EventSplitter::new();
//! splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(splitter.next_event().unwrap().id, Some(1));
//! assert!(splitter.next_event().is_none());
//! assert!(splitter.has_partial());
//! ```

mod by_name;
pub mod clock;
mod cluster;
mod core;
pub mod entry;
mod placement;
mod rate;
mod request;
mod stop;
mod subscribers;

pub use entry::{DirectEntry, StartError};
pub use request::events;
