//! A plan: orders for a service.

use crate::{
    chain_repair::fill_gaps, draft::Draft, order::Order,
    scale_up::meet_demand, service::CheckedService,
};

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
