//! State that an entry keeps for the other entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
};

use chestnutreach_membership::{
    feed_source::MIN_SHARING_ENTRIES,
    gossip::{self, PeerScope, planner_timeout_ms},
    issuer::{self, PARTITION_TIMEOUT_MS},
    rendezvous::{Candidate, CapacityClass, first_by_capacity},
    roster::{ListedEntry, Roster},
    send_times::SendTimes,
    startup,
};
use chestnutreach_protocol::peers::{KnownEntry, OpenMove, PeerState};
use chestnutreach_routing::{
    DemandRates, PeerReport, RetryReports, SentCounts,
};

use crate::{clock::now_ms, cluster::peer_demand, subscribers::Subscribers};

/// How long an entry counts as a user of the interconnect after its last use.
/// With a small quota, an entry can use the interconnect only once in several
/// seconds.
const INTERCONNECT_USE_MS: u64 = 5_000;
/// Number of entries assumed until others are known.
const ASSUMED_ENTRIES: usize = 8;

/// State of the other entries.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// Data centre of this entry.
    data_centre: String,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    retry_reports: Mutex<RetryReports>,
    /// What callers of other processes ask for, by boot id.
    demand_reports: Mutex<BTreeMap<u64, DemandReport>>,
    /// Addresses found in the table of the store from which no message has
    /// arrived since. Rows of machines that were removed for good stay there.
    listed: Mutex<BTreeSet<SocketAddr>>,
    /// The entries among which limits are divided.
    roster: Mutex<Roster>,
    send_times: Mutex<SendTimes>,
    /// Addresses at which this entry reached itself.
    own: Mutex<BTreeSet<SocketAddr>>,
    /// When entries were lost that had not announced a stop, by address.
    lost_ms: Mutex<BTreeMap<SocketAddr, u64>>,
    /// Whether another entry has sent a message, or this one has read a list
    /// of the others.
    is_introduced: AtomicBool,
    /// Tasks that wait for that.
    introduction: Subscribers,
    /// Whether this entry has read a list of the others.
    has_list: AtomicBool,
    /// Whether no other process of this entry was listed when it started.
    is_first_process: AtomicBool,
    /// Names of the entries found since the last call of `take_found`.
    found: Mutex<Vec<String>>,
    /// When another entry last reported that it holds the planner's lease.
    planner_received_ms: AtomicU64,
    /// Boot id of that entry; 0 if there was none.
    planner_boot_id: AtomicU64,
    /// Highest fencing number that a lease holder reported as released.
    released_lease_number: AtomicU64,
    /// Moves that a planner announced last, and when they were received.
    moves: Mutex<(u64, Vec<OpenMove>)>,
}

#[derive(Debug, Default)]
struct Peer {
    boot_id: u64,
    /// Whether the process has sent its state. A process that another entry
    /// named is known before.
    has_reported: bool,
    /// Whether the address is only listed and did not answer before. Such an
    /// address gets messages and counts for nothing: its machine may have been
    /// removed for good.
    is_unanswered: bool,
    vm: String,
    sequence: u64,
    received_ms: u64,
    /// When the last message was sent.
    sent_ms: u64,
    is_stopping: bool,
    data_centre: String,
    feed_port: u16,
    milli_cores: u32,
    interconnect_bytes_per_s: f64,
    /// When the entry last reported use of the interconnect; 0 if never.
    interconnect_used_ms: u64,
}

/// An entry that was removed because no message arrived.
#[derive(Debug)]
pub(crate) struct SilentPeer {
    pub(crate) vm: String,
    pub(crate) boot_id: u64,
    pub(crate) silent_ms: u64,
}

impl SilentPeer {
    /// Name for the logs, with the time since the last message.
    pub(crate) fn name(&self) -> String {
        format!("{}/{} {}", self.vm, self.boot_id, self.silent_ms)
    }
}

/// Result of applying a state message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StateOutcome {
    /// The message is older than one received before.
    Stale,
    /// The process was known.
    Known,
    /// The process is new; holds the boot id of the previous process at this
    /// address, if any.
    New(Option<u64>),
}

/// What callers of a process ask for.
#[derive(Debug, Default)]
struct DemandReport {
    received_ms: u64,
    /// What they ask for, by service.
    demand: BTreeMap<String, DemandRates>,
}

/// Number of peers in the same data centre and in others.
#[derive(Clone, Copy, Debug)]
struct PeerCounts {
    same_data_centre: usize,
    other_data_centre: usize,
}

impl PeerCounts {
    fn of(
        peers: &BTreeMap<SocketAddr, Peer>,
        data_centre: &str,
    ) -> PeerCounts {
        let is_local =
            |p: &&Peer| p.scope(data_centre) == PeerScope::SameDataCentre;
        let counted = || peers.values().filter(|p| !p.is_unanswered);
        let local = counted().filter(is_local).count();
        PeerCounts {
            same_data_centre: local,
            other_data_centre: counted().count() - local,
        }
    }

    /// Time within which all entries have received what one reports.
    fn report_delay_ms(self) -> u64 {
        gossip::report_delay_ms(self.same_data_centre, self.other_data_centre)
    }

    fn of_scope(self, scope: PeerScope) -> usize {
        match scope {
            PeerScope::SameDataCentre => self.same_data_centre,
            PeerScope::OtherDataCentre => self.other_data_centre,
            PeerScope::FromPlanner => {
                self.same_data_centre + self.other_data_centre
            }
        }
    }

    /// Whether a message of the peer arrived within the absence timeout.
    fn is_present(self, peer: &Peer, data_centre: &str, now_ms: u64) -> bool {
        let scope = peer.scope(data_centre);
        let timeout_ms = scope.absence_timeout_ms(self.of_scope(scope));
        let silent_ms = now_ms.saturating_sub(peer.received_ms);
        peer.boot_id != 0 && silent_ms < timeout_ms
    }

    /// Whether the peer is present and not stopping.
    fn is_live(self, peer: &Peer, data_centre: &str, now_ms: u64) -> bool {
        !peer.is_stopping && self.is_present(peer, data_centre, now_ms)
    }
}

impl Peer {
    /// Whether the entry is likely to run and has not reported yet.
    fn is_report_due(&self) -> bool {
        !self.has_reported && !self.is_unanswered
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            entry: self.boot_id,
            capacity: CapacityClass::from_milli_cores(self.milli_cores),
        }
    }

    fn scope(&self, data_centre: &str) -> PeerScope {
        match self.data_centre == data_centre {
            true => PeerScope::SameDataCentre,
            false => PeerScope::OtherDataCentre,
        }
    }
}

impl PeerTable {
    pub(crate) fn new(data_centre: &str) -> PeerTable {
        let data_centre = data_centre.to_owned();
        PeerTable { data_centre, ..PeerTable::default() }
    }

    /// Number of entries among which limits are shared, including this one.
    pub(crate) fn entry_count(&self) -> usize {
        let peers = self.lock();
        let live = peers.values().filter(|p| p.boot_id != 0).count();
        if peers.is_empty() {
            return ASSUMED_ENTRIES;
        }
        let listed = peers.values().filter(|p| !p.is_unanswered).count();
        live.max(listed) + 1
    }

    /// Number of entries among which limits are divided that hold for all of
    /// them, also for those that this one does not hear; `None` until a list
    /// of the entries was read.
    pub(crate) fn sharing_entries(&self) -> Option<usize> {
        self.roster().entry_count()
    }

    /// Applies a list of the entries among which limits are divided.
    pub(crate) fn apply_roster(
        &self,
        listed: &[ListedEntry],
        read_age_ms: u64,
    ) {
        self.roster().apply_list(listed, read_age_ms, now_ms());
    }

    /// The list of these entries for another entry, with its age; `None` until
    /// one was read.
    pub(crate) fn roster_list(&self) -> Option<(Vec<ListedEntry>, u64)> {
        self.roster().to_list(now_ms())
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no holder panics")
    }

    /// Number of other entries that reported within a time.
    pub(crate) fn heard_count(&self, within_ms: u64) -> usize {
        let now_ms = now_ms();
        let is_heard = |peer: &&Peer| {
            peer.has_reported
                && now_ms.saturating_sub(peer.received_ms) <= within_ms
        };
        self.lock().values().filter(is_heard).count()
    }

    /// Time since the oldest of the last reports of the others was sent.
    pub(crate) fn oldest_report_ms(&self) -> u64 {
        let now_ms = now_ms();
        let peers = self.lock();
        let reported = peers.values().filter(|peer| peer.has_reported);
        let age_ms = |peer: &Peer| now_ms.saturating_sub(peer.sent_ms);
        reported.map(age_ms).max().unwrap_or(0)
    }

    /// Number of listed entries that have not reported yet.
    pub(crate) fn without_report_count(&self) -> usize {
        self.lock().values().filter(|p| p.is_report_due()).count()
    }

    /// Time within which all entries have received what one reports.
    pub(crate) fn report_delay_ms(&self) -> u64 {
        PeerCounts::of(&self.lock(), &self.data_centre).report_delay_ms()
    }

    /// Age up to which a state counts that an entry repeats while it lasts.
    pub(crate) fn repeat_timeout_ms(&self) -> u64 {
        self.by_counts(gossip::repeat_timeout_ms)
    }

    /// A time that depends on the numbers of peers in the same data centre and
    /// in others.
    fn by_counts(&self, time_ms: fn(usize, usize) -> u64) -> u64 {
        let counts = PeerCounts::of(&self.lock(), &self.data_centre);
        time_ms(counts.same_data_centre, counts.other_data_centre)
    }

    /// What callers of the other entries ask for, as far as reported.
    pub(crate) fn demand_of_peers(
        &self,
        service: &str,
        now_ms: u64,
    ) -> DemandRates {
        let timeout_ms = self.by_counts(gossip::demand_timeout_ms);
        let reports = self.demand_reports.lock().expect("no holder panics");
        let mut sum = DemandRates::default();
        let is_recent = |report: &&DemandReport| {
            now_ms.saturating_sub(report.received_ms) < timeout_ms
        };
        for report in reports.values().filter(is_recent) {
            if let Some(demand) = report.demand.get(service) {
                sum.add(demand);
            }
        }
        sum
    }

    /// What other entries reported to have sent to a service in the window;
    /// `None` unless each of them reported within a time.
    pub(crate) fn sent_by_peers(
        &self,
        service: &str,
        within_ms: u64,
    ) -> Option<Vec<PeerReport>> {
        let roster = self.roster();
        let reports = self.retry_reports();
        reports.of_service(service, &roster, within_ms, now_ms())
    }

    /// Mean number of requests that each other entry received in the window;
    /// `None` without reports.
    pub(crate) fn mean_requests(&self) -> Option<f64> {
        self.retry_reports().mean_requests()
    }

    fn retry_reports(&self) -> MutexGuard<'_, RetryReports> {
        self.retry_reports.lock().expect("no holder panics")
    }

    /// Whether another entry reported recently that it is the planner.
    pub(crate) fn has_planner(&self, now_ms: u64) -> bool {
        let received_ms = self.planner_received_ms.load(Relaxed);
        let counts = PeerCounts::of(&self.lock(), &self.data_centre);
        let count = counts.of_scope(PeerScope::FromPlanner);
        let timeout_ms = planner_timeout_ms(count);
        received_ms > 0 && now_ms.saturating_sub(received_ms) < timeout_ms
    }

    /// Another entry that reported recently that it is the planner.
    pub(crate) fn planner(&self, now_ms: u64) -> Option<u64> {
        let boot_id = self.planner_boot_id.load(Relaxed);
        self.has_planner(now_ms).then_some(boot_id)
    }

    /// The first entry by capacity of each data centre for an assignment.
    pub(crate) fn roots(
        &self,
        assignment: u64,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut by_name: BTreeMap<String, Vec<Candidate>> = BTreeMap::new();
        self.for_each_live(now_ms, |peer| {
            let name = peer.data_centre.clone();
            by_name.entry(name).or_default().push(peer.candidate());
        });
        let sharing =
            by_name.into_values().filter(|c| c.len() >= MIN_SHARING_ENTRIES);
        sharing.filter_map(|c| first_by_capacity(c, assignment)).collect()
    }

    /// Time since another entry last reported that it is the planner.
    pub(crate) fn planner_silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.planner_received_ms.load(Relaxed))
    }

    /// Boot ids of all entries that are present and not stopping.
    pub(crate) fn live(&self, now_ms: u64) -> Vec<u64> {
        let live = self.live_candidates(now_ms).into_iter();
        live.map(|candidate| candidate.entry).collect()
    }

    /// Whether this boot id is the lowest among the entries that are present
    /// and not stopping. False if fewer than half of the peers are present,
    /// because then this entry is more likely partitioned itself.
    pub(crate) fn has_lowest_boot_id(
        &self,
        boot_id: u64,
        now_ms: u64,
    ) -> bool {
        let peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let is_present =
            |p: &&Peer| counts.is_present(p, &self.data_centre, now_ms);
        let present = || peers.values().filter(is_present);
        2 * present().count() >= counts.of_scope(PeerScope::FromPlanner)
            && present().all(|p| p.is_stopping || p.boot_id > boot_id)
    }

    /// All entries that are present and not stopping.
    pub(crate) fn live_candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let mut live = Vec::new();
        self.for_each_live(now_ms, |peer| live.push(peer.candidate()));
        live
    }

    /// Boot ids of the entries of a data centre that are present and not
    /// stopping.
    pub(crate) fn live_in(&self, data_centre: &str, now_ms: u64) -> Vec<u64> {
        let live = self.candidates_in(data_centre, now_ms);
        live.into_iter().map(|candidate| candidate.entry).collect()
    }

    /// The same entries with the capacity that they reported.
    pub(crate) fn candidates_in(
        &self,
        data_centre: &str,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let mut live = Vec::new();
        self.for_each_live(now_ms, |peer| {
            if peer.data_centre == data_centre {
                live.push(peer.candidate());
            }
        });
        live
    }

    /// Calls `visit` with each entry that is present and not stopping.
    fn for_each_live(&self, now_ms: u64, visit: impl FnMut(&Peer)) {
        let peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let is_live = |p: &&Peer| counts.is_live(p, &self.data_centre, now_ms);
        peers.values().filter(is_live).for_each(visit);
    }

    /// Address to which messages for an entry are sent.
    pub(crate) fn address_of(&self, boot_id: u64) -> Option<SocketAddr> {
        let peers = self.lock();
        let mut peers = peers.iter();
        let (address, _) = peers.find(|(_, p)| p.boot_id == boot_id)?;
        Some(*address)
    }

    /// Number of other entries that run, including those lost recently, which
    /// may only be unreachable.
    pub(crate) fn running_count(&self, now_ms: u64) -> usize {
        let goes_on = |peer: &&Peer| !peer.is_stopping;
        let running = self.lock().values().filter(goes_on).count();
        let lost = self.lost_ms.lock().expect("no holder panics");
        let lost_for_ms = lost.values().map(|at| now_ms.saturating_sub(*at));
        issuer::sharing_count(running, lost_for_ms)
    }

    /// Address of an entry's feed server.
    pub(crate) fn feed_address(&self, boot_id: u64) -> Option<SocketAddr> {
        let peers = self.lock();
        let (from, peer) =
            peers.iter().find(|(_, peer)| peer.boot_id == boot_id)?;
        let has_port = peer.feed_port != 0;
        has_port.then(|| SocketAddr::new(from.ip(), peer.feed_port))
    }

    /// Traffic between data centres that all other entries reported.
    pub(crate) fn interconnect_bytes_per_s(&self) -> f64 {
        self.lock().values().map(|peer| peer.interconnect_bytes_per_s).sum()
    }

    /// Number of other entries that recently reported traffic between data
    /// centres.
    pub(crate) fn interconnect_user_count(&self, now_ms: u64) -> usize {
        let timeout_ms = INTERCONNECT_USE_MS.max(self.repeat_timeout_ms());
        let is_user = |peer: &&Peer| {
            let at_ms = peer.interconnect_used_ms;
            at_ms > 0 && now_ms.saturating_sub(at_ms) < timeout_ms
        };
        self.lock().values().filter(is_user).count()
    }

    /// Highest fencing number that a lease holder reported as released.
    pub(crate) fn highest_released_lease(&self) -> u64 {
        self.released_lease_number.load(Relaxed)
    }

    /// Moves of a service's engines that a planner announced last, with the
    /// time at which each was ordered.
    pub(crate) fn announced_moves(
        &self,
        service: &str,
    ) -> Vec<(u64, OpenMove)> {
        let moves = self.moves.lock().expect("no holder panics");
        let issued_ms = |open_move: &OpenMove| {
            moves.0.saturating_sub(open_move.age_ms.into())
        };
        let of_service =
            moves.1.iter().filter(|open_move| open_move.service == service);
        of_service
            .map(|open_move| (issued_ms(open_move), open_move.clone()))
            .collect()
    }

    /// Records a message of this entry to itself, so that its address does not
    /// count as another entry.
    pub(crate) fn record_own_message(
        &self,
        address: SocketAddr,
        state: &PeerState,
    ) {
        // Alerts state no time.
        if state.sent_ms > 0 {
            self.send_times().record_own(state.sent_ms, now_ms());
        }
        self.own_addresses().insert(address);
        self.lock().remove(&address);
        self.roster().remove(address);
    }

    /// Whether this entry reached itself at an address.
    pub(crate) fn is_own_address(&self, address: SocketAddr) -> bool {
        self.own_addresses().contains(&address)
    }

    fn own_addresses(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.own.lock().expect("no holder panics")
    }

    /// Adds an entry of which only the address is known; false if the address
    /// was known, or is this entry's own.
    pub(crate) fn add_address(&self, address: SocketAddr) -> bool {
        if self.is_own_address(address) {
            return false;
        }
        let mut peers = self.lock();
        let mut listed = self.listed.lock().expect("no holder panics");
        if peers.contains_key(&address) {
            return false;
        }
        let is_unanswered = !listed.insert(address);
        let peer =
            Peer { received_ms: now_ms(), is_unanswered, ..Peer::default() };
        peers.insert(address, peer);
        true
    }

    /// Adds an entry that another one named; false if nothing is new of it.
    pub(crate) fn add_known(
        &self,
        address: SocketAddr,
        known: &KnownEntry,
    ) -> bool {
        if self.is_own_address(address) {
            return false;
        }
        let mut peers = self.lock();
        let is_news = match peers.get(&address) {
            Some(peer) => peer.boot_id == 0 && known.boot_id != 0,
            None => true,
        };
        if !is_news {
            return false;
        }
        let peer = Peer {
            boot_id: known.boot_id,
            received_ms: startup::heard_ms(known.silent_ms, now_ms()),
            data_centre: known.data_centre.clone(),
            feed_port: u16::try_from(known.feed_port).unwrap_or(0),
            milli_cores: known.milli_cores,
            ..Peer::default()
        };
        peers.insert(address, peer);
        true
    }

    /// The entries that are present and not stopping, with their addresses,
    /// for an entry that starts.
    pub(crate) fn known_entries(&self) -> Vec<KnownEntry> {
        let now_ms = now_ms();
        let peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let known = |(address, peer): (&SocketAddr, &Peer)| {
            let address = address.to_string();
            let silent_ms = now_ms.saturating_sub(peer.received_ms);
            match counts.is_live(peer, &self.data_centre, now_ms) {
                true => KnownEntry {
                    address,
                    boot_id: peer.boot_id,
                    data_centre: peer.data_centre.clone(),
                    feed_port: peer.feed_port.into(),
                    milli_cores: peer.milli_cores,
                    silent_ms,
                },
                false => {
                    KnownEntry { address, silent_ms, ..KnownEntry::default() }
                }
            }
        };
        peers.iter().map(known).collect()
    }

    /// Whether another entry has sent a message, or this one has read a list
    /// of the others.
    fn is_introduced(&self) -> bool {
        self.is_introduced.load(Relaxed)
    }

    /// Whether this entry has read a list of the others, and knows more than
    /// the address of each of them.
    pub(crate) fn knows_all_entries(&self) -> bool {
        self.has_list() && self.lock().values().all(|p| p.boot_id != 0)
    }

    /// Whether this entry has read a list of the others, which it may pass on.
    pub(crate) fn has_list(&self) -> bool {
        self.has_list.load(Relaxed)
    }

    pub(crate) fn record_list(&self) {
        self.has_list.store(true, Relaxed);
    }

    /// Whether no other process of this entry was listed when it started.
    pub(crate) fn is_first_process(&self) -> bool {
        self.is_first_process.load(Relaxed)
    }

    pub(crate) fn record_first_process(&self) {
        self.is_first_process.store(true, Relaxed);
    }

    pub(crate) fn record_introduced(&self) {
        if !self.is_introduced.swap(true, Relaxed) {
            self.introduction.notify_all();
        }
    }

    /// Waits until another entry has sent a message, or this one has read a
    /// list of the others.
    pub(crate) async fn introduced(&self) {
        let introduction = self.introduction.subscribe();
        while !self.is_introduced() {
            introduction.notified().await;
        }
    }

    /// Applies a state message that was sent at `sent_ms`.
    pub(crate) fn apply_state(
        &self,
        from: SocketAddr,
        state: &PeerState,
        sent_ms: u64,
    ) -> StateOutcome {
        let mut peers = self.lock();
        let peer = peers.entry(from).or_default();
        let is_new_process = peer.boot_id != state.boot_id;
        if !is_new_process && state.sequence <= peer.sequence {
            return StateOutcome::Stale;
        }
        let previous = (peer.boot_id != 0).then_some(peer.boot_id);
        peer.boot_id = state.boot_id;
        peer.vm.clone_from(&state.vm);
        peer.sequence = state.sequence;
        peer.received_ms = now_ms();
        peer.sent_ms = sent_ms;
        peer.is_stopping = state.is_stopping;
        peer.data_centre.clone_from(&state.data_centre);
        peer.feed_port = u16::try_from(state.feed_port).unwrap_or(0);
        peer.milli_cores = state.milli_cores;
        let is_first_report = !std::mem::replace(&mut peer.has_reported, true);
        peer.is_unanswered = false;
        peer.interconnect_bytes_per_s =
            f64::from(state.crossing_kilobytes_per_s) * 1e3;
        if state.crossing_kilobytes_per_s > 0 {
            peer.interconnect_used_ms = now_ms();
        }
        drop(peers);
        self.roster().record_heard(from, sent_ms);
        self.record_introduced();
        if is_new_process || is_first_report {
            let name = format!("{}={from}/{}", state.vm, state.boot_id);
            self.found.lock().expect("no holder panics").push(name);
            self.lost_ms.lock().expect("no holder panics").remove(&from);
            self.listed.lock().expect("no holder panics").remove(&from);
        }
        self.released_lease_number.fetch_max(state.resigned, Relaxed);
        if state.is_planner {
            self.planner_received_ms.fetch_max(now_ms(), Relaxed);
            self.planner_boot_id.store(state.boot_id, Relaxed);
            let mut moves = self.moves.lock().expect("no holder panics");
            *moves = (now_ms(), state.open_moves.clone());
        }
        if is_new_process {
            StateOutcome::New(previous)
        } else {
            StateOutcome::Known
        }
    }

    /// When a state message was sent, on the clock of this process.
    pub(crate) fn sent_ms(&self, state: &PeerState) -> u64 {
        let mut times = self.send_times();
        times.sent_ms(state.boot_id, state.sent_ms, now_ms())
    }

    fn send_times(&self) -> MutexGuard<'_, SendTimes> {
        self.send_times.lock().expect("no holder panics")
    }

    /// Records the sent requests and the demand in a state message, and drops
    /// reports older than the window.
    pub(crate) fn record_sent(
        &self,
        state: &PeerState,
        sent_ms: u64,
        window_ms: u64,
    ) {
        let now_ms = now_ms();
        let services = state.services.iter();
        let counts = services.clone().map(|s| {
            let sent = SentCounts { requests: s.requests, retries: s.further };
            (s.service.clone(), sent)
        });
        self.retry_reports().record(
            state.boot_id,
            sent_ms,
            counts,
            window_ms,
            now_ms,
        );
        let demand = services
            .map(|s| (s.service.clone(), peer_demand::from_message(s)));
        let new =
            DemandReport { received_ms: now_ms, demand: demand.collect() };
        let mut reports =
            self.demand_reports.lock().expect("no holder panics");
        reports.insert(state.boot_id, new);
        reports
            .retain(|_, t| now_ms.saturating_sub(t.received_ms) < window_ms);
    }

    /// Returns the names of entries found since the last call.
    pub(crate) fn take_found(&self) -> Vec<String> {
        std::mem::take(&mut *self.found.lock().expect("no holder panics"))
    }

    /// Removes the entries whose messages have stopped for the expiry time.
    pub(crate) fn remove_silent(&self) -> Vec<SilentPeer> {
        let now_ms = now_ms();
        let mut removed = Vec::new();
        let mut peers = self.lock();
        let counts = PeerCounts::of(&peers, &self.data_centre);
        let mut lost = self.lost_ms.lock().expect("no holder panics");
        lost.retain(|_, at| now_ms.saturating_sub(*at) < PARTITION_TIMEOUT_MS);
        peers.retain(|address, peer| {
            let silent_ms = now_ms.saturating_sub(peer.received_ms);
            let scope = peer.scope(&self.data_centre);
            let expiry_ms = match peer.boot_id {
                0 => counts.report_delay_ms(),
                _ => scope.expiry_ms(counts.of_scope(scope)),
            };
            let is_silent = silent_ms > expiry_ms;
            if is_silent && peer.boot_id != 0 && !peer.is_stopping {
                lost.insert(*address, now_ms);
            }
            if is_silent && peer.boot_id != 0 {
                let vm = peer.vm.clone();
                let boot_id = peer.boot_id;
                removed.push(SilentPeer { vm, boot_id, silent_ms });
            }
            !is_silent
        });
        removed
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Addresses of the entries in a scope. Entries that have not reported yet
    /// count as entries of other data centres.
    pub(crate) fn addresses_of(&self, scope: PeerScope) -> Vec<SocketAddr> {
        let peers = self.lock();
        let is_in_scope = |(_, peer): &(&SocketAddr, &Peer)| {
            peer.scope(&self.data_centre) == scope
        };
        peers.iter().filter(is_in_scope).map(|(address, _)| *address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().expect("no holder panics")
    }
}
