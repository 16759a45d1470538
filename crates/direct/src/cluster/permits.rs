//! Permits for backend servers that named a limit, dealt out among entries.
//!
//! The decisions are in [`chestnutreach_routing::permits`] and
//! [`chestnutreach_membership::issuer`]; here they meet the clock and the
//! other entries. While no server names a limit, nothing runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use chestnutreach_protocol::peers::{EngineNotice, PeerState};
use chestnutreach_routing::permits::REROUTABLE_WAIT_MS;
use chestnutreach_routing::{PermitDemand, PermitIssuer};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, notices},
    core::Core,
};

mod messages;
mod round;

use messages::{grant_from, request_from, request_message};
use round::Round;

/// Servers of which others are told in one message, which has a bounded size.
const MAX_REPORTED_SERVERS: usize = 128;
/// Time between looks at what is wanted and granted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between looks of a request that waits a moment for a permit.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Permits that this entry grants, and for which servers any are needed.
#[derive(Debug)]
pub(crate) struct PermitTable {
    state: Mutex<State>,
    /// Servers of which others are told.
    reported_count: AtomicUsize,
    /// Servers with a limit that holds.
    limited_count: AtomicUsize,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Short hashes of servers that said something new of themselves.
    changed: Vec<u32>,
    /// Servers of which others are told, by short hash.
    reported: BTreeMap<u32, Arc<Engine>>,
    issuers: BTreeMap<u32, PermitIssuer>,
    /// Whom other entries chose for a server, by their boot ids.
    chosen_issuers: BTreeMap<u64, BTreeMap<u32, u64>>,
    /// What is to be sent, by address.
    outbox: BTreeMap<SocketAddr, PeerState>,
}

impl Default for PermitTable {
    fn default() -> PermitTable {
        let (sender, receiver) = async_channel::bounded(1);
        PermitTable {
            state: Mutex::default(),
            reported_count: AtomicUsize::new(0),
            limited_count: AtomicUsize::new(0),
            sender,
            receiver,
        }
    }
}

impl PermitTable {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Has what is wanted be asked for now.
    pub(crate) fn wake(&self) {
        // One that is full has a signal on the way.
        let _ = self.sender.try_send(());
    }

    /// A server said something new of itself.
    pub(crate) fn record_change(&self, engine: u32) {
        self.lock().changed.push(engine);
        self.wake();
    }

    fn is_idle(&self) -> bool {
        self.limited_count.load(Relaxed) == 0
    }

    /// What others are told of what servers said.
    pub(crate) fn notices(&self, core: &Core) -> Vec<EngineNotice> {
        if self.reported_count.load(Relaxed) == 0 {
            return Vec::new();
        }
        let now_ms = now_ms();
        let mut state = self.lock();
        state.apply_changes(core, now_ms);
        let news = |engine: &Arc<Engine>| peer_notice(engine, now_ms);
        // Where there are more, each message has others of them.
        let count = state.reported.len();
        let skipped = match count > MAX_REPORTED_SERVERS {
            true => fastrand::usize(..count),
            false => 0,
        };
        let told = state.reported.values().cycle().skip(skipped);
        told.take(count.min(MAX_REPORTED_SERVERS)).filter_map(news).collect()
    }

    /// Permits that are out, by server and entry, for operators.
    pub(crate) fn status(&self) -> Vec<serde_json::Value> {
        let state = self.lock();
        let of_server = |(engine, issuer): (&u32, &PermitIssuer)| {
            let out = issuer.outstanding().map(|(entry, out)| {
                serde_json::json!({"entry": entry.to_string(), "out": out})
            });
            serde_json::json!({
                "backend_hash": format!("{engine:08x}"),
                "out": out.collect::<Vec<_>>(),
            })
        };
        state.issuers.iter().map(of_server).collect()
    }
}

/// What is told of what a server said.
pub(crate) fn peer_notice(
    engine: &Engine,
    now_ms: u64,
) -> Option<EngineNotice> {
    let news = engine.notices.peer_notice(now_ms)?;
    Some(EngineNotice { engine: engine.hash, ..news })
}

/// Waits a moment for a permit for a request that has another server as
/// well; whether there is one.
pub(crate) async fn await_permit(
    core: &Core,
    engine: &Engine,
    id: &str,
    want: PermitDemand,
) -> bool {
    let asked_ms = now_ms();
    let has_permit = engine.notices.request_permit(want, asked_ms)
        && wait_for_permit(core, engine, want, asked_ms).await;
    log_permit_wait(engine, id, asked_ms, has_permit);
    has_permit
}

async fn wait_for_permit(
    core: &Core,
    engine: &Engine,
    want: PermitDemand,
    asked_ms: u64,
) -> bool {
    let notices = &engine.notices;
    core.permits.wake();
    while now_ms() < asked_ms + REROUTABLE_WAIT_MS {
        Timer::after(PERMIT_POLL_INTERVAL).await;
        if notices.may_send(now_ms()) {
            return true;
        }
        if notices.is_denied(want.request) {
            break;
        }
    }
    false
}

fn log_permit_wait(
    engine: &Engine,
    id: &str,
    asked_ms: u64,
    has_permit: bool,
) {
    let Some(limit) = engine.notices.limit() else { return };
    let now_ms = now_ms();
    emit(
        Event::PermitSought,
        &[
            ("request", &id),
            ("backend", &engine.id),
            ("limit_per_s", &limit.per_s),
            ("named_age_ms", &now_ms.saturating_sub(limit.received_ms)),
            ("issuer", &engine.notices.issuer()),
            ("waited_ms", &now_ms.saturating_sub(asked_ms)),
            ("result", &if has_permit { "permit" } else { "none" }),
        ],
    );
}

/// Asks for permits and grants them, until the process ends.
pub(crate) async fn run(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    loop {
        wait(&core.permits).await;
        poll(&core);
        let outbox = std::mem::take(&mut core.permits.lock().outbox);
        for (address, state) in outbox {
            let state =
                PeerState { boot_id: core.boot_id, is_alert: true, ..state };
            // One that is lost is made up for by the next.
            let _ = socket.send_to(&state.encode_to_vec(), address).await;
        }
    }
}

async fn wait(permits: &PermitTable) {
    let woken = async {
        // The sender lives as long as this does.
        let _ = permits.receiver.recv().await;
    };
    if permits.is_idle() {
        return woken.await;
    }
    let next = async {
        Timer::after(POLL_INTERVAL).await;
    };
    woken.or(next).await;
}

/// Asks for what is wanted and grants what there is.
fn poll(core: &Core) {
    let round = Round::new(core);
    let mut state = core.permits.lock();
    state.apply_changes(core, round.now_ms);
    for engine in state.limited() {
        let issuer = round.choose_issuer(&engine);
        if issuer == core.boot_id {
            round.issue(&mut state, &engine, None);
        }
        let Some(ask) = engine.notices.next_permit_request(round.now_ms)
        else {
            continue;
        };
        if issuer == core.boot_id {
            round.apply_request(&mut state, &engine, core.boot_id, ask);
        } else if let Some(address) = core.peers.address_of(issuer) {
            let out = state.outbox.entry(address).or_default();
            out.permit_asks.push(request_message(engine.hash, ask));
        }
    }
}

/// Takes what another entry tells of servers, and of permits.
pub(crate) fn handle_message(core: &Core, from: SocketAddr, told: &PeerState) {
    let is_silent = told.notices.is_empty()
        && told.permit_asks.is_empty()
        && told.permit_grants.is_empty();
    if is_silent && core.permits.is_idle() {
        return;
    }
    let listed = core.fleet.index();
    for notice in &told.notices {
        if let Some(engine) = listed.by_hash.get(&notice.engine) {
            notices::apply_peer_notice(core, engine, notice);
        }
    }
    let round = Round::new(core);
    for grant in &told.permit_grants {
        if let Some(engine) = listed.by_hash.get(&grant.engine) {
            let of = grant_from(grant);
            let (boot_id, pause_ms) = (told.boot_id, round.pause_ms);
            engine.notices.apply_grant(boot_id, of, pause_ms, round.now_ms);
        }
    }
    let mut state = core.permits.lock();
    if !told.is_alert {
        state.record_choices(told);
    }
    for ask in &told.permit_asks {
        if let Some(engine) = listed.by_hash.get(&ask.engine) {
            let of = request_from(ask);
            round.handle_request(&mut state, engine, (from, told.boot_id), of);
        }
    }
    if !state.outbox.is_empty() {
        core.permits.wake();
    }
}

impl State {
    /// Takes servers that said something new, and forgets those of which
    /// nothing is told any more.
    fn apply_changes(&mut self, core: &Core, now_ms: u64) {
        let listed = core.fleet.index();
        for hash in std::mem::take(&mut self.changed) {
            if let Some(engine) = listed.by_hash.get(&hash) {
                self.reported.insert(hash, engine.clone());
            }
        }
        self.reported.retain(|hash, engine| {
            listed.by_hash.contains_key(hash)
                && engine.notices.peer_notice(now_ms).is_some()
        });
        let limited: BTreeSet<u32> =
            self.limited().iter().map(|engine| engine.hash).collect();
        self.issuers.retain(|hash, _| limited.contains(hash));
        if limited.is_empty() {
            self.chosen_issuers.clear();
        }
        core.permits.reported_count.store(self.reported.len(), Relaxed);
        core.permits.limited_count.store(limited.len(), Relaxed);
    }

    /// Servers with a limit that holds.
    fn limited(&self) -> Vec<Arc<Engine>> {
        let told = self.reported.values();
        told.filter(|e| e.notices.limit().is_some()).cloned().collect()
    }

    /// Takes whom another entry chose.
    fn record_choices(&mut self, told: &PeerState) {
        let choice = |notice: &EngineNotice| (notice.engine, notice.issuer);
        let is_chosen = |notice: &&EngineNotice| {
            notice.limit_per_s > 0.0 && notice.issuer != 0
        };
        let chosen = told.notices.iter().filter(is_chosen);
        let choices: BTreeMap<u32, u64> = chosen.map(choice).collect();
        match choices.is_empty() {
            true => self.chosen_issuers.remove(&told.boot_id),
            false => self.chosen_issuers.insert(told.boot_id, choices),
        };
    }

    fn issuer_for(
        &mut self,
        engine: &Engine,
        now_ms: u64,
    ) -> &mut PermitIssuer {
        let new = || PermitIssuer::new(now_ms, &mut fastrand::Rng::new());
        self.issuers.entry(engine.hash).or_insert_with(new)
    }

    fn choices_for(&self, engine: u32) -> BTreeMap<u64, u64> {
        let choice = |(entry, chosen): (&u64, &BTreeMap<u32, u64>)| {
            Some((*entry, *chosen.get(&engine)?))
        };
        self.chosen_issuers.iter().filter_map(choice).collect()
    }
}
