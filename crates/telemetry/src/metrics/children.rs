//! The metrics of one service, client account or backend server.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
};

use super::Families;
use crate::family::Registrar;

/// Times of a whole request, in seconds.
const REQUEST_TIMES: [f64; 13] =
    [0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 180.0];
/// Times to a first token or after a failure, in seconds.
const WAIT_TIMES: [f64; 13] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
/// Times of one token or step, in seconds.
const TOKEN_TIMES: [f64; 11] =
    [0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Sizes of a batch, in requests.
const BATCH_SIZES: [f64; 9] =
    [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

const SERVICE: &[&str] = &["service"];
const ACCOUNT: &[&str] = &["account"];
const BACKEND: &[&str] = &["backend"];

/// The metrics of one service.
pub struct ServiceMetrics {
    /// Requests taken and not ended.
    pub requests_in_flight: IntGauge,
    /// Requests that wait for a path.
    pub requests_waiting: IntGauge,
    /// Requests that ended whole and within the service's target.
    pub requests_within_target: IntCounter,
    /// Attempts sent to a chain.
    pub attempts: IntCounter,
    /// Retries that the budget did not allow.
    pub retries_denied: IntCounter,
    /// Requests that went on after a failure.
    pub requests_resumed: IntCounter,
    /// Tokens delivered to callers.
    pub tokens_delivered: IntCounter,
    /// Seconds from a request to its first token.
    pub time_to_first_token: Histogram,
    /// Seconds from one token to the next.
    pub time_between_tokens: Histogram,
    /// Seconds of a whole request.
    pub request_time: Histogram,
    /// Seconds from a failure to the next token.
    pub recovery_time: Histogram,
    name: String,
    requests: IntCounterVec,
    refusals: IntCounterVec,
}

impl ServiceMetrics {
    /// A request has its outcome; both words come from closed sets.
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

    /// This process refused an attempt before it ran; the word comes from a
    /// closed set.
    pub fn record_attempt_refused(&self, reason: &'static str) {
        let labels = [self.name.as_str(), reason];
        self.refusals.with_label_values(&labels).inc();
    }
}

/// The metrics of one client account.
pub struct AccountMetrics {
    /// Requests taken.
    pub requests: IntCounter,
    /// Tokens delivered to its callers.
    pub tokens_delivered: IntCounter,
}

/// The metrics of one backend server.
pub struct BackendMetrics {
    /// 1 while it answers its calls.
    pub is_healthy: IntGauge,
    /// Requests that hold a reservation.
    pub running: IntGauge,
    /// Requests that wait for admission.
    pub queued: IntGauge,
    /// Work that waits for admission, in tokens.
    pub queue_tokens: IntGauge,
    /// Steps run.
    pub steps: IntCounter,
    /// Requests in one call.
    pub batch_size: Histogram,
    /// Seconds of one call.
    pub step_time: Histogram,
}

pub(super) struct ServiceFamilies {
    requests_in_flight: IntGaugeVec,
    requests_waiting: IntGaugeVec,
    requests_within_target: IntCounterVec,
    attempts: IntCounterVec,
    retries_denied: IntCounterVec,
    requests_resumed: IntCounterVec,
    tokens_delivered: IntCounterVec,
    time_to_first_token: HistogramVec,
    time_between_tokens: HistogramVec,
    request_time: HistogramVec,
    recovery_time: HistogramVec,
    requests: IntCounterVec,
    refusals: IntCounterVec,
}

impl Families for ServiceFamilies {
    type Child = ServiceMetrics;
}

impl ServiceFamilies {
    pub(super) fn new(r: &mut Registrar) -> ServiceFamilies {
        ServiceFamilies {
            requests_in_flight: r.gauges(
                "requests_in_flight",
                SERVICE,
                "Requests taken and not ended.",
            ),
            requests_waiting: r.gauges(
                "requests_waiting",
                SERVICE,
                "Requests that wait for a path.",
            ),
            requests_within_target: r.counters(
                "requests_within_target_total",
                SERVICE,
                "Requests that ended whole within the target of the service.",
            ),
            attempts: r.counters(
                "attempts_total",
                SERVICE,
                "Attempts sent to a chain of backend servers.",
            ),
            retries_denied: r.counters(
                "retries_denied_total",
                SERVICE,
                "Retries that the budget of the service did not allow.",
            ),
            requests_resumed: r.counters(
                "requests_resumed_total",
                SERVICE,
                "Requests that went on after a failure.",
            ),
            tokens_delivered: r.counters(
                "tokens_delivered_total",
                SERVICE,
                "Tokens delivered to callers.",
            ),
            time_to_first_token: r.histograms(
                "time_to_first_token_seconds",
                SERVICE,
                &WAIT_TIMES,
                "Time from a request to its first token.",
            ),
            time_between_tokens: r.histograms(
                "time_between_tokens_seconds",
                SERVICE,
                &TOKEN_TIMES,
                "Time from one token to the next.",
            ),
            request_time: r.histograms(
                "request_seconds",
                SERVICE,
                &REQUEST_TIMES,
                "Time of a whole request.",
            ),
            recovery_time: r.histograms(
                "recovery_seconds",
                SERVICE,
                &WAIT_TIMES,
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
        let n = &[name];
        ServiceMetrics {
            requests_in_flight: self.requests_in_flight.with_label_values(n),
            requests_waiting: self.requests_waiting.with_label_values(n),
            requests_within_target: self
                .requests_within_target
                .with_label_values(n),
            attempts: self.attempts.with_label_values(n),
            retries_denied: self.retries_denied.with_label_values(n),
            requests_resumed: self.requests_resumed.with_label_values(n),
            tokens_delivered: self.tokens_delivered.with_label_values(n),
            time_to_first_token: self.time_to_first_token.with_label_values(n),
            time_between_tokens: self.time_between_tokens.with_label_values(n),
            request_time: self.request_time.with_label_values(n),
            recovery_time: self.recovery_time.with_label_values(n),
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

impl Families for AccountFamilies {
    type Child = AccountMetrics;
}

impl AccountFamilies {
    pub(super) fn new(r: &mut Registrar) -> AccountFamilies {
        AccountFamilies {
            requests: r.counters(
                "account_requests_total",
                ACCOUNT,
                "Requests taken from a client account.",
            ),
            tokens_delivered: r.counters(
                "account_tokens_delivered_total",
                ACCOUNT,
                "Tokens delivered to the callers of a client account.",
            ),
        }
    }

    pub(super) fn child(&self, name: &str) -> AccountMetrics {
        let n = &[name];
        AccountMetrics {
            requests: self.requests.with_label_values(n),
            tokens_delivered: self.tokens_delivered.with_label_values(n),
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

impl Families for BackendFamilies {
    type Child = BackendMetrics;
}

impl BackendFamilies {
    pub(super) fn new(r: &mut Registrar) -> BackendFamilies {
        BackendFamilies {
            is_healthy: r.gauges(
                "backend_is_healthy",
                BACKEND,
                "1 while a backend server answers its calls, else 0.",
            ),
            running: r.gauges(
                "backend_running_requests",
                BACKEND,
                "Requests that hold a reservation.",
            ),
            queued: r.gauges(
                "backend_queued_requests",
                BACKEND,
                "Requests that wait for admission.",
            ),
            queue_tokens: r.gauges(
                "backend_queue_tokens",
                BACKEND,
                "Work that waits for admission, in tokens.",
            ),
            steps: r.counters(
                "backend_steps_total",
                BACKEND,
                "Steps run by a backend server.",
            ),
            batch_size: r.histograms(
                "backend_batch_size",
                BACKEND,
                &BATCH_SIZES,
                "Requests in one call to a backend server.",
            ),
            step_time: r.histograms(
                "backend_step_seconds",
                BACKEND,
                &TOKEN_TIMES,
                "Time of one call to a backend server.",
            ),
        }
    }

    pub(super) fn child(&self, name: &str) -> BackendMetrics {
        let n = &[name];
        BackendMetrics {
            is_healthy: self.is_healthy.with_label_values(n),
            running: self.running.with_label_values(n),
            queued: self.queued.with_label_values(n),
            queue_tokens: self.queue_tokens.with_label_values(n),
            steps: self.steps.with_label_values(n),
            batch_size: self.batch_size.with_label_values(n),
            step_time: self.step_time.with_label_values(n),
        }
    }
}
