//! HTTP/1.1 at the edges of a process, over `async-h1`.
//!
//! `async-h1` reads heads and writes messages; this crate closes the gaps
//! that were measured in it and finds the ends of bodies itself. A body that
//! is cut short is an error on both sides, conflicting lengths and malformed
//! heads get an answer, a caller that hangs up is noticed while the handler
//! works, and a streamed body that fails ends without the last chunk.
//!
//! | module | what it holds |
//! |---|---|
//! | [`server`] | serving one accepted connection |
//! | [`head`] | checks of a request head before it is handled |
//! | [`body`] | bodies that are written while they are sent |
//! | [`client`] | calls to one server over kept connections |
//! | [`relay`] | requests and answers that are passed on as they came |
//! | [`retry_after`] | for how long a server wants nothing |
//! | [`stream`] | the shared socket under both |
//!
//! # Example
//!
//! ```
//! use chestnutreach_http::head::{BodyFraming, check_request};
//!
//! let head = b"POST /v1/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n";
//! let facts = check_request(head).unwrap();
//! assert_eq!(facts.framing, BodyFraming::Length(3));
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

pub use client::{Client, ClientError, ClientOptions};
pub use server::{ReceivedRequest, ServerOptions, serve_connection};
pub use stream::SharedStream;
