//! Number of engines that hold each layer.

use crate::{
    layout_model::{LayoutEngine, LayoutModel},
    service::LayerRange,
};

/// Score of a layer without any replica.
const SCORE_WITHOUT_REPLICA: u64 = 10_000;
/// Score of a layer without a replica in the data centre.
pub(crate) const SCORE_WITHOUT_LOCAL_REPLICA: u64 = 1_000;
/// Score of a layer by its replicas in the data centre, from one on.
const SCORE_BY_LOCAL_REPLICAS: [u64; 3] = [100, 10, 1];

/// Number of available engines that hold each layer.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaCounts {
    /// By data centre and layer.
    pub(crate) by_data_centre: Vec<Vec<u32>>,
    /// Of all data centres, by layer.
    total: Vec<u32>,
}

impl ReplicaCounts {
    /// Counts the available engines.
    pub(crate) fn new(
        model: &LayoutModel,
        engines: &[LayoutEngine],
    ) -> ReplicaCounts {
        let count = model.layer_count as usize;
        let last = engines.iter().map(|e| e.data_centre).max();
        let data_centres = last.map_or(0, |last| last + 1);
        let mut counts = ReplicaCounts {
            by_data_centre: vec![vec![0; count]; data_centres],
            total: vec![0; count],
        };
        for engine in engines.iter().filter(|e| e.is_available) {
            if let Some(range) = engine.held {
                counts.add(engine.data_centre, range);
            }
        }
        counts
    }

    pub(crate) fn add(&mut self, data_centre: usize, range: LayerRange) {
        for layer in self.indices(range) {
            self.by_data_centre[data_centre][layer] += 1;
            self.total[layer] += 1;
        }
    }

    pub(crate) fn remove(&mut self, data_centre: usize, range: LayerRange) {
        for layer in self.indices(range) {
            self.by_data_centre[data_centre][layer] -= 1;
            self.total[layer] -= 1;
        }
    }

    /// Indices of the layers of a range that the model has: an engine may
    /// hold layers of a model with more layers.
    fn indices(&self, range: LayerRange) -> std::ops::Range<usize> {
        let last = (range.end_layer as usize).min(self.total.len());
        range.first_layer as usize..last
    }

    pub(crate) fn has_gap(&self, data_centre: usize) -> bool {
        self.by_data_centre[data_centre].contains(&0)
    }

    /// Ranges of layers that no engine of the data centre holds.
    pub(crate) fn gaps(&self, data_centre: usize) -> Vec<LayerRange> {
        let all = LayerRange::new(0, self.total.len() as u32);
        self.gaps_in(data_centre, all)
    }

    /// Ranges within `range` that no engine of the data centre holds.
    pub(crate) fn gaps_in(
        &self,
        data_centre: usize,
        range: LayerRange,
    ) -> Vec<LayerRange> {
        let mut gaps: Vec<LayerRange> = Vec::new();
        for layer in self.indices(range) {
            if self.by_data_centre[data_centre][layer] > 0 {
                continue;
            }
            let layer = layer as u32;
            match gaps.last_mut().filter(|gap| gap.end_layer == layer) {
                Some(gap) => gap.end_layer = layer + 1,
                None => gaps.push(LayerRange::new(layer, layer + 1)),
            }
        }
        gaps
    }

    pub(crate) fn window_score(
        &self,
        data_centre: usize,
        range: LayerRange,
    ) -> u64 {
        let layers = self.indices(range);
        layers.map(|layer| self.score(data_centre, layer)).sum()
    }

    /// How much a data centre needs another replica of a layer.
    fn score(&self, data_centre: usize, layer: usize) -> u64 {
        match (
            self.total[layer],
            self.by_data_centre[data_centre][layer] as usize,
        ) {
            (0, _) => SCORE_WITHOUT_REPLICA,
            (_, 0) => SCORE_WITHOUT_LOCAL_REPLICA,
            (_, local) => {
                SCORE_BY_LOCAL_REPLICAS.get(local - 1).copied().unwrap_or(0)
            }
        }
    }

    /// The window of layers with the highest score; of equal windows, the
    /// first one.
    pub(crate) fn best_window(
        &self,
        data_centre: usize,
        layers: u32,
    ) -> LayerRange {
        let scores: Vec<u64> = (0..self.total.len())
            .map(|layer| self.score(data_centre, layer))
            .collect();
        let length = (layers as usize).min(scores.len());
        let mut sum: u64 = scores[..length].iter().sum();
        let (mut best, mut best_sum) = (0, sum);
        for first in 1..=scores.len() - length {
            sum += scores[first + length - 1];
            sum -= scores[first - 1];
            if sum > best_sum {
                (best, best_sum) = (first, sum);
            }
        }
        LayerRange::new(best as u32, (best + length) as u32)
    }
}
