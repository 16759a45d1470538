//! Orders to engines to hold layers, given by whoever holds the lease.
//!
//! An order carries the count of orders that the engine had begun, so that
//! of two orders given on the same knowledge, also by two planners or when
//! one is carried out late, only one takes effect. An order without an
//! answer counts as carried out until the list shows otherwise, and the same
//! order is given again.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::engine::{ORDER_TARGET, place_body};
use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, Placement, cover, move_one,
    place_empty,
};
use chestnutreach_site::{BackendState, Model};
use chestnutreach_state::FencingNumber;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    core::Core,
    engine::Engine,
    exchange::{self, within},
    lease::Lease,
    probe,
};

/// Time between plans.
const PLAN_EVERY: Duration = Duration::from_millis(150);
/// The first plan waits until no new engine has come for so long, so that it
/// is made for all.
const SETTLED_MS: u64 = 500;
/// Time for an order.
const ORDER: Duration = Duration::from_millis(600);
/// After so long an order without effect is given again.
const AGAIN_MS: u64 = 1_500;
/// A gap must last so long before an engine moves to it: most are filled by
/// engines that come back empty.
const GAP_LASTS_MS: u64 = 1_000;
/// After so long an order that had no effect is forgotten; late ones are
/// carried out within 12 s.
const FORGOTTEN_MS: u64 = 15_000;

/// An order that was given and does not show yet.
#[derive(Clone, Copy, Debug)]
struct Given {
    range: LayerRange,
    orders_begun: u64,
    first_ms: u64,
    last_ms: u64,
    /// Times that it was sent.
    sent: u32,
}

impl Given {
    fn new(engine: &Engine, range: LayerRange) -> Given {
        let state = engine.lock();
        // What it holds it was ordered to hold.
        let at_least = u64::from(state.row.held.is_some());
        Given {
            range,
            orders_begun: state.orders_begun.max(at_least),
            first_ms: now_ms(),
            last_ms: 0,
            sent: 0,
        }
    }
}

/// Plans while this entry holds the lease.
pub(crate) async fn run(core: Arc<Core>, lease: Arc<Lease>) {
    let mut planner = Planner::default();
    loop {
        Timer::after(PLAN_EVERY).await;
        match lease.may_act() {
            Some(number) => planner.round(&core, &lease, number).await,
            None => planner = Planner::default(),
        }
        core.orders_waiting.store(planner.given.len(), Relaxed);
    }
}

#[derive(Default)]
struct Planner {
    given: BTreeMap<String, Given>,
    engine_count: usize,
    grown_ms: u64,
    /// What was last told of each service's cover.
    told: BTreeMap<String, String>,
    /// Since when a service has gaps that no empty engine fills.
    gap_since_ms: BTreeMap<String, u64>,
}

impl Planner {
    async fn round(
        &mut self,
        core: &Arc<Core>,
        lease: &Arc<Lease>,
        number: FencingNumber,
    ) {
        let Some(configuration) = core.configuration() else {
            return;
        };
        if !self.has_settled(core) {
            return;
        }
        for service in configuration.services.values() {
            if let Some(model) = &service.model {
                self.plan(core, lease, number, &service.name, model).await;
            }
        }
    }

    /// Whether the engines that start together have all come.
    fn has_settled(&mut self, core: &Core) -> bool {
        let count = core.fleet.all().len();
        let now_ms = now_ms();
        if count > self.engine_count {
            self.grown_ms = now_ms;
        }
        self.engine_count = count;
        count > 0 && now_ms.saturating_sub(self.grown_ms) >= SETTLED_MS
    }

    async fn plan(
        &mut self,
        core: &Arc<Core>,
        lease: &Arc<Lease>,
        number: FencingNumber,
        service: &str,
        model: &Model,
    ) {
        let engines = core.fleet.of_service(service);
        self.forget_done(&engines);
        let layout: Vec<LayoutEngine> =
            engines.iter().map(|e| self.layout_engine(model, e)).collect();
        let layout_model = LayoutModel {
            layer_count: model.layer_count,
            layer_mb: model.layer_mb,
            token_layer_bytes: model.token_layer_bytes,
        };
        self.note_cover(core, service, &layout_model, &layout);
        let mut placements = place_empty(&layout_model, &layout);
        if placements.is_empty() && self.given.is_empty() {
            placements.extend(self.move_one(service, &layout_model, &layout));
        }
        for placement in placements {
            let engine = &engines[placement.engine];
            let given = Given::new(engine, placement.range);
            self.given.insert(engine.id.clone(), given);
        }
        let orders = self.take_due(&engines);
        for (engine, given) in orders {
            // Deciding took time; another one may plan by now.
            if lease.may_act() != Some(number) {
                return;
            }
            let task =
                order(core.clone(), engine, given, number, service.to_owned());
            core.executor.spawn(task).detach();
        }
    }

    /// Orders that are to be sent now, for the first time or again.
    fn take_due(
        &mut self,
        engines: &[Arc<Engine>],
    ) -> Vec<(Arc<Engine>, Given)> {
        let mut due = Vec::new();
        for engine in engines {
            let Some(given) = self.given.get_mut(&engine.id) else {
                continue;
            };
            let has_begun = engine.lock().orders_begun > given.orders_begun;
            let waited_ms = now_ms().saturating_sub(given.last_ms);
            if waited_ms >= AGAIN_MS && !has_begun {
                given.last_ms = now_ms();
                given.sent += 1;
                due.push((engine.clone(), *given));
            }
        }
        due
    }

    /// A move that fills a gap which has lasted.
    fn move_one(
        &mut self,
        service: &str,
        model: &LayoutModel,
        layout: &[LayoutEngine],
    ) -> Option<Placement> {
        let Some(placement) = move_one(model, layout) else {
            self.gap_since_ms.remove(service);
            return None;
        };
        let now_ms = now_ms();
        let since_ms =
            *self.gap_since_ms.entry(service.to_owned()).or_insert(now_ms);
        let has_lasted = now_ms - since_ms >= GAP_LASTS_MS;
        has_lasted.then(|| {
            self.gap_since_ms.remove(service);
            placement
        })
    }

    /// Tells how many engines hold the layers, when that has changed.
    fn note_cover(
        &mut self,
        core: &Core,
        service: &str,
        model: &LayoutModel,
        layout: &[LayoutEngine],
    ) {
        let names = &core.settings.data_centres;
        let mut here = cover(model, layout);
        // One without any engine is told as well.
        let none = vec![0; model.layer_count as usize];
        here.resize(here.len().max(names.len()), none);
        let text = |(at, counts): (usize, &Vec<u32>)| {
            let name = names.get(at).map_or("?", String::as_str);
            format!("{name} {}", runs(counts))
        };
        let texts: Vec<String> = here.iter().enumerate().map(text).collect();
        let texts = texts.join("; ");
        if self.told.get(service) != Some(&texts) {
            emit(
                Event::CoverChanged,
                &[("service", &service), ("cover", &texts)],
            );
            self.told.insert(service.to_owned(), texts);
        }
    }

    /// Forgets orders that the list shows, or that had no effect.
    fn forget_done(&mut self, engines: &[Arc<Engine>]) {
        let now_ms = now_ms();
        self.given.retain(|id, given| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                return false;
            };
            let state = engine.lock();
            let shows = state.row.held == Some(given.range);
            // An order that was sent once and refused met others than this
            // planner knew of; one that was sent again has begun itself.
            let is_outdated =
                given.sent <= 1 && state.orders_begun > given.orders_begun;
            !shows && !is_outdated && now_ms - given.first_ms < FORGOTTEN_MS
        });
    }

    fn layout_engine(&self, model: &Model, engine: &Engine) -> LayoutEngine {
        let state = engine.lock();
        let kind = state.row.kind.as_ref();
        let kind = kind.and_then(|kind| model.kinds.get(kind));
        let is_sound = state.row.state == BackendState::Ready
            && !state.is_gone
            && state.suspicion.is_none();
        let given = self.given.get(&engine.id);
        let held = given.map(|g| g.range).or(state.row.held);
        LayoutEngine {
            data_centre: engine.data_centre,
            memory_mb: kind.map_or(0.0, |kind| kind.memory_mb),
            held,
            is_sound,
            is_free: is_sound && kind.is_some(),
        }
    }
}

/// Counts of layers in a row, as "first..end x count".
fn runs(counts: &[u32]) -> String {
    let mut texts = Vec::new();
    let mut first = 0;
    for at in 1..=counts.len() {
        if at == counts.len() || counts[at] != counts[first] {
            texts.push(format!("{first}..{at}x{}", counts[first]));
            first = at;
        }
    }
    texts.join(" ")
}

async fn order(
    core: Arc<Core>,
    engine: Arc<Engine>,
    given: Given,
    number: FencingNumber,
    service: String,
) {
    let name = format!("place {}", given.range);
    emit(
        Event::OrderSent,
        &[
            ("service", &service),
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &number),
        ],
    );
    let body = place_body(given.range, number.as_u64(), given.orders_begun);
    let call = exchange::call(engine.address, "POST", ORDER_TARGET, &body);
    let reason = match within(ORDER, call).await {
        Ok(Ok((200..=299, _))) => return,
        Ok(Ok((409, body))) => {
            // It has begun orders that the list does not count.
            probe::ask(core, engine.clone()).await;
            String::from_utf8_lossy(&body).into_owned()
        }
        Ok(Ok((status, body))) => {
            format!("{status} {}", String::from_utf8_lossy(&body))
        }
        Ok(Err(e)) => e.to_string(),
        Err(e) => e.to_string(),
    };
    emit(
        Event::OrderRefused,
        &[
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &number),
            ("reason", &reason),
        ],
    );
}
