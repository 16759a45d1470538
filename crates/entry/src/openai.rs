//! The published shapes of requests and answers.
//!
//! Only what the router itself needs is read from a request; the engine gets
//! the caller's JSON as it came. A field whose effect the router could not
//! hand back, a second choice for instance, is refused by its name: an answer
//! that lacks what was asked for is not whole.
//!
//! The module has no state and is public so that its tests and fuzz tests
//! reach it without an entry.
//!
//! | module | what it holds |
//! |---|---|
//! | [`request`] | what is read of a request, and its checks |
//! | `fields` | the fields as they are parsed |
//! | [`response`] | whole answers and streamed chunks |
//! | [`endpoint`] | which of the two endpoints |

pub mod endpoint;
mod fields;
pub mod request;
pub mod response;

pub use self::{
    endpoint::Endpoint,
    request::{ParsedRequest, ValidationError},
    response::{ChunkEncoder, ResponseTemplate, Usage},
};
