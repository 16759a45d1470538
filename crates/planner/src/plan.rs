//! A plan: the orders for a service.

use crate::{
    chain_repair::restore_chain, draft::Draft, order::Order,
    scale_up::meet_demand, service::CheckedService,
};

/// Orders, in the sequence in which they are to be issued.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// At most one order for each backend server.
    pub orders: Vec<Order>,
    /// Tokens per second of all chains once every order is carried out; 0
    /// without a complete chain.
    pub capacity_tokens_per_s: u64,
    /// Demand beyond this capacity.
    pub unmet_tokens_per_s: u64,
}

/// Plans which server holds which layers. Equal services give equal plans.
pub fn plan(service: &CheckedService) -> Plan {
    let mut draft = Draft::new(service);
    if draft.chain_capacity() == 0 {
        restore_chain(&mut draft);
    }
    meet_demand(&mut draft);
    let capacity_tokens_per_s = draft.chain_capacity();
    let demand = service.demand_tokens_per_s;
    Plan {
        orders: draft.orders,
        capacity_tokens_per_s,
        unmet_tokens_per_s: demand.saturating_sub(capacity_tokens_per_s),
    }
}
