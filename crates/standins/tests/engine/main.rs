//! Tests of the engine stand-in, through the client of its protocol.

mod chain;
mod common;
mod faults;
mod steps;
