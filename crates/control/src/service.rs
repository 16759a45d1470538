//! The calls, as `tarpc` makes its types from them.
//!
//! All give a result, so that a call before `hello` can be refused.

use crate::{
    message::{Blob, ExplainQuery, GenerationInfo, NodeInfo, NodeStatus},
    refusal::ControlRefusal,
};

/// Calls to a daemon.
#[tarpc::service]
pub(crate) trait Control {
    /// Agrees on the version of the protocol. This call never changes.
    async fn hello(protocol_version: u32) -> Result<NodeInfo, ControlRefusal>;
    /// What the process knows of itself.
    async fn status() -> Result<NodeStatus, ControlRefusal>;
    /// Refuses new work for a backend server, or for all.
    async fn drain(backend: Option<String>) -> Result<(), ControlRefusal>;
    /// Takes new work again.
    async fn undrain(backend: Option<String>) -> Result<(), ControlRefusal>;
    /// The generation in force.
    async fn generation() -> Result<GenerationInfo, ControlRefusal>;
    /// A part of a manifest, by its digest.
    async fn manifest_part(
        digest: Blob,
    ) -> Result<Option<Blob>, ControlRefusal>;
    /// Why a chain is chosen, as JSON.
    async fn explain(query: ExplainQuery) -> Result<String, ControlRefusal>;
}
