//! The ways of choosing that the router's own is measured against.
//!
//! They know which servers tile the layers and which are there, as the router
//! does, and take one server at each layer in order. What they weigh is all
//! that differs; the gate at the backend server is the same for all.

use std::collections::BTreeMap;

use chestnutreach_routing::{BackendIndex, Fleet, LiveState};

/// The servers that continue from a layer.
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

    /// The chain that takes, at each layer, the server with the least
    /// `weight`; none where no server is left.
    pub(crate) fn min_weight_chain<W: Ord>(
        &self,
        view: &CandidateFilter<'_>,
        mut weight: impl FnMut(BackendIndex) -> W,
    ) -> Option<Vec<BackendIndex>> {
        self.build_chain(view, |allowed| {
            allowed.iter().copied().min_by_key(|index| weight(*index))
        })
    }

    /// The chain that takes, at each layer, the next server in turn.
    pub(crate) fn round_robin_chain(
        &self,
        view: &CandidateFilter<'_>,
        round_robin_counters: &mut BTreeMap<u32, usize>,
    ) -> Option<Vec<BackendIndex>> {
        self.build_chain(view, |allowed| {
            let layer = view.fleet.spec(*allowed.first()?).first_layer;
            let counter = round_robin_counters.entry(layer).or_default();
            *counter += 1;
            Some(allowed[*counter % allowed.len()])
        })
    }

    fn build_chain(
        &self,
        view: &CandidateFilter<'_>,
        mut select: impl FnMut(&[BackendIndex]) -> Option<BackendIndex>,
    ) -> Option<Vec<BackendIndex>> {
        let mut stages = Vec::new();
        let mut layer = 0;
        while layer < view.fleet.layer_count() {
            let allowed: Vec<BackendIndex> = self
                .by_layer
                .get(&layer)?
                .iter()
                .copied()
                .filter(|index| view.is_allowed(*index))
                .collect();
            let index = select(&allowed)?;
            stages.push(index);
            layer = view.fleet.spec(index).end_layer;
        }
        Some(stages)
    }
}

/// What an entry may choose from.
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
