//! The protocol between the processes of chestnutreach.
//!
//! An entry communicates with the first side process of a chain, and side
//! processes communicate with each other. A [`Link`] is a TCP connection that
//! multiplexes the frames of many requests; [`Links`] manages all links of a
//! process.
//!
//! | module | contents |
//! |---|---|
//! | [`wire`] | generated message types |
//! | [`codec`] | encoding and decoding of frames |
//! | [`request_id`] | identifiers of requests |
//! | [`link`] | connections, heartbeats and silence timeouts |
//! | [`peers`] | generated types of the messages between entries |
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

/// Version of the inner protocol that this build supports.
pub const PROTOCOL_VERSION: u32 = 1;
