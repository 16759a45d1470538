//! Types for the settings of a deployment and the state of its backend
//! servers.
//!
//! The types do no I/O. The folder `platform/` decodes the messages of the
//! users' platform into them, and routing and planning take them as input.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | settings of one process |
//! | [`configuration`] | routes, services and client accounts |
//! | [`backend`] | backend servers, models and accelerators |
//! | [`store_version`] | versions of the platform's store |
//! | [`tables`] | names of the tables that this system owns |
//!
//! # Example
//!
//! ```
//! use chestnutreach_site::{Model, AcceleratorKind};
//!
//! let model = Model {
//!     layer_count: 80,
//!     layer_mb: 1750.0,
//!     token_layer_bytes: 7375.0,
//!     ..Model::default()
//! };
//! let l4 = AcceleratorKind {
//!     memory_mb: 21_600.0,
//!     pace: 16.0,
//!     prefill_factor: 8.2,
//! };
//! assert_eq!(model.max_layers(&l4), 12);
//! assert_eq!(model.token_layer_capacity(&l4, 10), 555_932);
//! ```

pub mod backend;
pub mod configuration;
pub mod settings;
pub mod store_version;
pub mod tables;

pub use backend::{
    AcceleratorKind, Backend, BackendState, LayerRange, Model, StreamPolicy,
};
pub use configuration::{
    Configuration, Finding, Limits, Route, RouteKind, Service, Share,
};
pub use settings::{Bounds, NodeSettings, StoreRates};
pub use store_version::StoreVersion;
