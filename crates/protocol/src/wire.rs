//! Message types generated from `proto/inner.proto`.
//!
//! Regenerate with `tools/codegen`; the build does not run the generator.

#![allow(missing_docs, clippy::all)]

include!("generated/chestnutreach.inner.rs");
