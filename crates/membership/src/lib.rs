//! Coordination between entries: what one entry learns for all entries of its
//! data centre.
//!
//! If each of hundreds of entries learned the state of a thousand engines by
//! itself, calls of the store and connections to engines would grow as entries
//! times engines. With 68 entries and 130 engines, they cost a tenth of the
//! revenue of a quiet day. So each task is assigned to few entries, which
//! report their findings to the others.
//!
//! Nothing in this crate reads a clock or does I/O. Time is passed in as
//! milliseconds of a monotonic clock of one process (`now_ms`). Messages
//! between processes carry ages, because clocks differ; the one time that they
//! carry is that of [`send_times`].
//!
//! | module | contents |
//! |---|---|
//! | [`rendezvous`] | which entries a task is assigned to |
//! | [`issuer`] | which entry grants a shared limit, and which share of it |
//! | [`earlier_starts`] | rows of a server that state an earlier start |
//! | [`feed_source`] | where an entry reads a feed of the store from |
//! | [`gossip`] | interval of messages between entries, timeouts on silence |
//! | [`newer_versions`] | configurations that others have and this entry lacks |
//! | [`roster`] | the entries among which a limit is divided |
//! | [`startup`] | how an entry that starts finds the others |
//! | [`restored_row`] | rows that are older than what is known |
//! | [`row_ages`] | rows of machines that are gone for good |
//! | [`send_times`] | when messages of other entries were sent |
//! | [`short_rows`] | short forms of long rows |
//! | [`table`] | a copy of a table that responds in place of the store |
//!
//! # Example
//!
//! ```
//! use chestnutreach_membership::rendezvous;
//!
//! let entries = [11, 12, 13];
//! let assignees = rendezvous::ranked(entries, 7);
//! let without_first: Vec<u64> =
//!     entries.into_iter().filter(|e| *e != assignees[0]).collect();
//! // The other entries keep their order, so only the tasks of the first move.
//! assert_eq!(rendezvous::ranked(without_first, 7), assignees[1..]);
//! ```

pub mod earlier_starts;
pub mod feed_source;
pub mod gossip;
pub mod issuer;
pub mod newer_versions;
pub mod rendezvous;
pub mod restored_row;
pub mod roster;
pub mod row_ages;
pub mod send_times;
pub mod short_rows;
pub mod startup;
pub mod table;

pub use feed_source::{FeedPeers, FeedSource, FeedSources, FetchOutcome};
pub use newer_versions::NewerVersions;
pub use table::{RowChange, TableCopy};
