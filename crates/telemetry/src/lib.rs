//! What a daemon tells its operators: events, metrics, readiness.
//!
//! | module | what it holds |
//! |---|---|
//! | [`event`] | the numbered events of the logs |
//! | [`log`] | setting up the logs |
//! | [`line_buffer`] | log lines that wait to be written |
//! | [`metrics`] | what is counted and measured |
//! | [`port`] | a listening port with a bound on its connections |
//! | [`readiness`] | whether the process should get work |
//! | [`ops`] | the operators' HTTP port |
//!
//! The catalogues for operators are `docs/EVENTS.md` and `docs/METRICS.md`;
//! tests keep them equal to the code.
//!
//! # Example
//!
//! ```
//! use chestnutreach_telemetry::{Event, Metrics, emit};
//!
//! let metrics = Metrics::new("entry", "vm-1");
//! let letters = metrics.service("letters");
//! letters.tokens_delivered.inc();
//! assert_eq!(letters.tokens_delivered.get(), 1);
//!
//! emit(Event::LinkLost, &[("peer_vm", &"vm-2"), ("in_flight", &3)]);
//! ```

pub mod event;
mod family;
pub mod line_buffer;
pub mod log;
pub mod metrics;
pub mod ops;
pub mod port;
pub mod readiness;

pub use event::{Event, emit};
pub use family::{MetricFamily, MetricKind};
pub use line_buffer::LineBuffer;
pub use metrics::{AccountMetrics, BackendMetrics, Metrics, ServiceMetrics};
pub use ops::{OpsState, serve_ops};
pub use port::{AcceptedConnection, Port};
pub use readiness::Readiness;
