//! How many engines hold each layer.

use crate::{
    layout::{LayoutEngine, LayoutModel},
    service::LayerRange,
};

/// Worth of a layer that nobody holds.
const WORTH_UNHELD: u64 = 10_000;
/// Worth of a layer that nobody in the data centre holds.
pub(crate) const WORTH_UNHELD_HERE: u64 = 1_000;
/// Worth of a layer by how many in the data centre hold it, from one on.
const WORTH_HELD: [u64; 3] = [100, 10, 1];

/// How many engines hold each layer.
#[derive(Clone, Debug)]
pub(crate) struct Cover {
    /// By data centre and layer.
    pub(crate) here: Vec<Vec<u32>>,
    /// By layer.
    all: Vec<u32>,
}

impl Cover {
    /// Of engines that can be counted on.
    pub(crate) fn new(model: &LayoutModel, engines: &[LayoutEngine]) -> Cover {
        let count = model.layer_count as usize;
        let last = engines.iter().map(|e| e.data_centre).max();
        let data_centres = last.map_or(0, |last| last + 1);
        let mut cover = Cover {
            here: vec![vec![0; count]; data_centres],
            all: vec![0; count],
        };
        for engine in engines.iter().filter(|e| e.is_available) {
            if let Some(range) = engine.held {
                cover.add(engine.data_centre, range);
            }
        }
        cover
    }

    pub(crate) fn add(&mut self, data_centre: usize, range: LayerRange) {
        for layer in self.indices(range) {
            self.here[data_centre][layer] += 1;
            self.all[layer] += 1;
        }
    }

    pub(crate) fn take(&mut self, data_centre: usize, range: LayerRange) {
        for layer in self.indices(range) {
            self.here[data_centre][layer] -= 1;
            self.all[layer] -= 1;
        }
    }

    /// What an engine holds may be of a model with more layers.
    fn indices(&self, range: LayerRange) -> std::ops::Range<usize> {
        let last = (range.end_layer as usize).min(self.all.len());
        range.first_layer as usize..last
    }

    pub(crate) fn has_gap(&self, data_centre: usize) -> bool {
        self.here[data_centre].contains(&0)
    }

    /// Runs of layers that nobody in the data centre holds.
    pub(crate) fn gaps(&self, data_centre: usize) -> Vec<LayerRange> {
        let all = LayerRange::new(0, self.all.len() as u32);
        self.unheld_in(data_centre, all)
    }

    /// The same within a range.
    pub(crate) fn unheld_in(
        &self,
        data_centre: usize,
        range: LayerRange,
    ) -> Vec<LayerRange> {
        let mut out: Vec<LayerRange> = Vec::new();
        for layer in self.indices(range) {
            if self.here[data_centre][layer] > 0 {
                continue;
            }
            let layer = layer as u32;
            match out.last_mut().filter(|run| run.end_layer == layer) {
                Some(run) => run.end_layer = layer + 1,
                None => out.push(LayerRange::new(layer, layer + 1)),
            }
        }
        out
    }

    pub(crate) fn window_worth(
        &self,
        data_centre: usize,
        range: LayerRange,
    ) -> u64 {
        let layers = self.indices(range);
        layers.map(|layer| self.worth(data_centre, layer)).sum()
    }

    fn worth(&self, data_centre: usize, layer: usize) -> u64 {
        match (self.all[layer], self.here[data_centre][layer] as usize) {
            (0, _) => WORTH_UNHELD,
            (_, 0) => WORTH_UNHELD_HERE,
            (_, held) => WORTH_HELD.get(held - 1).copied().unwrap_or(0),
        }
    }

    /// The first of the windows that are worth most.
    pub(crate) fn best_window(
        &self,
        data_centre: usize,
        layers: u32,
    ) -> LayerRange {
        let worths: Vec<u64> = (0..self.all.len())
            .map(|layer| self.worth(data_centre, layer))
            .collect();
        let length = (layers as usize).min(worths.len());
        let mut sum: u64 = worths[..length].iter().sum();
        let (mut best, mut best_sum) = (0, sum);
        for first in 1..=worths.len() - length {
            sum += worths[first + length - 1];
            sum -= worths[first - 1];
            if sum > best_sum {
                (best, best_sum) = (first, sum);
            }
        }
        LayerRange::new(best as u32, (best + length) as u32)
    }
}
