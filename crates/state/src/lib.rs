//! State machines of the promises, without clock or I/O.
//!
//! Time is passed in as milliseconds of a monotonic clock, so that tests can
//! run every order of events.
//!
//! | module | promise |
//! |---|---|
//! | [`generation`] | a manifest in force never reverts to an older one |
//! | [`lease`] | one planner of orders at a time, and no older order after |
//! | [`outcome`] | one of four outcomes for each request |
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
//! // It is non-idempotent and has begun: no later attempt may run.
//! assert_eq!(table.admit(7, 2, false, 5), Admission::AlreadyRun);
//! assert_eq!(table.query(8, 1, 5), RunState::NeverSeen);
//! ```

pub mod generation;
pub mod lease;
pub mod outcome;
pub mod run_once;
pub mod step_gate;

pub use generation::{Applying, GenerationGate, StartOutcome, StartPoll};
pub use lease::{
    FencingGate, FencingNumber, GateAnswer, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, LeaseState, StoreResponse,
};
pub use outcome::{NotRunReason, Outcome};
pub use run_once::{Admission, RunOnceTable, RunState};
pub use step_gate::{StepGate, StepRefusal};
