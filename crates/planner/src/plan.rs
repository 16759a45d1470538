//! The orders and their reasons.

use std::fmt;

use crate::{
    draft::Draft,
    growth::meet_demand,
    service::{CheckedService, LayerRange},
    tiling::fill_gaps,
};

/// Why an order is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No chain covers these layers.
    FillsGap,
    /// No chain can be made of what is held, so all is laid out again.
    LaysOutAnew,
    /// The demand is above what chains carry through these layers.
    AddsCapacity,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::FillsGap => "no chain covers these layers",
            Reason::LaysOutAnew => "no chain can be made of what is held",
            Reason::AddsCapacity => "the demand is above the capacity here",
        })
    }
}

/// What a backend server is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Its name.
    pub server: String,
    /// The layers.
    pub range: LayerRange,
    /// Layers that it has to load.
    pub loaded_layers: u32,
    /// Why.
    pub reason: Reason,
}

/// Orders in the order in which they are to be given.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// At most one for each backend server.
    pub orders: Vec<Order>,
    /// What chains carry once all are done; 0 when there is none.
    pub capacity_tokens_per_s: u64,
    /// Demand beyond that.
    pub unmet_tokens_per_s: u64,
}

/// Plans who holds what. The same service gives the same plan.
pub fn plan(service: &CheckedService) -> Plan {
    let mut draft = Draft::new(service);
    if draft.capacity() == 0 {
        fill_gaps(&mut draft);
    }
    meet_demand(&mut draft);
    let capacity_tokens_per_s = draft.capacity();
    let demand = service.demand_tokens_per_s;
    Plan {
        orders: draft.orders,
        capacity_tokens_per_s,
        unmet_tokens_per_s: demand.saturating_sub(capacity_tokens_per_s),
    }
}
