//! KV capacity of each layer, summed over the engines that hold the layer.
//!
//! The KV capacity of an engine is the number of tokens whose KV cache fits
//! beside its layers.

use crate::{
    layout_model::{LayoutEngine, LayoutModel},
    service::LayerRange,
};

/// KV capacity of the layers of a data centre.
#[derive(Clone, Debug)]
pub(crate) struct KvCapacity {
    /// Tokens, by layer.
    tokens: Vec<f64>,
}

impl KvCapacity {
    /// KV capacity of the available engines of a data centre.
    pub(crate) fn new(
        model: &LayoutModel,
        engines: &[LayoutEngine],
        data_centre: usize,
    ) -> KvCapacity {
        let tokens = vec![0.0; model.layer_count as usize];
        let mut capacity = KvCapacity { tokens };
        let here = |e: &&LayoutEngine| e.data_centre == data_centre;
        for engine in engines.iter().filter(here).filter(|e| e.is_available) {
            if let Some(held) = engine.held {
                let kv_tokens =
                    model.kv_tokens(engine.memory_mb, held.layer_count());
                capacity.add(held, kv_tokens);
            }
        }
        capacity
    }

    pub(crate) fn add(&mut self, range: LayerRange, kv_tokens: f64) {
        let end = (range.end_layer as usize).min(self.tokens.len());
        let first = (range.first_layer as usize).min(end);
        self.tokens[first..end].iter_mut().for_each(|sum| *sum += kv_tokens);
    }

    /// Lowest KV capacity of the layers of a range, in tokens.
    pub(crate) fn min(&self, range: LayerRange) -> f64 {
        let layers = range.first_layer..range.end_layer;
        let sums = layers.filter_map(|at| self.tokens.get(at as usize));
        sums.copied().fold(f64::MAX, f64::min)
    }

    /// The range in which an engine raises the lowest capacity most, up to
    /// `target` tokens; of several, that in which it makes up for most of the
    /// capacity that layers lack. `None` if no layer lacks any. `own` gives
    /// the capacity of the engine by the number of layers that it holds.
    pub(crate) fn scarcest_range(
        &self,
        target: f64,
        max_layers: u32,
        own: impl Fn(u32) -> f64,
    ) -> Option<LayerRange> {
        let windows = (1..=max_layers).map(|layers| {
            let own = own(layers);
            let (range, gain) = self.scarcest_window(layers, target, own);
            let mut with_engine = self.clone();
            with_engine.add(range, own);
            let all = LayerRange::new(0, self.tokens.len() as u32);
            ((with_engine.min(all).min(target), gain), range)
        });
        let best = windows.fold(None, |best, window| match best {
            Some((rank, _)) if rank >= window.0 => best,
            _ => Some(window),
        });
        best.filter(|((_, gain), _)| *gain > 0.0).map(|(_, range)| range)
    }

    /// The window of layers where an engine with `own` tokens makes up for
    /// most of the capacity that layers lack to `target` tokens, and the sum
    /// of tokens that the engine makes up for over the layers of the window.
    /// Of equal windows, the first one.
    pub(crate) fn scarcest_window(
        &self,
        layers: u32,
        target: f64,
        own: f64,
    ) -> (LayerRange, f64) {
        let deficit = |sum: &f64| (target - sum).clamp(0.0, own);
        let deficits: Vec<f64> = self.tokens.iter().map(deficit).collect();
        let length = (layers as usize).min(deficits.len()).max(1);
        let mut best = (0, 0.0);
        for (first, window) in deficits.windows(length).enumerate() {
            let gain: f64 = window.iter().sum();
            if gain > best.1 {
                best = (first, gain);
            }
        }
        let range = LayerRange::new(best.0 as u32, (best.0 + length) as u32);
        (range, best.1)
    }
}
