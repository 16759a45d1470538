//! Paths through the backend servers that an entry knows.
//!
//! The load that sampling answers: a thousand engines and more, on entries
//! with a tenth of a core. A search over all would take some ms of a whole
//! core for each look, and requests that wait look every few ms. So past
//! [`MOST_AT_ONCE`] engines a look takes [`SAMPLE`] of its data centre, and
//! where those have no path as many of one other.

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

/// Share of an engine's memory for requests that is planned with: what
/// requests will need is only estimated.
const PLANNED_SHARE: f64 = 0.92;

/// Engines from which on a path is sought among a sample: the search grows
/// with their number.
const MOST_AT_ONCE: usize = 160;
/// Engines of the sample of a data centre: seven of those that hold a layer
/// where 600 engines hold it 37 times, so that it rarely lacks one.
const SAMPLE: usize = 120;

/// What a path is sought for.
#[derive(Clone, Copy)]
pub(crate) struct PathNeed<'a> {
    pub(crate) service: &'a str,
    pub(crate) model: &'a Model,
    pub(crate) data_centre: usize,
    pub(crate) tokens: u64,
    /// Engines that may not be used, by incarnation.
    pub(crate) without: &'a BTreeSet<String>,
    pub(crate) now_ms: u64,
    /// Whether engines that failed of late are not to be first.
    pub(crate) is_choosy: bool,
    /// Use of what joins data centres; 1 is full.
    pub(crate) crossing_use: f64,
    /// Other entries that have not told yet what they use.
    pub(crate) entries_without_report: u64,
    /// The only engine that may be first, where there is one.
    pub(crate) only_first: Option<&'a Arc<Engine>>,
    /// Whether engines that named a limit may be first without a permit.
    pub(crate) is_permit_needed: bool,
    /// Engines that are not to be first while others can be, by their short
    /// hashes.
    pub(crate) not_first: &'a BTreeSet<u32>,
}

impl Fleet {
    /// The cheapest path through all layers.
    pub(crate) fn path(&self, need: &PathNeed<'_>) -> Option<Path> {
        let request = PathRequest {
            first_layer: 0,
            end_layer: need.model.layer_count,
            tokens: need.tokens,
            data_centre: need.data_centre,
            is_start: true,
            interconnect_utilisation: need.crossing_use,
            interconnect_prefill_ms: need
                .model
                .interconnect_prefill_ms(need.tokens),
            max_stages: MAX_PATH_STAGES,
        };
        let none = BTreeSet::new();
        let path = self.part(need, &request, &none);
        if path.is_some() {
            return path;
        }
        if !need.not_first.is_empty() {
            let not_first = &BTreeSet::new();
            return self.path(&PathNeed { not_first, ..*need });
        }
        if !self.has_failing(need) {
            return None;
        }
        // Where all that could be first have failed, they are tried again.
        let need = PathNeed { is_choosy: false, ..*need };
        self.part(&need, &request, &none)
    }

    /// Whether engines that may not be first are left out for their answers.
    fn has_failing(&self, need: &PathNeed<'_>) -> bool {
        let engines = self.of_service(need.service);
        let mut engines = engines.all.iter();
        engines.any(|e| !e.circuit.allows_requests(need.now_ms))
    }

    /// A path without its bad engines, with the same first one; none where
    /// that can't be.
    pub(crate) fn detour(
        &self,
        need: &PathNeed<'_>,
        path: &Path,
    ) -> Option<Path> {
        let is_bad = |stage: &Stage| {
            need.without.contains(&stage.engine.incarnation)
                || stage.engine.is_suspect()
                || stage.leaving_ms(need.now_ms).is_some()
                || stage.is_given_up()
        };
        self.fill(need, path, is_bad)
            .or_else(|| self.fill(need, path, |_| true))
    }

    /// Replaces each run of bad stages after the first.
    fn fill(
        &self,
        need: &PathNeed<'_>,
        path: &Path,
        is_bad: impl Fn(&Stage) -> bool,
    ) -> Option<Path> {
        let mut out = Path { stages: vec![path.stages[0].clone()] };
        let rest = &path.stages[1..];
        let mut used: BTreeSet<String> = path
            .stages
            .iter()
            .enumerate()
            .filter(|(at, stage)| *at == 0 || !is_bad(stage))
            .map(|(_, stage)| stage.engine.incarnation.clone())
            .collect();
        let mut at = 0;
        while at < rest.len() {
            if !is_bad(&rest[at]) {
                out.stages.push(rest[at].clone());
                at += 1;
                continue;
            }
            let run = rest[at..].iter().take_while(|s| is_bad(s)).count();
            let before = out.stages.last().expect("the first is there");
            let after = rest[at + run..].iter().filter(|s| !is_bad(s));
            let kept_parts = out.stages.len() + after.count();
            let request = PathRequest {
                first_layer: rest[at].first_layer,
                end_layer: rest[at + run - 1].end_layer,
                tokens: need.tokens,
                data_centre: before.engine.data_centre,
                is_start: false,
                interconnect_utilisation: need.crossing_use,
                interconnect_prefill_ms: need
                    .model
                    .interconnect_prefill_ms(need.tokens),
                max_stages: MAX_PATH_STAGES.saturating_sub(kept_parts),
            };
            let part = self.part(need, &request, &used)?;
            let names = part.stages.iter();
            used.extend(names.map(|s| s.engine.incarnation.clone()));
            out.stages.extend(part.stages);
            at += run;
        }
        Some(out)
    }

    fn part(
        &self,
        need: &PathNeed<'_>,
        request: &PathRequest,
        used: &BTreeSet<String>,
    ) -> Option<Path> {
        let engines = self.of_service(need.service);
        if engines.all.len() <= MOST_AT_ONCE {
            return path_among(&engines.all, need, request, used);
        }
        let mut near = sample(&engines, request.data_centre);
        if let Some(first) = need.only_first
            && !near.iter().any(|engine| Arc::ptr_eq(engine, first))
        {
            near.push(first.clone());
        }
        let path = path_among(&near, need, request, used);
        if path.is_some() {
            return path;
        }
        // The next look draws another one.
        let other = fastrand::usize(..engines.by_data_centre.len());
        if other != request.data_centre {
            near.extend(sample(&engines, other));
        }
        path_among(&near, need, request, used)
    }
}

/// The engine outside of a set that runs the fewest requests first, of those
/// that may be first; one of the own data centre if there is one.
pub(crate) fn least_used_first(
    core: &Core,
    service: &str,
    without: &BTreeSet<String>,
    outside: &BTreeSet<u32>,
) -> Option<Arc<Engine>> {
    let (now_ms, own) = (now_ms(), core.own_data_centre_index());
    let may_be_first = |engine: &&Arc<Engine>| {
        let state = engine.lock();
        !outside.contains(&engine.hash)
            && !without.contains(&engine.incarnation)
            && holds_first(&state)
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

/// Engines that may be first but for a permit.
pub(crate) fn limited_firsts(
    core: &Core,
    need: &PathNeed<'_>,
) -> Vec<Arc<Engine>> {
    let engines = core.fleet.of_service(need.service);
    let is_limited = |engine: &&Arc<Engine>| {
        !engine.notices.may_send(need.now_ms)
            && !need.without.contains(&engine.incarnation)
            && need.only_first.is_none_or(|only| Arc::ptr_eq(only, engine))
            && holds_first(&engine.lock())
            && accepts_requests(&engine.lock(), need.now_ms)
    };
    engines.all.iter().filter(is_limited).cloned().collect()
}

/// Time until the first engine is ready that could be first but for its rest;
/// none where one can be first now.
pub(crate) fn first_ready_in_ms(
    core: &Core,
    need: &PathNeed<'_>,
) -> Option<u64> {
    let engines = core.fleet.of_service(need.service);
    let could_be_first = |engine: &&Arc<Engine>| {
        need.only_first.is_none_or(|only| Arc::ptr_eq(only, engine))
            && !need.without.contains(&engine.incarnation)
            && holds_first(&engine.lock())
    };
    let firsts = engines.all.iter().filter(could_be_first);
    core.fleet.cooldown_left_ms(firsts, need.now_ms)
}

fn holds_first(state: &EngineState) -> bool {
    let layers = state.retained_layers();
    layers.is_some_and(|layers| layers.first_layer == 0)
}

/// Engines of a data centre, evenly from all of them.
fn sample(engines: &ServiceEngines, data_centre: usize) -> Vec<Arc<Engine>> {
    let Some(here) = engines.by_data_centre.get(data_centre) else {
        return Vec::new();
    };
    let step = here.len().div_ceil(SAMPLE).max(1);
    let skipped = fastrand::usize(..step);
    here.iter().skip(skipped).step_by(step).cloned().collect()
}

fn path_among(
    engines: &[Arc<Engine>],
    need: &PathNeed<'_>,
    request: &PathRequest,
    used: &BTreeSet<String>,
) -> Option<Path> {
    let holders: Vec<LayerHolder> =
        engines.iter().map(|engine| holder(need, engine, used)).collect();
    let mut rng = fastrand::Rng::new();
    let parts = find_path(&holders, request, &mut rng)?;
    let stage = |part: chestnutreach_routing::PathStage| Stage {
        engine: engines[part.holder].clone(),
        first_layer: part.first_layer,
        end_layer: part.end_layer,
    };
    Some(Path { stages: parts.into_iter().map(stage).collect() })
}

fn holder(
    need: &PathNeed<'_>,
    engine: &Engine,
    used: &BTreeSet<String>,
) -> LayerHolder {
    let state = engine.lock();
    let kind = state.row.kind.as_ref();
    let kind = kind.and_then(|kind| need.model.kinds.get(kind));
    let name = &engine.incarnation;
    let is_named = need.without.contains(name) || used.contains(name);
    let (Some(kind), Some(held), Some(lasting)) =
        (kind, state.row.held, state.retained_layers())
    else {
        return unusable(engine.data_centre);
    };
    let total = need.model.token_layer_capacity(kind, held.layer_count());
    LayerHolder {
        data_centre: engine.data_centre,
        first_layer: lasting.first_layer,
        end_layer: lasting.end_layer,
        layer_ms: need.model.layers_step_ms(kind, 1) * state.slowness,
        used_token_layers: engine
            .estimated_token_layers(need.entries_without_report),
        prefill_share: engine.prefill_utilisation(need.now_ms)
            * state.slowness,
        total_token_layers: (total as f64 * PLANNED_SHARE) as u64,
        is_usable: !is_named && accepts_work(&state, need.now_ms),
        can_be_first: need
            .only_first
            .is_none_or(|first| first.incarnation == engine.incarnation)
            && !need.not_first.contains(&engine.hash)
            && !state.is_in_cooldown(need.now_ms)
            && engine.first_count() < u64::from(state.row.slots)
            && (!need.is_permit_needed
                || engine.notices.may_send(need.now_ms))
            && (!need.is_choosy
                || engine.circuit.allows_requests(need.now_ms)),
    }
}

fn unusable(data_centre: usize) -> LayerHolder {
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
