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

mod answer;
mod api;
mod call;
mod ending;
mod kept;
mod key_hold;
mod keyed;
mod language;
mod listed;
mod models;
pub mod node;
pub mod openai;
mod outage;
mod peers;
mod plain;
mod recent;
pub mod request_options;
mod session;
mod session_event;
mod shared;
pub mod shutdown;
mod sides;
mod source;
mod tally;
mod view;

pub use node::{Entry, EntryParts};
