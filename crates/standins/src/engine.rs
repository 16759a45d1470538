//! A model engine that holds a range of layers.
//!
//! It speaks the protocol of `chestnutreach-engine` and runs a toy model
//! whose answer depends on every layer having run once, in order, at every
//! position. Time and memory are modelled roughly: iterations over a batch
//! take a set time, KV memory counts positions.
//!
//! | module | what it holds |
//! |---|---|
//! | `model` | the toy model |
//! | `prompt` | tokens of a caller's request |
//! | `stage` | the KV state of sequences and the run of a step |
//! | `prefix_cache` | prompt prefixes seen lately |
//! | `scheduler` | the queue and the iterations |
//! | `orders` | orders and fencing numbers |
//! | `routes` | calls over HTTP |
//! | `options` | settings |

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
