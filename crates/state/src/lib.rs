//! State machines of the promises, without clock or I/O.
//!
//! Time is passed in as milliseconds of a monotonic clock, so that tests can
//! run every order of events.
//!
//! | module | promise |
//! |---|---|
//! | [`outcome`] | one of four outcomes for each request |
//! | [`run_once`] | a non-idempotent request runs at most once |
//! | [`step_gate`] | each layer runs once for each token, in order |

pub mod outcome;
pub mod run_once;
pub mod step_gate;

pub use outcome::{NotRunReason, Outcome};
pub use run_once::{Admission, RunOnceTable, RunState};
pub use step_gate::{StepGate, StepRefusal};
