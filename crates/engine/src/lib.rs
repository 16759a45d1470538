//! The protocol of model engines that hold a range of layers.
//!
//! The wire is the Open Inference Protocol (KServe v2) over HTTP/1.1 with
//! JSON: one inference call carries a batch of rows, each a step of one
//! sequence. `docs/ENGINES.md` lists the tensors and the two extensions.
//!
//! | module | what it holds |
//! |---|---|
//! | [`sequence`] | steps of a sequence, their outputs and errors |
//! | [`order`] | orders to an engine and the load it reports |
//! | [`client`] | calls to one engine |
//! | [`error`] | why a call has no answer |
//! | [`wire`] | messages to and from JSON |
//!
//! # Example
//!
//! ```
//! use chestnutreach_engine::{SequenceId, SequenceStep, StepInput, wire};
//!
//! let step = SequenceStep {
//!     sequence: SequenceId { request: 7, attempt: 1 },
//!     position: 12,
//!     priority: 1,
//!     input: StepInput::Token(4711),
//!     parameters_json: Vec::new(),
//! };
//! let body = wire::encode_request("call-1", 0, 12, &[step.clone()]);
//! let call = wire::decode_request(&body).unwrap();
//! assert_eq!(call.rows[0].step, Ok(step));
//! ```

pub mod client;
pub mod error;
pub mod order;
pub mod sequence;
pub mod wire;

pub use client::EngineClient;
pub use error::EngineError;
pub use order::{EngineLoad, LoadOrder};
pub use sequence::{
    SequenceError, SequenceId, SequenceOutput, SequenceStep, StepInput,
    StepOutput,
};
