//! The engines that a request passes through.

use std::sync::Arc;

use chestnutreach_adapter::engine::path_value;
use chestnutreach_site::{LayerRange, Model};

use crate::cluster::engine::{Engine, Reservation};

/// One engine of a path and the layers that it runs.
#[derive(Clone, Debug)]
pub(crate) struct Stage {
    pub(crate) engine: Arc<Engine>,
    pub(crate) first_layer: u32,
    pub(crate) end_layer: u32,
}

/// Engines that a request passes through.
#[derive(Clone, Debug, Default)]
pub(crate) struct Path {
    pub(crate) stages: Vec<Stage>,
}

impl Stage {
    fn layers(&self) -> LayerRange {
        LayerRange::new(self.first_layer, self.end_layer)
    }

    /// How long its engine has been leaving; none if it stays.
    pub(crate) fn leaving_ms(&self, now_ms: u64) -> Option<u64> {
        self.engine.lock().leaving_ms(now_ms)
    }

    /// Whether its layers there are about to be given up.
    pub(crate) fn is_given_up(&self) -> bool {
        self.engine.lock().will_release(self.layers())
    }
}

impl Path {
    pub(crate) fn first(&self) -> &Arc<Engine> {
        &self.stages[0].engine
    }

    /// How often it goes to another data centre on its way.
    pub(crate) fn crossings(&self) -> usize {
        let pairs = self.stages.windows(2);
        pairs
            .filter(|p| p[0].engine.data_centre != p[1].engine.data_centre)
            .count()
    }

    /// The path as engines read it.
    pub(crate) fn value(&self) -> String {
        let stages = self.stages.iter();
        path_value(
            stages.map(|s| (s.engine.address, s.first_layer, s.end_layer)),
        )
    }

    /// The path as it stands in logs.
    pub(crate) fn names(&self) -> String {
        let name = |s: &Stage| {
            format!("{}={}-{}", s.engine.id, s.first_layer, s.end_layer)
        };
        let names: Vec<String> = self.stages.iter().map(name).collect();
        names.join(",")
    }

    /// Counts the reading that a request of so many tokens brings to the
    /// engines that were not on the path before.
    pub(crate) fn note_work(
        &self,
        model: &Model,
        tokens: u64,
        before: &Path,
        now_ms: u64,
    ) {
        for stage in &self.stages {
            let same = |s: &Stage| Arc::ptr_eq(&s.engine, &stage.engine);
            if before.stages.iter().any(same) {
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

    pub(crate) fn reserve(&self, tokens: u64) -> Vec<Reservation> {
        let hold = |(index, stage): (usize, &Stage)| {
            let layers = u64::from(stage.end_layer - stage.first_layer);
            Reservation::new(&stage.engine, layers * tokens, index == 0)
        };
        self.stages.iter().enumerate().map(hold).collect()
    }
}
