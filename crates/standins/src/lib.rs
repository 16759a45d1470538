//! Stand-ins for what the system meets, for tests and the demo.
//!
//! | module | what it holds |
//! |---|---|
//! | [`engine`] | a model engine that holds a range of layers |
//! | [`platform`] | the table service, the object store, the list of VMs |
//! | [`plain`] | a plain service whose runs are counted |
//! | [`faults`] | faults switched on and off while a stand-in runs |
//! | [`record`] | what a stand-in has run, for tests to check |
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

pub mod engine;
pub mod faults;
pub mod plain;
pub mod platform;
pub mod record;
mod serving;
pub mod standin_thread;
