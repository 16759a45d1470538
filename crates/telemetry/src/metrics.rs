//! Prometheus metrics of a process.
//!
//! Metrics of a service, an account or a backend server are accessed through
//! a handle. Callers look the handle up once and keep it, so that counting a
//! token is one atomic addition without a label lookup. Repeated lookups of a
//! name return the same handle. The number of handles is limited, so that
//! names from outside cannot grow memory without bound: names above the limit
//! share the series [`OTHER_LABEL`].

mod children;
mod labels;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use prometheus::{
    Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder,
};

pub use children::{AccountMetrics, BackendMetrics, ServiceMetrics};
pub use labels::{ClaimResult, TableOperation, TableResult};

use crate::metric_family::{MetricFamily, Registrar};
use children::{AccountFamilies, BackendFamilies, ServiceFamilies};

/// Label value shared by the names above a series limit.
pub const OTHER_LABEL: &str = "other";
/// Maximum number of services with their own series.
pub const MAX_SERVICE_SERIES: usize = 100;
/// Maximum number of client accounts with their own series.
pub const MAX_ACCOUNT_SERIES: usize = 2_000;
/// Maximum number of backend servers with their own series.
pub const MAX_BACKEND_SERIES: usize = 100;

/// Buckets for the size of a group commit, in claims.
const COMMIT_SIZE_BUCKETS: [f64; 8] =
    [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];
/// Buckets for the time of a routing decision, in seconds.
const DECISION_BUCKETS_S: [f64; 9] =
    [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2];

/// Metrics of a process.
pub struct Metrics {
    /// Registry of all metrics of the process.
    pub registry: Registry,
    /// Open caller connections.
    pub caller_connections: IntGauge,
    /// Seconds to choose a chain of backend servers.
    pub decision_time: Histogram,
    /// Records in the run-once table.
    pub run_once_records: IntGauge,
    /// Generation of the active manifest; 0 if none is active.
    pub manifest_generation: IntGauge,
    /// 1 while the process drains, else 0.
    pub is_draining: IntGauge,
    /// Open links to other processes.
    pub links_open: IntGauge,
    /// Links that closed or timed out.
    pub links_lost: IntCounter,
    /// Bytes sent that are not part of a request.
    pub control_bytes_sent: IntCounter,
    /// Bytes received that are not part of a request.
    pub control_bytes_received: IntCounter,
    /// Quarantined requests that this process has learned of.
    pub requests_quarantined: IntCounter,
    /// Requests refused because they are quarantined.
    pub quarantine_refusals: IntCounter,
    /// Connections closed unread while the entry was overloaded.
    pub connections_left: IntCounter,
    /// Responses of backend servers that were cut off at a limit.
    pub responses_cut: IntCounter,
    /// Memory that responses of backend servers hold, in bytes.
    pub response_memory_bytes: IntGauge,
    /// Requests refused unread, since bodies hold too much memory.
    pub requests_unread: IntCounter,
    /// Memory that the bodies of callers' requests hold, in bytes.
    pub request_memory_bytes: IntGauge,
    /// Responses of backend servers with a non-numeric rate limit.
    pub malformed_limits: IntCounter,
    /// Requests that backend servers refused while requesting a cooldown.
    pub cooldowns_requested: IntCounter,
    /// Responses of backend servers with a non-numeric cooldown.
    pub malformed_cooldowns: IntCounter,
    /// Claims written in one group commit.
    pub claim_commit_size: Histogram,
    step_refusals: IntCounterVec,
    table_operations: IntCounterVec,
    claims: IntCounterVec,
    services: HandleMap<ServiceFamilies>,
    accounts: HandleMap<AccountFamilies>,
    backends: HandleMap<BackendFamilies>,
    families: Vec<MetricFamily>,
}

impl Metrics {
    /// Registers the metrics of a process; `role` and `vm` become labels of
    /// every metric.
    pub fn new(role: &str, vm: &str) -> Metrics {
        let mut registrar = Registrar::new(role, vm);
        let r = &mut registrar;
        let caller_connections =
            r.gauge("caller_connections", "Open connections of callers.");
        let decision_time = r.histogram(
            "decision_seconds",
            &DECISION_BUCKETS_S,
            "Time to choose a chain of backend servers.",
        );
        let run_once_records =
            r.gauge("run_once_records", "Records in the run-once table.");
        let manifest_generation = r.gauge(
            "manifest_generation",
            "Generation of the manifest in force, 0 for none.",
        );
        let is_draining =
            r.gauge("is_draining", "1 while the process drains, else 0.");
        let links_open =
            r.gauge("links_open", "Open links to other processes.");
        let links_lost = r.counter(
            "links_lost_total",
            "Links to other processes that ended or went silent.",
        );
        let control_bytes_sent = r.counter(
            "control_sent_bytes_total",
            "Bytes sent to other processes outside requests.",
        );
        let control_bytes_received = r.counter(
            "control_received_bytes_total",
            "Bytes received from other processes outside requests.",
        );
        let requests_quarantined = r.counter(
            "requests_quarantined_total",
            "Requests that were quarantined, as this process heard.",
        );
        let quarantine_refusals = r.counter(
            "quarantine_refusals_total",
            "Requests refused by a quarantine.",
        );
        let connections_left = r.counter(
            "connections_left_total",
            "Connections closed unread while the entry was overloaded.",
        );
        let responses_cut = r.counter(
            "responses_cut_total",
            "Answers of backend servers that were cut off at a limit.",
        );
        let response_memory_bytes = r.gauge(
            "response_memory_bytes",
            "Memory that answers of backend servers hold.",
        );
        let requests_unread = r.counter(
            "requests_unread_total",
            "Requests refused unread, since bodies hold too much memory.",
        );
        let request_memory_bytes = r.gauge(
            "request_memory_bytes",
            "Memory that the bodies of callers' requests hold.",
        );
        let malformed_limits = r.counter(
            "malformed_limits_total",
            "Answers of backend servers with a limit that is no number.",
        );
        let cooldowns_requested = r.counter(
            "rests_asked_total",
            "Requests that backend servers turned away, asking for rest.",
        );
        let malformed_cooldowns = r.counter(
            "malformed_rests_total",
            "Answers of backend servers with a rest that is no number.",
        );
        let claim_commit_size = r.histogram(
            "claim_commit_size",
            &COMMIT_SIZE_BUCKETS,
            "Claims written in one group commit.",
        );
        let step_refusals = r.counters(
            "step_refusals_total",
            &["reason"],
            "Steps refused because they were not the next of their attempt.",
        );
        let table_operations = r.counters(
            "table_operations_total",
            &["operation", "result"],
            "Calls to the table service by their result.",
        );
        let claims = r.counters(
            "claims_total",
            &["result"],
            "Claims of idempotency keys by their result.",
        );
        let services =
            HandleMap::new(ServiceFamilies::new(r), MAX_SERVICE_SERIES);
        let accounts =
            HandleMap::new(AccountFamilies::new(r), MAX_ACCOUNT_SERIES);
        let backends =
            HandleMap::new(BackendFamilies::new(r), MAX_BACKEND_SERIES);
        let (registry, families) = registrar.into_parts();
        Metrics {
            registry,
            caller_connections,
            decision_time,
            run_once_records,
            manifest_generation,
            is_draining,
            links_open,
            links_lost,
            control_bytes_sent,
            control_bytes_received,
            requests_quarantined,
            quarantine_refusals,
            connections_left,
            responses_cut,
            response_memory_bytes,
            requests_unread,
            request_memory_bytes,
            malformed_limits,
            cooldowns_requested,
            malformed_cooldowns,
            claim_commit_size,
            step_refusals,
            table_operations,
            claims,
            services,
            accounts,
            backends,
            families,
        }
    }

    /// Handle of the metrics of a service; callers keep it.
    pub fn service(&self, name: &str) -> Arc<ServiceMetrics> {
        self.services.get_or_create(name, ServiceFamilies::child)
    }

    /// Handle of the metrics of a client account; callers keep it.
    pub fn account(&self, name: &str) -> Arc<AccountMetrics> {
        self.accounts.get_or_create(name, AccountFamilies::child)
    }

    /// Handle of the metrics of a backend server; callers keep it.
    pub fn backend(&self, name: &str) -> Arc<BackendMetrics> {
        self.backends.get_or_create(name, BackendFamilies::child)
    }

    /// Counts a step that was refused because it was not the next step of its
    /// attempt.
    pub fn record_step_refused(&self, reason: &'static str) {
        self.step_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a finished call to the table service.
    pub fn record_table_operation(
        &self,
        operation: TableOperation,
        result: TableResult,
    ) {
        let labels = [operation.as_str(), result.as_str()];
        self.table_operations.with_label_values(&labels).inc();
    }

    /// Counts a finished claim of an idempotency key.
    pub fn record_claim(&self, result: ClaimResult) {
        self.claims.with_label_values(&[result.as_str()]).inc();
    }

    /// Catalogue entries of all metric families.
    pub fn families(&self) -> &[MetricFamily] {
        &self.families
    }

    /// All values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When a metric cannot be encoded.
    pub fn to_text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Metric families that share a label, with one handle per label value.
struct HandleMap<F: FamilyGroup> {
    families: F,
    max_handles: usize,
    handles: Mutex<BTreeMap<String, Arc<F::Child>>>,
}

/// Metric families that share a label.
trait FamilyGroup {
    /// One series of each family, for one label value.
    type Child;
}

impl<F: FamilyGroup> HandleMap<F> {
    fn new(families: F, max_handles: usize) -> HandleMap<F> {
        HandleMap { families, max_handles, handles: Mutex::default() }
    }

    fn get_or_create(
        &self,
        name: &str,
        create: impl FnOnce(&F, &str) -> F::Child,
    ) -> Arc<F::Child> {
        let mut handles = self.handles.lock().expect("no holder panics");
        let has_capacity =
            handles.len() < self.max_handles || handles.contains_key(name);
        let name = if has_capacity { name } else { OTHER_LABEL };
        if let Some(child) = handles.get(name) {
            return child.clone();
        }
        let child = Arc::new(create(&self.families, name));
        handles.insert(name.to_owned(), child.clone());
        child
    }
}
