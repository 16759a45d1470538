//! Types of the messages between entries, generated from `proto/peers.proto`.
//!
//! Regenerate with `tools/codegen`; the build does not run the generator.

#![allow(missing_docs, clippy::all)]

include!("generated/chestnutreach.peers.rs");
