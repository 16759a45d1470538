//! The engines that a request passes through.

use std::sync::Arc;

use chestnutreach_adapter::engine::path_value;
use chestnutreach_site::{LayerRange, Model};

use crate::cluster::engine::{Engine, Reservation};

/// One engine of a path, and the layers that the engine runs.
#[derive(Clone, Debug)]
pub(crate) struct Stage {
    pub(crate) engine: Arc<Engine>,
    pub(crate) first_layer: u32,
    pub(crate) end_layer: u32,
}

/// The engines that a request passes through, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Path {
    pub(crate) stages: Vec<Stage>,
}

impl Stage {
    fn layers(&self) -> LayerRange {
        LayerRange::new(self.first_layer, self.end_layer)
    }

    /// How long the engine has been draining; `None` if the engine serves.
    pub(crate) fn leaving_ms(&self, now_ms: u64) -> Option<u64> {
        self.engine.lock().leaving_ms(now_ms)
    }

    /// Whether the engine is about to release some layers of this stage.
    pub(crate) fn is_being_released(&self) -> bool {
        self.engine.lock().will_release(self.layers())
    }
}

impl Path {
    pub(crate) fn first_engine(&self) -> &Arc<Engine> {
        &self.stages[0].engine
    }

    /// Number of hops to another data centre.
    pub(crate) fn interconnect_hops(&self) -> usize {
        let pairs = self.stages.windows(2);
        pairs
            .filter(|p| p[0].engine.data_centre != p[1].engine.data_centre)
            .count()
    }

    /// The value of the path header that engines read.
    pub(crate) fn header_value(&self) -> String {
        let stages = self.stages.iter();
        path_value(
            stages.map(|s| (s.engine.address, s.first_layer, s.end_layer)),
        )
    }

    /// The path as written to logs.
    pub(crate) fn log_text(&self) -> String {
        let name = |s: &Stage| {
            format!("{}={}-{}", s.engine.id, s.first_layer, s.end_layer)
        };
        let names: Vec<String> = self.stages.iter().map(name).collect();
        names.join(",")
    }

    /// Records the prefill of `tokens` at the engines that are not part of the
    /// previous path.
    pub(crate) fn record_prefill(
        &self,
        model: &Model,
        tokens: u64,
        previous: &Path,
        now_ms: u64,
    ) {
        for stage in &self.stages {
            let same = |s: &Stage| Arc::ptr_eq(&s.engine, &stage.engine);
            if previous.stages.iter().any(same) {
                continue;
            }
            let kind = stage.engine.lock().row.kind.clone();
            let kind = kind.and_then(|kind| model.kinds.get(&kind));
            let layers = stage.end_layer - stage.first_layer;
            if let Some(kind) = kind {
                let each_ms = model.layers_prefill_ms(kind, layers);
                stage.engine.record_prefill(tokens as f64 * each_ms, now_ms);
            }
        }
    }

    /// Reserves memory for `tokens` at all engines, and a slot at the first.
    pub(crate) fn reserve(&self, tokens: u64) -> Vec<Reservation> {
        let reservation = |(index, stage): (usize, &Stage)| {
            let layers = u64::from(stage.end_layer - stage.first_layer);
            Reservation::new(&stage.engine, layers * tokens, index == 0)
        };
        self.stages.iter().enumerate().map(reservation).collect()
    }
}
