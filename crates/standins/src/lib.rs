//! Stand-ins for tests and the demo.

pub mod platform;
