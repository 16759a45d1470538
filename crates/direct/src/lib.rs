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
//! | `core` | what the tasks of an entry share |
//! | `by_service` | something for each service |
//! | `follow` | configuration and list of backend servers, by feeds |
//! | `feeds`, `feed_health` | copies of what the store holds, and their age |
//! | `feed_port` | answering other entries in place of the store |
//! | `listed_rows` | rows of the list as they come |
//! | `fleet`, `engine` | what is known of backend servers |
//! | `unusable_rows` | rows that name none, for the logs |
//! | `path` | the engines that a request passes through |
//! | `route` | seeking a path |
//! | `crossing` | what goes between data centres |
//! | `rate` | amounts a second |
//! | `probe` | noticing that one is dead, slow, or back |
//! | `engine_watch`, `alerts` | who watches which engine, and tells all |
//! | `callers` | the connections of clients |
//! | `admit` | route, key and time of a request |
//! | `plain` | requests with one whole answer |
//! | `stream`, `nudges`, [`events`] | streams of events |
//! | `queue` | streams that wait for a path |
//! | `exchange` | one request to one backend server |
//! | `answer` | answers of our own |
//! | `ended` | how a request ended |
//! | `peers`, `peer_table`, `told_use` | what entries tell each other |
//! | `lease`, `mandate`, `place` | who plans, and the orders |
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

mod admit;
mod alerts;
mod answer;
mod by_service;
mod callers;
mod clock;
mod core;
mod crossing;
mod ended;
mod engine;
mod engine_watch;
pub mod entry;
pub mod events;
mod exchange;
mod feed_health;
mod feed_port;
mod feeds;
mod fleet;
mod follow;
mod lease;
mod listed_rows;
mod mandate;
mod nudges;
mod path;
mod peer_table;
mod peers;
mod place;
mod plain;
mod probe;
mod queue;
mod rate;
mod route;
mod stream;
mod told_use;
mod unusable_rows;

pub use entry::{DirectEntry, StartError};
