//! State shared by the tasks of an entry.

use std::sync::{
    Arc, Mutex,
    atomic::{
        AtomicBool, AtomicU16, AtomicU64, AtomicUsize, Ordering::Relaxed,
    },
};

use arc_swap::ArcSwapOption;
use async_executor::Executor;
use chestnutreach_adapter::store::StoreClient;
use chestnutreach_membership::{
    newer_versions::grace_ms,
    rendezvous::{Candidate, CapacityClass},
};
use chestnutreach_protocol::peers::OpenMove;
use chestnutreach_routing::{
    CapacityWaits, FirstEventWaits, HedgeBudget, PeerReport, RetryLimit,
    RetrySharing, RetryWindow, SentCounts,
};
use chestnutreach_site::{Configuration, Limits, NodeSettings, StoreVersion};
use chestnutreach_telemetry::{Event, Metrics, Readiness, emit};

use crate::{
    by_name::ByName,
    clock::now_ms,
    cluster::{
        alerts::Alerts, configuration_age::ConfigurationAge, feeds::Feeds,
        fleet::Fleet, peer_table::PeerTable, peer_usage::PeerUsage,
        permits::PermitTable, suspects::SuspectTable,
        unusable_rows::UnusableRows,
    },
    request::{
        capacity_control::CapacityControl,
        connection_control::ConnectionControl,
        interconnect::InterconnectTraffic, queue::PathQueues,
    },
    stop::EntryStop,
    subscribers::Subscribers,
};

/// Margin by which access keys are rejected before the limit on revoked keys:
/// a request is checked some time after it was sent.
const REVOKE_MARGIN_MS: u64 = 400;

/// Minimum uptime of a deputy planner. A younger process has not received
/// messages from all peers yet, and a first planner is elected within 1 s.
const MIN_DEPUTY_UPTIME_MS: u64 = 3_000;

/// Reasons why an entry is not ready.
pub(crate) const NEEDS_CONFIGURATION: &str = "configuration";
pub(crate) const NEEDS_BACKENDS: &str = "backends";
pub(crate) const IS_STOPPING: &str = "stopping";
pub(crate) const KEYS_STALE: &str = "keys";
pub(crate) const IS_OUTDATED: &str = "outdated";

/// State shared by the tasks of an entry.
pub(crate) struct Core {
    pub(crate) settings: NodeSettings,
    pub(crate) boot_id: u64,
    started_ms: u64,
    /// Client for all calls of the store.
    pub(crate) store: Arc<StoreClient>,
    pub(crate) executor: Arc<Executor<'static>>,
    configuration: ArcSwapOption<Configuration>,
    /// Version of the row with the configuration in force.
    configuration_row: Mutex<StoreVersion>,
    configuration_age: ConfigurationAge,
    pub(crate) fleet: Fleet,
    pub(crate) unusable_rows: UnusableRows,
    pub(crate) stream_subscribers: Subscribers,
    /// Requests that wait for the first configuration.
    pub(crate) configuration_subscribers: Subscribers,
    /// Tasks that must act once the store has lost changes.
    pub(crate) history_subscribers: Subscribers,
    pub(crate) path_queues: PathQueues,
    pub(crate) peers: PeerTable,
    /// Copies of the tables of the store.
    pub(crate) feeds: Feeds,
    /// Port at which this entry serves its feeds to other entries.
    pub(crate) feed_port: AtomicU16,
    /// Findings that the next alert to the peers reports.
    pub(crate) alerts: Alerts,
    /// Requests under which engines crashed.
    pub(crate) suspects: SuspectTable,
    /// Permits for backend servers that announced a rate limit.
    pub(crate) permits: PermitTable,
    /// Engines that each peer reported using.
    pub(crate) peer_usage: PeerUsage,
    /// Traffic of this entry's requests between data centres.
    pub(crate) interconnect: InterconnectTraffic,
    retries: ByName<RetryWindow>,
    hedges: ByName<HedgeBudget>,
    first_event_waits: ByName<FirstEventWaits>,
    /// Requests that run or wait for capacity, by service.
    pub(crate) capacity_waits: Arc<ByName<CapacityWaits>>,
    /// Admission of streams by the demand at all entries.
    pub(crate) capacity: Arc<CapacityControl>,
    pub(crate) connections: ConnectionControl,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) readiness: Arc<Readiness>,
    /// The planned stop, and what it waits for.
    pub(crate) stop: EntryStop,
    pub(crate) is_planner: AtomicBool,
    /// Orders that were issued and have no visible effect yet.
    pub(crate) pending_orders: AtomicUsize,
    /// Pending moves that this entry issued last, with the times of issue.
    moves: Mutex<Vec<(u64, OpenMove)>>,
    /// Fencing number of the last lease that this entry released.
    pub(crate) released_lease_number: AtomicU64,
    /// Since when reads of the configuration feed fail; 0 while they succeed.
    pub(crate) store_failing_since_ms: AtomicU64,
}

impl Core {
    pub(crate) fn new(
        settings: NodeSettings,
        executor: Arc<Executor<'static>>,
    ) -> Core {
        let metrics = Metrics::new("entry", &settings.vm);
        let conditions = [NEEDS_CONFIGURATION, NEEDS_BACKENDS];
        Core {
            boot_id: fastrand::u64(1..),
            started_ms: now_ms(),
            store: Arc::new(StoreClient::new(settings.store_address)),
            executor,
            configuration: ArcSwapOption::empty(),
            configuration_row: Mutex::default(),
            configuration_age: ConfigurationAge::default(),
            fleet: Fleet::new(settings.memory_mb),
            unusable_rows: UnusableRows::default(),
            stream_subscribers: Subscribers::default(),
            configuration_subscribers: Subscribers::default(),
            history_subscribers: Subscribers::default(),
            path_queues: PathQueues::default(),
            peers: PeerTable::new(&settings.data_centre),
            feeds: Feeds::new(),
            feed_port: AtomicU16::new(0),
            alerts: Alerts::default(),
            suspects: SuspectTable::default(),
            permits: PermitTable::default(),
            peer_usage: PeerUsage::default(),
            interconnect: InterconnectTraffic::default(),
            retries: ByName::default(),
            hedges: ByName::default(),
            first_event_waits: ByName::default(),
            capacity_waits: Arc::default(),
            capacity: Arc::default(),
            connections: ConnectionControl::default(),
            metrics: Arc::new(metrics),
            readiness: Arc::new(Readiness::new(&conditions)),
            stop: EntryStop::new(settings.bounds.grace_ms),
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

    /// Version of the configuration in force; 0 before there is one.
    pub(crate) fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.load();
        configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Whether the configuration in force has a service of this name.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        let configuration = self.configuration.load();
        let configuration = configuration.as_ref();
        configuration.is_some_and(|c| c.services.contains_key(name))
    }

    /// Target of the health check of a service, if the configuration has one.
    pub(crate) fn health_path(&self, service: &str) -> Option<String> {
        let configuration = self.configuration.load();
        let services = &configuration.as_ref()?.services;
        services.get(service)?.health_path.clone()
    }

    pub(crate) fn limits(&self) -> Limits {
        let configuration = self.configuration.load();
        configuration.as_ref().map_or_else(Limits::default, |c| c.limits)
    }

    /// Puts a configuration in force if it replaces the current one; true if
    /// the configuration in force changed.
    pub(crate) fn apply_configuration(
        &self,
        new: Arc<Configuration>,
        row_version: StoreVersion,
    ) -> bool {
        let mut row_in_force =
            self.configuration_row.lock().expect("no holder panics");
        if let Some(in_force) = self.configuration()
            && !new.replaces(&in_force, row_version, *row_in_force)
        {
            if new.version == in_force.version {
                *row_in_force = row_version.max(*row_in_force);
            }
            log_not_newer(&new, row_version, in_force.version);
            return false;
        }
        *row_in_force = row_version;
        self.configuration_age.record_in_force(new.version);
        self.metrics.manifest_generation.set(new.version as i64);
        let has_route = |name: &str| {
            let mut routes = new.routes.values().flatten();
            routes.any(|route| route.name == name)
        };
        self.stop.retain_routes(has_route);
        for engine in self.fleet.all() {
            engine.answer_times.retain(has_route);
        }
        self.configuration.store(Some(new));
        self.readiness.clear(NEEDS_CONFIGURATION);
        self.configuration_subscribers.notify_all();
        true
    }

    /// Records that the store confirmed the configuration as the newest at
    /// `then_ms`.
    pub(crate) fn record_configuration_confirmed(&self, then_ms: u64) {
        let own_version = self.configuration_version();
        self.configuration_age.record_confirmed(then_ms, own_version);
        // What a stale peer sends confirms only what was known before.
        self.are_keys_fresh();
        self.is_outdated();
    }

    /// Records that another entry has a version of the configuration in force.
    pub(crate) fn record_peer_configuration(&self, version: u64) {
        let own_version = self.configuration_version();
        if version > own_version {
            self.configuration_age.record_report(version, own_version);
            self.is_outdated();
        }
    }

    /// Records that the store did not respond; the outage counts from the
    /// first failure in a row.
    pub(crate) fn record_store_failure(&self) {
        if self.store_failing_since_ms.load(Relaxed) == 0 {
            self.store_failing_since_ms.store(now_ms(), Relaxed);
            self.configuration_subscribers.notify_all();
        }
    }

    pub(crate) fn confirmed_age_ms(&self) -> u64 {
        self.configuration_age.confirmed_age_ms()
    }

    /// Whether access keys may be trusted. They may not once the
    /// configuration is unconfirmed for so long that a key could have been
    /// revoked beyond the limit without this entry learning of it. Updates the
    /// readiness.
    pub(crate) fn are_keys_fresh(&self) -> bool {
        let bounds = &self.settings.bounds;
        if !bounds.is_revoke_strict {
            return true;
        }
        let limit_ms = bounds.revoke_ms.saturating_sub(REVOKE_MARGIN_MS);
        let age_ms = self.confirmed_age_ms();
        if age_ms < limit_ms {
            self.readiness.clear(KEYS_STALE);
            return true;
        }
        let reason = format!("not confirmed for {age_ms} ms");
        if self.readiness.block(KEYS_STALE, reason) {
            emit(
                Event::KeysStale,
                &[("confirmed_age_ms", &age_ms), ("limit_ms", &limit_ms)],
            );
        }
        false
    }

    /// Whether this entry must not go by its configuration any more, because
    /// others have had a newer one in force for so long. Updates the
    /// readiness.
    pub(crate) fn is_outdated(&self) -> bool {
        let Some(lacking_ms) = self.configuration_age.lacking_ms() else {
            self.readiness.clear(IS_OUTDATED);
            return false;
        };
        let apply_ms = self.settings.bounds.config_apply_ms;
        let limit_ms = grace_ms(apply_ms, self.peers.report_delay_ms());
        if lacking_ms < limit_ms {
            self.readiness.clear(IS_OUTDATED);
            return false;
        }
        let reason = format!("others have a newer one for {lacking_ms} ms");
        if self.readiness.block(IS_OUTDATED, reason) {
            emit(
                Event::ConfigurationOutdated,
                &[
                    ("version", &self.configuration_version()),
                    ("lacking_ms", &lacking_ms),
                    ("limit_ms", &limit_ms),
                    ("confirmed_age_ms", &self.confirmed_age_ms()),
                ],
            );
        }
        true
    }

    pub(crate) fn retry_limit(&self) -> RetryLimit {
        let bounds = &self.settings.bounds;
        RetryLimit {
            ratio: bounds.retry_ratio,
            free_retries: bounds.free_retries,
            window_ms: bounds.retry_window_ms,
            report_delay_ms: self.peers.report_delay_ms(),
        }
    }

    /// Counts a caller's request to a service.
    pub(crate) fn record_request(&self, service: &str) {
        let limit = self.retry_limit();
        let record = |window: &mut RetryWindow| {
            window.record_request(&limit, now_ms());
        };
        self.retries.update(service, record);
    }

    /// Counts a plain request, which adds to the hedges of its service.
    pub(crate) fn record_plain_request(&self, service: &str) {
        self.hedges.update(service, HedgeBudget::record_request);
    }

    /// Requests and retries that this entry sent in the window, by service.
    pub(crate) fn sent_by_service(&self) -> Vec<(String, SentCounts)> {
        let limit = self.retry_limit();
        self.retries.map_each(|window| window.counts(&limit, now_ms()))
    }

    /// Retries left of this entry's own budget, by service.
    pub(crate) fn remaining_retries(&self) -> Vec<(String, f64)> {
        let limit = self.retry_limit();
        let sharing = self.retry_sharing(None);
        self.retries
            .map_each(|window| window.remaining(&limit, &sharing, now_ms()))
    }

    /// How long the store has been unavailable; 0 while it responds.
    pub(crate) fn store_unavailable_ms(&self) -> u64 {
        match self.store_failing_since_ms.load(Relaxed) {
            0 => 0,
            since_ms => now_ms().saturating_sub(since_ms),
        }
    }

    /// Takes one retry at a service from the limit that all entries share.
    pub(crate) fn try_take_retry(&self, service: &str) -> bool {
        let limit = self.retry_limit();
        let others = self.peers.sent_by_peers(service, limit.report_delay_ms);
        let sharing = self.retry_sharing(others.as_deref());
        let take = |window: &mut RetryWindow| {
            window.try_take(&limit, &sharing, now_ms())
        };
        self.retries.update(service, take)
    }

    /// Takes one hedge at a service. A silent server counts as failed, and its
    /// hedges are limited as retries are.
    pub(crate) fn try_take_hedge(
        &self,
        service: &str,
        is_silent: bool,
    ) -> bool {
        (is_silent || self.hedges.update(service, HedgeBudget::try_take))
            && self.try_take_retry(service)
    }

    fn retry_sharing<'a>(
        &self,
        peers: Option<&'a [PeerReport]>,
    ) -> RetrySharing<'a> {
        RetrySharing {
            entries: self.peers.sharing_entries(),
            peers,
            process_age_ms: self.age_ms(),
            has_predecessor: !self.peers.is_first_process(),
        }
    }

    /// Records the first event of a stream that was sent at `sent_ms`.
    pub(crate) fn record_first_event(&self, service: &str, sent_ms: u64) {
        let record =
            |waits: &mut FirstEventWaits| waits.record(sent_ms, now_ms());
        self.first_event_waits.update(service, record);
    }

    /// Whether a stream that was sent at `sent_ms` without a first event is
    /// unlikely to get a first event.
    pub(crate) fn is_overdue(
        &self,
        service: &str,
        sent_ms: u64,
        min_ms: u64,
    ) -> bool {
        let is_overdue = |waits: &FirstEventWaits| {
            waits.is_overdue(sent_ms, min_ms, now_ms())
        };
        self.first_event_waits.read(service, is_overdue).unwrap_or(false)
    }

    /// Median of the recent waits for the first event of a service's streams.
    pub(crate) fn median_first_event_ms(&self, service: &str) -> Option<u64> {
        self.first_event_waits.read(service, FirstEventWaits::median_ms)?
    }

    /// Counts and logs that the retry limit forbids another attempt.
    pub(crate) fn record_retry_denied(&self, service: &str, request: &str) {
        self.metrics.service(service).retries_denied.inc();
        let limit = self.retry_limit();
        let count = |window: &mut RetryWindow| window.counts(&limit, now_ms());
        let own = self.retries.update(service, count);
        emit(
            Event::RetryBudgetSpent,
            &[
                ("service", &service),
                ("request", &request),
                ("own_requests", &own.requests),
                ("own_retries", &own.retries),
                ("entries", &self.peers.sharing_entries().unwrap_or(0)),
                ("heard", &self.peers.heard_count(limit.report_delay_ms)),
                ("oldest_report_ms", &self.peers.oldest_report_ms()),
                ("age_ms", &self.age_ms()),
            ],
        );
    }

    /// Sets the pending moves that this planner issued, with the times of
    /// issue.
    pub(crate) fn set_open_moves(&self, moves: Vec<(u64, OpenMove)>) {
        *self.moves.lock().expect("no holder panics") = moves;
        self.apply_moves(&self.open_moves());
    }

    /// Applies announced moves of engines. Requests leave the layers that an
    /// engine is about to release, so that the order need not wait for those
    /// requests to end.
    pub(crate) fn apply_moves(&self, moves: &[OpenMove]) {
        if self.fleet.apply_moves(moves) {
            self.stream_subscribers.notify_all();
        }
    }

    /// Pending moves of a service's engines that this entry issued.
    pub(crate) fn issued_moves(&self, service: &str) -> Vec<(u64, OpenMove)> {
        let moves = self.moves.lock().expect("no holder panics");
        let of_service = moves.iter().filter(|m| m.1.service == service);
        of_service.cloned().collect()
    }

    /// Pending moves of all services that this entry issued, with their ages.
    pub(crate) fn open_moves(&self) -> Vec<OpenMove> {
        let now_ms = now_ms();
        let moves = self.moves.lock().expect("no holder panics");
        let aged = |(issued_ms, issued): &(u64, OpenMove)| {
            let age_ms = now_ms.saturating_sub(*issued_ms) as u32;
            OpenMove { age_ms, ..issued.clone() }
        };
        moves.iter().map(aged).collect()
    }

    /// Whether this entry issues the orders that need no lease: no lease
    /// holder is known, and this entry has the lowest boot id of the live
    /// entries.
    pub(crate) fn is_deputy_planner(&self) -> bool {
        let now_ms = now_ms();
        now_ms.saturating_sub(self.started_ms) >= MIN_DEPUTY_UPTIME_MS
            && !self.stop.has_begun()
            && !self.peers.has_planner(now_ms)
            && self.peers.has_lowest_boot_id(self.boot_id, now_ms)
    }

    /// The live peers in this data centre that are not stopping.
    pub(crate) fn live_peers_in_data_centre(&self) -> Vec<Candidate> {
        self.peers.candidates_in(&self.settings.data_centre, now_ms())
    }

    /// This entry's share of a core, in thousandths.
    pub(crate) fn milli_cores(&self) -> u32 {
        (self.settings.cpu_share * 1e3).round() as u32
    }

    /// This entry, as a candidate for assignments by capacity.
    pub(crate) fn own_candidate(&self) -> Candidate {
        Candidate {
            entry: self.boot_id,
            capacity: CapacityClass::from_milli_cores(self.milli_cores()),
        }
    }

    /// Time since this process started.
    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.started_ms)
    }

    /// Number of peers that have not reported their usage of engines yet.
    pub(crate) fn entries_without_report(&self) -> u64 {
        self.peers.without_report_count() as u64
    }

    /// Index of a data centre; the count of data centres for a name that the
    /// settings lack.
    pub(crate) fn data_centre_index(&self, name: &str) -> usize {
        let names = &self.settings.data_centres;
        names.iter().position(|n| n == name).unwrap_or(names.len())
    }

    pub(crate) fn own_data_centre_index(&self) -> usize {
        self.data_centre_index(&self.settings.data_centre)
    }
}

fn log_not_newer(
    new: &Configuration,
    row_version: StoreVersion,
    in_force: u64,
) {
    emit(
        Event::ConfigurationNotNewer,
        &[
            ("version", &new.version),
            ("era", &row_version.era()),
            ("row_version", &row_version.number()),
            ("in_force", &in_force),
        ],
    );
}
