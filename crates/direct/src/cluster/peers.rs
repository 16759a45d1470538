//! Exchange of state between entries.
//!
//! Each entry sends its state to the others several times a second, in one
//! datagram each. Lost datagrams do not matter, because the next one has the
//! full state again. From these messages an entry learns the load on engines
//! beyond its own requests, and how many entries share the retry limit. How
//! entries find each other is in `discovery`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_membership::gossip::{
    BASE_INTERVAL_MS, PeerScope, RoundRobin,
};
use chestnutreach_protocol::peers::{
    EngineUse, PeerState, ServiceUse, SuspectRequest,
};
use chestnutreach_routing::{DemandRates, Fingerprint};
use chestnutreach_telemetry::{Event, emit};
use prost::Message as _;

use crate::{
    clock::now_ms,
    cluster::{
        alerts::percent,
        discovery,
        engine::{Engine, EngineUsage},
        peer_demand,
        peer_table::{SilentPeer, StateOutcome},
        permits, probe, suspects,
    },
    core::Core,
};

const STATE_INTERVAL: Duration = Duration::from_millis(BASE_INTERVAL_MS);
/// Time over which findings are collected into one alert.
const ALERT_BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Rounds of sending the state between two log lines about found peers.
const ROUNDS_PER_LOG: u64 = 5;
/// Maximum number of peers named in one log line.
const MAX_LOGGED_PEERS: usize = 24;
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Opens the socket for messages between entries.
pub(crate) fn open(core: &Core) -> std::io::Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind((core.settings.ip, port(core)))
}

pub(crate) fn port(core: &Core) -> u16 {
    core.settings.internal_ports.0
}

/// Address of this entry for messages of others.
pub(crate) fn own_address(core: &Core) -> SocketAddr {
    SocketAddr::new(core.settings.ip, port(core))
}

/// Sends and receives messages until the process exits.
pub(crate) async fn run(core: Arc<Core>, socket: Async<UdpSocket>) {
    let socket = Arc::new(socket);
    let sender = Arc::new(StateSender {
        core: core.clone(),
        socket: socket.clone(),
        sequence: AtomicU64::new(0),
    });
    core.executor.spawn(send_states(sender.clone())).detach();
    let alerts = send_alerts(core.clone(), socket.clone());
    core.executor.spawn(alerts).detach();
    let permits = permits::run(core.clone(), socket.clone());
    core.executor.spawn(permits).detach();
    core.executor.spawn(discovery::run(core.clone(), sender)).detach();
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            Timer::after(STATE_INTERVAL).await;
            continue;
        };
        if let Ok(state) = PeerState::decode(&bytes[..count]) {
            handle_message(&core, from, &state);
        }
    }
}

/// Sends this entry's state.
pub(crate) struct StateSender {
    core: Arc<Core>,
    socket: Arc<Async<UdpSocket>>,
    sequence: AtomicU64,
}

impl StateSender {
    pub(crate) async fn send(&self, addresses: &[SocketAddr]) {
        let sequence = 1 + self.sequence.fetch_add(1, Relaxed);
        let bytes = own_state(&self.core, sequence).encode_to_vec();
        for address in addresses {
            // An error needs no handling: the next state replaces this one.
            let _ = self.socket.send_to(&bytes, *address).await;
        }
    }
}

async fn send_states(sender: Arc<StateSender>) {
    let core = &sender.core;
    let mut rounds = [RoundRobin::default(), RoundRobin::default()];
    for count in 0_u64.. {
        sender.send(&recipients(core, &mut rounds)).await;
        remove_silent(core);
        if count % ROUNDS_PER_LOG == 0 {
            log_peers(core, Event::PeerFound, core.peers.take_found());
        }
        Timer::after(STATE_INTERVAL).await;
    }
}

/// The next peers to send the state to: several of this data centre, and fewer
/// of the others. This entry is one of them: its own message shows how long
/// messages wait until they are read.
fn recipients(core: &Core, rounds: &mut [RoundRobin; 2]) -> Vec<SocketAddr> {
    let is_planner = core.is_planner.load(Relaxed);
    let batch = |(scope, rounds): (PeerScope, &mut RoundRobin)| {
        let fan_out_scope =
            if is_planner { PeerScope::FromPlanner } else { scope };
        rounds.next_batch(
            &core.peers.addresses_of(scope),
            fan_out_scope.fan_out(),
        )
    };
    let scopes =
        [PeerScope::SameDataCentre, PeerScope::OtherDataCentre].into_iter();
    let others = scopes.zip(rounds).flat_map(batch);
    others.chain([own_address(core)]).collect()
}

/// Sends alerts to all peers at once. In turns like the state, an alert would
/// reach the last of many peers a second later.
async fn send_alerts(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    loop {
        core.alerts.wait().await;
        // Engines that fail together are reported in one alert.
        Timer::after(ALERT_BATCH_WINDOW).await;
        let pending = core.alerts.take();
        let suspects = pending.suspects.iter();
        let report = |suspect: &Fingerprint| core.suspects.report_of(*suspect);
        let alert = PeerState {
            boot_id: core.boot_id,
            is_alert: true,
            suspects: suspects.filter_map(report).collect(),
            trials: pending.trials(),
            notices: pending.notices(&core),
            engines: pending.engines.into_values().collect(),
            ..PeerState::default()
        };
        let bytes = alert.encode_to_vec();
        for address in core.peers.addresses() {
            // An error needs no handling: the next state has the finding too.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}

fn own_state(core: &Core, sequence: u64) -> PeerState {
    let to_message = |engine: Arc<Engine>| {
        let usage = engine.own_usage(now_ms());
        let (is_suspect, slowness) = {
            let state = engine.lock();
            (state.suspicion.is_some(), state.slowness)
        };
        // A watching entry repeats the slowness, for peers that missed it.
        let reports_slowness =
            slowness > 1.0 && engine.is_watched.load(Relaxed);
        let has_content =
            usage != EngineUsage::default() || is_suspect || reports_slowness;
        has_content.then_some(EngineUse {
            engine: engine.hash,
            used_kilo_token_layers: usage.kilo_token_layers,
            first_count: usage.first_count,
            work_ms_per_s: usage.prefill_ms_per_s,
            is_suspect,
            is_cleared: false,
            slowness_percent: match reports_slowness {
                true => percent(slowness),
                false => 0,
            },
        })
    };
    let engines = core.fleet.all().into_iter().filter_map(to_message);
    let sent = core.sent_by_service().into_iter();
    let demand: BTreeMap<String, DemandRates> =
        core.capacity.demand().into_iter().collect();
    let services = sent.map(|(service, sent)| {
        let mut message = ServiceUse {
            requests: sent.requests,
            further: sent.retries,
            ..ServiceUse::default()
        };
        if let Some(rates) = demand.get(&service) {
            peer_demand::add_to_message(rates, &mut message);
        }
        ServiceUse { service, ..message }
    });
    PeerState {
        boot_id: core.boot_id,
        sequence,
        vm: core.settings.vm.clone(),
        configuration: core.configuration_version(),
        engines: engines.collect(),
        services: services.collect(),
        is_planner: core.is_planner.load(Relaxed),
        crossing_kilobytes_per_s: (core.interconnect.own_bytes_per_s() / 1e3)
            as u32,
        resigned: core.released_lease_number.load(Relaxed),
        is_stopping: core.stop.has_begun(),
        open_moves: core.open_moves(),
        data_centre: core.settings.data_centre.clone(),
        feed_port: core.feed_port.load(Relaxed).into(),
        is_alert: false,
        suspects: suspect_reports(core),
        notices: core.permits.notices(core),
        milli_cores: core.milli_cores(),
        sent_ms: now_ms(),
        ..PeerState::default()
    }
}

fn suspect_reports(core: &Core) -> Vec<SuspectRequest> {
    if core.suspects.is_empty() {
        return Vec::new();
    }
    core.suspects.reports(received_states_per_s(core))
}

/// State messages that an entry receives a second: about as many as it sends.
fn received_states_per_s(core: &Core) -> f64 {
    let per_interval = [PeerScope::SameDataCentre, PeerScope::OtherDataCentre]
        .into_iter()
        .map(|scope| {
            core.peers.addresses_of(scope).len().min(scope.fan_out())
        });
    let per_interval: usize = per_interval.sum();
    per_interval as f64 * 1e3 / BASE_INTERVAL_MS as f64
}

fn handle_message(core: &Arc<Core>, from: SocketAddr, state: &PeerState) {
    if state.boot_id == core.boot_id {
        core.peers.record_own_message(from, state);
        return;
    }
    if state.boot_id == 0 {
        return;
    }
    suspects::handle_message(core, state);
    permits::handle_message(core, from, state);
    if state.is_alert {
        apply_alert(core, state);
        return;
    }
    let sent_ms = core.peers.sent_ms(state);
    match core.peers.apply_state(from, state, sent_ms) {
        StateOutcome::Stale => return,
        StateOutcome::Known => {}
        StateOutcome::New(old) => {
            if let Some(old) = old {
                remove_usage(core, old);
            }
        }
    }
    core.record_peer_configuration(state.configuration);
    let window_ms = core.settings.bounds.retry_window_ms;
    core.peers.record_sent(state, sent_ms, window_ms);
    if state.is_planner {
        core.apply_moves(&state.open_moves);
    }
    apply_usage(core, state);
}

fn apply_usage(core: &Arc<Core>, state: &PeerState) {
    let index = core.fleet.index();
    let engines: BTreeSet<u32> =
        state.engines.iter().map(|u| u.engine).collect();
    for hash in core.peer_usage.replace(state.boot_id, engines) {
        if let Some(engine) = index.by_hash.get(&hash) {
            engine.set_peer_usage(state.boot_id, None);
        }
    }
    for reported in &state.engines {
        let Some(engine) = index.by_hash.get(&reported.engine) else {
            continue;
        };
        let usage = EngineUsage {
            kilo_token_layers: reported.used_kilo_token_layers,
            first_count: reported.first_count,
            prefill_ms_per_s: reported.work_ms_per_s,
        };
        engine.set_peer_usage(state.boot_id, Some(usage));
        apply_engine_update(core, engine, reported);
    }
}

fn apply_alert(core: &Arc<Core>, state: &PeerState) {
    let index = core.fleet.index();
    for update in &state.engines {
        let Some(engine) = index.by_hash.get(&update.engine) else { continue };
        engine.lock().alerted_ms = now_ms();
        apply_engine_update(core, engine, update);
    }
}

/// Applies an engine update of another entry. A reported failure or recovery
/// is probed rather than trusted, because the other entry may be partitioned.
/// Not every report triggers a probe: otherwise many partitioned entries would
/// make all others connect to all engines. A slowness is trusted, because the
/// engine itself reported it.
fn apply_engine_update(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
    update: &EngineUse,
) {
    let is_suspect = engine.is_suspect();
    let needs_probe = match (update.is_suspect, update.is_cleared) {
        (true, _) => !is_suspect && is_connect_due(engine),
        (false, is_cleared) => is_cleared && is_suspect,
    };
    if needs_probe {
        let task = probe::probe_after_alert(core.clone(), engine.clone());
        core.executor.spawn(task).detach();
    }
    if update.slowness_percent > 0 {
        let slowness = f64::from(update.slowness_percent) / 100.0;
        probe::record_slowness(engine, slowness, now_ms());
    }
}

fn is_connect_due(engine: &Engine) -> bool {
    let now_ms = now_ms();
    engine.lock().is_connect_due(now_ms, engine.quiet_ms(now_ms))
}

/// Removes silent peers and logs them.
fn remove_silent(core: &Core) {
    let silent = core.peers.remove_silent();
    for silent in &silent {
        remove_usage(core, silent.boot_id);
    }
    let lost = silent.iter().map(SilentPeer::name).collect();
    log_peers(core, Event::PeerLost, lost);
}

fn log_peers(core: &Core, event: Event, names: Vec<String>) {
    if names.is_empty() {
        return;
    }
    let logged: Vec<&str> =
        names.iter().take(MAX_LOGGED_PEERS).map(String::as_str).collect();
    let known = core.peers.addresses().len();
    emit(
        event,
        &[
            ("peers", &logged.join(", ")),
            ("count", &names.len()),
            ("known", &known),
        ],
    );
}

fn remove_usage(core: &Core, boot_id: u64) {
    let index = core.fleet.index();
    for hash in core.peer_usage.replace(boot_id, BTreeSet::new()) {
        if let Some(engine) = index.by_hash.get(&hash) {
            engine.set_peer_usage(boot_id, None);
        }
    }
}
