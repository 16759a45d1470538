//! Orders to engines to hold layers, given by whoever holds the lease.
//!
//! An order carries the count of orders that the engine had begun, so that
//! of two orders given on the same knowledge, also by two planners or when
//! one is carried out late, only one takes effect. An order without an
//! answer counts as carried out until the list shows otherwise, and the same
//! order is given again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_adapter::engine::{ORDER_TARGET, place_body};
use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, place_empty,
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
    }
}

#[derive(Default)]
struct Planner {
    given: BTreeMap<String, Given>,
    engine_count: usize,
    grown_ms: u64,
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
        let mut orders: Vec<(Arc<Engine>, Given)> = Vec::new();
        for placement in place_empty(&layout_model, &layout) {
            let engine = &engines[placement.engine];
            let given = Given {
                range: placement.range,
                orders_begun: engine.lock().orders_begun,
                first_ms: now_ms(),
                last_ms: 0,
            };
            self.given.insert(engine.id.clone(), given);
            orders.push((engine.clone(), given));
        }
        for engine in &engines {
            let Some(given) = self.given.get_mut(&engine.id) else {
                continue;
            };
            let is_due = now_ms().saturating_sub(given.last_ms) >= AGAIN_MS;
            if is_due && given.last_ms > 0 {
                orders.push((engine.clone(), *given));
            }
            if is_due {
                given.last_ms = now_ms();
            }
        }
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

    /// Forgets orders that the list shows, or that had no effect.
    fn forget_done(&mut self, engines: &[Arc<Engine>]) {
        let now_ms = now_ms();
        self.given.retain(|id, given| {
            let Some(engine) = engines.iter().find(|e| e.id == *id) else {
                return false;
            };
            let state = engine.lock();
            let shows = state.row.held == Some(given.range);
            // It has begun others than this planner knew of.
            let is_outdated = state.orders_begun > given.orders_begun;
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
        let held = state.row.held.or(given.map(|g| g.range));
        LayoutEngine {
            data_centre: engine.data_centre,
            memory_mb: kind.map_or(0.0, |kind| kind.memory_mb),
            held,
            is_sound,
            is_free: is_sound && kind.is_some(),
        }
    }
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
