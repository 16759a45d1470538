//! Request handling: admission, queueing, path search and forwarding.
//!
//! | module | contents |
//! |---|---|
//! | `callers` | connections of callers |
//! | `admit` | route, access key and deadline of a request |
//! | `connection_control` | new connections that are left to other entries |
//! | `plain` | requests with a single response |
//! | `stream`, [`events`] | streams of events |
//! | `queue` | streams that wait for a path |
//! | `capacity_control` | admission by capacity and demand of all entries |
//! | `running_tokens` | capacity of a service that running requests use |
//! | `route` | path search |
//! | `path` | the engines that a request passes through |
//! | `interconnect` | traffic between data centres |
//! | `exchange` | one request to one backend server |
//! | `fingerprint` | identifies equal requests |
//! | `isolation` | trials and quarantine of requests that may crash servers |
//! | `response`, `outcome` | responses of the entry, and request outcomes |

pub(crate) mod admit;
pub(crate) mod callers;
pub(crate) mod capacity_control;
pub(crate) mod connection_control;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod fingerprint;
pub(crate) mod interconnect;
pub(crate) mod isolation;
pub(crate) mod outcome;
pub(crate) mod path;
pub(crate) mod plain;
pub(crate) mod queue;
pub(crate) mod response;
pub(crate) mod route;
pub(crate) mod running_tokens;
pub(crate) mod stream;
