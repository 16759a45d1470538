//! What a caller gets, over real sockets.
//!
//! An entry runs in this process with a side process that does as it is
//! told, so that each refusal, outcome and broken connection is caused and
//! not waited for.

mod connections;
mod models;
mod outcomes;
mod plain;
mod refused;
mod repeats;
mod streams;
mod support;
