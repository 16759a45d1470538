//! Which backend servers of a language service hold which layers.
//!
//! A pure function: no clock, no I/O, no randomness. From the kinds of
//! accelerators, the ranges that are held, who is there and the demand it
//! makes an ordered list of orders, each with its reason.
//!
//! | module | what it holds |
//! |---|---|
//! | [`service`] | what is planned for, checked |
//! | [`capacity`] | tokens a second of all chains together |
//! | `draft` | a plan while it is made |
//! | `tiling` | making a chain possible again |
//! | `growth` | adding capacity where it is least |
//! | [`plan`] | the orders that bring a service there |
//! | [`order`] | an order and its reason |
//! | [`layout`] | layers for engines that hold none, by memory |
//! | [`mend`] | what engines that hold layers do where some are lacking |
//! | `cover` | how many engines hold each layer |
//! | `room` | room for requests on each layer |
//! | `shape` | which engines of a data centre hold the same layers |
//! | `fast_beside` | fast engines beside slower ones that hold the same |
//! | [`order_tracker`] | orders that do not show yet |
//!
//! # Example
//!
//! ```
//! use chestnutreach_planner::{Kind, LayerRange, Server, Service, plan};
//!
//! let kind = Kind {
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

pub mod capacity;
mod cover;
mod draft;
mod fast_beside;
mod growth;
pub mod layout;
pub mod mend;
pub mod order;
pub mod order_tracker;
pub mod plan;
mod room;
pub mod service;
mod shape;
mod tiling;

pub use layout::{
    LayoutEngine, LayoutModel, Placement, place_empty, replica_counts,
};
pub use mend::{grow_into_gaps, grow_to_free, move_one};
pub use order::{Order, Reason};
pub use order_tracker::{
    DueOrder, ObservedEngine, OpenMove, OrderScope, OrderTracker,
};
pub use plan::{Plan, plan};
pub use service::{
    CheckedService, Kind, LayerRange, Server, Service, ServiceError,
};
