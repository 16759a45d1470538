//! Metrics and log events of one request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use chestnutreach_protocol::RequestId;
use chestnutreach_state::Outcome;
use chestnutreach_telemetry::{
    Event, emit,
    metrics::{AccountMetrics, ServiceMetrics},
};

use crate::{
    call::Call,
    session::RequestFailure,
    shared::{InFlight, Shared},
};

/// Records a request from its arrival to its outcome, which is recorded
/// exactly once.
pub(crate) struct RequestTracker {
    request: RequestId,
    service: String,
    account: String,
    service_metrics: Arc<ServiceMetrics>,
    account_metrics: Arc<AccountMetrics>,
    first_token_target: Duration,
    arrived: Instant,
    first_delivery: Option<Instant>,
    last_delivery: Option<Instant>,
    tokens: u32,
    has_ended: bool,
    _in_flight: InFlight,
}

impl RequestTracker {
    pub(crate) fn new(entry: &Arc<Shared>, call: &Call) -> RequestTracker {
        let service_metrics = entry.metrics.service(&call.service.name);
        let account_metrics = entry.metrics.account(&call.account.name);
        service_metrics.requests_in_flight.inc();
        account_metrics.requests.inc();
        let target_ms = call.service.service.first_token_objective_ms;
        RequestTracker {
            request: call.request,
            service: call.service.name.clone(),
            account: call.account.name.clone(),
            service_metrics,
            account_metrics,
            first_token_target: Duration::from_millis(target_ms),
            arrived: call.arrived,
            first_delivery: None,
            last_delivery: None,
            tokens: 0,
            has_ended: false,
            _in_flight: entry.count_request(),
        }
    }

    /// Records the delivery of tokens, or of the head of a plain response.
    pub(crate) fn record_delivery(&mut self, tokens: u32) {
        let now = Instant::now();
        match self.last_delivery.replace(now) {
            None => {
                self.first_delivery = Some(now);
                let wait = now.saturating_duration_since(self.arrived);
                let metric = &self.service_metrics.time_to_first_token;
                metric.observe(wait.as_secs_f64());
            }
            Some(last) => {
                let gap = now.saturating_duration_since(last);
                let metric = &self.service_metrics.time_between_tokens;
                metric.observe(gap.as_secs_f64());
            }
        }
        self.tokens += tokens;
        self.service_metrics.tokens_delivered.inc_by(tokens.into());
        self.account_metrics.tokens_delivered.inc_by(tokens.into());
    }

    /// Records a complete response.
    pub(crate) fn record_completed(&mut self) {
        let first = self.first_delivery.unwrap_or_else(Instant::now);
        let wait = first.saturating_duration_since(self.arrived);
        if wait <= self.first_token_target {
            self.service_metrics.requests_within_target.inc();
        }
        self.finish(Outcome::Completed, "");
    }

    /// Records a request that ended without a complete response.
    pub(crate) fn record_failure(&mut self, failure: &RequestFailure) {
        if failure.outcome == Outcome::Unknown {
            emit(
                Event::OutcomeUnknown,
                &[
                    ("request", &self.request),
                    ("service", &self.service),
                    ("account", &self.account),
                    ("detail", &failure.operator_detail),
                ],
            );
        }
        let detail = match failure.operator_detail.as_str() {
            "" => &failure.detail,
            operator_detail => operator_detail,
        };
        self.finish(failure.outcome, detail);
    }

    /// Records that the caller disconnected.
    pub(crate) fn record_disconnect(&mut self) {
        emit(
            Event::CallerGone,
            &[("request", &self.request), ("position", &self.tokens)],
        );
        self.finish_as("caller-gone", "caller_gone", "");
    }

    fn finish(&mut self, outcome: Outcome, detail: &str) {
        let reason = match outcome {
            Outcome::NotRun { reason, .. } => reason.as_str(),
            _ => "",
        };
        self.finish_as(outcome.as_str(), reason, detail);
    }

    fn finish_as(
        &mut self,
        outcome: &'static str,
        reason: &'static str,
        detail: &str,
    ) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let elapsed = self.arrived.elapsed();
        self.service_metrics.requests_in_flight.dec();
        self.service_metrics.record_request_ended(outcome, reason, elapsed);
        let logged_reason = if reason.is_empty() { detail } else { reason };
        emit(
            Event::RequestEnded,
            &[
                ("request", &self.request),
                ("service", &self.service),
                ("account", &self.account),
                ("outcome", &outcome),
                ("reason", &logged_reason),
                ("tokens", &self.tokens),
                ("elapsed_ms", &elapsed.as_millis()),
            ],
        );
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        // The handler was dropped together with the caller's connection.
        if !self.has_ended {
            self.record_disconnect();
        }
    }
}
