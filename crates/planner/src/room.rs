//! Room for requests on each layer, summed over the engines that hold it.

use crate::{
    layout::{LayoutEngine, LayoutModel},
    service::LayerRange,
};

/// Room of the layers of a data centre, in tokens.
#[derive(Clone, Debug)]
pub(crate) struct Rooms {
    tokens: Vec<f64>,
}

impl Rooms {
    /// Of the engines of a data centre that can be counted on.
    pub(crate) fn new(
        model: &LayoutModel,
        engines: &[LayoutEngine],
        data_centre: usize,
    ) -> Rooms {
        let tokens = vec![0.0; model.layer_count as usize];
        let mut rooms = Rooms { tokens };
        let here = |e: &&LayoutEngine| e.data_centre == data_centre;
        for engine in engines.iter().filter(here).filter(|e| e.is_available) {
            if let Some(held) = engine.held {
                let room = room_beside(model, engine, held.layer_count());
                rooms.add(held, room);
            }
        }
        rooms
    }

    pub(crate) fn add(&mut self, range: LayerRange, tokens: f64) {
        let end = (range.end_layer as usize).min(self.tokens.len());
        let first = (range.first_layer as usize).min(end);
        self.tokens[first..end].iter_mut().for_each(|room| *room += tokens);
    }

    /// Least room of the layers of a range.
    pub(crate) fn least(&self, range: LayerRange) -> f64 {
        let layers = range.first_layer..range.end_layer;
        let rooms = layers.filter_map(|at| self.tokens.get(at as usize));
        rooms.copied().fold(f64::MAX, f64::min)
    }

    /// The first of the windows that lack most of the room that each layer is
    /// to have, as far as an engine with this room makes up for it; with the
    /// tokens times layers that it does.
    pub(crate) fn scarcest_window(
        &self,
        layers: u32,
        wanted: f64,
        own: f64,
    ) -> (LayerRange, f64) {
        let lack = |room: &f64| (wanted - room).clamp(0.0, own);
        let lacks: Vec<f64> = self.tokens.iter().map(lack).collect();
        let length = (layers as usize).min(lacks.len()).max(1);
        let mut best = (0, 0.0);
        for (first, window) in lacks.windows(length).enumerate() {
            let made_up: f64 = window.iter().sum();
            if made_up > best.1 {
                best = (first, made_up);
            }
        }
        let range = LayerRange::new(best.0 as u32, (best.0 + length) as u32);
        (range, best.1)
    }
}

/// Room for requests beside so many layers, in tokens.
pub(crate) fn room_beside(
    model: &LayoutModel,
    engine: &LayoutEngine,
    layers: u32,
) -> f64 {
    let layers = f64::from(layers.max(1));
    let free_mb = engine.memory_mb - layers * model.layer_mb;
    free_mb.max(0.0) * 1e6 / (layers * model.token_layer_bytes)
}
