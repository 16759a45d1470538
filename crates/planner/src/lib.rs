//! Decides which backend servers of a language service hold which layers.
//!
//! All planning is pure: no clock, no I/O and no randomness. The input is the
//! kinds of accelerators, the layer ranges that are held, the available
//! servers and the demand; the output is an ordered list of orders, each with
//! its reason.
//!
//! | module | contents |
//! |---|---|
//! | [`service`] | the validated input of a plan |
//! | [`capacity`] | tokens per second of all chains together |
//! | `draft` | a plan under construction |
//! | `chain_repair` | orders that restore a complete chain |
//! | `scale_up` | orders that add capacity at the bottleneck |
//! | [`mod@plan`] | the orders for a service |
//! | [`order`] | an order and its reason |
//! | `layout_model` | the model, engines and placements of a layout |
//! | [`layout`] | layers for engines that hold none, by memory |
//! | `even_layout` | ranges of each engine's own for an empty data centre |
//! | `balance` | whole layers with the highest lowest KV capacity |
//! | [`repair`] | extensions and moves that close gaps |
//! | `replicas` | number of engines that hold each layer |
//! | `kv_capacity` | KV capacity of each layer |
//! | [`order_tracker`] | orders whose effect is not listed yet |
//!
//! # Example
//!
//! ```
//! use chestnutreach_planner::{
//!     AcceleratorKind, LayerRange, Server, Service, plan,
//! };
//!
//! let kind = AcceleratorKind {
//!     tokens_per_s: 1_000,
//!     price_micros_per_hour: 900_000,
//!     max_layers: 12,
//! };
//! let service = Service::new(24)
//!     .demand_tokens_per_s(1_500)
//!     .kind("a40", kind)
//!     .server(Server::new("desk-0", "a40").holds(LayerRange::new(0, 12)))
//!     .server(Server::new("desk-1", "a40"));
//! let plan = plan(&service.try_build()?);
//! assert_eq!(plan.orders[0].server, "desk-1");
//! assert_eq!(plan.orders[0].range, LayerRange::new(12, 24));
//! assert_eq!(plan.capacity_tokens_per_s, 2_000);
//! # Ok::<(), chestnutreach_planner::ServiceError>(())
//! ```

mod balance;
pub mod capacity;
mod chain_repair;
mod draft;
mod even_layout;
mod kv_capacity;
pub mod layout;
mod layout_model;
pub mod order;
pub mod order_tracker;
pub mod plan;
pub mod repair;
mod replicas;
mod scale_up;
pub mod service;

pub use layout::{place_empty, replica_counts};
pub use layout_model::{LayoutEngine, LayoutModel, Placement};
pub use order::{Order, Reason};
pub use order_tracker::{
    DueOrder, ObservedEngine, OpenMove, OrderScope, OrderTracker,
};
pub use plan::{Plan, plan};
pub use repair::{best_move, extend_into_gaps, extend_to_free_engine};
pub use service::{
    AcceleratorKind, CheckedService, LayerRange, Server, Service, ServiceError,
};
