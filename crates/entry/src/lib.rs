//! The role `entry`: speaks HTTP to callers and owns their answers.
//!
//! | module | what it holds |
//! |---|---|
//! | [`node`] | the process as a whole |
//! | `view` | the manifest in force, made ready for requests |
//! | `shared` | what all its parts share |
//! | `peers` | which side processes there are |
//! | `sides` | links to them, and what they say |
//! | `listed` | what the platform's list says of VMs that leave |
//! | `session` | one request over all its attempts |
//! | `session_event`, `ending` | what reaches it, how it ends |
//! | `kept` | answers kept for repeats |
//! | `keyed`, `key_hold` | requests with an idempotency key, its claim |
//! | `api`, `call` | which request goes where, and who may send it |
//! | [`request_options`] | the headers that say how a request is served |
//! | `models` | the list of models |
//! | [`openai`] | the published shapes of requests and answers |
//! | `language` | requests for a model |
//! | `plain` | requests for a plain service |
//! | `recent` | the routing choices of recent requests |
//! | [`shutdown`] | how an entry stops |
//! | `source` | where the progress of a request comes from |
//! | `tally` | what is counted and logged of a request |
//! | `outage` | how long the platform's store has been failing |
//! | `answer` | outcomes as statuses, headers and error objects |

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
