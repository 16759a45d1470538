//! What is counted and logged of one request.

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
    session::Ending,
    shared::{InFlight, Shared},
};

/// Counts a request from its start to its one outcome.
pub(crate) struct Tally {
    request: RequestId,
    service: String,
    account: String,
    service_metrics: Arc<ServiceMetrics>,
    account_metrics: Arc<AccountMetrics>,
    first_token_target: Duration,
    arrived: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u32,
    has_ended: bool,
    _in_flight: InFlight,
}

impl Tally {
    pub(crate) fn new(entry: &Arc<Shared>, call: &Call) -> Tally {
        let service_metrics = entry.metrics.service(&call.service.name);
        let account_metrics = entry.metrics.account(&call.account.name);
        service_metrics.requests_in_flight.inc();
        account_metrics.requests.inc();
        let target_ms = call.service.service.first_token_objective_ms;
        Tally {
            request: call.request,
            service: call.service.name.clone(),
            account: call.account.name.clone(),
            service_metrics,
            account_metrics,
            first_token_target: Duration::from_millis(target_ms),
            arrived: call.arrived,
            first: None,
            last: None,
            tokens: 0,
            has_ended: false,
            _in_flight: entry.enter(),
        }
    }

    /// A token, or a part of a plain answer, is handed to the caller.
    pub(crate) fn part(&mut self, tokens: u32) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => {
                self.first = Some(now);
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

    /// The answer was whole.
    pub(crate) fn completed(&mut self) {
        let first = self.first.unwrap_or_else(Instant::now);
        let wait = first.saturating_duration_since(self.arrived);
        if wait <= self.first_token_target {
            self.service_metrics.requests_within_target.inc();
        }
        self.end(Outcome::Completed, "");
    }

    /// The request ended without a whole answer.
    pub(crate) fn ended(&mut self, ending: &Ending) {
        if ending.outcome == Outcome::Unknown {
            emit(
                Event::OutcomeUnknown,
                &[
                    ("request", &self.request),
                    ("service", &self.service),
                    ("account", &self.account),
                    ("detail", &ending.note),
                ],
            );
        }
        let why = match ending.note.as_str() {
            "" => &ending.detail,
            note => note,
        };
        self.end(ending.outcome, why);
    }

    /// The caller hung up.
    pub(crate) fn caller_gone(&mut self) {
        emit(
            Event::CallerGone,
            &[("request", &self.request), ("position", &self.tokens)],
        );
        self.end_as("caller-gone", "caller_gone", "");
    }

    fn end(&mut self, outcome: Outcome, detail: &str) {
        let reason = match outcome {
            Outcome::NotRun { reason, .. } => reason.as_str(),
            _ => "",
        };
        self.end_as(outcome.as_str(), reason, detail);
    }

    fn end_as(
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
        let why = if reason.is_empty() { detail } else { reason };
        emit(
            Event::RequestEnded,
            &[
                ("request", &self.request),
                ("service", &self.service),
                ("account", &self.account),
                ("outcome", &outcome),
                ("reason", &why),
                ("tokens", &self.tokens),
                ("elapsed_ms", &elapsed.as_millis()),
            ],
        );
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        // Its handler was dropped with the caller's connection.
        if !self.has_ended {
            self.caller_gone();
        }
    }
}
