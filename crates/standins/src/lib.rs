//! Stand-ins for the outside systems that the fleet talks to, for tests and
//! the demo.
//!
//! | module | contents |
//! |---|---|
//! | [`engine`] | a model engine that serves a range of layers |
//! | [`platform`] | the table service, the object store and the VM list |
//! | [`plain`] | a plain service that counts how often each call ran |
//! | [`faults`] | faults that tests inject into a running stand-in |
//! | [`record`] | the log of calls that a stand-in ran, for tests to check |
//! | `closed_address` | an address that refuses connections |
//! | [`standin_thread`] | a stand-in on a thread of the calling process |
//!
//! # Example
//!
//! ```
//! use chestnutreach_standins::engine::expected_answer;
//!
//! let two = expected_answer("loan file 17", 24, 2);
//! let four = expected_answer("loan file 17", 24, 4);
//! assert_eq!(two, four[..2]);
//! ```

mod closed_address;
pub mod engine;
pub mod faults;
pub mod plain;
pub mod platform;
pub mod record;
mod serving;
pub mod standin_thread;

pub use closed_address::closed_address;
