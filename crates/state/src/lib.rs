//! State machines that keep the guarantees of a service, without clock or I/O.
//!
//! Time is passed in as milliseconds of a monotonic clock, so that tests can
//! cover every order of events.
//!
//! | module | guarantee |
//! |---|---|
//! | [`generation`] | the manifest in force is never replaced by an older one |
//! | [`lease`] | one planner issues orders at a time, and no older order takes effect later |
//! | [`outcome`] | each request has one of four outcomes |
//! | [`run_once`] | a non-idempotent request runs at most once |
//! | [`step_gate`] | each layer runs once for each token, in order |
//!
//! # Example
//!
//! ```
//! use chestnutreach_state::{Admission, RunOnceTable, RunState};
//!
//! let mut table = RunOnceTable::new(1_000, 600_000);
//! let admission = table.admit(7, 1, false, 0);
//! assert_eq!(admission, Admission::Run { superseded: None });
//! assert!(table.begin(7, 1));
//! // A non-idempotent request that has begun gets no further attempt.
//! assert_eq!(table.admit(7, 2, false, 5), Admission::AlreadyRun);
//! assert_eq!(table.query(8, 1, 5), RunState::NeverSeen);
//! ```

pub mod generation;
pub mod lease;
pub mod outcome;
pub mod run_once;
pub mod step_gate;

pub use generation::{
    GenerationGate, NextGeneration, StartupDecision, StartupPoll,
};
pub use lease::{
    FencingDecision, FencingGate, FencingNumber, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, LeaseState, StoreResponse,
};
pub use outcome::{NotRunReason, Outcome};
pub use run_once::{Admission, RunOnceTable, RunState};
pub use step_gate::{StepGate, StepRefusal};
