//! The role `entry`: accepts HTTP requests from callers and runs each one on
//! the backend servers.
//!
//! | module | contents |
//! |---|---|
//! | [`node`] | the process as a whole |
//! | `view` | the manifest in force, indexed for requests |
//! | `shared` | state shared by all modules |
//! | `side_registry` | side processes of the manifest in force |
//! | `side_links` | links to side processes and the state they report |
//! | `draining_vms` | VMs that the platform lists as leaving |
//! | `session` | one request over all its attempts |
//! | `session_event`, `failure` | events of a session, and how it fails |
//! | `stored_response` | responses stored for repeated requests |
//! | `keyed`, `key_claim` | requests with an idempotency key, and its claim |
//! | `api`, `call` | routing and authentication of HTTP requests |
//! | [`request_options`] | request headers that set deadline and priority |
//! | `models` | the list of models |
//! | [`openai`] | OpenAI request and response formats |
//! | `language` | requests for a model |
//! | `plain` | requests for a plain service |
//! | `recent_requests` | the routing choices of recent requests |
//! | [`shutdown`] | how an entry shuts down |
//! | `progress_source` | what drives a request: its handler or a task |
//! | `request_tracker` | metrics and log events of a request |
//! | `outage` | how long the platform's table service has been failing |
//! | `error_response` | outcomes as status codes, headers and error objects |

mod api;
mod call;
mod draining_vms;
mod error_response;
mod failure;
mod key_claim;
mod keyed;
mod language;
mod models;
pub mod node;
pub mod openai;
mod outage;
mod plain;
mod progress_source;
mod recent_requests;
pub mod request_options;
mod request_tracker;
mod session;
mod session_event;
mod shared;
pub mod shutdown;
mod side_links;
mod side_registry;
mod stored_response;
mod view;

pub use node::{Entry, EntryParts};
