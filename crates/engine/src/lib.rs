//! Protocol and client of model engines that hold a range of layers.
//!
//! The protocol is the Open Inference Protocol (KServe v2) over HTTP/1.1 with
//! JSON. An inference call carries a batch of rows; each row is a step of one
//! sequence. `docs/ENGINES.md` lists the tensors and the two extensions.
//!
//! | module | contents |
//! |---|---|
//! | [`sequence`] | steps of a sequence, outputs and errors |
//! | [`order`] | orders to an engine and its load reports |
//! | [`client`] | client for one engine |
//! | [`error`] | errors of calls |
//! | [`wire`] | JSON encoding of messages |
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
