//! The protocol between the processes of chestnutreach.
//!
//! An entry talks to the first side process of a chain, and side processes
//! talk to each other. A [`Link`] is one TCP connection that carries the
//! frames of many requests; [`Links`] holds all links of a process.
//!
//! | module | what it holds |
//! |---|---|
//! | [`wire`] | the generated message types |
//! | [`codec`] | frames to bytes and back |
//! | [`request_id`] | the identity of a request |
//! | [`link`] | connections, heartbeats, silence |
//! | [`peers`] | what entries tell each other, generated |
//!
//! # Example
//!
//! ```
//! use chestnutreach_protocol::{codec, wire};
//!
//! let body = wire::frame::Body::Heartbeat(wire::Heartbeat::default());
//! let mut bytes = Vec::new();
//! codec::encode(body, &mut bytes);
//! let mut decoder = codec::Decoder::new(1024);
//! decoder.extend(&bytes);
//! assert!(decoder.next_body().unwrap().is_some());
//! assert!(decoder.next_body().unwrap().is_none());
//! ```

pub mod codec;
pub mod link;
pub mod peers;
pub mod request_id;
pub mod wire;

pub use link::{
    CloseReason, Identity, Link, LinkError, LinkEvent, LinkOptions, Links,
    Traffic,
};
pub use request_id::RequestId;

/// Version of the inner protocol that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;
