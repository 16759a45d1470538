//! Orders and fencing numbers.
//!
//! An order takes effect at once and the engine is not ready until the
//! weights are loaded. An order for what is held already changes nothing, so
//! that a holder may repeat one whose answer was lost.

use std::{
    ops::Range,
    sync::{Mutex, MutexGuard},
};

use chestnutreach_engine::LoadOrder;
use serde::{Deserialize, Serialize};

use super::options::EngineOptions;
use crate::record::Record;

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// Other weights are loaded.
    Taken,
    /// They were held already.
    Unchanged,
    /// It carried an old fencing number.
    Refused,
}

/// An order that came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: String,
    /// Adapter on top of them.
    pub adapter: Option<String>,
    /// First layer to hold.
    pub first_layer: u32,
    /// Layer after the last one to hold.
    pub end_layer: u32,
    /// The order's fencing number.
    pub fencing_number: u64,
    /// What became of it.
    pub result: OrderResult,
}

/// What an order leads to.
pub(super) enum Decision {
    Load,
    Keep,
    Refuse { held: u64 },
}

/// The weights held and the number of the order they came with.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    held: Mutex<Held>,
    record: Record<OrderRecord>,
}

#[derive(Debug)]
struct Held {
    model: String,
    /// Unknown until the first order.
    version: Option<String>,
    adapter: Option<String>,
    layers: Range<u32>,
    fencing_number: u64,
    /// Loads that have not ended.
    loads: u32,
}

/// A load that has not ended.
pub(super) struct Loading<'a> {
    orders: &'a Orders,
}

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.orders.held().loads -= 1;
    }
}

impl Orders {
    pub(super) fn new(options: &EngineOptions) -> Orders {
        let held = Held {
            model: options.model.clone(),
            version: None,
            adapter: None,
            layers: options.first_layer..options.end_layer,
            fencing_number: 0,
            loads: 0,
        };
        Orders {
            checks_fencing: options.checks_fencing,
            held: Mutex::new(held),
            record: Record::new(),
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("no holder panics")
    }

    pub(super) fn record(&self) -> &Record<OrderRecord> {
        &self.record
    }

    pub(super) fn is_ready(&self) -> bool {
        self.held().loads == 0
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.held().model == model
    }

    pub(super) fn model(&self) -> String {
        self.held().model.clone()
    }

    /// Decides on an order and records it.
    pub(super) fn take(&self, order: &LoadOrder) -> Decision {
        let mut held = self.held();
        let is_old = order.fencing_number < held.fencing_number;
        if is_old && self.checks_fencing {
            self.push(order, OrderResult::Refused);
            return Decision::Refuse { held: held.fencing_number };
        }
        held.fencing_number = order.fencing_number;
        if held.is_same(order) {
            self.push(order, OrderResult::Unchanged);
            return Decision::Keep;
        }
        held.replace(order);
        self.push(order, OrderResult::Taken);
        Decision::Load
    }

    /// Not ready until the answer is dropped.
    pub(super) fn begin_load(&self) -> Loading<'_> {
        self.held().loads += 1;
        Loading { orders: self }
    }

    fn push(&self, order: &LoadOrder, result: OrderResult) {
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

impl Held {
    fn is_same(&self, order: &LoadOrder) -> bool {
        self.model == order.model
            && self.version.as_deref() == Some(&order.version)
            && self.adapter == order.adapter
            && self.layers == (order.first_layer..order.end_layer)
    }

    fn replace(&mut self, order: &LoadOrder) {
        self.model = order.model.clone();
        self.version = Some(order.version.clone());
        self.adapter = order.adapter.clone();
        self.layers = order.first_layer..order.end_layer;
    }
}
