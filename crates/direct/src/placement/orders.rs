//! Orders to engines to hold layers, given by whoever holds the lease, or
//! stands in for it.
//!
//! What is ordered, and again, is decided by [`OrderTracker`] from what is known
//! of the engines; here are the turns, the calls and the lines of the logs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::engine::place_body;
use chestnutreach_planner::{
    DueOrder, LayerRange, LayoutEngine, LayoutModel, ObservedEngine, OpenMove,
    OrderScope, OrderTracker, order_tracker::ORDER_EXPIRY_MS, replica_counts,
};
use chestnutreach_protocol::peers;
use chestnutreach_site::{BackendState, Model, StreamPolicy};
use chestnutreach_telemetry::{Event, emit};

use crate::{
    clock::now_ms,
    cluster::{
        engine::{Engine, FailureEvidence},
        probe,
    },
    core::Core,
    placement::{
        authority::{Authority, log_authority_change},
        lease::Lease,
    },
    request::exchange::{self, with_timeout},
};

/// Time between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);
/// The plan for an empty fleet waits until no new engine has come for so
/// long, so that it is made for all.
const SETTLED_MS: u64 = 500;
/// Time for an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Plans while this entry holds the lease, or stands in for its holder.
pub(crate) async fn run(core: Arc<Core>, lease: Arc<Lease>) {
    let mut planner = Planner::default();
    let mut last = None;
    loop {
        Timer::after(PLAN_INTERVAL).await;
        let mandate = Authority::of(&core, &lease);
        if mandate != last {
            planner = Planner::default();
            log_authority_change(last, mandate);
            last = mandate;
        }
        if let Some(mandate) = mandate {
            planner.round(&core, &lease, mandate);
            if mandate.scope() == OrderScope::All {
                core.set_open_moves(planner.open_moves(&core));
            }
        }
        core.pending_orders.store(planner.open_count(), Relaxed);
    }
}

#[derive(Default)]
struct Planner {
    /// Orders, by service.
    trackers: BTreeMap<String, OrderTracker>,
    engine_count: usize,
    last_growth_ms: u64,
    /// What was last told of each service's cover.
    logged_coverage: BTreeMap<String, String>,
    accepted: Accepted,
}

/// Orders that engines have accepted, by incarnation with the count of orders
/// begun on which each was given, until the planner takes them.
type Accepted = Arc<Mutex<Vec<(String, u64)>>>;

impl Planner {
    fn open_count(&self) -> usize {
        self.trackers.values().map(OrderTracker::pending_count).sum()
    }

    /// What others are told, for the next planner.
    fn open_moves(&self, core: &Core) -> Vec<(u64, peers::OpenMove)> {
        let books = self.trackers.iter();
        let moves = books.flat_map(|(service, book)| {
            book.open_moves().map(move |open| (service, open))
        });
        let told = |(service, open): (&String, OpenMove)| {
            let engine = core.fleet.by_incarnation(&open.engine)?;
            let told = peers::OpenMove {
                service: service.clone(),
                engine: engine.hash,
                first_layer: open.range.first_layer,
                end_layer: open.range.end_layer,
                orders_begun: open.orders_begun,
                age_ms: 0,
            };
            Some((open.issued_ms, told))
        };
        moves.filter_map(told).collect()
    }

    fn round(&mut self, core: &Arc<Core>, lease: &Lease, mandate: Authority) {
        let Some(configuration) = core.configuration() else {
            return;
        };
        if !self.has_settled(core) {
            return;
        }
        self.apply_accepted();
        for service in configuration.services.values() {
            if let Some(model) = &service.model {
                self.plan(core, lease, mandate, &service.name, model);
            }
        }
    }

    fn apply_accepted(&mut self) {
        let mut accepted = self.accepted.lock().expect("no holder panics");
        for (engine, orders_begun) in accepted.drain(..) {
            for book in self.trackers.values_mut() {
                book.mark_accepted(&engine, orders_begun);
            }
        }
    }

    /// Whether the engines that start together have all come.
    fn has_settled(&mut self, core: &Core) -> bool {
        let engines = core.fleet.all();
        if engines.iter().any(|engine| engine.lock().row.held.is_some()) {
            return true;
        }
        let count = engines.len();
        let now_ms = now_ms();
        if count > self.engine_count {
            self.last_growth_ms = now_ms;
        }
        self.engine_count = count;
        count > 0 && now_ms.saturating_sub(self.last_growth_ms) >= SETTLED_MS
    }

    fn plan(
        &mut self,
        core: &Arc<Core>,
        lease: &Lease,
        mandate: Authority,
        service: &str,
        model: &Model,
    ) {
        let engines = core.fleet.of_service(service);
        let known: Vec<ObservedEngine<'_>> =
            engines.all.iter().map(|e| observed_engine(model, e)).collect();
        let layout_model = LayoutModel {
            layer_count: model.layer_count,
            layer_mb: model.layer_mb,
            token_layer_bytes: model.token_layer_bytes,
            first_stage_tokens: first_stage_tokens(model, &engines.all),
        };
        self.log_coverage(core, service, &layout_model, &known);
        if !self.trackers.contains_key(service) {
            let book =
                OrderTracker::new(recent_moves(core, service, &engines.all));
            self.trackers.insert(service.to_owned(), book);
        }
        let book = self.trackers.get_mut(service).expect("it was just added");
        let scope = mandate.scope();
        for due in book.due_orders(&layout_model, &known, scope, now_ms()) {
            // Deciding took time; another one may plan by now.
            if Authority::of(core, lease) != Some(mandate) {
                return;
            }
            let engine = engines.all[due.engine].clone();
            let given = IssuedOrder {
                engine,
                due,
                mandate,
                service: service.to_owned(),
                accepted: self.accepted.clone(),
            };
            core.executor.spawn(send_order(core.clone(), given)).detach();
        }
    }

    /// Tells how many engines hold the layers, when that has changed.
    fn log_coverage(
        &mut self,
        core: &Core,
        service: &str,
        model: &LayoutModel,
        engines: &[ObservedEngine<'_>],
    ) {
        let layout: Vec<LayoutEngine> =
            engines.iter().map(|engine| engine.layout).collect();
        let names = &core.settings.data_centres;
        let mut here = replica_counts(model, &layout);
        // One without any engine is told as well.
        let none = vec![0; model.layer_count as usize];
        here.resize(here.len().max(names.len()), none);
        let text = |(at, counts): (usize, &Vec<u32>)| {
            let name = names.get(at).map_or("?", String::as_str);
            format!("{name} {}", format_runs(counts))
        };
        let texts: Vec<String> = here.iter().enumerate().map(text).collect();
        let texts = texts.join("; ");
        if self.logged_coverage.get(service) != Some(&texts) {
            emit(
                Event::CoverChanged,
                &[("service", &service), ("cover", &texts)],
            );
            self.logged_coverage.insert(service.to_owned(), texts);
        }
    }
}

/// Moves of the planners before, this entry's own among them, which may still
/// be carried out.
fn recent_moves(
    core: &Core,
    service: &str,
    engines: &[Arc<Engine>],
) -> Vec<OpenMove> {
    let known = |(given_ms, told): (u64, peers::OpenMove)| {
        let engine = engines.iter().find(|e| e.hash == told.engine)?;
        Some(OpenMove {
            engine: engine.incarnation.clone(),
            range: LayerRange::new(told.first_layer, told.end_layer),
            orders_begun: told.orders_begun,
            issued_ms: given_ms,
        })
    };
    let now_ms = now_ms();
    let told = core.peers.announced_moves(service).into_iter();
    let own = core.issued_moves(service).into_iter();
    let recent = told
        .chain(own)
        .filter(|(given_ms, _)| now_ms - given_ms < ORDER_EXPIRY_MS);
    recent.filter_map(known).collect()
}

/// Tokens of the requests that an engine takes as their first one.
fn first_stage_tokens(model: &Model, engines: &[Arc<Engine>]) -> f64 {
    let places = engines.iter().map(|engine| engine.lock().row.slots);
    let usual = model.usual_prompt_tokens + model.usual_answer_tokens;
    match (places.min(), usual) {
        (None | Some(0), _) | (_, 0) => f64::INFINITY,
        (Some(places), usual) => f64::from(places) * f64::from(usual),
    }
}

fn observed_engine<'a>(
    model: &Model,
    engine: &'a Engine,
) -> ObservedEngine<'a> {
    let state = engine.lock();
    let kind = state.row.kind.as_ref();
    let kind = kind.and_then(|kind| model.kinds.get(kind));
    let is_sound = state.row.state == BackendState::Ready
        && !state.is_removed
        && !state.is_row_unusable
        && state.suspicion.is_none();
    // Its process may go on: nothing but silence speaks against it.
    let may_return = state.row.state == BackendState::Ready
        && !state.is_removed
        && state
            .suspicion
            .is_some_and(|s| s.evidence != FailureEvidence::Refused);
    ObservedEngine {
        id: &engine.incarnation,
        may_return,
        layout: LayoutEngine {
            data_centre: engine.data_centre,
            memory_mb: kind.map_or(0.0, |kind| kind.memory_mb),
            layer_ms: kind.map_or(0.0, |kind| model.step_part_ms(kind, 1)),
            held: state.row.held,
            is_available: is_sound,
            accepts_orders: is_sound && kind.is_some(),
        },
        orders_begun: state.orders_begun,
    }
}

/// Counts of layers in a row, as "first..end x count".
fn format_runs(counts: &[u32]) -> String {
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

/// What becomes of streams that still pass through layers that are given up.
///
/// They were told to leave before the order; those that could not are cut and
/// go on elsewhere, where all may: while they ended, the gap would stay open
/// for all others. Those that begin at the
/// engine can't be led around it, and all at once would use up the shared
/// bound on further arrivals: they may end.
fn stream_policy(
    core: &Core,
    service: &str,
    engine: &Engine,
    range: LayerRange,
) -> StreamPolicy {
    let configuration = core.configuration();
    let may_go_on =
        configuration.is_some_and(|c| c.streams_may_go_on(service));
    let held = engine.lock().row.held;
    let is_first = held.is_some_and(|held| held.first_layer == 0);
    match may_go_on && (!is_first || range.first_layer == 0) {
        true => StreamPolicy::Abort,
        false => StreamPolicy::Finish,
    }
}

/// An order on its way.
struct IssuedOrder {
    engine: Arc<Engine>,
    due: DueOrder,
    mandate: Authority,
    service: String,
    accepted: Accepted,
}

async fn send_order(core: Arc<Core>, given: IssuedOrder) {
    let IssuedOrder { engine, due, mandate, service, accepted } = given;
    let name = format!("place {}", due.range);
    let number = mandate.fence().map_or_else(String::new, |n| n.to_string());
    emit(
        Event::OrderSent,
        &[
            ("service", &service),
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &number),
        ],
    );
    let passing = stream_policy(&core, &service, &engine, due.range);
    let body =
        place_body(due.range, mandate.fence(), due.orders_begun, passing);
    let call = exchange::send_order(&engine, &body);
    let reason = match with_timeout(ORDER_TIMEOUT, call).await {
        Ok(Ok((200..=299, _))) => {
            let order = (engine.incarnation.clone(), due.orders_begun);
            accepted.lock().expect("no holder panics").push(order);
            return;
        }
        Ok(Ok((409, body))) => {
            // It has begun orders that the list does not count.
            probe::request_report(core, engine.clone()).await;
            String::from_utf8_lossy(&body).into_owned()
        }
        Ok(Ok((status, body))) => {
            format!("{status} {}", String::from_utf8_lossy(&body))
        }
        Ok(Err(e)) => e.to_string(),
        Err(e) => e.to_string(),
    };
    log_refused(&engine, &due, &name, &number, &reason);
}

/// Tells that an order was refused, with the state that it was given against
/// and what the engine has begun as far as is known now.
fn log_refused(
    engine: &Engine,
    due: &DueOrder,
    name: &str,
    number: &str,
    reason: &str,
) {
    let (held, has_begun) = {
        let state = engine.lock();
        (state.row.held, state.orders_begun)
    };
    let held = held.map_or_else(String::new, |held| held.to_string());
    emit(
        Event::OrderRefused,
        &[
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &number),
            ("reason", &reason),
            ("layers", &held),
            ("orders_expected", &due.orders_begun),
            ("orders_begun", &has_begun),
        ],
    );
}
