//! Message types generated from `proto/inner.proto`.
//!
//! Regenerate with `tools/codegen`; the build itself needs no generator.

#![allow(missing_docs, clippy::all)]

include!("generated/chestnutreach.inner.rs");
