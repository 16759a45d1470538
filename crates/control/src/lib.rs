//! Control calls between the system's own processes, over `tarpc`.
//!
//! The operators' tool calls daemons, and daemons call their peers. Requests
//! of callers never go this way.
//!
//! | module | what it holds |
//! |---|---|
//! | [`message`] | what the calls carry |
//! | [`refusal`] | why a process does not do what it is asked |
//! | [`client`] | making calls |
//! | [`server`] | answering them |
//!
//! # Protocol
//!
//! Frames have a length of four bytes before them, big-endian, and hold the
//! messages of `tarpc` as JSON. JSON is larger and slower than `bincode`,
//! which nobody maintains any more, but calls are rare, and a frame can be
//! read in a capture. The bytes of a manifest travel as base64. The first
//! call on a connection states the version of the protocol; a process refuses
//! one that it does not speak by name, and all calls until then.
//!
//! # Example
//!
//! ```
//! use chestnutreach_control::{
//!     ControlClient, ControlHandler, ControlRefusal, ExplainQuery,
//!     GenerationInfo, NodeInfo, NodeStatus, serve_control,
//! };
//! use async_executor::Executor;
//! use async_io::Async;
//! use std::{net::TcpListener, sync::Arc, time::Duration};
//!
//! struct Node;
//!
//! impl ControlHandler for Node {
//!     fn info(&self) -> NodeInfo {
//!         NodeInfo { vm: "vm-1".to_owned(), ..NodeInfo::default() }
//!     }
//!     fn status(&self) -> NodeStatus {
//!         NodeStatus { is_ready: true, ..NodeStatus::default() }
//!     }
//!     fn drain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
//!         Ok(())
//!     }
//!     fn undrain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
//!         Ok(())
//!     }
//!     fn generation(&self) -> GenerationInfo {
//!         GenerationInfo::default()
//!     }
//!     fn manifest_part(&self, _: &[u8]) -> Option<Vec<u8>> {
//!         None
//!     }
//!     fn explain(&self, _: &ExplainQuery) -> Result<String, ControlRefusal> {
//!         Ok("{}".to_owned())
//!     }
//! }
//!
//! let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
//! let address = listener.get_ref().local_addr()?;
//! let executor = Arc::new(Executor::new());
//! let serving = serve_control(listener, executor.clone(), Arc::new(Node));
//! executor.spawn(serving).detach();
//!
//! let limit = Duration::from_secs(5);
//! async_io::block_on(executor.run(async {
//!     let client = ControlClient::connect(address, limit).await?;
//!     assert_eq!(client.info().vm, "vm-1");
//!     assert!(client.status().await?.is_ready);
//!     Ok::<_, Box<dyn std::error::Error>>(())
//! }))?;
//! # Ok::<_, Box<dyn std::error::Error>>(())
//! ```

pub mod client;
pub mod message;
pub mod refusal;
pub mod server;
mod service;
mod transport;

pub use client::{ControlClient, ControlError};
pub use message::{
    BackendStatus, DescribedRequest, ExplainQuery, GenerationInfo, NodeInfo,
    NodeRole, NodeStatus, PeerStatus, RequestPriority,
};
pub use refusal::ControlRefusal;
pub use server::{
    ControlHandler, ServeOptions, serve_control, serve_control_with,
};
pub use transport::MAX_FRAME_BYTES;

/// Version of the protocol; any change of a message is a new one.
pub const PROTOCOL_VERSION: u32 = 1;
