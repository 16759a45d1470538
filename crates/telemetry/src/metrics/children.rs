//! Metrics that are labelled by service, client account or backend server.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
};

use super::FamilyGroup;
use crate::metric_family::Registrar;

/// Buckets for the duration of a request, in seconds.
const REQUEST_BUCKETS_S: [f64; 13] =
    [0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 180.0];
/// Buckets for the time to the first token and the time from a failure to the
/// next token, in seconds.
const WAIT_BUCKETS_S: [f64; 13] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
/// Buckets for the time of one token or step, in seconds.
const TOKEN_BUCKETS_S: [f64; 11] =
    [0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Buckets for the size of a batch, in requests.
const BATCH_SIZE_BUCKETS: [f64; 9] =
    [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

const SERVICE_LABEL: &[&str] = &["service"];
const ACCOUNT_LABEL: &[&str] = &["account"];
const BACKEND_LABEL: &[&str] = &["backend"];

/// Metrics of one service.
pub struct ServiceMetrics {
    /// Requests that were accepted and have not ended.
    pub requests_in_flight: IntGauge,
    /// Requests that are queued for a path.
    pub requests_waiting: IntGauge,
    /// Part of the capacity of the backend servers in use, in thousandths.
    pub capacity_fill_permille: IntGauge,
    /// Requests that were refused because callers ask for more than fits.
    pub shares_refused: IntCounter,
    /// Requests that completed within the target of the service.
    pub requests_within_target: IntCounter,
    /// Attempts sent to a chain of backend servers.
    pub attempts: IntCounter,
    /// Retries denied by the retry budget.
    pub retries_denied: IntCounter,
    /// Attempts sent beside one without an answer.
    pub hedges_sent: IntCounter,
    /// Hedges whose answer came first.
    pub hedges_won: IntCounter,
    /// Hedges denied by a limit.
    pub hedges_denied: IntCounter,
    /// Requests resumed after a failure.
    pub requests_resumed: IntCounter,
    /// Tokens delivered to callers.
    pub tokens_delivered: IntCounter,
    /// Seconds from a request to its first token.
    pub time_to_first_token: Histogram,
    /// Seconds from one token to the next.
    pub time_between_tokens: Histogram,
    /// Seconds from the start of a request to its end.
    pub request_time: Histogram,
    /// Seconds from a failure to the next token.
    pub recovery_time: Histogram,
    name: String,
    requests: IntCounterVec,
    refusals: IntCounterVec,
}

impl ServiceMetrics {
    /// Counts a finished request and its duration. `outcome` and `reason` come
    /// from fixed sets, which bounds the number of series.
    pub fn record_request_ended(
        &self,
        outcome: &'static str,
        reason: &'static str,
        elapsed: Duration,
    ) {
        let labels = [self.name.as_str(), outcome, reason];
        self.requests.with_label_values(&labels).inc();
        self.request_time.observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt that this process refused before the attempt ran.
    /// `reason` comes from a fixed set, which bounds the number of series.
    pub fn record_attempt_refused(&self, reason: &'static str) {
        let labels = [self.name.as_str(), reason];
        self.refusals.with_label_values(&labels).inc();
    }
}

/// Metrics of one client account.
pub struct AccountMetrics {
    /// Accepted requests.
    pub requests: IntCounter,
    /// Tokens delivered to callers of the account.
    pub tokens_delivered: IntCounter,
}

/// Metrics of one backend server.
pub struct BackendMetrics {
    /// 1 while the backend server responds to calls, else 0.
    pub is_healthy: IntGauge,
    /// Requests that hold a reservation.
    pub running: IntGauge,
    /// Requests that are queued for admission.
    pub queued: IntGauge,
    /// Tokens of work that is queued for admission.
    pub queue_tokens: IntGauge,
    /// Steps that the backend server has run.
    pub steps: IntCounter,
    /// Requests batched into one call.
    pub batch_size: Histogram,
    /// Seconds that one call takes.
    pub step_time: Histogram,
}

pub(super) struct ServiceFamilies {
    requests_in_flight: IntGaugeVec,
    requests_waiting: IntGaugeVec,
    capacity_fill_permille: IntGaugeVec,
    shares_refused: IntCounterVec,
    requests_within_target: IntCounterVec,
    attempts: IntCounterVec,
    retries_denied: IntCounterVec,
    hedges_sent: IntCounterVec,
    hedges_won: IntCounterVec,
    hedges_denied: IntCounterVec,
    requests_resumed: IntCounterVec,
    tokens_delivered: IntCounterVec,
    time_to_first_token: HistogramVec,
    time_between_tokens: HistogramVec,
    request_time: HistogramVec,
    recovery_time: HistogramVec,
    requests: IntCounterVec,
    refusals: IntCounterVec,
}

impl FamilyGroup for ServiceFamilies {
    type Child = ServiceMetrics;
}

impl ServiceFamilies {
    pub(super) fn new(r: &mut Registrar) -> ServiceFamilies {
        ServiceFamilies {
            requests_in_flight: r.gauges(
                "requests_in_flight",
                SERVICE_LABEL,
                "Requests taken and not ended.",
            ),
            requests_waiting: r.gauges(
                "requests_waiting",
                SERVICE_LABEL,
                "Requests that wait for a path.",
            ),
            capacity_fill_permille: r.gauges(
                "capacity_fill_permille",
                SERVICE_LABEL,
                "Part of the capacity in use, in thousandths.",
            ),
            shares_refused: r.counters(
                "shares_refused_total",
                SERVICE_LABEL,
                "Requests refused since more is asked than fits.",
            ),
            requests_within_target: r.counters(
                "requests_within_target_total",
                SERVICE_LABEL,
                "Requests that ended whole within the target of the service.",
            ),
            attempts: r.counters(
                "attempts_total",
                SERVICE_LABEL,
                "Attempts sent to a chain of backend servers.",
            ),
            retries_denied: r.counters(
                "retries_denied_total",
                SERVICE_LABEL,
                "Retries that the budget of the service did not allow.",
            ),
            hedges_sent: r.counters(
                "hedges_sent_total",
                SERVICE_LABEL,
                "Attempts sent beside one without an answer.",
            ),
            hedges_won: r.counters(
                "hedges_won_total",
                SERVICE_LABEL,
                "Hedges whose answer came first.",
            ),
            hedges_denied: r.counters(
                "hedges_denied_total",
                SERVICE_LABEL,
                "Hedges that a limit did not allow.",
            ),
            requests_resumed: r.counters(
                "requests_resumed_total",
                SERVICE_LABEL,
                "Requests that went on after a failure.",
            ),
            tokens_delivered: r.counters(
                "tokens_delivered_total",
                SERVICE_LABEL,
                "Tokens delivered to callers.",
            ),
            time_to_first_token: r.histograms(
                "time_to_first_token_seconds",
                SERVICE_LABEL,
                &WAIT_BUCKETS_S,
                "Time from a request to its first token.",
            ),
            time_between_tokens: r.histograms(
                "time_between_tokens_seconds",
                SERVICE_LABEL,
                &TOKEN_BUCKETS_S,
                "Time from one token to the next.",
            ),
            request_time: r.histograms(
                "request_seconds",
                SERVICE_LABEL,
                &REQUEST_BUCKETS_S,
                "Time of a whole request.",
            ),
            recovery_time: r.histograms(
                "recovery_seconds",
                SERVICE_LABEL,
                &WAIT_BUCKETS_S,
                "Time from a failure to the next token.",
            ),
            requests: r.counters(
                "requests_total",
                &["service", "outcome", "reason"],
                "Requests by their one outcome.",
            ),
            refusals: r.counters(
                "attempt_refusals_total",
                &["service", "reason"],
                "Attempts that this process refused before they ran.",
            ),
        }
    }

    pub(super) fn child(&self, name: &str) -> ServiceMetrics {
        let labels = &[name];
        ServiceMetrics {
            requests_in_flight: self
                .requests_in_flight
                .with_label_values(labels),
            requests_waiting: self.requests_waiting.with_label_values(labels),
            capacity_fill_permille: self
                .capacity_fill_permille
                .with_label_values(labels),
            shares_refused: self.shares_refused.with_label_values(labels),
            requests_within_target: self
                .requests_within_target
                .with_label_values(labels),
            attempts: self.attempts.with_label_values(labels),
            retries_denied: self.retries_denied.with_label_values(labels),
            hedges_sent: self.hedges_sent.with_label_values(labels),
            hedges_won: self.hedges_won.with_label_values(labels),
            hedges_denied: self.hedges_denied.with_label_values(labels),
            requests_resumed: self.requests_resumed.with_label_values(labels),
            tokens_delivered: self.tokens_delivered.with_label_values(labels),
            time_to_first_token: self
                .time_to_first_token
                .with_label_values(labels),
            time_between_tokens: self
                .time_between_tokens
                .with_label_values(labels),
            request_time: self.request_time.with_label_values(labels),
            recovery_time: self.recovery_time.with_label_values(labels),
            name: name.to_owned(),
            requests: self.requests.clone(),
            refusals: self.refusals.clone(),
        }
    }
}

pub(super) struct AccountFamilies {
    requests: IntCounterVec,
    tokens_delivered: IntCounterVec,
}

impl FamilyGroup for AccountFamilies {
    type Child = AccountMetrics;
}

impl AccountFamilies {
    pub(super) fn new(r: &mut Registrar) -> AccountFamilies {
        AccountFamilies {
            requests: r.counters(
                "account_requests_total",
                ACCOUNT_LABEL,
                "Requests taken from a client account.",
            ),
            tokens_delivered: r.counters(
                "account_tokens_delivered_total",
                ACCOUNT_LABEL,
                "Tokens delivered to the callers of a client account.",
            ),
        }
    }

    pub(super) fn child(&self, name: &str) -> AccountMetrics {
        let labels = &[name];
        AccountMetrics {
            requests: self.requests.with_label_values(labels),
            tokens_delivered: self.tokens_delivered.with_label_values(labels),
        }
    }
}

pub(super) struct BackendFamilies {
    is_healthy: IntGaugeVec,
    running: IntGaugeVec,
    queued: IntGaugeVec,
    queue_tokens: IntGaugeVec,
    steps: IntCounterVec,
    batch_size: HistogramVec,
    step_time: HistogramVec,
}

impl FamilyGroup for BackendFamilies {
    type Child = BackendMetrics;
}

impl BackendFamilies {
    pub(super) fn new(r: &mut Registrar) -> BackendFamilies {
        BackendFamilies {
            is_healthy: r.gauges(
                "backend_is_healthy",
                BACKEND_LABEL,
                "1 while a backend server answers its calls, else 0.",
            ),
            running: r.gauges(
                "backend_running_requests",
                BACKEND_LABEL,
                "Requests that hold a reservation.",
            ),
            queued: r.gauges(
                "backend_queued_requests",
                BACKEND_LABEL,
                "Requests that wait for admission.",
            ),
            queue_tokens: r.gauges(
                "backend_queue_tokens",
                BACKEND_LABEL,
                "Work that waits for admission, in tokens.",
            ),
            steps: r.counters(
                "backend_steps_total",
                BACKEND_LABEL,
                "Steps run by a backend server.",
            ),
            batch_size: r.histograms(
                "backend_batch_size",
                BACKEND_LABEL,
                &BATCH_SIZE_BUCKETS,
                "Requests in one call to a backend server.",
            ),
            step_time: r.histograms(
                "backend_step_seconds",
                BACKEND_LABEL,
                &TOKEN_BUCKETS_S,
                "Time of one call to a backend server.",
            ),
        }
    }

    pub(super) fn child(&self, name: &str) -> BackendMetrics {
        let labels = &[name];
        BackendMetrics {
            is_healthy: self.is_healthy.with_label_values(labels),
            running: self.running.with_label_values(labels),
            queued: self.queued.with_label_values(labels),
            queue_tokens: self.queue_tokens.with_label_values(labels),
            steps: self.steps.with_label_values(labels),
            batch_size: self.batch_size.with_label_values(labels),
            step_time: self.step_time.with_label_values(labels),
        }
    }
}
