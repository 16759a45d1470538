//! Load orders and fencing numbers.
//!
//! An order takes effect immediately, and the engine isn't ready until the
//! weights are loaded. An order for weights that are loaded already changes
//! nothing, so the sender can repeat an order whose response was lost.

use std::{
    ops::Range,
    sync::{Mutex, MutexGuard},
};

use chestnutreach_engine::LoadOrder;
use serde::{Deserialize, Serialize};

use super::options::EngineOptions;
use crate::record::Record;

/// Result of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The engine loads other weights.
    Taken,
    /// The engine had loaded these weights already.
    Unchanged,
    /// The order had an old fencing number.
    Refused,
}

/// Record of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Name of the model.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Adapter applied to the weights.
    pub adapter: Option<String>,
    /// First layer to load.
    pub first_layer: u32,
    /// Layer after the last one to load.
    pub end_layer: u32,
    /// The order's fencing number.
    pub fencing_number: u64,
    /// Result of the order.
    pub result: OrderResult,
}

/// How the engine responds to an order.
pub(super) enum Decision {
    Load,
    Keep,
    Refuse { held: u64 },
}

/// State and log of the load orders.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    state: Mutex<OrderState>,
    record: Record<OrderRecord>,
}

/// The model to serve, as of the last order.
#[derive(Debug)]
struct OrderState {
    model: String,
    /// None until the first order.
    version: Option<String>,
    adapter: Option<String>,
    layers: Range<u32>,
    fencing_number: u64,
    /// Number of loads in progress.
    loads_in_progress: u32,
}

/// Guard of a load in progress; the load ends when the guard is dropped.
pub(super) struct LoadGuard<'a> {
    orders: &'a Orders,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.orders.state().loads_in_progress -= 1;
    }
}

impl Orders {
    pub(super) fn new(options: &EngineOptions) -> Orders {
        let state = OrderState {
            model: options.model.clone(),
            version: None,
            adapter: None,
            layers: options.first_layer..options.end_layer,
            fencing_number: 0,
            loads_in_progress: 0,
        };
        Orders {
            checks_fencing: options.checks_fencing,
            state: Mutex::new(state),
            record: Record::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, OrderState> {
        self.state.lock().expect("no holder panics")
    }

    pub(super) fn record(&self) -> &Record<OrderRecord> {
        &self.record
    }

    pub(super) fn is_ready(&self) -> bool {
        self.state().loads_in_progress == 0
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.state().model == model
    }

    pub(super) fn model(&self) -> String {
        self.state().model.clone()
    }

    /// Records an order and applies it. If fencing is checked, an order with
    /// an old number is only recorded.
    pub(super) fn handle(&self, order: &LoadOrder) -> Decision {
        let mut state = self.state();
        let is_old = order.fencing_number < state.fencing_number;
        if is_old && self.checks_fencing {
            self.record_order(order, OrderResult::Refused);
            return Decision::Refuse { held: state.fencing_number };
        }
        state.fencing_number = order.fencing_number;
        if state.matches(order) {
            self.record_order(order, OrderResult::Unchanged);
            return Decision::Keep;
        }
        state.apply(order);
        self.record_order(order, OrderResult::Taken);
        Decision::Load
    }

    /// Starts a load; the engine isn't ready until the guard is dropped.
    pub(super) fn start_load(&self) -> LoadGuard<'_> {
        self.state().loads_in_progress += 1;
        LoadGuard { orders: self }
    }

    fn record_order(&self, order: &LoadOrder, result: OrderResult) {
        self.record.push(OrderRecord {
            model: order.model.clone(),
            version: order.version.clone(),
            adapter: order.adapter.clone(),
            first_layer: order.first_layer,
            end_layer: order.end_layer,
            fencing_number: order.fencing_number,
            result,
        });
    }
}

impl OrderState {
    fn matches(&self, order: &LoadOrder) -> bool {
        self.model == order.model
            && self.version.as_deref() == Some(&order.version)
            && self.adapter == order.adapter
            && self.layers == (order.first_layer..order.end_layer)
    }

    fn apply(&mut self, order: &LoadOrder) {
        self.model = order.model.clone();
        self.version = Some(order.version.clone());
        self.adapter = order.adapter.clone();
        self.layers = order.first_layer..order.end_layer;
    }
}
