//! What entries tell each other, generated from `proto/peers.proto`.
//!
//! Regenerate with `tools/codegen`; the build itself needs no generator.

#![allow(missing_docs, clippy::all)]

include!("generated/chestnutreach.peers.rs");
