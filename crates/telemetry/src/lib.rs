//! Observability of a daemon: logged events, metrics and readiness.
//!
//! | module | contents |
//! |---|---|
//! | [`event`] | catalogue of the logged events |
//! | [`log`] | logger initialisation |
//! | [`line_buffer`] | bounded, non-blocking buffer of log lines |
//! | [`metrics`] | Prometheus metrics |
//! | [`port`] | listener with a limit on open connections |
//! | [`readiness`] | conditions that keep the process from being ready |
//! | [`ops`] | HTTP port for operators and scrapers |
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
pub mod line_buffer;
pub mod log;
mod metric_family;
pub mod metrics;
pub mod ops;
pub mod port;
pub mod readiness;

pub use event::{Event, emit};
pub use line_buffer::LineBuffer;
pub use metric_family::{MetricFamily, MetricKind};
pub use metrics::{AccountMetrics, BackendMetrics, Metrics, ServiceMetrics};
pub use ops::{OpsState, serve_ops};
pub use port::{AcceptedConnection, Port};
pub use readiness::Readiness;
