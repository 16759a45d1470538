//! What is counted and measured.
//!
//! What belongs to a service, an account or a backend server is reached
//! through a handle that is looked up once and kept: counting a token is then
//! one atomic addition, with no lookup of a label. Handles are the same
//! however often they are asked for, and their number is bounded, so that
//! names from outside cannot grow the memory: past the bound, names share the
//! series [`OTHER_LABEL`].

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

use crate::family::{MetricFamily, Registrar};
use children::{AccountFamilies, BackendFamilies, ServiceFamilies};

/// Label of the names past a bound.
pub const OTHER_LABEL: &str = "other";
/// Services with series of their own.
pub const MAX_SERVICE_SERIES: usize = 100;
/// Client accounts with series of their own.
pub const MAX_ACCOUNT_SERIES: usize = 2_000;
/// Backend servers with series of their own.
pub const MAX_BACKEND_SERIES: usize = 100;

/// Sizes of a group commit, in claims.
const COMMIT_SIZES: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];
/// Times of a routing decision, in seconds.
const DECISION_TIMES: [f64; 9] =
    [1e-6, 3e-6, 1e-5, 3e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2];

/// The metrics of a process.
pub struct Metrics {
    /// Holds all of them.
    pub registry: Registry,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Seconds to choose a chain.
    pub decision_time: Histogram,
    /// Records in the run-once table.
    pub run_once_records: IntGauge,
    /// Generation of the manifest in force; 0 for none.
    pub manifest_generation: IntGauge,
    /// 1 while the process drains.
    pub is_draining: IntGauge,
    /// Open links to other processes.
    pub links_open: IntGauge,
    /// Links that ended or went silent.
    pub links_lost: IntCounter,
    /// Bytes sent that are not part of a request.
    pub control_bytes_sent: IntCounter,
    /// Bytes received that are not part of a request.
    pub control_bytes_received: IntCounter,
    /// Requests that were quarantined, as this process heard.
    pub requests_quarantined: IntCounter,
    /// Requests refused by a quarantine.
    pub quarantine_refusals: IntCounter,
    /// Answers that name a limit which is no number.
    pub malformed_limits: IntCounter,
    /// Requests that backend servers turned away, asking for rest.
    pub cooldowns_requested: IntCounter,
    /// Answers that ask for a rest which is no number.
    pub malformed_cooldowns: IntCounter,
    /// Claims in one group commit.
    pub claim_commit_size: Histogram,
    step_refusals: IntCounterVec,
    table_operations: IntCounterVec,
    claims: IntCounterVec,
    services: Handles<ServiceFamilies>,
    accounts: Handles<AccountFamilies>,
    backends: Handles<BackendFamilies>,
    families: Vec<MetricFamily>,
}

impl Metrics {
    /// Metrics of a process with this role on this VM.
    pub fn new(role: &str, vm: &str) -> Metrics {
        let mut registrar = Registrar::new(role, vm);
        let r = &mut registrar;
        let caller_connections =
            r.gauge("caller_connections", "Open connections of callers.");
        let decision_time = r.histogram(
            "decision_seconds",
            &DECISION_TIMES,
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
            &COMMIT_SIZES,
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
            Handles::new(ServiceFamilies::new(r), MAX_SERVICE_SERIES);
        let accounts =
            Handles::new(AccountFamilies::new(r), MAX_ACCOUNT_SERIES);
        let backends =
            Handles::new(BackendFamilies::new(r), MAX_BACKEND_SERIES);
        let (registry, families) = registrar.finish();
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

    /// The metrics of a service; keep the handle.
    pub fn service(&self, name: &str) -> Arc<ServiceMetrics> {
        self.services.handle(name, ServiceFamilies::child)
    }

    /// The metrics of a client account; keep the handle.
    pub fn account(&self, name: &str) -> Arc<AccountMetrics> {
        self.accounts.handle(name, AccountFamilies::child)
    }

    /// The metrics of a backend server; keep the handle.
    pub fn backend(&self, name: &str) -> Arc<BackendMetrics> {
        self.backends.handle(name, BackendFamilies::child)
    }

    /// A step was not the next of its attempt.
    pub fn record_step_refused(&self, reason: &'static str) {
        self.step_refusals.with_label_values(&[reason]).inc();
    }

    /// A call to the table service ended.
    pub fn record_table_operation(
        &self,
        operation: TableOperation,
        result: TableResult,
    ) {
        let labels = [operation.as_str(), result.as_str()];
        self.table_operations.with_label_values(&labels).inc();
    }

    /// A claim of an idempotency key ended.
    pub fn record_claim(&self, result: ClaimResult) {
        self.claims.with_label_values(&[result.as_str()]).inc();
    }

    /// Every metric, as in the catalogue.
    pub fn families(&self) -> &[MetricFamily] {
        &self.families
    }

    /// All values in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// A label or value cannot be written.
    pub fn to_text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Families with a label for a name, and the handles made of them.
struct Handles<F: Families> {
    families: F,
    limit: usize,
    made: Mutex<BTreeMap<String, Arc<F::Child>>>,
}

/// Families that share a label.
trait Families {
    /// One metric of each family.
    type Child;
}

impl<F: Families> Handles<F> {
    fn new(families: F, limit: usize) -> Handles<F> {
        Handles { families, limit, made: Mutex::default() }
    }

    fn handle(
        &self,
        name: &str,
        make: impl FnOnce(&F, &str) -> F::Child,
    ) -> Arc<F::Child> {
        let mut made = self.made.lock().expect("no holder panics");
        let is_room = made.len() < self.limit || made.contains_key(name);
        let name = if is_room { name } else { OTHER_LABEL };
        if let Some(child) = made.get(name) {
            return child.clone();
        }
        let child = Arc::new(make(&self.families, name));
        made.insert(name.to_owned(), child.clone());
        child
    }
}
