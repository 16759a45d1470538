//! Distribution of permits among entries, for backend servers that announced
//! a rate limit.
//!
//! [`chestnutreach_routing::permits`] and
//! [`chestnutreach_membership::issuer`] make the decisions. This module
//! provides the timers and the messages between entries. While no limit is in
//! force, its task sleeps.

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

/// Limits the size of a message.
const MAX_REPORTED_SERVERS: usize = 128;
/// Time between rounds of requesting and granting permits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between checks of a request that waits briefly for a permit.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Permits that this entry grants, and the servers that require permits.
#[derive(Debug)]
pub(crate) struct PermitTable {
    state: Mutex<State>,
    /// Servers with a notice to report.
    reported_count: AtomicUsize,
    /// Servers with a limit in force.
    limited_count: AtomicUsize,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Short hashes of servers whose notice has changed.
    changed: Vec<u32>,
    /// Servers with a notice to report, by short hash.
    reported: BTreeMap<u32, Arc<Engine>>,
    issuers: BTreeMap<u32, PermitIssuer>,
    /// Issuers that other entries chose, by the entry's boot id and the
    /// server's short hash.
    chosen_issuers: BTreeMap<u64, BTreeMap<u32, u64>>,
    /// Messages to send, by address.
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

    /// Starts a round now.
    pub(crate) fn wake(&self) {
        // If the channel is full, a signal is already pending.
        let _ = self.sender.try_send(());
    }

    /// Records that the notice of a server has changed.
    pub(crate) fn record_change(&self, engine: u32) {
        self.lock().changed.push(engine);
        self.wake();
    }

    fn is_idle(&self) -> bool {
        self.limited_count.load(Relaxed) == 0
    }

    /// Notices for the next state message.
    pub(crate) fn notices(&self, core: &Core) -> Vec<EngineNotice> {
        if self.reported_count.load(Relaxed) == 0 {
            return Vec::new();
        }
        let now_ms = now_ms();
        let mut state = self.lock();
        state.apply_changes(core, now_ms);
        let notice = |engine: &Arc<Engine>| peer_notice(engine, now_ms);
        // If there are too many, each message has a random selection.
        let count = state.reported.len();
        let skipped = match count > MAX_REPORTED_SERVERS {
            true => fastrand::usize(..count),
            false => 0,
        };
        let selected = state.reported.values().cycle().skip(skipped);
        selected
            .take(count.min(MAX_REPORTED_SERVERS))
            .filter_map(notice)
            .collect()
    }

    /// Outstanding permits by server and entry, for operators.
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

/// Notice of a server as a message to other entries.
pub(crate) fn peer_notice(
    engine: &Engine,
    now_ms: u64,
) -> Option<EngineNotice> {
    let notice = engine.notices.peer_notice(now_ms)?;
    Some(EngineNotice { engine: engine.hash, ..notice })
}

/// Waits briefly for a permit for a request that another server could take
/// instead; returns whether a permit is available.
pub(crate) async fn await_permit(
    core: &Core,
    engine: &Engine,
    id: &str,
    demand: PermitDemand,
) -> bool {
    let started_ms = now_ms();
    let has_permit = engine.notices.request_permit(demand, started_ms)
        && wait_for_permit(core, engine, demand, started_ms).await;
    log_permit_wait(engine, id, started_ms, has_permit);
    has_permit
}

async fn wait_for_permit(
    core: &Core,
    engine: &Engine,
    demand: PermitDemand,
    started_ms: u64,
) -> bool {
    let notices = &engine.notices;
    core.permits.wake();
    while now_ms() < started_ms + REROUTABLE_WAIT_MS {
        Timer::after(PERMIT_POLL_INTERVAL).await;
        if notices.may_send(now_ms()) {
            return true;
        }
        if notices.is_denied(demand.request) {
            break;
        }
    }
    false
}

fn log_permit_wait(
    engine: &Engine,
    id: &str,
    started_ms: u64,
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
            ("waited_ms", &now_ms.saturating_sub(started_ms)),
            ("result", &if has_permit { "permit" } else { "none" }),
        ],
    );
}

/// Requests and grants permits until the process exits.
pub(crate) async fn run(core: Arc<Core>, socket: Arc<Async<UdpSocket>>) {
    loop {
        wait(&core.permits).await;
        poll(&core);
        let outbox = std::mem::take(&mut core.permits.lock().outbox);
        for (address, state) in outbox {
            let state =
                PeerState { boot_id: core.boot_id, is_alert: true, ..state };
            // A lost datagram needs no handling: totals are sent again.
            let _ = socket.send_to(&state.encode_to_vec(), address).await;
        }
    }
}

async fn wait(permits: &PermitTable) {
    let woken = async {
        // This never fails: `permits` owns the sender.
        let _ = permits.receiver.recv().await;
    };
    if permits.is_idle() {
        return woken.await;
    }
    let interval = async {
        Timer::after(POLL_INTERVAL).await;
    };
    woken.or(interval).await;
}

/// Runs one round: requests the permits in demand and grants those available.
fn poll(core: &Core) {
    let round = Round::new(core);
    let mut state = core.permits.lock();
    state.apply_changes(core, round.now_ms);
    for engine in state.limited() {
        let issuer = round.choose_issuer(&engine);
        if issuer == core.boot_id {
            round.issue(&mut state, &engine, None);
        }
        let Some(request) = engine.notices.next_permit_request(round.now_ms)
        else {
            continue;
        };
        if issuer == core.boot_id {
            round.apply_request(&mut state, &engine, core.boot_id, request);
        } else if let Some(address) = core.peers.address_of(issuer) {
            let out = state.outbox.entry(address).or_default();
            out.permit_asks.push(request_message(engine.hash, request));
        }
    }
}

/// Handles the notices and permits in a message of another entry.
pub(crate) fn handle_message(
    core: &Core,
    from: SocketAddr,
    message: &PeerState,
) {
    let is_empty = message.notices.is_empty()
        && message.permit_asks.is_empty()
        && message.permit_grants.is_empty();
    if is_empty && core.permits.is_idle() {
        return;
    }
    let index = core.fleet.index();
    for notice in &message.notices {
        if let Some(engine) = index.by_hash.get(&notice.engine) {
            notices::apply_peer_notice(core, engine, notice);
        }
    }
    let round = Round::new(core);
    for grant in &message.permit_grants {
        if let Some(engine) = index.by_hash.get(&grant.engine) {
            let contents = grant_from(grant);
            let (boot_id, pause_ms) = (message.boot_id, round.pause_ms);
            engine.notices.apply_grant(
                boot_id,
                contents,
                pause_ms,
                round.now_ms,
            );
        }
    }
    let mut state = core.permits.lock();
    if !message.is_alert {
        state.record_choices(message);
    }
    for request in &message.permit_asks {
        if let Some(engine) = index.by_hash.get(&request.engine) {
            let contents = request_from(request);
            round.handle_request(
                &mut state,
                engine,
                (from, message.boot_id),
                contents,
            );
        }
    }
    if !state.outbox.is_empty() {
        core.permits.wake();
    }
}

impl State {
    /// Adds servers whose notice has changed, and removes those that have
    /// nothing to report any more.
    fn apply_changes(&mut self, core: &Core, now_ms: u64) {
        let index = core.fleet.index();
        for hash in std::mem::take(&mut self.changed) {
            if let Some(engine) = index.by_hash.get(&hash) {
                self.reported.insert(hash, engine.clone());
            }
        }
        self.reported.retain(|hash, engine| {
            index.by_hash.contains_key(hash)
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

    /// Servers with a limit in force.
    fn limited(&self) -> Vec<Arc<Engine>> {
        let reported = self.reported.values();
        reported.filter(|e| e.notices.limit().is_some()).cloned().collect()
    }

    /// Records the issuers that another entry chose.
    fn record_choices(&mut self, message: &PeerState) {
        let choice = |notice: &EngineNotice| (notice.engine, notice.issuer);
        let is_chosen = |notice: &&EngineNotice| {
            notice.limit_per_s > 0.0 && notice.issuer != 0
        };
        let chosen = message.notices.iter().filter(is_chosen);
        let choices: BTreeMap<u32, u64> = chosen.map(choice).collect();
        match choices.is_empty() {
            true => self.chosen_issuers.remove(&message.boot_id),
            false => self.chosen_issuers.insert(message.boot_id, choices),
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
