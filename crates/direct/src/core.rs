//! What the tasks of an entry share.

use std::sync::{
    Arc, Mutex,
    atomic::{
        AtomicBool, AtomicU16, AtomicU64, AtomicUsize, Ordering::Relaxed,
    },
};

use arc_swap::ArcSwapOption;
use async_executor::Executor;
use chestnutreach_protocol::peers::OpenMove;
use chestnutreach_routing::{
    CapacityWaits, FirstEventWaits, RetryLimit, RetryWindow, SentCounts,
};
use chestnutreach_site::{Configuration, Limits, NodeSettings};
use chestnutreach_telemetry::{Event, Metrics, Readiness, emit};

use crate::{
    by_service::ByService,
    clock::now_ms,
    cluster::{
        alerts::Alerts, feeds::Feeds, fleet::Fleet, peer_table::PeerTable,
        peer_usage::PeerUsage, permits::PermitTable, suspects::SuspectTable,
        unusable_rows::UnusableRows,
    },
    request::{interconnect::InterconnectTraffic, queue::PathQueues},
    subscribers::Subscribers,
};

/// Time left of the bound on withdrawn keys when they are refused: a request
/// is checked a little after it was sent.
const REVOKE_MARGIN_MS: u64 = 400;

/// Share of the bound on further arrivals that a process uses within its
/// first window: with the share of the one before it, the bound holds.
const SHARE_WHILE_NEW: f64 = 0.3;

/// A process younger than this does not stand in for the planner: it has not
/// heard all others yet, and a first planner is found within 1 s.
const MIN_STAND_IN_AGE_MS: u64 = 3_000;

/// Why an entry is not ready.
pub(crate) const NEEDS_CONFIGURATION: &str = "configuration";
pub(crate) const NEEDS_BACKENDS: &str = "backends";
pub(crate) const IS_STOPPING: &str = "stopping";
pub(crate) const KEYS_STALE: &str = "keys";

/// What the tasks of an entry share.
pub(crate) struct Core {
    pub(crate) settings: NodeSettings,
    pub(crate) boot_id: u64,
    started_ms: u64,
    pub(crate) executor: Arc<Executor<'static>>,
    configuration: ArcSwapOption<Configuration>,
    /// When the store last confirmed the configuration in force.
    confirmed_ms: AtomicU64,
    were_keys_stale: AtomicBool,
    pub(crate) fleet: Fleet,
    pub(crate) unusable_rows: UnusableRows,
    pub(crate) stream_subscribers: Subscribers,
    /// Those that wait for a configuration.
    pub(crate) configuration_subscribers: Subscribers,
    pub(crate) path_queues: PathQueues,
    pub(crate) peers: PeerTable,
    /// What the store holds.
    pub(crate) feeds: Feeds,
    /// Port at which this entry answers in place of the store.
    pub(crate) feed_port: AtomicU16,
    /// What was just found of engines.
    pub(crate) alerts: Alerts,
    /// Requests under which engines crashed.
    pub(crate) suspects: SuspectTable,
    /// Permits for backend servers that named a limit.
    pub(crate) permits: PermitTable,
    /// Engines that others told that they use.
    pub(crate) peer_usage: PeerUsage,
    /// What own requests send between data centres.
    pub(crate) interconnect: InterconnectTraffic,
    retries: ByService<RetryWindow>,
    first_waits: ByService<FirstEventWaits>,
    /// What finds room, and what waits for it.
    pub(crate) room_waits: Arc<ByService<CapacityWaits>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) readiness: Arc<Readiness>,
    /// When the stop began; 0 before.
    stopping_ms: AtomicU64,
    pub(crate) in_flight: AtomicUsize,
    /// Closes once the entry stops.
    pub(crate) closing: async_channel::Receiver<()>,
    pub(crate) is_planner: AtomicBool,
    /// Orders that were given and do not show yet.
    pub(crate) pending_orders: AtomicUsize,
    /// The moves among them that this entry gave last, with their times.
    moves: Mutex<Vec<(u64, OpenMove)>>,
    /// Number of the last lease that this entry gave up.
    pub(crate) released_lease_number: AtomicU64,
    /// Since when the feed of the configuration fails; 0 if it doesn't.
    pub(crate) store_failing_since_ms: AtomicU64,
}

impl Core {
    pub(crate) fn new(
        settings: NodeSettings,
        executor: Arc<Executor<'static>>,
        closing: async_channel::Receiver<()>,
    ) -> Core {
        let metrics = Metrics::new("entry", &settings.vm);
        let conditions = [NEEDS_CONFIGURATION, NEEDS_BACKENDS];
        Core {
            boot_id: fastrand::u64(1..),
            started_ms: now_ms(),
            executor,
            configuration: ArcSwapOption::empty(),
            confirmed_ms: AtomicU64::new(0),
            were_keys_stale: AtomicBool::new(false),
            fleet: Fleet::default(),
            unusable_rows: UnusableRows::default(),
            stream_subscribers: Subscribers::default(),
            configuration_subscribers: Subscribers::default(),
            path_queues: PathQueues::default(),
            peers: PeerTable::new(&settings.data_centre),
            feeds: Feeds::new(),
            feed_port: AtomicU16::new(0),
            alerts: Alerts::default(),
            suspects: SuspectTable::default(),
            permits: PermitTable::default(),
            peer_usage: PeerUsage::default(),
            interconnect: InterconnectTraffic::default(),
            retries: ByService::default(),
            first_waits: ByService::default(),
            room_waits: Arc::default(),
            metrics: Arc::new(metrics),
            readiness: Arc::new(Readiness::new(&conditions)),
            stopping_ms: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            closing,
            is_planner: AtomicBool::new(false),
            pending_orders: AtomicUsize::new(0),
            moves: Mutex::default(),
            released_lease_number: AtomicU64::new(0),
            store_failing_since_ms: AtomicU64::new(0),
            settings,
        }
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Whether the configuration in force has a service of this name.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        let configuration = self.configuration.load();
        let configuration = configuration.as_ref();
        configuration.is_some_and(|c| c.services.contains_key(name))
    }

    pub(crate) fn limits(&self) -> Limits {
        let configuration = self.configuration.load();
        configuration.as_ref().map_or_else(Limits::default, |c| c.limits)
    }

    /// Puts a configuration in force, unless a newer one is; true if it is
    /// new here.
    pub(crate) fn apply_configuration(
        &self,
        new: Configuration,
        row_version: u64,
    ) -> bool {
        let current = self.configuration();
        if current.is_some_and(|current| current.version >= new.version) {
            return false;
        }
        note_configuration(&new, row_version);
        self.metrics.manifest_generation.set(new.version as i64);
        self.configuration.store(Some(Arc::new(new)));
        self.readiness.clear(NEEDS_CONFIGURATION);
        self.configuration_subscribers.notify_all();
        true
    }

    /// The store has confirmed that the configuration was the newest then.
    pub(crate) fn record_configuration_confirmed(&self, then_ms: u64) {
        self.confirmed_ms.fetch_max(then_ms, Relaxed);
        if self.were_keys_stale.swap(false, Relaxed) {
            self.readiness.clear(KEYS_STALE);
        }
    }

    /// The store did not answer; it counts from the first failure in a row.
    pub(crate) fn record_store_failure(&self) {
        if self.store_failing_since_ms.load(Relaxed) == 0 {
            self.store_failing_since_ms.store(now_ms(), Relaxed);
            self.configuration_subscribers.notify_all();
        }
    }

    pub(crate) fn confirmed_age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.confirmed_ms.load(Relaxed))
    }

    /// Whether a key may be trusted: none may have been withdrawn too long
    /// ago for this entry to have heard of it.
    pub(crate) fn are_keys_fresh(&self) -> bool {
        let bounds = &self.settings.bounds;
        if !bounds.is_revoke_strict {
            return true;
        }
        let limit_ms = bounds.revoke_ms.saturating_sub(REVOKE_MARGIN_MS);
        let age_ms = self.confirmed_age_ms();
        let is_fresh = age_ms < limit_ms;
        if !is_fresh && !self.were_keys_stale.swap(true, Relaxed) {
            let reason = format!("not confirmed for {age_ms} ms");
            self.readiness.block(KEYS_STALE, reason);
            emit(
                Event::KeysStale,
                &[("confirmed_age_ms", &age_ms), ("limit_ms", &limit_ms)],
            );
        }
        is_fresh
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping_ms.store(now_ms(), Relaxed);
    }

    /// Time since the stop began; none before.
    pub(crate) fn stopping_for_ms(&self) -> Option<u64> {
        match self.stopping_ms.load(Relaxed) {
            0 => None,
            since_ms => Some(now_ms().saturating_sub(since_ms)),
        }
    }

    fn retry_bounds(&self) -> RetryLimit {
        let bounds = &self.settings.bounds;
        // What the process before this one sent still counts, and is not
        // known here.
        let age_ms = now_ms().saturating_sub(self.started_ms);
        let share = match age_ms < bounds.retry_window_ms {
            true => SHARE_WHILE_NEW,
            false => 1.0,
        };
        RetryLimit {
            ratio: bounds.retry_ratio * share,
            free_retries: bounds.free_retries * share,
            window_ms: bounds.retry_window_ms,
        }
    }

    /// Counts a client's request to a service.
    pub(crate) fn note_request(&self, service: &str) {
        let bounds = self.retry_bounds();
        let note = |window: &mut RetryWindow| {
            window.record_request(&bounds, now_ms());
        };
        self.retries.change(service, note);
    }

    /// What this entry sent to each service within the window.
    pub(crate) fn sent_by_service(&self) -> Vec<(String, SentCounts)> {
        let bounds = self.retry_bounds();
        self.retries.of_each(|window| window.counts(&bounds, now_ms()))
    }

    /// Further arrivals that are left of this entry's own part, by service.
    pub(crate) fn retries_left(&self) -> Vec<(String, f64)> {
        let bounds = self.retry_bounds();
        let entries = self.peers.entry_count();
        self.retries
            .of_each(|window| window.remaining(&bounds, entries, now_ms()))
    }

    /// How long the store has not answered; 0 if it does.
    pub(crate) fn store_lost_for_ms(&self) -> u64 {
        match self.store_failing_since_ms.load(Relaxed) {
            0 => 0,
            since_ms => now_ms().saturating_sub(since_ms),
        }
    }

    /// Takes one further arrival at a service from the shared bound.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let bounds = self.retry_bounds();
        let entries = self.peers.entry_count();
        let others = self.peers.sent_by_peers(service);
        let take = |window: &mut RetryWindow| {
            window.try_take(&bounds, entries, &others, now_ms())
        };
        self.retries.change(service, take)
    }

    /// A stream that was sent then has its first event.
    pub(crate) fn note_first_event(&self, service: &str, sent_ms: u64) {
        let note =
            |waits: &mut FirstEventWaits| waits.record(sent_ms, now_ms());
        self.first_waits.change(service, note);
    }

    /// Whether a stream that was sent then will hardly begin any more.
    pub(crate) fn is_overdue(
        &self,
        service: &str,
        sent_ms: u64,
        least_ms: u64,
    ) -> bool {
        let is_overdue = |waits: &FirstEventWaits| {
            waits.is_overdue(sent_ms, least_ms, now_ms())
        };
        self.first_waits.look(service, is_overdue).unwrap_or(false)
    }

    /// How long streams of a service usually wait for their first event.
    pub(crate) fn usual_first_ms(&self, service: &str) -> Option<u64> {
        self.first_waits.look(service, FirstEventWaits::median_ms)?
    }

    /// Tells that a request may not be sent again now.
    pub(crate) fn note_retry_denied(&self, service: &str, request: &str) {
        self.metrics.service(service).retries_denied.inc();
        emit(
            Event::RetryBudgetSpent,
            &[("service", &service), ("request", &request)],
        );
    }

    /// Keeps the moves that this planner ordered and that do not show yet,
    /// with the times at which they were given.
    pub(crate) fn set_open_moves(&self, moves: Vec<(u64, OpenMove)>) {
        *self.moves.lock().expect("no holder panics") = moves;
        self.apply_moves(&self.open_moves());
    }

    /// Takes that engines are about to give layers up: requests leave those
    /// before the order comes, so that it need not wait for them to end.
    pub(crate) fn apply_moves(&self, moves: &[OpenMove]) {
        if self.fleet.apply_moves(moves) {
            self.stream_subscribers.notify_all();
        }
    }

    /// Moves of engines of a service that this entry last gave.
    pub(crate) fn issued_moves(&self, service: &str) -> Vec<(u64, OpenMove)> {
        let moves = self.moves.lock().expect("no holder panics");
        let of_service = moves.iter().filter(|m| m.1.service == service);
        of_service.cloned().collect()
    }

    /// The same of all services, with their ages.
    pub(crate) fn open_moves(&self) -> Vec<OpenMove> {
        let now_ms = now_ms();
        let moves = self.moves.lock().expect("no holder panics");
        let aged = |(given_ms, given): &(u64, OpenMove)| {
            let age_ms = now_ms.saturating_sub(*given_ms) as u32;
            OpenMove { age_ms, ..given.clone() }
        };
        moves.iter().map(aged).collect()
    }

    /// Whether this entry gives the orders that need no lease: no holder is
    /// heard of, and it comes first among the entries that are heard.
    pub(crate) fn is_deputy_planner(&self) -> bool {
        let now_ms = now_ms();
        now_ms.saturating_sub(self.started_ms) >= MIN_STAND_IN_AGE_MS
            && self.stopping_for_ms().is_none()
            && !self.peers.has_planner(now_ms)
            && self.peers.has_lowest_boot_id(self.boot_id, now_ms)
    }

    /// Other entries of this data centre that are heard and go on.
    pub(crate) fn live_peers_in_data_centre(&self) -> Vec<u64> {
        self.peers.live_in(&self.settings.data_centre, now_ms())
    }

    /// Time since this process started.
    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.started_ms)
    }

    /// Other entries whose use of engines is not known yet.
    pub(crate) fn entries_without_report(&self) -> u64 {
        self.peers.without_report_count() as u64
    }

    /// Index of a data centre; a name that the settings lack is the last.
    pub(crate) fn data_centre_index(&self, name: &str) -> usize {
        let names = &self.settings.data_centres;
        names.iter().position(|n| n == name).unwrap_or(names.len())
    }

    pub(crate) fn own_data_centre_index(&self) -> usize {
        self.data_centre_index(&self.settings.data_centre)
    }
}

fn note_configuration(new: &Configuration, row_version: u64) {
    emit(
        Event::ConfigurationInForce,
        &[
            ("version", &new.version),
            ("row_version", &row_version),
            ("findings", &new.findings.len()),
        ],
    );
    for finding in &new.findings {
        emit(
            Event::ConfigurationFinding,
            &[
                ("version", &new.version),
                ("place", &finding.place),
                ("message", &finding.message),
            ],
        );
    }
}
