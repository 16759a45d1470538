//! The service definition, from which `tarpc` generates client and server.
//!
//! Every call returns a `Result`, so that a call before `hello` can be
//! refused.

use crate::{
    message::{Blob, ExplainQuery, GenerationInfo, NodeInfo, NodeStatus},
    refusal::ControlRefusal,
};

/// Control calls of a daemon.
#[tarpc::service]
pub(crate) trait Control {
    /// Checks the protocol version. The format of this call must never change.
    async fn hello(protocol_version: u32) -> Result<NodeInfo, ControlRefusal>;
    /// Returns the status of the process.
    async fn status() -> Result<NodeStatus, ControlRefusal>;
    /// Drains one backend server, or all: new work is refused.
    async fn drain(backend: Option<String>) -> Result<(), ControlRefusal>;
    /// Ends a drain: new work is accepted again.
    async fn undrain(backend: Option<String>) -> Result<(), ControlRefusal>;
    /// Returns the active manifest generation.
    async fn generation() -> Result<GenerationInfo, ControlRefusal>;
    /// Returns a part of a manifest by its digest.
    async fn manifest_part(
        digest: Blob,
    ) -> Result<Option<Blob>, ControlRefusal>;
    /// Explains the choice of a chain, as JSON.
    async fn explain(query: ExplainQuery) -> Result<String, ControlRefusal>;
}
