//! Orders to engines to hold layers, sent by the holder of the lease or by the
//! deputy planner.
//!
//! [`OrderTracker`] decides from the state of the engines what to order and
//! when to repeat an order. This module runs the planning rounds, sends the
//! orders, and logs them.

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

const PLAN_INTERVAL: Duration = Duration::from_millis(150);
/// The first plan of a fleet that holds no layers waits until no engine has
/// been added for this time, so that the plan includes all engines.
const SETTLED_MS: u64 = 500;
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// Plans while this entry holds the lease or is the deputy planner.
pub(crate) async fn run(core: Arc<Core>, lease: Arc<Lease>) {
    let mut planner = Planner::default();
    let mut last_authority = None;
    loop {
        Timer::after(PLAN_INTERVAL).await;
        let authority = Authority::of(&core, &lease);
        if authority != last_authority {
            planner = Planner::default();
            log_authority_change(last_authority, authority);
            last_authority = authority;
        }
        if let Some(authority) = authority {
            planner.round(&core, &lease, authority);
            if authority.scope() == OrderScope::All {
                core.set_open_moves(planner.open_moves(&core));
            }
        }
        core.pending_orders.store(planner.pending_count(), Relaxed);
    }
}

#[derive(Default)]
struct Planner {
    /// By service.
    trackers: BTreeMap<String, OrderTracker>,
    engine_count: usize,
    last_growth_ms: u64,
    /// Coverage of each service as last logged.
    logged_coverage: BTreeMap<String, String>,
    accepted: Accepted,
}

/// Accepted orders that the planner has not recorded yet: the engine's
/// incarnation, and the number of begun orders on which the order was based.
type Accepted = Arc<Mutex<Vec<(String, u64)>>>;

impl Planner {
    fn pending_count(&self) -> usize {
        self.trackers.values().map(OrderTracker::pending_count).sum()
    }

    /// Pending moves to announce, for the next planner.
    fn open_moves(&self, core: &Core) -> Vec<(u64, peers::OpenMove)> {
        let trackers = self.trackers.iter();
        let moves = trackers.flat_map(|(service, tracker)| {
            tracker.open_moves().map(move |open| (service, open))
        });
        let to_message = |(service, open): (&String, OpenMove)| {
            let engine = core.fleet.by_incarnation(&open.engine)?;
            let message = peers::OpenMove {
                service: service.clone(),
                engine: engine.hash,
                first_layer: open.range.first_layer,
                end_layer: open.range.end_layer,
                orders_begun: open.orders_begun,
                age_ms: 0,
            };
            Some((open.issued_ms, message))
        };
        moves.filter_map(to_message).collect()
    }

    fn round(
        &mut self,
        core: &Arc<Core>,
        lease: &Lease,
        authority: Authority,
    ) {
        let Some(configuration) = core.configuration() else {
            return;
        };
        if !self.has_settled(core) {
            return;
        }
        self.apply_accepted();
        for service in configuration.services.values() {
            if let Some(model) = &service.model {
                self.plan(core, lease, authority, &service.name, model);
            }
        }
    }

    fn apply_accepted(&mut self) {
        let mut accepted = self.accepted.lock().expect("no holder panics");
        for (engine, orders_begun) in accepted.drain(..) {
            for tracker in self.trackers.values_mut() {
                tracker.mark_accepted(&engine, orders_begun);
            }
        }
    }

    /// Whether all engines that start together have been added.
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
        authority: Authority,
        service: &str,
        model: &Model,
    ) {
        let engines = core.fleet.of_service(service);
        let observed: Vec<ObservedEngine<'_>> =
            engines.all.iter().map(|e| observed_engine(model, e)).collect();
        let layout_model = LayoutModel {
            layer_count: model.layer_count,
            layer_mb: model.layer_mb,
            token_layer_bytes: model.token_layer_bytes,
            first_stage_tokens: first_stage_tokens(model, &engines.all),
        };
        self.log_coverage(core, service, &layout_model, &observed);
        if !self.trackers.contains_key(service) {
            let tracker =
                OrderTracker::new(recent_moves(core, service, &engines.all));
            self.trackers.insert(service.to_owned(), tracker);
        }
        let tracker =
            self.trackers.get_mut(service).expect("it was just added");
        let scope = authority.scope();
        for due in
            tracker.due_orders(&layout_model, &observed, scope, now_ms())
        {
            // Planning took time, in which the authority may have ended.
            if Authority::of(core, lease) != Some(authority) {
                return;
            }
            let engine = engines.all[due.engine].clone();
            let issued = IssuedOrder {
                engine,
                due,
                authority,
                service: service.to_owned(),
                accepted: self.accepted.clone(),
            };
            core.executor.spawn(send_order(core.clone(), issued)).detach();
        }
    }

    /// Logs the replica counts of the layers if they have changed.
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
        let mut replicas = replica_counts(model, &layout);
        // Data centres without engines are logged too.
        let no_replicas = vec![0; model.layer_count as usize];
        replicas.resize(replicas.len().max(names.len()), no_replicas);
        let describe = |(at, counts): (usize, &Vec<u32>)| {
            let name = names.get(at).map_or("?", String::as_str);
            format!("{name} {}", format_runs(counts))
        };
        let texts: Vec<String> =
            replicas.iter().enumerate().map(describe).collect();
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

/// Moves of previous planners, including this entry, that engines may still
/// carry out.
fn recent_moves(
    core: &Core,
    service: &str,
    engines: &[Arc<Engine>],
) -> Vec<OpenMove> {
    let to_open_move = |(issued_ms, announced): (u64, peers::OpenMove)| {
        let engine = engines.iter().find(|e| e.hash == announced.engine)?;
        Some(OpenMove {
            engine: engine.incarnation.clone(),
            range: LayerRange::new(announced.first_layer, announced.end_layer),
            orders_begun: announced.orders_begun,
            issued_ms,
        })
    };
    let now_ms = now_ms();
    let announced = core.peers.announced_moves(service).into_iter();
    let own = core.issued_moves(service).into_iter();
    let recent = announced
        .chain(own)
        .filter(|(issued_ms, _)| now_ms - issued_ms < ORDER_EXPIRY_MS);
    recent.filter_map(to_open_move).collect()
}

/// Tokens of the requests that one engine accepts as first stage.
fn first_stage_tokens(model: &Model, engines: &[Arc<Engine>]) -> f64 {
    let slots = engines.iter().map(|engine| engine.lock().row.slots);
    let tokens_per_request =
        model.typical_prompt_tokens + model.typical_output_tokens;
    match (slots.min(), tokens_per_request) {
        (None | Some(0), _) | (_, 0) => f64::INFINITY,
        (Some(slots), tokens_per_request) => {
            f64::from(slots) * f64::from(tokens_per_request)
        }
    }
}

fn observed_engine<'a>(
    model: &Model,
    engine: &'a Engine,
) -> ObservedEngine<'a> {
    let state = engine.lock();
    let kind = state.row.kind.as_ref();
    let kind = kind.and_then(|kind| model.kinds.get(kind));
    let is_available = state.row.state == BackendState::Ready
        && !state.is_removed
        && !state.is_row_unusable
        && state.suspicion.is_none();
    // Without a refused connect, the process may still run.
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
            layer_ms: kind.map_or(0.0, |kind| model.layers_step_ms(kind, 1)),
            held: state.row.held,
            is_available,
            accepts_orders: is_available && kind.is_some(),
        },
        orders_begun: state.orders_begun,
    }
}

/// Formats runs of layers with the same count as `FIRST..ENDxCOUNT`.
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

/// Policy for streams that still use the released layers.
///
/// Streams were notified to leave before the order. Those that could not are
/// aborted and resumed elsewhere, if all streams of the service may be
/// resumed: letting them finish would keep the coverage gap open for all other
/// requests. Streams for which the engine is the first stage can't be routed
/// around the engine, and resuming all of them at once would use up the retry
/// limit. They may finish.
fn stream_policy(
    core: &Core,
    service: &str,
    engine: &Engine,
    range: LayerRange,
) -> StreamPolicy {
    let configuration = core.configuration();
    let may_go_on =
        configuration.is_some_and(|c| c.streams_are_resumable(service));
    let held = engine.lock().row.held;
    let is_first = held.is_some_and(|held| held.first_layer == 0);
    match may_go_on && (!is_first || range.first_layer == 0) {
        true => StreamPolicy::Abort,
        false => StreamPolicy::Finish,
    }
}

/// An order that is being sent.
struct IssuedOrder {
    engine: Arc<Engine>,
    due: DueOrder,
    authority: Authority,
    service: String,
    accepted: Accepted,
}

async fn send_order(core: Arc<Core>, issued: IssuedOrder) {
    let IssuedOrder { engine, due, authority, service, accepted } = issued;
    let name = format!("place {}", due.range);
    let fencing_number =
        authority.fence().map_or_else(String::new, |n| n.to_string());
    emit(
        Event::OrderSent,
        &[
            ("service", &service),
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &fencing_number),
        ],
    );
    let policy = stream_policy(&core, &service, &engine, due.range);
    let body =
        place_body(due.range, authority.fence(), due.orders_begun, policy);
    let memory = &core.fleet.response_memory;
    let call = exchange::send_order(memory, &engine, &body);
    let reason = match with_timeout(ORDER_TIMEOUT, call).await {
        Ok(Ok((200..=299, _))) => {
            let order = (engine.incarnation.clone(), due.orders_begun);
            accepted.lock().expect("no holder panics").push(order);
            return;
        }
        Ok(Ok((409, body))) => {
            // The engine has begun orders that are not listed yet.
            probe::request_report(core.clone(), engine.clone()).await;
            String::from_utf8_lossy(body.as_slice()).into_owned()
        }
        Ok(Ok((status, body))) => {
            let body = String::from_utf8_lossy(body.as_slice());
            format!("{status} {body}")
        }
        Ok(Err(e)) => {
            exchange::record_cut(&core, &engine, &name, &e);
            e.to_string()
        }
        Err(e) => e.to_string(),
    };
    log_refused(&engine, &due, &name, &fencing_number, &reason);
}

/// Logs a refused order, with the expected number of begun orders and the
/// engine's state as now known.
fn log_refused(
    engine: &Engine,
    due: &DueOrder,
    name: &str,
    fencing_number: &str,
    reason: &str,
) {
    let (held, orders_begun) = {
        let state = engine.lock();
        (state.row.held, state.orders_begun)
    };
    let held = held.map_or_else(String::new, |held| held.to_string());
    emit(
        Event::OrderRefused,
        &[
            ("backend", &engine.id),
            ("order", &name),
            ("fence", &fencing_number),
            ("reason", &reason),
            ("layers", &held),
            ("orders_expected", &due.orders_begun),
            ("orders_begun", &orders_begun),
        ],
    );
}
