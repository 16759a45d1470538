//! An entry that passes requests to backend servers itself.
//!
//! On a platform whose engines form chains among themselves, no process of
//! ours stands between the entry and the engines. The entry follows the
//! configuration and the list of backend servers by feeds of the store,
//! chooses the engines of each request, passes the answer on, and moves
//! streams away from engines that die. One entry at a time holds a lease and
//! orders which engine holds which layers.
//!
//! | module | what it holds |
//! |---|---|
//! | [`entry`] | starting and stopping an entry |
//! | `request` | the way of a request |
//! | `cluster` | what an entry knows, and from whom |
//! | `placement` | who plans, and the orders |
//! | `core` | what the tasks of an entry share |
//! | `by_service`, `subscribers`, `rate`, `clock` | small parts of these |
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

mod by_service;
mod clock;
mod cluster;
mod core;
pub mod entry;
mod placement;
mod rate;
mod request;
mod subscribers;

pub use entry::{DirectEntry, StartError};
pub use request::events;
