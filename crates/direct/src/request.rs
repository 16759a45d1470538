//! The way of a request: admitted, queued, sent along a path, answered.
//!
//! | module | what it holds |
//! |---|---|
//! | `callers` | the connections of clients |
//! | `admit` | route, key and time of a request |
//! | `plain` | requests with one whole answer |
//! | `stream`, [`events`] | streams of events |
//! | `queue` | streams that wait for a path |
//! | `room` | what requests that run take of a service's room |
//! | `route` | seeking a path |
//! | `path` | the engines that a request passes through |
//! | `interconnect` | what goes between data centres |
//! | `exchange` | one request to one backend server |
//! | `fingerprint` | what tells that two requests are the same |
//! | `isolation` | where and when a request may run that crashes servers |
//! | `answer`, `ended` | answers of our own, and how a request ended |

pub(crate) mod admit;
pub(crate) mod answer;
pub(crate) mod callers;
pub(crate) mod ended;
pub mod events;
pub(crate) mod exchange;
pub(crate) mod fingerprint;
pub(crate) mod interconnect;
pub(crate) mod isolation;
pub(crate) mod path;
pub(crate) mod plain;
pub(crate) mod queue;
pub(crate) mod room;
pub(crate) mod route;
pub(crate) mod stream;
