//! The fault matrix of the request path: each step of a request by each
//! fault, over separate processes.
//!
//! A cell brings one request to a step, holds it there, strikes, lets it go
//! on, and checks what the caller was told against what the stand-ins have
//! recorded. Steps are reached by holding a call at a stand-in, not by
//! waiting, so that a cell gives the same verdict every time. Each cell is a
//! test of its own and has a fleet of its own.

mod cell;
mod driver;
mod invariants;
mod keyed;
mod once;
mod plain;
mod programs;
mod steps;
mod stream;
mod strike;
