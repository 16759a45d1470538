//! A model engine that serves a range of layers.
//!
//! The engine implements the protocol of `chestnutreach-engine` and runs a toy
//! model whose answer is only correct if every layer ran once, in order, at
//! every position. Time and memory are modelled roughly: iterations over a
//! batch take a configured time, and KV memory is counted in positions.
//!
//! | module | contents |
//! |---|---|
//! | `model` | the toy model |
//! | `prompt` | prompt tokens of a caller's request |
//! | `stage` | the KV state of sequences, and how a step runs |
//! | `prefix_cache` | recently used prompt prefixes |
//! | `scheduler` | the step queue and the iterations |
//! | `orders` | load orders and fencing numbers |
//! | `routes` | the HTTP routes |
//! | `options` | engine settings |

mod model;
mod options;
mod orders;
mod prefix_cache;
mod prompt;
mod routes;
mod scheduler;
mod stage;

pub use self::{
    model::{expected_answer, expected_tokens},
    options::EngineOptions,
    orders::{OrderRecord, OrderResult},
    routes::serve,
    scheduler::{EngineStats, RunRecord},
};
