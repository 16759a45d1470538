//! HTTP/1.1 server, client and relay on top of `async-h1`.
//!
//! `async-h1` parses heads and encodes messages. This crate adds what
//! `async-h1` lacks, and determines the ends of bodies itself: a truncated
//! body is an error on both sides, conflicting lengths and malformed heads get
//! a response, a caller that disconnects is detected while the handler runs,
//! and a streamed body that fails ends without the last chunk.
//!
//! | module | contents |
//! |---|---|
//! | [`server`] | serves one accepted connection |
//! | [`head`] | validation of heads |
//! | [`body`] | streamed bodies |
//! | [`client`] | client for one server, with a connection pool |
//! | [`relay`] | requests and responses that are forwarded unchanged |
//! | [`retry_after`] | parses the `Retry-After` header |
//! | [`stream`] | a socket shared by several tasks |
//!
//! # Example
//!
//! ```
//! use chestnutreach_http::head::{BodyFraming, check_request};
//!
//! let head = b"POST /v1/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n";
//! let info = check_request(head).unwrap();
//! assert_eq!(info.framing, BodyFraming::Length(3));
//! ```

pub mod body;
pub mod client;
pub mod head;
mod message;
pub mod relay;
pub mod retry_after;
pub mod server;
pub mod stream;

pub use http_types::Response;

pub use client::{Client, ClientError, ClientOptions, STALL_TIMEOUT};
pub use server::{ReceivedRequest, ServerOptions, serve_connection};
pub use stream::SharedStream;
