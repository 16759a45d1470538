//! What entries tell each other.
//!
//! Each entry sends its state to the others a few times a second, one
//! datagram each. Lost ones do not matter: the next one says the same. From
//! them an entry knows how full engines are beyond its own requests, and
//! between how many entries the bound on further arrivals is shared. Entries
//! find each other in a table of the store, and from then on by who sends.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_adapter::store::StoreClient;
use chestnutreach_protocol::peers::{
    EngineUse, OpenOrder, PeerState, ServiceUse,
};
use chestnutreach_routing::Sent;
use chestnutreach_site::tables::ENTRIES;
use chestnutreach_telemetry::{Event, emit};
use prost::Message as _;

use crate::{
    clock::now_ms,
    core::Core,
    engine::{Engine, Use},
    probe,
};

/// Time between messages to all others.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Most entries told at once; where there are more, each hears the others
/// more rarely, so that the cost of an entry does not grow with their number.
const TOLD_AT_ONCE: usize = 24;
/// Silence after which another entry no longer counts, where all are told
/// at once.
const SILENT_MS: u64 = 2_500;
/// Silence of the planner after which others look at its lease.
const PLANNER_SILENT_MS: u64 = 700;
/// Time for a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// When the table is read, after the start.
const READ_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(1_500), Duration::from_secs(4)];
/// Time between later looks at the table.
const READ_EVERY: Duration = Duration::from_secs(20);
/// Longest datagram taken.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Entries assumed before others were heard.
const ASSUMED_ENTRIES: usize = 8;

/// The other entries.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// What processes told, by boot id. It outlives them for a window: what
    /// they sent counts that long.
    told: Mutex<BTreeMap<u64, Told>>,
    /// When another entry last said that it holds the planner's lease.
    planner_ms: AtomicU64,
    /// Highest number of a lease whose holder said that it gave it up.
    resigned: AtomicU64,
    /// Orders that the last planner heard told of, and when.
    orders: Mutex<(u64, Vec<OpenOrder>)>,
}

#[derive(Debug, Default)]
struct Peer {
    boot_id: u64,
    vm: String,
    sequence: u64,
    heard_ms: u64,
    crossing_bytes_per_s: f64,
}

/// What a process told that it sent to services.
#[derive(Debug, Default)]
struct Told {
    heard_ms: u64,
    /// Requests and further arrivals by service.
    sent: BTreeMap<String, Sent>,
}

impl PeerTable {
    /// Entries that share what is shared, with this one.
    pub(crate) fn entry_count(&self) -> usize {
        let peers = self.lock();
        let live = peers.values().filter(|p| p.boot_id != 0).count();
        if peers.is_empty() {
            return ASSUMED_ENTRIES;
        }
        live.max(peers.len()) + 1
    }

    /// What others sent to a service within the window, as they told.
    /// Empty where an entry that is listed has not told.
    pub(crate) fn others_sent(&self, service: &str) -> Vec<Sent> {
        if self.lock().values().any(|peer| peer.boot_id == 0) {
            return Vec::new();
        }
        let told = self.told.lock().expect("no holder panics");
        let sent = |told: &Told| told.sent.get(service).copied();
        told.values().map(|t| sent(t).unwrap_or_default()).collect()
    }

    /// Whether another entry plans, as far as is known.
    pub(crate) fn has_planner(&self, now_ms: u64) -> bool {
        let heard_ms = self.planner_ms.load(Relaxed);
        let silent_ms = PLANNER_SILENT_MS * self.rounds();
        heard_ms > 0 && now_ms.saturating_sub(heard_ms) < silent_ms
    }

    /// What requests of all other entries send between data centres.
    pub(crate) fn crossing_bytes_per_s(&self) -> f64 {
        self.lock().values().map(|peer| peer.crossing_bytes_per_s).sum()
    }

    /// Highest number of a lease whose holder said that it gave it up.
    pub(crate) fn resigned(&self) -> u64 {
        self.resigned.load(Relaxed)
    }

    /// Orders to engines of a service that the last planner told of, with
    /// the time when each was given.
    pub(crate) fn told_orders(&self, service: &str) -> Vec<(u64, OpenOrder)> {
        let orders = self.orders.lock().expect("no holder panics");
        let given_ms =
            |order: &OpenOrder| orders.0.saturating_sub(order.age_ms.into());
        let of_service = orders.1.iter().filter(|o| o.service == service);
        of_service.map(|o| (given_ms(o), o.clone())).collect()
    }

    fn add(&self, address: SocketAddr) {
        let unheard = Peer { heard_ms: now_ms(), ..Peer::default() };
        self.lock().entry(address).or_insert(unheard);
    }

    /// Rounds of messages in which all others are told.
    fn rounds(&self) -> u64 {
        self.lock().len().div_ceil(TOLD_AT_ONCE).max(1) as u64
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().expect("no holder panics")
    }
}

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
    let told = tell(core.clone(), socket.clone());
    core.executor.spawn(told).detach();
    core.executor.spawn(find(core.clone())).detach();
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else {
            Timer::after(TELL_EVERY).await;
            continue;
        };
        if let Ok(state) = PeerState::decode(&bytes[..count]) {
            take(&core, from, &state);
        }
    }
}

async fn tell(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    let mut sequence = 0;
    let mut next = 0;
    loop {
        sequence += 1;
        let bytes = own_state(&core, sequence).encode_to_vec();
        let addresses = core.peers.addresses();
        for at in 0..addresses.len().min(TOLD_AT_ONCE) {
            let address = addresses[(next + at) % addresses.len()];
            // A datagram that is lost is made up for by the next one.
            let _ = socket.send_to(&bytes, address).await;
        }
        next = next.wrapping_add(TOLD_AT_ONCE) % addresses.len().max(1);
        forget_silent(&core);
        Timer::after(TELL_EVERY).await;
    }
}

fn own_state(core: &Core, sequence: u64) -> PeerState {
    let engine_use = |engine: Arc<crate::engine::Engine>| {
        let used = engine.own_use(now_ms());
        let is_suspect = engine.lock().suspicion.is_some();
        (used != Use::default() || is_suspect).then_some(EngineUse {
            engine: engine.hash,
            used_kilo_token_layers: used.kilo_token_layers,
            first_count: used.first_count,
            work_ms_per_s: used.work_ms_per_s,
            is_suspect,
        })
    };
    let engines = core.fleet.all().into_iter().filter_map(engine_use);
    let sent = core.sent_to_services().into_iter();
    let services = sent.map(|(service, sent)| ServiceUse {
        service,
        requests: sent.requests,
        further: sent.further,
    });
    PeerState {
        boot_id: core.boot_id,
        sequence,
        vm: core.settings.vm.clone(),
        configuration: core.configuration().map_or(0, |c| c.version),
        engines: engines.collect(),
        services: services.collect(),
        is_planner: core.is_planner.load(Relaxed),
        crossing_kilobytes_per_s: (core.crossing.per_s(now_ms()) / 1e3) as u32,
        resigned: core.resigned.load(Relaxed),
        is_stopping: core.stopping_for_ms().is_some(),
        open_orders: core.open_orders(),
    }
}

fn take(core: &Arc<Core>, from: SocketAddr, state: &PeerState) {
    if state.boot_id == core.boot_id || state.boot_id == 0 {
        return;
    }
    let old = {
        let mut peers = core.peers.lock();
        let peer = peers.entry(from).or_default();
        let is_new = peer.boot_id != state.boot_id;
        if !is_new && state.sequence <= peer.sequence {
            return;
        }
        let old = (is_new && peer.boot_id != 0).then_some(peer.boot_id);
        let was_known = !is_new;
        peer.boot_id = state.boot_id;
        peer.vm.clone_from(&state.vm);
        peer.sequence = state.sequence;
        peer.heard_ms = now_ms();
        peer.crossing_bytes_per_s =
            f64::from(state.crossing_kilobytes_per_s) * 1e3;
        if !was_known {
            emit(
                Event::PeerFound,
                &[
                    ("peer_vm", &state.vm),
                    ("peer_address", &from),
                    ("peer_boot_id", &state.boot_id),
                ],
            );
        }
        old
    };
    if let Some(old) = old {
        forget_use(core, old);
    }
    take_sent(core, state);
    core.peers.resigned.fetch_max(state.resigned, Relaxed);
    if state.is_planner {
        core.peers.planner_ms.fetch_max(now_ms(), Relaxed);
        let mut orders = core.peers.orders.lock().expect("no holder panics");
        *orders = (now_ms(), state.open_orders.clone());
    }
    take_use(core, state);
}

fn take_sent(core: &Core, state: &PeerState) {
    let now_ms = now_ms();
    let window_ms = core.settings.bounds.retry_window_ms;
    let sent = state.services.iter();
    let sent = sent.map(|s| {
        let sent = Sent { requests: s.requests, further: s.further };
        (s.service.clone(), sent)
    });
    let new = Told { heard_ms: now_ms, sent: sent.collect() };
    let mut told = core.peers.told.lock().expect("no holder panics");
    told.insert(state.boot_id, new);
    told.retain(|_, t| now_ms.saturating_sub(t.heard_ms) < window_ms);
}

fn take_use(core: &Arc<Core>, state: &PeerState) {
    let told: BTreeMap<u32, &EngineUse> =
        state.engines.iter().map(|used| (used.engine, used)).collect();
    for engine in core.fleet.all() {
        let used = told.get(&engine.hash);
        let told_use = used.map(|u| Use {
            kilo_token_layers: u.used_kilo_token_layers,
            first_count: u.first_count,
            work_ms_per_s: u.work_ms_per_s,
        });
        engine.set_other(state.boot_id, told_use);
        // What another one found is looked at, not believed: it may itself
        // be cut off. And not at each message: many that are cut off would
        // have all others dial all engines.
        let is_named = used.is_some_and(|u| u.is_suspect);
        if is_named && !engine.is_suspect() && is_dial_due(&engine) {
            let task = probe::probe(core.clone(), engine);
            core.executor.spawn(task).detach();
        }
    }
}

fn is_dial_due(engine: &Engine) -> bool {
    let now_ms = now_ms();
    engine.lock().is_dial_due(now_ms, engine.quiet_ms(now_ms))
}

fn forget_silent(core: &Core) {
    let now_ms = now_ms();
    let limit_ms = SILENT_MS * core.peers.rounds();
    let mut silent = Vec::new();
    core.peers.lock().retain(|_, peer| {
        let silent_ms = now_ms.saturating_sub(peer.heard_ms);
        let is_silent = silent_ms > limit_ms;
        if is_silent && peer.boot_id != 0 {
            silent.push((peer.vm.clone(), peer.boot_id, silent_ms));
        }
        !is_silent
    });
    for (vm, boot_id, silent_ms) in silent {
        forget_use(core, boot_id);
        emit(
            Event::PeerLost,
            &[
                ("peer_vm", &vm),
                ("peer_boot_id", &boot_id),
                ("silent_ms", &silent_ms),
            ],
        );
    }
}

fn forget_use(core: &Core, boot_id: u64) {
    for engine in core.fleet.all() {
        engine.set_other(boot_id, None);
    }
}

/// Lists this entry and looks for others.
async fn find(core: Arc<Core>) {
    let store = StoreClient::new(core.settings.store_address);
    let own = SocketAddr::new(core.settings.ip, port(&core));
    let mut is_listed = false;
    for round in 0.. {
        Timer::after(READ_AFTER.get(round).copied().unwrap_or(READ_EVERY))
            .await;
        if !is_listed {
            let value = own.to_string();
            let vm = &core.settings.vm;
            let write = store.write_row(
                ENTRIES,
                vm,
                None,
                value.as_bytes(),
                STORE_TIMEOUT,
            );
            is_listed = write.await.is_ok();
        }
        let Ok(rows) = store.read_table(ENTRIES, STORE_TIMEOUT).await else {
            continue;
        };
        for row in &rows.rows {
            let address = std::str::from_utf8(&row.value)
                .ok()
                .and_then(|text| text.parse::<SocketAddr>().ok());
            if let Some(address) = address.filter(|a| *a != own) {
                core.peers.add(address);
            }
        }
    }
}
