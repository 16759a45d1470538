//! Responses to callers, over real sockets.
//!
//! An entry runs in this process with a scripted side process, so that each
//! refusal, outcome and lost connection is caused by the test.

mod connections;
mod keyed_requests;
mod models;
mod outcomes;
mod plain;
mod refusals;
mod streams;
mod support;
