//! The engine stand-in, driven by the client of its protocol.

mod chain;
mod common;
mod faults;
mod steps;
