//! Control calls between the system's processes, over `tarpc`.
//!
//! The operators' command-line tool calls daemons, and daemons call their
//! peers. Requests of callers do not use this protocol.
//!
//! | module | contents |
//! |---|---|
//! | [`message`] | arguments and results of the calls |
//! | [`refusal`] | reasons for which a process refuses a call |
//! | [`client`] | the client of a daemon's control port |
//! | [`server`] | the server of the control port |
//!
//! # Protocol
//!
//! Each frame starts with its length as a four-byte big-endian integer and
//! contains a `tarpc` message as JSON. JSON is larger and slower than
//! `bincode`, which is no longer maintained, but calls are rare, and frames
//! are readable in a packet capture. Parts of a manifest are encoded as
//! base64. The first call on a connection, `hello`, states the protocol
//! version. A process refuses an unsupported version with a specific error,
//! and all other calls before a successful `hello`.
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
//! let timeout = Duration::from_secs(5);
//! async_io::block_on(executor.run(async {
//!     let client = ControlClient::connect(address, timeout).await?;
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

/// Version of the protocol; any change of a message requires a new version.
pub const PROTOCOL_VERSION: u32 = 1;
