//! Routing choices of recent requests, for queries by operators.
//!
//! A ring buffer holds the last [`CAPACITY`] requests. A request locks the
//! ring once, when it starts; later updates lock only its own record, so that
//! they contend only with a query for that request. Nothing is recorded per
//! token. Names are copied, because references would keep the views of many
//! manifest generations alive.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

use chestnutreach_protocol::RequestId;
use chestnutreach_routing::{
    BackendIndex, Choice, RequestOutcome, RequestShape,
};
use chestnutreach_state::Outcome;
use serde::Serialize;

use crate::{session::Job, view::ServiceView};

/// Maximum number of requests in the ring.
const CAPACITY: usize = 4_096;

/// Ring buffer of recent requests, oldest first.
#[derive(Default)]
pub(crate) struct RecentRequests {
    ring: Mutex<VecDeque<Arc<RequestRecord>>>,
}

impl RecentRequests {
    /// Adds a request and returns the recorder for its choices.
    pub(crate) fn start(&self, job: &Job) -> ChoiceRecorder {
        let record = Arc::new(RequestRecord::new(job));
        let oldest = self.push(record.clone());
        // The evicted record is freed outside the lock.
        drop(oldest);
        ChoiceRecorder { service: job.service.clone(), record }
    }

    fn push(&self, new: Arc<RequestRecord>) -> Option<Arc<RequestRecord>> {
        let mut ring = self.lock();
        let is_full = ring.len() >= CAPACITY;
        let oldest = if is_full { ring.pop_front() } else { None };
        ring.push_back(new);
        oldest
    }

    /// The record of a request, as JSON.
    pub(crate) fn explain(&self, request: RequestId) -> Option<String> {
        let found = {
            let ring = self.lock();
            ring.iter().rev().find(|r| r.request == request).cloned()
        };
        found.map(|record| record.to_json())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<RequestRecord>>> {
        self.ring.lock().expect("no holder panics")
    }
}

struct RequestRecord {
    request: RequestId,
    service: String,
    account: String,
    started: Instant,
    state: Mutex<RecordedState>,
}

#[derive(Clone, Default, Serialize)]
struct RecordedState {
    choices: Vec<ChoiceRecord>,
    outcome: Option<&'static str>,
    reason: Option<&'static str>,
    detail: String,
    elapsed_ms: Option<u64>,
}

/// One routing choice and the outcome of its attempt.
#[derive(Clone, Serialize)]
struct ChoiceRecord {
    at_ms: u64,
    /// Backend servers in the order of their layers.
    stages: Vec<String>,
    avoided: Vec<String>,
    prompt_tokens: u32,
    output_tokens: u32,
    left_ms: u64,
    first_token_ms: u64,
    total_ms: u64,
    price_micros: u64,
    cost: f64,
    /// Outcome of the attempt; `None` while it runs, or if nothing was sent.
    ended: Option<&'static str>,
    at_fault: Option<String>,
}

#[derive(Serialize)]
struct Report<'a> {
    request: String,
    service: &'a str,
    account: &'a str,
    #[serde(flatten)]
    state: &'a RecordedState,
}

impl RequestRecord {
    fn new(job: &Job) -> RequestRecord {
        RequestRecord {
            request: job.request,
            service: job.service.name.clone(),
            account: job.account.clone(),
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RecordedState> {
        self.state.lock().expect("no holder panics")
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn to_json(&self) -> String {
        let report = Report {
            request: self.request.to_string(),
            service: &self.service,
            account: &self.account,
            state: &self.lock().clone(),
        };
        serde_json::to_string(&report)
            .expect("reports of plain fields can be written")
    }
}

/// Records the choices and the outcome of one request.
pub(crate) struct ChoiceRecorder {
    service: Arc<ServiceView>,
    record: Arc<RequestRecord>,
}

impl ChoiceRecorder {
    /// Records a chosen chain.
    pub(crate) fn record_choice(
        &self,
        choice: &Choice,
        shape: &RequestShape,
        avoid: &[BackendIndex],
    ) {
        let choice_record = ChoiceRecord {
            at_ms: self.record.elapsed_ms(),
            stages: self.names(&choice.stages),
            avoided: self.names(avoid),
            prompt_tokens: shape.prompt_tokens,
            output_tokens: shape.output_tokens,
            left_ms: shape.deadline_ms,
            first_token_ms: choice.first_token_ms,
            total_ms: choice.total_ms,
            price_micros: choice.price_micros,
            cost: choice.cost,
            ended: None,
            at_fault: None,
        };
        self.record.lock().choices.push(choice_record);
    }

    /// Records the outcome of the attempt on the last chosen chain. An attempt
    /// without stages belongs to an earlier request with the same key, whose
    /// chain was not chosen here, and is ignored.
    pub(crate) fn record_attempt_outcome(
        &self,
        stages: &[BackendIndex],
        outcome: &RequestOutcome,
        at_fault: Option<BackendIndex>,
    ) {
        if stages.is_empty() {
            return;
        }
        let at_fault = at_fault.map(|index| self.name(index));
        if let Some(choice) = self.record.lock().choices.last_mut() {
            choice.ended = Some(outcome_name(outcome));
            choice.at_fault = at_fault;
        }
    }

    /// Records the outcome of the request; `None` if the caller disconnected
    /// or an earlier request with the same key provides the response.
    pub(crate) fn record_outcome(
        &self,
        outcome: Option<Outcome>,
        detail: &str,
    ) {
        let mut state = self.record.lock();
        if state.elapsed_ms.is_some() {
            return;
        }
        state.elapsed_ms = Some(self.record.elapsed_ms());
        state.outcome = outcome.map(|outcome| outcome.as_str());
        if let Some(Outcome::NotRun { reason, .. }) = outcome {
            state.reason = Some(reason.as_str());
        }
        detail.clone_into(&mut state.detail);
    }

    fn names(&self, indices: &[BackendIndex]) -> Vec<String> {
        indices.iter().map(|index| self.name(*index)).collect()
    }

    fn name(&self, index: BackendIndex) -> String {
        self.service.fleet.spec(index).name.clone()
    }
}

impl Drop for ChoiceRecorder {
    fn drop(&mut self) {
        self.record_outcome(None, "");
    }
}

fn outcome_name(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Completed { .. } => "completed",
        RequestOutcome::Refused => "refused",
        RequestOutcome::Failed => "failed",
        RequestOutcome::Cancelled => "cancelled",
    }
}
