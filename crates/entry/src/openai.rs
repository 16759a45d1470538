//! OpenAI request and response formats.
//!
//! Only the fields that the router needs are read from a request; the engine
//! gets the caller's JSON unchanged. A field that asks for more than the
//! response can hold, such as a second choice, is refused by name, because a
//! response without it would be incomplete.
//!
//! The module has no state and is public so that integration tests and fuzz
//! tests can use it without an entry.
//!
//! | module | contents |
//! |---|---|
//! | [`request`] | parsing and validation of requests |
//! | `fields` | the parsed fields |
//! | [`response`] | full responses and streamed chunks |
//! | [`endpoint`] | the two endpoints |

pub mod endpoint;
mod fields;
pub mod request;
pub mod response;

pub use self::{
    endpoint::Endpoint,
    request::{ParsedRequest, ValidationError},
    response::{ChunkEncoder, ResponseTemplate, Usage},
};
