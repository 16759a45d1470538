//! The routing choices of recent requests, for operators to ask about.
//!
//! A ring holds the last [`CAPACITY`] requests. A request takes the ring's
//! lock once, when it begins; what it notes later goes under a lock of its
//! own, which only someone who asks about it shares. Nothing is noted per
//! token. Names are copied instead of keeping the view: a ring that lives
//! over many generations would keep all their views alive.

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

/// Requests remembered.
const CAPACITY: usize = 4_096;

/// The requests of late, oldest first.
#[derive(Default)]
pub(crate) struct Recent {
    ring: Mutex<VecDeque<Arc<Remembered>>>,
}

impl Recent {
    /// Remembers a request from now on.
    pub(crate) fn begin(&self, job: &Job) -> Choices {
        let remembered = Arc::new(Remembered::new(job));
        let oldest = self.push(remembered.clone());
        // Freed outside of the lock.
        drop(oldest);
        Choices { service: job.service.clone(), remembered }
    }

    fn push(&self, new: Arc<Remembered>) -> Option<Arc<Remembered>> {
        let mut ring = self.lock();
        let is_full = ring.len() >= CAPACITY;
        let oldest = if is_full { ring.pop_front() } else { None };
        ring.push_back(new);
        oldest
    }

    /// What is remembered of a request, as JSON.
    pub(crate) fn explain(&self, request: RequestId) -> Option<String> {
        let found = {
            let ring = self.lock();
            ring.iter().rev().find(|r| r.request == request).cloned()
        };
        found.map(|remembered| remembered.to_json())
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<Remembered>>> {
        self.ring.lock().expect("no holder panics")
    }
}

struct Remembered {
    request: RequestId,
    service: String,
    account: String,
    began: Instant,
    notes: Mutex<Notes>,
}

#[derive(Clone, Default, Serialize)]
struct Notes {
    choices: Vec<NotedChoice>,
    outcome: Option<&'static str>,
    reason: Option<&'static str>,
    detail: String,
    elapsed_ms: Option<u64>,
}

/// One choice, and what became of its attempt.
#[derive(Clone, Serialize)]
struct NotedChoice {
    at_ms: u64,
    /// From layer 0 up.
    stages: Vec<String>,
    avoided: Vec<String>,
    prompt_tokens: u32,
    output_tokens: u32,
    left_ms: u64,
    first_token_ms: u64,
    total_ms: u64,
    price_micros: u64,
    cost: f64,
    /// None while it is under way, and where nothing was sent.
    ended: Option<&'static str>,
    at_fault: Option<String>,
}

#[derive(Serialize)]
struct Report<'a> {
    request: String,
    service: &'a str,
    account: &'a str,
    #[serde(flatten)]
    notes: &'a Notes,
}

impl Remembered {
    fn new(job: &Job) -> Remembered {
        Remembered {
            request: job.request,
            service: job.service.name.clone(),
            account: job.account.clone(),
            began: Instant::now(),
            notes: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().expect("no holder panics")
    }

    fn elapsed_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn to_json(&self) -> String {
        let report = Report {
            request: self.request.to_string(),
            service: &self.service,
            account: &self.account,
            notes: &self.lock().clone(),
        };
        serde_json::to_string(&report)
            .expect("reports of plain fields can be written")
    }
}

/// Where a request notes its choices.
pub(crate) struct Choices {
    service: Arc<ServiceView>,
    remembered: Arc<Remembered>,
}

impl Choices {
    /// A chain was chosen.
    pub(crate) fn chosen(
        &self,
        choice: &Choice,
        shape: &RequestShape,
        avoid: &[BackendIndex],
    ) {
        let noted = NotedChoice {
            at_ms: self.remembered.elapsed_ms(),
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
        self.remembered.lock().choices.push(noted);
    }

    /// The attempt on the chain chosen last has ended; one without stages
    /// is an earlier request's, which was not chosen here.
    pub(crate) fn attempt_ended(
        &self,
        stages: &[BackendIndex],
        ended: &RequestOutcome,
        at_fault: Option<BackendIndex>,
    ) {
        if stages.is_empty() {
            return;
        }
        let at_fault = at_fault.map(|index| self.name(index));
        if let Some(choice) = self.remembered.lock().choices.last_mut() {
            choice.ended = Some(word(ended));
            choice.at_fault = at_fault;
        }
    }

    /// The request has its outcome; none of its own when its caller hung up
    /// or an earlier request with its key answers.
    pub(crate) fn ended(&self, outcome: Option<Outcome>, detail: &str) {
        let mut notes = self.remembered.lock();
        if notes.elapsed_ms.is_some() {
            return;
        }
        notes.elapsed_ms = Some(self.remembered.elapsed_ms());
        notes.outcome = outcome.map(|outcome| outcome.as_str());
        if let Some(Outcome::NotRun { reason, .. }) = outcome {
            notes.reason = Some(reason.as_str());
        }
        detail.clone_into(&mut notes.detail);
    }

    fn names(&self, indices: &[BackendIndex]) -> Vec<String> {
        indices.iter().map(|index| self.name(*index)).collect()
    }

    fn name(&self, index: BackendIndex) -> String {
        self.service.fleet.spec(index).name.clone()
    }
}

impl Drop for Choices {
    fn drop(&mut self) {
        self.ended(None, "");
    }
}

fn word(ended: &RequestOutcome) -> &'static str {
    match ended {
        RequestOutcome::Completed { .. } => "completed",
        RequestOutcome::Refused => "refused",
        RequestOutcome::Failed => "failed",
        RequestOutcome::Cancelled => "cancelled",
    }
}
