//! Exchange of state between entries.
//!
//! Each entry sends its state to the others several times a second, in one
//! datagram each. Lost datagrams do not matter, because the next one has the
//! full state again. From these messages an entry learns the load on engines
//! beyond its own requests, and how many entries share the retry limit.
//! Entries find each other through a table of the store, and afterwards also
//! through the messages that they receive.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_adapter::store::{StoreClient, StoreError};
use chestnutreach_membership::gossip::{
    BASE_INTERVAL_MS, PeerScope, RoundRobin,
};
use chestnutreach_protocol::peers::{
    EngineUse, PeerState, ServiceUse, SuspectRequest,
};
use chestnutreach_routing::{DemandRates, Fingerprint};
use chestnutreach_site::tables::ENTRIES;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    clock::now_ms,
    cluster::{
        alerts::percent,
        engine::{Engine, EngineUsage},
        peer_demand,
        peer_table::{SilentPeer, StateOutcome},
        permits, probe, suspects,
    },
    core::Core,
};

const STATE_INTERVAL: Duration = Duration::from_millis(BASE_INTERVAL_MS);
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before the table is read again after a failure.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Limit on the random delay before an entry lists itself again.
const MAX_RELISTING_DELAY: Duration = Duration::from_millis(1_000);
/// Long, because entries learn of each other from their first messages.
const TABLE_READ_INTERVAL: Duration = Duration::from_secs(60);
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

fn port(core: &Core) -> u16 {
    core.settings.internal_ports.0
}

/// Sends and receives messages until the process exits.
pub(crate) async fn run(core: Arc<Core>, socket: Async<UdpSocket>) {
    let socket = Arc::new(socket);
    let states = send_states(core.clone(), socket.clone());
    core.executor.spawn(states).detach();
    let alerts = send_alerts(core.clone(), socket.clone());
    core.executor.spawn(alerts).detach();
    let permits = permits::run(core.clone(), socket.clone());
    core.executor.spawn(permits).detach();
    core.executor.spawn(discover(core.clone())).detach();
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

async fn send_states(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    let mut sequence = 0;
    let mut rounds = [RoundRobin::default(), RoundRobin::default()];
    for count in 0_u64.. {
        sequence += 1;
        let bytes = own_state(&core, sequence).encode_to_vec();
        for address in recipients(&core, &mut rounds) {
            // An error needs no handling: the next state replaces this one.
            let _ = socket.send_to(&bytes, address).await;
        }
        remove_silent(&core);
        if count % ROUNDS_PER_LOG == 0 {
            log_peers(&core, Event::PeerFound, core.peers.take_found());
        }
        Timer::after(STATE_INTERVAL).await;
    }
}

/// The next peers to send the state to: several of this data centre, and fewer
/// of the others.
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
    scopes.zip(rounds).flat_map(batch).collect()
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
        configuration: core.configuration().map_or(0, |c| c.version),
        engines: engines.collect(),
        services: services.collect(),
        is_planner: core.is_planner.load(Relaxed),
        crossing_kilobytes_per_s: (core.interconnect.own_bytes_per_s() / 1e3)
            as u32,
        resigned: core.released_lease_number.load(Relaxed),
        is_stopping: core.stopping_for_ms().is_some(),
        open_moves: core.open_moves(),
        data_centre: core.settings.data_centre.clone(),
        feed_port: core.feed_port.load(Relaxed).into(),
        is_alert: false,
        suspects: suspect_reports(core),
        notices: core.permits.notices(core),
        milli_cores: core.milli_cores(),
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
    if state.boot_id == core.boot_id || state.boot_id == 0 {
        return;
    }
    suspects::handle_message(core, state);
    permits::handle_message(core, from, state);
    if state.is_alert {
        apply_alert(core, state);
        return;
    }
    match core.peers.apply_state(from, state) {
        StateOutcome::Stale => return,
        StateOutcome::Known => {}
        StateOutcome::New(old) => {
            if let Some(old) = old {
                remove_usage(core, old);
            }
        }
    }
    core.peers.record_sent(state, core.settings.bounds.retry_window_ms);
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

/// Adds this entry to the table of entries, and finds the others there.
///
/// Of two entries that start together, one reads the table after the other
/// has written its row, and sends a message to that entry. So one read after
/// the own row is written suffices; later reads only cover failures.
async fn discover(core: Arc<Core>) {
    let store = core.store.clone();
    let own = SocketAddr::new(core.settings.ip, port(&core));
    let mut is_listed = false;
    let history_changes = core.history_subscribers.subscribe();
    loop {
        let pause =
            match discover_once(&core, &store, own, &mut is_listed).await {
                Ok(Discovery::Read) => TABLE_READ_INTERVAL,
                Ok(Discovery::Written) => Duration::ZERO,
                Err(_) => READ_RETRY_PAUSE,
            };
        let history_changed = async {
            history_changes.notified().await;
            true
        };
        let pause_ends = async {
            Timer::after(pause).await;
            false
        };
        if history_changed.or(pause_ends).await {
            // The store may have lost the row.
            is_listed = false;
            Timer::after(relisting_delay()).await;
        }
    }
}

/// Spreads the calls of all entries after the store has lost changes.
fn relisting_delay() -> Duration {
    MAX_RELISTING_DELAY.mul_f64(fastrand::f64())
}

/// Result of reading the table of entries.
enum Discovery {
    /// The table already had this entry's row.
    Read,
    /// This entry's row was missing, and has been written.
    Written,
}

/// Reads the table, and writes this entry's row if that is missing.
async fn discover_once(
    core: &Core,
    store: &StoreClient,
    own: SocketAddr,
    is_listed: &mut bool,
) -> Result<Discovery, StoreError> {
    let rows = store.read_table(ENTRIES, STORE_TIMEOUT).await?;
    for row in &rows.rows {
        let address = std::str::from_utf8(&row.value)
            .ok()
            .and_then(|text| text.parse::<SocketAddr>().ok());
        *is_listed |= row.key == core.settings.vm && address == Some(own);
        if let Some(address) = address.filter(|a| *a != own) {
            core.peers.add_address(address);
        }
    }
    if *is_listed {
        return Ok(Discovery::Read);
    }
    let value = own.to_string();
    let vm = &core.settings.vm;
    store
        .write_row(ENTRIES, vm, None, value.as_bytes(), STORE_TIMEOUT)
        .await?;
    *is_listed = true;
    Ok(Discovery::Written)
}
