//! Path search over the backend servers that an entry knows.
//!
//! A service may have more than a thousand engines, while an entry may have a
//! tenth of a CPU core. A search over all engines would take several
//! milliseconds of a whole core, and waiting requests search every few
//! milliseconds. Above [`MAX_SEARCHED_ENGINES`] engines, a search therefore
//! uses a sample of [`SAMPLE_SIZE`] engines of one data centre, and adds a
//! sample of one other data centre if the first sample has no path.

use std::{collections::BTreeSet, sync::Arc};

use chestnutreach_adapter::engine::MAX_PATH_STAGES;
use chestnutreach_routing::{LayerHolder, PathRequest, find_path};
use chestnutreach_site::Model;

use crate::{
    clock::now_ms,
    cluster::{
        engine::{Engine, EngineState},
        fleet::{Fleet, ServiceEngines, accepts_requests, accepts_work},
    },
    core::Core,
    request::path::{Path, Stage},
};

/// Fraction of an engine's request memory that the search uses, since the
/// memory that requests will need is only estimated.
pub(crate) const USABLE_MEMORY_SHARE: f64 = 0.92;

/// Maximum number of engines that are searched without sampling; the cost of a
/// search grows with the number of engines.
const MAX_SEARCHED_ENGINES: usize = 160;
/// Engines sampled per data centre. With 600 engines and 37 replicas of a
/// layer, a sample holds seven replicas, so it rarely lacks a layer.
const SAMPLE_SIZE: usize = 120;

/// Parameters of a path search.
#[derive(Clone, Copy)]
pub(crate) struct PathQuery<'a> {
    pub(crate) service: &'a str,
    pub(crate) model: &'a Model,
    pub(crate) data_centre: usize,
    pub(crate) tokens: u64,
    /// Incarnations of the engines that must not be used.
    pub(crate) excluded: &'a BTreeSet<String>,
    pub(crate) now_ms: u64,
    /// Whether engines with an open circuit must not be first.
    pub(crate) is_circuit_checked: bool,
    /// Utilisation of the interconnect; 1 is full.
    pub(crate) interconnect_utilisation: f64,
    /// Number of peers that have not reported their usage yet.
    pub(crate) entries_without_report: u64,
    /// The only engine that may be first, for a trial.
    pub(crate) only_first: Option<&'a Arc<Engine>>,
    /// Whether engines that announced a rate limit may be first only with a
    /// permit.
    pub(crate) is_permit_needed: bool,
    /// Short hashes of the engines that are first only if no other engine can
    /// be.
    pub(crate) excluded_first: &'a BTreeSet<u32>,
}

impl Fleet {
    /// The cheapest path through all layers.
    pub(crate) fn search_path(&self, query: &PathQuery<'_>) -> Option<Path> {
        let request = PathRequest {
            first_layer: 0,
            end_layer: query.model.layer_count,
            tokens: query.tokens,
            data_centre: query.data_centre,
            is_start: true,
            interconnect_utilisation: query.interconnect_utilisation,
            interconnect_prefill_ms: query
                .model
                .interconnect_prefill_ms(query.tokens),
            max_stages: MAX_PATH_STAGES,
        };
        let none = BTreeSet::new();
        let path = self.search_layers(query, &request, &none);
        if path.is_some() {
            return path;
        }
        if !query.excluded_first.is_empty() {
            let excluded_first = &BTreeSet::new();
            return self.search_path(&PathQuery { excluded_first, ..*query });
        }
        if !self.has_open_circuit(query) {
            return None;
        }
        // If all usable first engines have an open circuit, they are tried
        // again.
        let query = PathQuery { is_circuit_checked: false, ..*query };
        self.search_layers(&query, &request, &none)
    }

    /// Whether some engine is excluded as first engine by an open circuit.
    fn has_open_circuit(&self, query: &PathQuery<'_>) -> bool {
        let engines = self.of_service(query.service);
        let mut engines = engines.all.iter();
        engines.any(|e| !e.circuit.allows_requests(query.now_ms))
    }

    /// A path with the same first engine that avoids the bad engines of
    /// `path`; `None` if there is none.
    pub(crate) fn detour(
        &self,
        query: &PathQuery<'_>,
        path: &Path,
    ) -> Option<Path> {
        let is_bad = |stage: &Stage| {
            query.excluded.contains(&stage.engine.incarnation)
                || stage.engine.is_suspect()
                || stage.leaving_ms(query.now_ms).is_some()
                || stage.is_being_released()
        };
        self.replace_stages(query, path, is_bad)
            .or_else(|| self.replace_stages(query, path, |_| true))
    }

    /// Replaces each run of bad stages after the first stage.
    fn replace_stages(
        &self,
        query: &PathQuery<'_>,
        path: &Path,
        is_bad: impl Fn(&Stage) -> bool,
    ) -> Option<Path> {
        let mut out = Path { stages: vec![path.stages[0].clone()] };
        let later_stages = &path.stages[1..];
        let mut used: BTreeSet<String> = path
            .stages
            .iter()
            .enumerate()
            .filter(|(at, stage)| *at == 0 || !is_bad(stage))
            .map(|(_, stage)| stage.engine.incarnation.clone())
            .collect();
        let mut at = 0;
        while at < later_stages.len() {
            if !is_bad(&later_stages[at]) {
                out.stages.push(later_stages[at].clone());
                at += 1;
                continue;
            }
            let run_length =
                later_stages[at..].iter().take_while(|s| is_bad(s)).count();
            let before = out.stages.last().expect("the first is there");
            let after =
                later_stages[at + run_length..].iter().filter(|s| !is_bad(s));
            let kept_stages = out.stages.len() + after.count();
            let request = PathRequest {
                first_layer: later_stages[at].first_layer,
                end_layer: later_stages[at + run_length - 1].end_layer,
                tokens: query.tokens,
                data_centre: before.engine.data_centre,
                is_start: false,
                interconnect_utilisation: query.interconnect_utilisation,
                interconnect_prefill_ms: query
                    .model
                    .interconnect_prefill_ms(query.tokens),
                max_stages: MAX_PATH_STAGES.saturating_sub(kept_stages),
            };
            let replacement = self.search_layers(query, &request, &used)?;
            let added = replacement.stages.iter();
            used.extend(added.map(|s| s.engine.incarnation.clone()));
            out.stages.extend(replacement.stages);
            at += run_length;
        }
        Some(out)
    }

    fn search_layers(
        &self,
        query: &PathQuery<'_>,
        request: &PathRequest,
        used: &BTreeSet<String>,
    ) -> Option<Path> {
        let engines = self.of_service(query.service);
        if engines.all.len() <= MAX_SEARCHED_ENGINES {
            return search_among(&engines.all, query, request, used);
        }
        let mut candidates = sample(&engines, request.data_centre);
        if let Some(first) = query.only_first
            && !candidates.iter().any(|engine| Arc::ptr_eq(engine, first))
        {
            candidates.push(first.clone());
        }
        let path = search_among(&candidates, query, request, used);
        if path.is_some() {
            return path;
        }
        // If this draws the same data centre, the next search draws again.
        let other = fastrand::usize(..engines.by_data_centre.len());
        if other != request.data_centre {
            candidates.extend(sample(&engines, other));
        }
        search_among(&candidates, query, request, used)
    }
}

/// The engine with the fewest requests among those that may be first and are
/// not excluded, preferably in the own data centre.
pub(crate) fn least_used_first_engine(
    core: &Core,
    service: &str,
    excluded: &BTreeSet<String>,
    excluded_hashes: &BTreeSet<u32>,
) -> Option<Arc<Engine>> {
    let (now_ms, own) = (now_ms(), core.own_data_centre_index());
    let may_be_first = |engine: &&Arc<Engine>| {
        let state = engine.lock();
        !excluded_hashes.contains(&engine.hash)
            && !excluded.contains(&engine.incarnation)
            && holds_first_layer(&state)
            && accepts_requests(&state, now_ms)
            && engine.first_count() < u64::from(state.row.slots)
    };
    let rank = |engine: &&Arc<Engine>| {
        let is_far = engine.data_centre != own;
        (is_far, engine.first_count(), engine.hash)
    };
    let engines = core.fleet.of_service(service);
    let usable = engines.all.iter().filter(may_be_first);
    usable.min_by_key(rank).cloned()
}

/// Engines that could be first if the entry had a permit.
pub(crate) fn first_engines_without_permit(
    core: &Core,
    query: &PathQuery<'_>,
) -> Vec<Arc<Engine>> {
    let engines = core.fleet.of_service(query.service);
    let is_limited = |engine: &&Arc<Engine>| {
        !engine.notices.may_send(query.now_ms)
            && !query.excluded.contains(&engine.incarnation)
            && query.only_first.is_none_or(|only| Arc::ptr_eq(only, engine))
            && holds_first_layer(&engine.lock())
            && accepts_requests(&engine.lock(), query.now_ms)
    };
    engines.all.iter().filter(is_limited).cloned().collect()
}

/// Time until the first cooldown ends among the engines that could be first;
/// `None` if one can be first now.
pub(crate) fn first_engine_cooldown_left_ms(
    core: &Core,
    query: &PathQuery<'_>,
) -> Option<u64> {
    let engines = core.fleet.of_service(query.service);
    let could_be_first = |engine: &&Arc<Engine>| {
        query.only_first.is_none_or(|only| Arc::ptr_eq(only, engine))
            && !query.excluded.contains(&engine.incarnation)
            && holds_first_layer(&engine.lock())
    };
    let first_engines = engines.all.iter().filter(could_be_first);
    core.fleet.cooldown_left_ms(first_engines, query.now_ms)
}

fn holds_first_layer(state: &EngineState) -> bool {
    let layers = state.retained_layers();
    layers.is_some_and(|layers| layers.first_layer == 0)
}

/// An evenly spaced sample of the engines of a data centre.
fn sample(engines: &ServiceEngines, data_centre: usize) -> Vec<Arc<Engine>> {
    let Some(local_engines) = engines.by_data_centre.get(data_centre) else {
        return Vec::new();
    };
    let step = local_engines.len().div_ceil(SAMPLE_SIZE).max(1);
    let skipped = fastrand::usize(..step);
    local_engines.iter().skip(skipped).step_by(step).cloned().collect()
}

fn search_among(
    engines: &[Arc<Engine>],
    query: &PathQuery<'_>,
    request: &PathRequest,
    used: &BTreeSet<String>,
) -> Option<Path> {
    let holders: Vec<LayerHolder> = engines
        .iter()
        .map(|engine| layer_holder(query, engine, used))
        .collect();
    let mut rng = fastrand::Rng::new();
    let path_stages = find_path(&holders, request, &mut rng)?;
    let stage = |path_stage: chestnutreach_routing::PathStage| Stage {
        engine: engines[path_stage.holder].clone(),
        first_layer: path_stage.first_layer,
        end_layer: path_stage.end_layer,
    };
    Some(Path { stages: path_stages.into_iter().map(stage).collect() })
}

fn layer_holder(
    query: &PathQuery<'_>,
    engine: &Engine,
    used: &BTreeSet<String>,
) -> LayerHolder {
    let state = engine.lock();
    let kind = state.row.kind.as_ref();
    let kind = kind.and_then(|kind| query.model.kinds.get(kind));
    let name = &engine.incarnation;
    let is_excluded = query.excluded.contains(name) || used.contains(name);
    let (Some(kind), Some(held), Some(retained)) =
        (kind, state.row.held, state.retained_layers())
    else {
        return unusable_holder(engine.data_centre);
    };
    let total = query.model.token_layer_capacity(kind, held.layer_count());
    LayerHolder {
        data_centre: engine.data_centre,
        first_layer: retained.first_layer,
        end_layer: retained.end_layer,
        layer_ms: query.model.layers_step_ms(kind, 1) * state.slowness,
        used_token_layers: engine
            .estimated_token_layers(query.entries_without_report),
        prefill_share: engine.prefill_utilisation(query.now_ms)
            * state.slowness,
        total_token_layers: (total as f64 * USABLE_MEMORY_SHARE) as u64,
        is_usable: !is_excluded && accepts_work(&state, query.now_ms),
        can_be_first: query
            .only_first
            .is_none_or(|first| first.incarnation == engine.incarnation)
            && !query.excluded_first.contains(&engine.hash)
            && !state.is_in_cooldown(query.now_ms)
            && engine.first_count() < u64::from(state.row.slots)
            && (!query.is_permit_needed
                || engine.notices.may_send(query.now_ms))
            && (!query.is_circuit_checked
                || engine.circuit.allows_requests(query.now_ms)),
    }
}

fn unusable_holder(data_centre: usize) -> LayerHolder {
    LayerHolder {
        data_centre,
        first_layer: 0,
        end_layer: 0,
        layer_ms: 0.0,
        used_token_layers: 0,
        prefill_share: 0.0,
        total_token_layers: 0,
        is_usable: false,
        can_be_first: false,
    }
}
