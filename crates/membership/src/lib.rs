//! What one entry learns and all of its data centre know.
//!
//! The load that this answers: hundreds of entries before a thousand engines.
//! Where each entry learns everything for itself, calls of the store and
//! connections to engines grow as entries times engines; on a quiet day of 68
//! entries before 130 engines they cost a tenth of what is earned. So each
//! duty has few holders, and the others are told.
//!
//! Nothing here reads a clock or does I/O. Time comes in as milliseconds of a
//! monotonic clock of one process (`now_ms`); between processes only ages are
//! told, since clocks differ.
//!
//! | module | what it holds |
//! |---|---|
//! | [`rendezvous`] | whose duty something is |
//! | [`issuer`] | who grants what all share, and which part of it |
//! | [`feed_source`] | where an entry asks for what the store holds |
//! | [`gossip`] | how often entries tell each other, what silence means |
//! | [`table`] | a copy of a table that answers in place of the store |
//!
//! # Example
//!
//! ```
//! use chestnutreach_membership::rendezvous;
//!
//! let entries = [11, 12, 13];
//! let holders = rendezvous::ranked(entries, 7);
//! let without_first: Vec<u64> =
//!     entries.into_iter().filter(|e| *e != holders[0]).collect();
//! // Who is left keeps its rank, so that one loss moves only what was its.
//! assert_eq!(rendezvous::ranked(without_first, 7), holders[1..]);
//! ```

pub mod feed_source;
pub mod gossip;
pub mod issuer;
pub mod rendezvous;
pub mod table;

pub use feed_source::{FeedPeers, FeedSource, FeedSources, FetchOutcome};
pub use table::{RowChange, TableCopy};
