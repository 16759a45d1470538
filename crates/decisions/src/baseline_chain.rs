//! Baseline strategies that the router is compared with.
//!
//! Like the router, the baselines know which servers tile the layers and
//! which are present. The baselines pick one server after another in layer
//! order and differ only in how they choose among the servers of a layer. The
//! slot queue of a backend server is the same for all strategies.

use std::collections::BTreeMap;

use chestnutreach_routing::{BackendIndex, Fleet, LiveState};

/// Servers of some complete chain, by their first layer.
#[derive(Clone, Debug)]
pub(crate) struct ServersByLayer {
    by_layer: BTreeMap<u32, Vec<BackendIndex>>,
}

impl ServersByLayer {
    pub(crate) fn new(fleet: &Fleet) -> ServersByLayer {
        let mut by_layer: BTreeMap<u32, Vec<BackendIndex>> = BTreeMap::new();
        for index in fleet.indices().filter(|i| fleet.is_in_some_chain(*i)) {
            let first_layer = fleet.spec(index).first_layer;
            by_layer.entry(first_layer).or_default().push(index);
        }
        ServersByLayer { by_layer }
    }

    /// The chain of the servers with the lowest `weight` at each layer, or
    /// `None` if a layer has no eligible server.
    pub(crate) fn min_weight_chain<W: Ord>(
        &self,
        filter: &CandidateFilter<'_>,
        mut weight: impl FnMut(BackendIndex) -> W,
    ) -> Option<Vec<BackendIndex>> {
        self.build_chain(filter, |allowed| {
            allowed.iter().copied().min_by_key(|index| weight(*index))
        })
    }

    /// The chain of the next servers in round-robin order.
    pub(crate) fn round_robin_chain(
        &self,
        filter: &CandidateFilter<'_>,
        round_robin_counters: &mut BTreeMap<u32, usize>,
    ) -> Option<Vec<BackendIndex>> {
        self.build_chain(filter, |allowed| {
            let layer = filter.fleet.spec(*allowed.first()?).first_layer;
            let counter = round_robin_counters.entry(layer).or_default();
            *counter += 1;
            Some(allowed[*counter % allowed.len()])
        })
    }

    fn build_chain(
        &self,
        filter: &CandidateFilter<'_>,
        mut select: impl FnMut(&[BackendIndex]) -> Option<BackendIndex>,
    ) -> Option<Vec<BackendIndex>> {
        let mut stages = Vec::new();
        let mut layer = 0;
        while layer < filter.fleet.layer_count() {
            let allowed: Vec<BackendIndex> = self
                .by_layer
                .get(&layer)?
                .iter()
                .copied()
                .filter(|index| filter.is_allowed(*index))
                .collect();
            let index = select(&allowed)?;
            stages.push(index);
            layer = filter.fleet.spec(index).end_layer;
        }
        Some(stages)
    }
}

/// Limits the choice to eligible servers that are not avoided.
pub(crate) struct CandidateFilter<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) live: &'a LiveState,
    pub(crate) avoid: &'a [BackendIndex],
    pub(crate) now_ms: u64,
}

impl CandidateFilter<'_> {
    fn is_allowed(&self, index: BackendIndex) -> bool {
        !self.avoid.contains(&index)
            && self.live.is_eligible(index, self.now_ms)
    }
}
