//! A plan while it is made.

use std::collections::BTreeSet;

use crate::{
    capacity,
    order::{Order, Reason},
    service::{CheckedService, LayerRange},
};

/// Who holds what after the orders so far.
#[derive(Clone, Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) service: &'a CheckedService,
    /// Range of each server; none for those that are absent.
    held: Vec<Option<LayerRange>>,
    is_moved: Vec<bool>,
    pub(crate) orders: Vec<Order>,
}

impl<'a> Draft<'a> {
    /// What is held now.
    pub(crate) fn new(service: &'a CheckedService) -> Draft<'a> {
        let present = |at: usize| service.servers[at].is_present;
        let count = service.servers.len();
        Draft {
            service,
            held: (0..count)
                .map(|at| service.servers[at].held.filter(|_| present(at)))
                .collect(),
            is_moved: vec![false; count],
            orders: Vec::new(),
        }
    }

    /// Servers that are there, by their places.
    pub(crate) fn present(&self) -> impl Iterator<Item = usize> + use<'a> {
        let service = self.service;
        let all = 0..service.servers.len();
        all.filter(move |at| service.servers[*at].is_present)
    }

    pub(crate) fn held(&self, at: usize) -> Option<LayerRange> {
        self.held[at]
    }

    /// Whether no order was given for a server.
    pub(crate) fn may_move(&self, at: usize) -> bool {
        !self.is_moved[at]
    }

    /// What a server carries through a range.
    pub(crate) fn carries(&self, at: usize, range: LayerRange) -> u64 {
        let kind = &self.service.kinds[at];
        capacity::of_server(kind, range, self.service.layer_count)
    }

    /// Whether a range fits into a server's memory.
    pub(crate) fn fits(&self, at: usize, range: LayerRange) -> bool {
        range.layer_count() <= self.service.kinds[at].max_layers
    }

    /// Orders a server to hold a range.
    pub(crate) fn order(
        &mut self,
        at: usize,
        range: LayerRange,
        reason: Reason,
    ) {
        self.orders.push(Order {
            server: self.service.servers[at].name.clone(),
            range,
            loaded_layers: range.layers_beyond(self.held[at]),
            reason,
        });
        self.held[at] = Some(range);
        self.is_moved[at] = true;
    }

    /// The same draft without one of its orders.
    pub(crate) fn without(&self, order: usize) -> Draft<'a> {
        let mut draft = Draft::new(self.service);
        for (number, order_made) in self.orders.iter().enumerate() {
            let servers = &self.service.servers;
            let at = servers.iter().position(|s| s.name == order_made.server);
            if let Some(at) = at
                && number != order
            {
                draft.order(at, order_made.range, order_made.reason);
            }
        }
        draft
    }

    /// What all chains carry.
    pub(crate) fn capacity(&self) -> u64 {
        let held: Vec<(LayerRange, u64)> = self
            .present()
            .filter_map(|at| Some((at, self.held[at]?)))
            .map(|(at, range)| (range, self.carries(at, range)))
            .collect();
        capacity::of_chains(self.service.layer_count, &held)
    }

    /// Servers whose range lies on some tiling of all layers.
    pub(crate) fn useful(&self) -> Vec<usize> {
        let layers = self.service.layer_count;
        let mut ranges: Vec<LayerRange> =
            self.present().filter_map(|at| self.held[at]).collect();
        ranges.sort_unstable();
        let mut reached = BTreeSet::from([0]);
        for range in &ranges {
            if reached.contains(&range.first_layer) {
                reached.insert(range.end_layer);
            }
        }
        ranges.sort_unstable_by_key(|range| range.end_layer);
        let mut open = BTreeSet::from([layers]);
        for range in ranges.iter().rev() {
            if open.contains(&range.end_layer) {
                open.insert(range.first_layer);
            }
        }
        let is_useful = |range: LayerRange| {
            reached.contains(&range.first_layer)
                && open.contains(&range.end_layer)
        };
        let present = self.present();
        present.filter(|at| self.held[*at].is_some_and(is_useful)).collect()
    }
}
