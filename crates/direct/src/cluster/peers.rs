//! What entries tell each other.
//!
//! Each entry sends its state to the others a few times a second, one
//! datagram each. Lost ones do not matter: the next one says the same. From
//! them an entry knows how full engines are beyond its own requests, and
//! between how many entries the bound on further arrivals is shared. Entries
//! find each other in a table of the store, and from then on by who sends.

use std::{
    collections::BTreeSet,
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
use chestnutreach_routing::Fingerprint;
use chestnutreach_site::tables::ENTRIES;
use chestnutreach_telemetry::{Event, emit};
use prost::Message as _;

use crate::{
    clock::now_ms,
    cluster::{
        alerts::percent,
        engine::{Engine, EngineUsage},
        peer_table::{SilentPeer, StateOutcome},
        permits, probe, suspects,
    },
    core::Core,
};

/// Time between messages.
const STATE_INTERVAL: Duration = Duration::from_millis(BASE_INTERVAL_MS);
/// Time for a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time before the table is read again after a failure.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time between later looks at the table: entries hear each other from their
/// first messages on.
const TABLE_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Time within which alerts are gathered.
const ALERT_BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Most names of entries in a line of the logs.
const MAX_LOGGED_PEERS: usize = 24;
/// Longest datagram taken.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Opens the socket for messages between entries.
pub(crate) fn open(core: &Core) -> std::io::Result<Async<UdpSocket>> {
    Async::<UdpSocket>::bind((core.settings.ip, port(core)))
}

fn port(core: &Core) -> u16 {
    core.settings.internal_ports.0
}

/// Tells the others and hears them, until the process ends.
pub(crate) async fn run(core: Arc<Core>, socket: Async<UdpSocket>) {
    let socket = Arc::new(socket);
    let told = send_states(core.clone(), socket.clone());
    core.executor.spawn(told).detach();
    let alerted = send_alerts(core.clone(), socket.clone());
    core.executor.spawn(alerted).detach();
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
    loop {
        sequence += 1;
        let bytes = own_state(&core, sequence).encode_to_vec();
        for address in recipients(&core, &mut rounds) {
            // A datagram that is lost is made up for by the next one.
            let _ = socket.send_to(&bytes, address).await;
        }
        remove_silent(&core);
        Timer::after(STATE_INTERVAL).await;
    }
}

/// Who is told now: some of this data centre, fewer of the others.
fn recipients(core: &Core, rounds: &mut [RoundRobin; 2]) -> Vec<SocketAddr> {
    let is_planner = core.is_planner.load(Relaxed);
    let turn = |(whom, rounds): (PeerScope, &mut RoundRobin)| {
        let told = if is_planner { PeerScope::FromPlanner } else { whom };
        rounds.next_batch(&core.peers.addresses_of(whom), told.fan_out())
    };
    let whom =
        [PeerScope::SameDataCentre, PeerScope::OtherDataCentre].into_iter();
    whom.zip(rounds).flat_map(turn).collect()
}

/// Tells all others at once what was just found of engines: by turns the
/// last of many would hear of it a second later.
async fn send_alerts(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    loop {
        core.alerts.wait().await;
        // Engines that were lost together are told together.
        Timer::after(ALERT_BATCH_WINDOW).await;
        let pending = core.alerts.take();
        let suspects = pending.suspects.iter();
        let news_of = |of: &Fingerprint| core.suspects.report_of(*of);
        let alert = PeerState {
            boot_id: core.boot_id,
            is_alert: true,
            suspects: suspects.filter_map(news_of).collect(),
            trials: pending.trials(),
            notices: pending.notices(&core),
            engines: pending.engines.into_values().collect(),
            ..PeerState::default()
        };
        let bytes = alert.encode_to_vec();
        for address in core.peers.addresses() {
            // One that is lost is made up for by the next state.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}

fn own_state(core: &Core, sequence: u64) -> PeerState {
    let engine_use = |engine: Arc<Engine>| {
        let used = engine.own_usage(now_ms());
        let (is_suspect, slowness) = {
            let state = engine.lock();
            (state.suspicion.is_some(), state.slowness)
        };
        // Who watches it repeats how slow it is, for those who missed it.
        let is_told_slow = slowness > 1.0 && engine.is_watched.load(Relaxed);
        let is_told =
            used != EngineUsage::default() || is_suspect || is_told_slow;
        is_told.then_some(EngineUse {
            engine: engine.hash,
            used_kilo_token_layers: used.kilo_token_layers,
            first_count: used.first_count,
            work_ms_per_s: used.prefill_ms_per_s,
            is_suspect,
            is_cleared: false,
            slowness_percent: match is_told_slow {
                true => percent(slowness),
                false => 0,
            },
        })
    };
    let engines = core.fleet.all().into_iter().filter_map(engine_use);
    let sent = core.sent_by_service().into_iter();
    let services = sent.map(|(service, sent)| ServiceUse {
        service,
        requests: sent.requests,
        further: sent.retries,
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
        ..PeerState::default()
    }
}

fn suspect_reports(core: &Core) -> Vec<SuspectRequest> {
    if core.suspects.is_empty() {
        return Vec::new();
    }
    core.suspects.reports(received_states_per_s(core))
}

/// States that an entry hears in a second, about as many as it sends.
fn received_states_per_s(core: &Core) -> f64 {
    let at_once = [PeerScope::SameDataCentre, PeerScope::OtherDataCentre]
        .into_iter()
        .map(|whom| core.peers.addresses_of(whom).len().min(whom.fan_out()));
    let at_once: usize = at_once.sum();
    at_once as f64 * 1e3 / BASE_INTERVAL_MS as f64
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
    let listed = core.fleet.index();
    let told: BTreeSet<u32> = state.engines.iter().map(|u| u.engine).collect();
    for hash in core.peer_usage.replace(state.boot_id, told) {
        if let Some(engine) = listed.by_hash.get(&hash) {
            engine.set_peer_usage(state.boot_id, None);
        }
    }
    for used in &state.engines {
        let Some(engine) = listed.by_hash.get(&used.engine) else { continue };
        let told_use = EngineUsage {
            kilo_token_layers: used.used_kilo_token_layers,
            first_count: used.first_count,
            prefill_ms_per_s: used.work_ms_per_s,
        };
        engine.set_peer_usage(state.boot_id, Some(told_use));
        apply_engine_update(core, engine, used);
    }
}

fn apply_alert(core: &Arc<Core>, state: &PeerState) {
    let listed = core.fleet.index();
    for told in &state.engines {
        let Some(engine) = listed.by_hash.get(&told.engine) else { continue };
        engine.lock().alerted_ms = now_ms();
        apply_engine_update(core, engine, told);
    }
}

/// Takes what another entry found of an engine. That it is dead or back is
/// looked at, not believed: the other one may itself be cut off. And not at
/// each message: many that are cut off would have all others dial all
/// engines. How slow it is the engine has said itself.
fn apply_engine_update(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
    told: &EngineUse,
) {
    let is_suspect = engine.is_suspect();
    let is_news = match (told.is_suspect, told.is_cleared) {
        (true, _) => !is_suspect && is_connect_due(engine),
        (false, is_cleared) => is_cleared && is_suspect,
    };
    if is_news {
        let task = probe::probe_after_alert(core.clone(), engine.clone());
        core.executor.spawn(task).detach();
    }
    if told.slowness_percent > 0 {
        let slowness = f64::from(told.slowness_percent) / 100.0;
        probe::record_slowness(engine, slowness, now_ms());
    }
}

fn is_connect_due(engine: &Engine) -> bool {
    let now_ms = now_ms();
    engine.lock().is_connect_due(now_ms, engine.quiet_ms(now_ms))
}

/// Forgets those that are silent, and sums up who came and went since.
fn remove_silent(core: &Core) {
    let silent = core.peers.remove_silent();
    for silent in &silent {
        remove_usage(core, silent.boot_id);
    }
    let lost = silent.iter().map(SilentPeer::name).collect();
    log_peers(core, Event::PeerLost, lost);
    log_peers(core, Event::PeerFound, core.peers.take_found());
}

fn log_peers(core: &Core, event: Event, names: Vec<String>) {
    if names.is_empty() {
        return;
    }
    let told: Vec<&str> =
        names.iter().take(MAX_LOGGED_PEERS).map(String::as_str).collect();
    let known = core.peers.addresses().len();
    emit(
        event,
        &[
            ("peers", &told.join(", ")),
            ("count", &names.len()),
            ("known", &known),
        ],
    );
}

fn remove_usage(core: &Core, boot_id: u64) {
    let listed = core.fleet.index();
    for hash in core.peer_usage.replace(boot_id, BTreeSet::new()) {
        if let Some(engine) = listed.by_hash.get(&hash) {
            engine.set_peer_usage(boot_id, None);
        }
    }
}

/// Lists this entry and looks for others.
///
/// Of two entries that start together, one reads the table after the other
/// has written its row, and tells it; so one read after the own row is there
/// is enough, and the later ones only make up for what went wrong.
async fn discover(core: Arc<Core>) {
    let store = StoreClient::new(core.settings.store_address);
    let own = SocketAddr::new(core.settings.ip, port(&core));
    let mut is_listed = false;
    loop {
        let pause =
            match discover_once(&core, &store, own, &mut is_listed).await {
                Ok(Discovery::Read) => TABLE_READ_INTERVAL,
                Ok(Discovery::Written) => Duration::ZERO,
                Err(_) => READ_RETRY_PAUSE,
            };
        Timer::after(pause).await;
    }
}

/// What a look at the table came to.
enum Discovery {
    /// It was read while the own row was there.
    Read,
    /// The own row was not there before.
    Written,
}

/// Reads the table, and writes the own row where it is not there yet.
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
            core.peers.add(address);
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
