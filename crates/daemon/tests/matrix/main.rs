//! Fault matrix of the request path: every step of a request combined with
//! every fault, on fleets of separate processes.
//!
//! A cell brings one request to a step, holds the request there, injects the
//! fault, releases the request, and compares the response with the records of
//! the stand-ins. To reach a step, a cell holds a call at a stand-in instead
//! of waiting for a time, so that the result is deterministic. Each cell is a
//! separate test with its own fleet.

mod cell;
mod driver;
mod fault_injection;
mod invariants;
mod keyed;
mod once;
mod plain;
mod programs;
mod steps;
mod stream;
