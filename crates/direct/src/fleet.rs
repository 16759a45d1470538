//! The backend servers that an entry knows, and paths through them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use chestnutreach_protocol::peers::OpenMove;
use chestnutreach_routing::{PartHolder, PathRequest, find_path};
use chestnutreach_site::{Backend, BackendState, LayerRange, Model};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    engine::{Engine, EngineState, Told},
    path::{Path, Stage},
};

/// Share of an engine's memory for requests that is planned with: what
/// requests will need is only estimated.
const PLANNED_SHARE: f64 = 0.92;

/// Engines from which on a path is sought among a sample first: the search
/// grows with their number.
const MOST_AT_ONCE: usize = 160;
/// Engines of the sample.
const SAMPLE: usize = 120;

/// All backend servers by id.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
}

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
}

/// What came of a row.
pub(crate) enum Applied {
    /// The start was known.
    Known,
    /// A start that was not known; what ran under its id has ended.
    New(Arc<Engine>),
    /// It is older than what is known, or tells no start where one is known.
    OfEarlierStart,
}

impl Fleet {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Engine>>> {
        self.engines.lock().expect("no holder panics")
    }

    pub(crate) fn get(&self, id: &str) -> Option<Arc<Engine>> {
        self.lock().get(id).cloned()
    }

    pub(crate) fn all(&self) -> Vec<Arc<Engine>> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn of_service(&self, service: &str) -> Vec<Arc<Engine>> {
        let engines = self.lock();
        let same = engines.values().filter(|e| e.service == service);
        same.cloned().collect()
    }

    pub(crate) fn at(&self, address: SocketAddr) -> Option<Arc<Engine>> {
        let engines = self.lock();
        let mut here = engines
            .values()
            .filter(|e| e.address == address && !e.lock().is_gone);
        here.next().cloned()
    }

    /// The engine of this start.
    pub(crate) fn incarnation(&self, name: &str) -> Option<Arc<Engine>> {
        let engines = self.lock();
        engines.values().find(|e| e.incarnation == name).cloned()
    }

    /// Takes a row.
    pub(crate) fn apply(
        &self,
        row: Backend,
        row_version: u64,
        data_centre: usize,
    ) -> Applied {
        let known = self.get(&row.id);
        let told = known.as_ref().map_or(Told::Later, |known| {
            Told::of(row.started_unix_ms, known.started_unix_ms)
        });
        if told == Told::Earlier {
            return Applied::OfEarlierStart;
        }
        note_listed(&row, row_version, known.as_deref());
        if let Some(engine) = &known
            && told == Told::Same
        {
            let mut state = engine.lock();
            if row_version >= state.row_version {
                state.take_row(row, row_version);
            }
            return Applied::Known;
        }
        if let Some(old) = &known {
            old.lock().is_replaced = true;
        }
        // Another one at the same address: the old one has ended.
        for old in known.into_iter().chain(self.at(row.address)) {
            old.lock().is_gone = true;
        }
        let engine = Arc::new(Engine::new(row, row_version, data_centre));
        self.lock().insert(engine.id.clone(), engine.clone());
        Applied::New(engine)
    }

    /// Takes that the list has no row of an engine under an id; true if an
    /// engine is used no more for it.
    pub(crate) fn disown(&self, id: &str) -> bool {
        let Some(engine) = self.get(id) else { return false };
        let was_unusable =
            std::mem::replace(&mut engine.lock().is_row_unusable, true);
        !was_unusable
    }

    /// Takes the moves of engines of which the planner tells, by their short
    /// ids; true if one of them is new.
    pub(crate) fn take_moves(&self, moves: &[OpenMove]) -> bool {
        let mut is_any_new = false;
        for engine in self.all() {
            let told = moves.iter().find(|told| told.engine == engine.hash);
            let to = told
                .map(|told| LayerRange::new(told.first_layer, told.end_layer));
            is_any_new |= engine.lock().take_move(to);
        }
        is_any_new
    }

    /// Takes a backend server out of the list.
    pub(crate) fn remove(&self, id: &str) -> Option<Arc<Engine>> {
        let engine = self.lock().remove(id)?;
        engine.lock().is_gone = true;
        Some(engine)
    }

    /// The cheapest path through all layers.
    pub(crate) fn path(&self, need: &PathNeed<'_>) -> Option<Path> {
        let request = PathRequest {
            first_layer: 0,
            end_layer: need.model.layer_count,
            tokens: need.tokens,
            data_centre: need.data_centre,
            is_start: true,
            crossing_use: need.crossing_use,
            crossing_takes_ms: need.model.crossing_takes_ms(need.tokens),
        };
        let none = BTreeSet::new();
        let path = self.part(need, &request, &none);
        if path.is_some() || !self.has_failing(need) {
            return path;
        }
        // Where all that could be first have failed, they are tried again.
        let need = PathNeed { is_choosy: false, ..*need };
        self.part(&need, &request, &none)
    }

    /// Whether engines that may not be first are left out for their answers.
    fn has_failing(&self, need: &PathNeed<'_>) -> bool {
        let engines = self.lock();
        let of_service = |e: &&Arc<Engine>| e.service == need.service;
        let mut engines = engines.values().filter(of_service);
        engines.any(|e| !e.answers.is_open_to_requests(need.now_ms))
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
            let request = PathRequest {
                first_layer: rest[at].first_layer,
                end_layer: rest[at + run - 1].end_layer,
                tokens: need.tokens,
                data_centre: before.engine.data_centre,
                is_start: false,
                crossing_use: need.crossing_use,
                crossing_takes_ms: need.model.crossing_takes_ms(need.tokens),
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
        if engines.len() > MOST_AT_ONCE {
            let near = sample(&engines, request.data_centre);
            let path = path_among(&near, need, request, used);
            if path.is_some() {
                return path;
            }
        }
        path_among(&engines, need, request, used)
    }
}

/// Engines of a data centre, evenly from all of them.
fn sample(engines: &[Arc<Engine>], data_centre: usize) -> Vec<Arc<Engine>> {
    let here = || engines.iter().filter(|e| e.data_centre == data_centre);
    let step = here().count().div_ceil(SAMPLE).max(1);
    let skipped = fastrand::usize(..step);
    here().skip(skipped).step_by(step).cloned().collect()
}

fn path_among(
    engines: &[Arc<Engine>],
    need: &PathNeed<'_>,
    request: &PathRequest,
    used: &BTreeSet<String>,
) -> Option<Path> {
    let holders: Vec<PartHolder> =
        engines.iter().map(|engine| holder(need, engine, used)).collect();
    let mut rng = fastrand::Rng::new();
    let parts = find_path(&holders, request, &mut rng)?;
    let stage = |part: chestnutreach_routing::Part| Stage {
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
) -> PartHolder {
    let state = engine.lock();
    let kind = state.row.kind.as_ref();
    let kind = kind.and_then(|kind| need.model.kinds.get(kind));
    let name = &engine.incarnation;
    let is_named = need.without.contains(name) || used.contains(name);
    let (Some(kind), Some(held), Some(lasting)) =
        (kind, state.row.held, state.lasting_layers())
    else {
        return unusable(engine.data_centre);
    };
    let total = need.model.token_layers_beside(kind, held.layers());
    PartHolder {
        data_centre: engine.data_centre,
        first_layer: lasting.first_layer,
        end_layer: lasting.end_layer,
        layer_ms: need.model.step_part_ms(kind, 1) * state.slowness,
        used_token_layers: engine.used_token_layers(),
        busy: engine.reading_share(need.now_ms) * state.slowness,
        total_token_layers: (total as f64 * PLANNED_SHARE) as u64,
        is_usable: !is_named && takes_work(&state, need.now_ms),
        may_be_first: engine.first_count() < u64::from(state.row.slots)
            && (!need.is_choosy
                || engine.answers.is_open_to_requests(need.now_ms)),
    }
}

fn unusable(data_centre: usize) -> PartHolder {
    PartHolder {
        data_centre,
        first_layer: 0,
        end_layer: 0,
        layer_ms: 0.0,
        used_token_layers: 0,
        busy: 0.0,
        total_token_layers: 0,
        is_usable: false,
        may_be_first: false,
    }
}

/// Whether a backend server may get new work.
pub(crate) fn takes_work(state: &EngineState, now_ms: u64) -> bool {
    state.row.state == BackendState::Ready
        && !state.is_gone
        && !state.is_row_unusable
        && state.suspicion.is_none()
        && state.avoided_until_ms <= now_ms
}

fn note_listed(row: &Backend, row_version: u64, known: Option<&Engine>) {
    let is_same = known.is_some_and(|engine| {
        let old = &engine.lock().row;
        old.state == row.state
            && old.held == row.held
            && old.started_unix_ms == row.started_unix_ms
    });
    if is_same {
        return;
    }
    let layers = row.held.map_or_else(String::new, |held| held.to_string());
    let started = row.started_unix_ms;
    let started = started.map_or_else(String::new, |ms| ms.to_string());
    let state = match row.state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
    };
    emit(
        Event::BackendListed,
        &[
            ("backend", &row.id),
            ("address", &row.address),
            ("started_unix_ms", &started),
            ("state", &state),
            ("layers", &layers),
            ("row_version", &row_version),
        ],
    );
}
