//! A plan under construction.

use std::collections::BTreeSet;

use crate::{
    capacity,
    order::{Order, Reason},
    service::{CheckedService, LayerRange},
};

/// The layers that each server holds after the orders so far.
///
/// Servers are identified by their index in the service.
#[derive(Clone, Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) service: &'a CheckedService,
    /// Range of each server; `None` for absent servers and those that hold
    /// no layers.
    held: Vec<Option<LayerRange>>,
    has_order: Vec<bool>,
    pub(crate) orders: Vec<Order>,
}

impl<'a> Draft<'a> {
    /// A draft without orders.
    pub(crate) fn new(service: &'a CheckedService) -> Draft<'a> {
        let present = |at: usize| service.servers[at].is_present;
        let count = service.servers.len();
        Draft {
            service,
            held: (0..count)
                .map(|at| service.servers[at].held.filter(|_| present(at)))
                .collect(),
            has_order: vec![false; count],
            orders: Vec::new(),
        }
    }

    /// Indices of the servers that are present.
    pub(crate) fn present(&self) -> impl Iterator<Item = usize> + use<'a> {
        let service = self.service;
        let all = 0..service.servers.len();
        all.filter(move |at| service.servers[*at].is_present)
    }

    pub(crate) fn held(&self, at: usize) -> Option<LayerRange> {
        self.held[at]
    }

    /// Whether the draft has no order for this server yet.
    pub(crate) fn can_order(&self, at: usize) -> bool {
        !self.has_order[at]
    }

    /// Tokens per second of a server that holds this range.
    pub(crate) fn server_capacity(&self, at: usize, range: LayerRange) -> u64 {
        let kind = &self.service.kinds[at];
        capacity::server_capacity(kind, range, self.service.layer_count)
    }

    /// Whether a range fits into the memory of a server.
    pub(crate) fn fits(&self, at: usize, range: LayerRange) -> bool {
        range.layer_count() <= self.service.kinds[at].max_layers
    }

    /// Adds an order for a server to hold a range.
    pub(crate) fn add_order(
        &mut self,
        at: usize,
        range: LayerRange,
        reason: Reason,
    ) {
        self.orders.push(Order {
            server: self.service.servers[at].name.clone(),
            range,
            loaded_layers: range.layers_not_in(self.held[at]),
            reason,
        });
        self.held[at] = Some(range);
        self.has_order[at] = true;
    }

    /// The same draft without one of its orders.
    pub(crate) fn without_order(&self, excluded: usize) -> Draft<'a> {
        let mut draft = Draft::new(self.service);
        for (index, order) in self.orders.iter().enumerate() {
            let servers = &self.service.servers;
            let at = servers.iter().position(|s| s.name == order.server);
            if let Some(at) = at
                && index != excluded
            {
                draft.add_order(at, order.range, order.reason);
            }
        }
        draft
    }

    /// Tokens per second of all chains together.
    pub(crate) fn chain_capacity(&self) -> u64 {
        let held: Vec<(LayerRange, u64)> = self
            .present()
            .filter_map(|at| Some((at, self.held[at]?)))
            .map(|(at, range)| (range, self.server_capacity(at, range)))
            .collect();
        capacity::chain_capacity(self.service.layer_count, &held)
    }

    /// Servers whose range is part of some complete chain.
    pub(crate) fn in_some_chain(&self) -> Vec<usize> {
        let layers = self.service.layer_count;
        let mut ranges: Vec<LayerRange> =
            self.present().filter_map(|at| self.held[at]).collect();
        ranges.sort_unstable();
        let mut reachable_from_first = BTreeSet::from([0]);
        for range in &ranges {
            if reachable_from_first.contains(&range.first_layer) {
                reachable_from_first.insert(range.end_layer);
            }
        }
        ranges.sort_unstable_by_key(|range| range.end_layer);
        let mut reaches_end = BTreeSet::from([layers]);
        for range in ranges.iter().rev() {
            if reaches_end.contains(&range.end_layer) {
                reaches_end.insert(range.first_layer);
            }
        }
        let is_in_chain = |range: LayerRange| {
            reachable_from_first.contains(&range.first_layer)
                && reaches_end.contains(&range.end_layer)
        };
        let present = self.present();
        present.filter(|at| self.held[*at].is_some_and(is_in_chain)).collect()
    }
}
