//! What is known of the other entries.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
};

use chestnutreach_membership::{
    gossip::{PeerScope, planner_timeout_ms},
    issuer::{self, PARTITION_TIMEOUT_MS},
};
use chestnutreach_protocol::peers::{OpenMove, PeerState};
use chestnutreach_routing::SentCounts;

use crate::clock::now_ms;

/// How long an entry shares what joins data centres after it used it: a part
/// lets it cross once in some seconds only.
const INTERCONNECT_USE_MS: u64 = 5_000;
/// Entries assumed before others were heard.
const ASSUMED_ENTRIES: usize = 8;

/// The other entries.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// The data centre of this entry.
    data_centre: String,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// What processes told, by boot id. It outlives them for a window: what
    /// they sent counts that long.
    sent_reports: Mutex<BTreeMap<u64, SentReport>>,
    /// When entries fell silent that did not say that they stop, by address.
    lost_ms: Mutex<BTreeMap<SocketAddr, u64>>,
    /// Names of those that were found since they were last taken.
    found: Mutex<Vec<String>>,
    /// When another entry last said that it holds the planner's lease.
    planner_received_ms: AtomicU64,
    /// Highest number of a lease whose holder said that it gave it up.
    released_lease_number: AtomicU64,
    /// Moves that the last planner heard told of, and when.
    moves: Mutex<(u64, Vec<OpenMove>)>,
}

#[derive(Debug, Default)]
struct Peer {
    boot_id: u64,
    vm: String,
    sequence: u64,
    heard_ms: u64,
    is_stopping: bool,
    data_centre: String,
    feed_port: u16,
    crossing_bytes_per_s: f64,
    /// When it last told that it sends between data centres; 0 if never.
    interconnect_used_ms: u64,
}

/// An entry that fell silent.
#[derive(Debug)]
pub(crate) struct SilentPeer {
    pub(crate) vm: String,
    pub(crate) boot_id: u64,
    pub(crate) silent_ms: u64,
}

impl SilentPeer {
    /// Its name in logs, with the time for which it was silent.
    pub(crate) fn name(&self) -> String {
        format!("{}/{} {}", self.vm, self.boot_id, self.silent_ms)
    }
}

/// What a message changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateOutcome {
    /// It is older than one before.
    Stale,
    /// Of a process that was known.
    Known,
    /// Of a new process; the one before it at this address, if there was.
    New(Option<u64>),
}

/// What a process told that it sent to services.
#[derive(Debug, Default)]
struct SentReport {
    heard_ms: u64,
    /// Requests and further arrivals by service.
    sent: BTreeMap<String, SentCounts>,
}

/// How many are near and far.
#[derive(Clone, Copy, Debug)]
struct PeerCounts {
    near: usize,
    far: usize,
}

impl PeerCounts {
    fn of(
        peers: &BTreeMap<SocketAddr, Peer>,
        data_centre: &str,
    ) -> PeerCounts {
        let is_near =
            |p: &&Peer| p.whom(data_centre) == PeerScope::SameDataCentre;
        let near = peers.values().filter(is_near).count();
        PeerCounts { near, far: peers.len() - near }
    }

    fn of_whom(self, whom: PeerScope) -> usize {
        match whom {
            PeerScope::SameDataCentre => self.near,
            PeerScope::OtherDataCentre => self.far,
            PeerScope::FromPlanner => self.near + self.far,
        }
    }

    /// Whether an entry has told of late.
    fn is_heard(self, peer: &Peer, data_centre: &str, now_ms: u64) -> bool {
        let whom = peer.whom(data_centre);
        let absent_ms = whom.absence_timeout_ms(self.of_whom(whom));
        let silent_ms = now_ms.saturating_sub(peer.heard_ms);
        peer.boot_id != 0 && silent_ms < absent_ms
    }
}

impl Peer {
    fn whom(&self, data_centre: &str) -> PeerScope {
        match self.data_centre == data_centre {
            true => PeerScope::SameDataCentre,
            false => PeerScope::OtherDataCentre,
        }
    }
}

impl PeerTable {
    /// Of an entry of a data centre.
    pub(crate) fn new(data_centre: &str) -> PeerTable {
        let data_centre = data_centre.to_owned();
        PeerTable { data_centre, ..PeerTable::default() }
    }

    /// Entries that share what is shared, with this one.
    pub(crate) fn entry_count(&self) -> usize {
        let peers = self.lock();
        let live = peers.values().filter(|p| p.boot_id != 0).count();
        if peers.is_empty() {
            return ASSUMED_ENTRIES;
        }
        live.max(peers.len()) + 1
    }

    /// Entries that are listed and have not told anything; none where no
    /// other is listed.
    pub(crate) fn without_report_count(&self) -> usize {
        self.lock().values().filter(|p| p.boot_id == 0).count()
    }

    /// What others sent to a service within the window, as they told.
    /// Empty where an entry that is listed has not told.
    pub(crate) fn sent_by_peers(&self, service: &str) -> Vec<SentCounts> {
        if self.lock().values().any(|peer| peer.boot_id == 0) {
            return Vec::new();
        }
        let told = self.sent_reports.lock().expect("no holder panics");
        let sent = |told: &SentReport| told.sent.get(service).copied();
        told.values().map(|t| sent(t).unwrap_or_default()).collect()
    }

    /// Whether another entry plans, as far as is known.
    pub(crate) fn has_planner(&self, now_ms: u64) -> bool {
        let heard_ms = self.planner_received_ms.load(Relaxed);
        let silent_ms = planner_timeout_ms(self.lock().len());
        heard_ms > 0 && now_ms.saturating_sub(heard_ms) < silent_ms
    }

    /// Time since another entry last said that it plans.
    pub(crate) fn planner_silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.planner_received_ms.load(Relaxed))
    }

    /// All entries that are heard and go on, by boot id.
    pub(crate) fn live(&self, now_ms: u64) -> Vec<u64> {
        self.live_where(now_ms, |_| true)
    }

    /// Whether a process has the lowest number of those that are heard and
    /// go on. Not one that hears fewer than half of them: it is rather cut
    /// off itself.
    pub(crate) fn has_lowest_boot_id(
        &self,
        boot_id: u64,
        now_ms: u64,
    ) -> bool {
        let peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let is_heard =
            |p: &&Peer| counts.is_heard(p, &self.data_centre, now_ms);
        let heard = || peers.values().filter(is_heard);
        2 * heard().count() >= peers.len()
            && heard().all(|p| p.is_stopping || p.boot_id > boot_id)
    }

    /// Entries of a data centre that are heard and go on, by boot id.
    pub(crate) fn live_in(&self, data_centre: &str, now_ms: u64) -> Vec<u64> {
        self.live_where(now_ms, |peer| peer.data_centre == data_centre)
    }

    fn live_where(
        &self,
        now_ms: u64,
        is_wanted: impl Fn(&Peer) -> bool,
    ) -> Vec<u64> {
        let peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let is_live = |peer: &&Peer| {
            !peer.is_stopping
                && is_wanted(peer)
                && counts.is_heard(peer, &self.data_centre, now_ms)
        };
        peers.values().filter(is_live).map(|peer| peer.boot_id).collect()
    }

    /// Where an entry is told.
    pub(crate) fn address_of(&self, boot_id: u64) -> Option<SocketAddr> {
        let peers = self.lock();
        let mut peers = peers.iter();
        let (address, _) = peers.find(|(_, p)| p.boot_id == boot_id)?;
        Some(*address)
    }

    /// Other entries that run, as far as is known, also those that were lost
    /// of late: they may only be out of reach.
    pub(crate) fn running_count(&self, now_ms: u64) -> usize {
        let goes_on = |peer: &&Peer| !peer.is_stopping;
        let running = self.lock().values().filter(goes_on).count();
        let lost = self.lost_ms.lock().expect("no holder panics");
        let lost_for_ms = lost.values().map(|at| now_ms.saturating_sub(*at));
        issuer::sharing_count(running, lost_for_ms)
    }

    /// Where an entry answers in place of the store.
    pub(crate) fn feed_address(&self, boot_id: u64) -> Option<SocketAddr> {
        let peers = self.lock();
        let (from, peer) =
            peers.iter().find(|(_, peer)| peer.boot_id == boot_id)?;
        let is_told = peer.feed_port != 0;
        is_told.then(|| SocketAddr::new(from.ip(), peer.feed_port))
    }

    /// What requests of all other entries send between data centres.
    pub(crate) fn crossing_bytes_per_s(&self) -> f64 {
        self.lock().values().map(|peer| peer.crossing_bytes_per_s).sum()
    }

    /// Other entries that told of late that they send between data centres.
    pub(crate) fn interconnect_user_count(&self, now_ms: u64) -> usize {
        let crosses = |peer: &&Peer| {
            let at_ms = peer.interconnect_used_ms;
            at_ms > 0 && now_ms.saturating_sub(at_ms) < INTERCONNECT_USE_MS
        };
        self.lock().values().filter(crosses).count()
    }

    /// Highest number of a lease whose holder said that it gave it up.
    pub(crate) fn resigned(&self) -> u64 {
        self.released_lease_number.load(Relaxed)
    }

    /// Moves of engines of a service that the last planner told of, with the
    /// time when each was ordered.
    pub(crate) fn announced_moves(
        &self,
        service: &str,
    ) -> Vec<(u64, OpenMove)> {
        let moves = self.moves.lock().expect("no holder panics");
        let given_ms =
            |given: &OpenMove| moves.0.saturating_sub(given.age_ms.into());
        let of_service = moves.1.iter().filter(|o| o.service == service);
        of_service.map(|o| (given_ms(o), o.clone())).collect()
    }

    pub(crate) fn add(&self, address: SocketAddr) {
        let unheard = Peer { heard_ms: now_ms(), ..Peer::default() };
        self.lock().entry(address).or_insert(unheard);
    }

    /// Takes a message of a process.
    pub(crate) fn apply_state(
        &self,
        from: SocketAddr,
        state: &PeerState,
    ) -> StateOutcome {
        let mut peers = self.lock();
        let peer = peers.entry(from).or_default();
        let is_new = peer.boot_id != state.boot_id;
        if !is_new && state.sequence <= peer.sequence {
            return StateOutcome::Stale;
        }
        let old = (peer.boot_id != 0).then_some(peer.boot_id);
        if is_new {
            let name = format!("{}={from}/{}", state.vm, state.boot_id);
            self.found.lock().expect("no holder panics").push(name);
        }
        peer.boot_id = state.boot_id;
        peer.vm.clone_from(&state.vm);
        peer.sequence = state.sequence;
        peer.heard_ms = now_ms();
        peer.is_stopping = state.is_stopping;
        peer.data_centre.clone_from(&state.data_centre);
        peer.feed_port = u16::try_from(state.feed_port).unwrap_or(0);
        peer.crossing_bytes_per_s =
            f64::from(state.crossing_kilobytes_per_s) * 1e3;
        if state.crossing_kilobytes_per_s > 0 {
            peer.interconnect_used_ms = now_ms();
        }
        drop(peers);
        if is_new {
            self.lost_ms.lock().expect("no holder panics").remove(&from);
        }
        self.released_lease_number.fetch_max(state.resigned, Relaxed);
        if state.is_planner {
            self.planner_received_ms.fetch_max(now_ms(), Relaxed);
            let mut moves = self.moves.lock().expect("no holder panics");
            *moves = (now_ms(), state.open_moves.clone());
        }
        if is_new { StateOutcome::New(old) } else { StateOutcome::Known }
    }

    /// Keeps what a process sent to services within the window.
    pub(crate) fn record_sent(&self, state: &PeerState, window_ms: u64) {
        let now_ms = now_ms();
        let sent = state.services.iter();
        let sent = sent.map(|s| {
            let sent = SentCounts { requests: s.requests, retries: s.further };
            (s.service.clone(), sent)
        });
        let new = SentReport { heard_ms: now_ms, sent: sent.collect() };
        let mut told = self.sent_reports.lock().expect("no holder panics");
        told.insert(state.boot_id, new);
        told.retain(|_, t| now_ms.saturating_sub(t.heard_ms) < window_ms);
    }

    /// Names of entries that were found since the last call.
    pub(crate) fn take_found(&self) -> Vec<String> {
        std::mem::take(&mut *self.found.lock().expect("no holder panics"))
    }

    /// Takes out the entries that were silent for long.
    pub(crate) fn remove_silent(&self) -> Vec<SilentPeer> {
        let now_ms = now_ms();
        let mut out = Vec::new();
        let mut peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let mut lost = self.lost_ms.lock().expect("no holder panics");
        lost.retain(|_, at| now_ms.saturating_sub(*at) < PARTITION_TIMEOUT_MS);
        peers.retain(|address, peer| {
            let silent_ms = now_ms.saturating_sub(peer.heard_ms);
            let whom = peer.whom(&self.data_centre);
            let is_silent = silent_ms > whom.expiry_ms(counts.of_whom(whom));
            if is_silent && peer.boot_id != 0 && !peer.is_stopping {
                lost.insert(*address, now_ms);
            }
            if is_silent && peer.boot_id != 0 {
                let vm = peer.vm.clone();
                let boot_id = peer.boot_id;
                out.push(SilentPeer { vm, boot_id, silent_ms });
            }
            !is_silent
        });
        out
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Addresses of the entries of this data centre, or of the others and of
    /// those that were not heard yet.
    pub(crate) fn addresses_of(&self, whom: PeerScope) -> Vec<SocketAddr> {
        let peers = self.lock();
        let is_told = |(_, peer): &(&SocketAddr, &Peer)| {
            peer.whom(&self.data_centre) == whom
        };
        peers.iter().filter(is_told).map(|(address, _)| *address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().expect("no holder panics")
    }
}
