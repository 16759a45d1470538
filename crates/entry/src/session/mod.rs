//! One request over all its attempts.
//!
//! A session chooses a chain, sends the request to the first stage and passes
//! the output on in order of its positions. When an attempt fails, the session
//! continues only where nothing runs twice that must run at most once:
//!
//! - After "not run", any request may be sent to another chain.
//! - An idempotent request is sent to another chain and resumes after the last
//!   delivered position.
//! - A non-idempotent request whose attempt may have run is never sent again:
//!   the session queries the side process until it responds or the time limit
//!   for recovery has passed.
//!
//! A session never waits on a lost connection, and a request that cannot
//! continue ends immediately.
//!
//! | module | contents |
//! |---|---|
//! | `dispatch` | choosing a chain and sending the request |
//! | `events` | output of an attempt, and how attempts end |
//! | `recover` | recovery after a lost connection |

mod dispatch;
mod events;
mod recover;

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use chestnutreach_platform::claims::Claim;
use chestnutreach_protocol::{Link, RequestId, link::RequestGuard, wire};
use chestnutreach_routing::{
    Priority, fleet::BackendIndex, live_state::RequestOutcome,
};
use chestnutreach_state::{NotRunReason, Outcome};

pub(crate) use crate::failure::{Cause, RequestFailure};
use crate::{
    key_claim::KeyedRequest, recent_requests::ChoiceRecorder,
    session_event::SessionEvent, shared::Shared, view::ServiceView,
};

/// Parameters of a request that are the same for all its attempts.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) account: String,
    pub(crate) priority: Priority,
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) work: JobWork,
}

/// The kind of work that a request asks for.
pub(crate) enum JobWork {
    /// Generate tokens with a model.
    Generate {
        model: String,
        request_json: Vec<u8>,
        max_tokens: u32,
        prompt_tokens_estimate: u32,
    },
    /// Call a plain service once.
    PlainCall(wire::PlainCall),
}

/// A step in the progress of a request.
pub(crate) enum Progress {
    /// The next token.
    Token(wire::Token),
    /// The status and headers of a plain response.
    Head(wire::PlainHead),
    /// The next bytes of a plain response.
    Data(Vec<u8>),
    /// The response is complete.
    Finished(wire::Finished),
    /// The request ended without a complete response.
    Failed(RequestFailure),
    /// An earlier request holds the idempotency key.
    KeyHeld(Box<Claim>),
}

/// The current attempt of a session.
struct Attempt {
    stages: Vec<BackendIndex>,
    chain: Vec<wire::Stage>,
    link: Option<(Link, RequestGuard)>,
    is_accepted: bool,
    cost_tokens: u32,
    started: Instant,
    first_output: Option<Instant>,
    first_position: u32,
    /// Whether an earlier attempt may have started.
    may_have_started_before: bool,
}

enum Phase {
    /// No attempt is in progress.
    Idle,
    /// An attempt is in progress.
    InAttempt,
    /// The connection to the first stage is lost.
    ConnectionLost,
    /// The request has ended.
    Ended,
}

/// One open request.
pub(crate) struct Session {
    entry: Arc<Shared>,
    job: Job,
    keyed: Option<KeyedRequest>,
    events: async_channel::Receiver<SessionEvent>,
    deadline: Timer,
    phase: Phase,
    attempt_number: u32,
    attempt_count: u32,
    attempt: Option<Attempt>,
    /// Whether any attempt may have started.
    may_have_started: bool,
    avoid: Vec<BackendIndex>,
    last_refusal: Option<RequestFailure>,
    tokens: Vec<u32>,
    next_position: u32,
    /// Position at which the last attempt started.
    attempt_start_position: u32,
    /// Consecutive attempts that delivered nothing.
    attempts_without_progress: u32,
    pending_progress: VecDeque<Progress>,
    choices: ChoiceRecorder,
}

impl Session {
    /// Creates a session whose request has not been sent yet.
    pub(crate) fn new(
        entry: &Arc<Shared>,
        job: Job,
        keyed: Option<KeyedRequest>,
    ) -> Session {
        let (sender, events) = async_channel::unbounded();
        entry.register(job.request, sender);
        job.service.budget.record_request();
        Session {
            entry: entry.clone(),
            deadline: Timer::at(job.deadline),
            choices: entry.recent_requests.start(&job),
            job,
            keyed,
            events,
            phase: Phase::Idle,
            attempt_number: 0,
            attempt_count: 0,
            attempt: None,
            may_have_started: false,
            avoid: Vec::new(),
            last_refusal: None,
            tokens: Vec::new(),
            next_position: 0,
            attempt_start_position: 0,
            attempts_without_progress: 0,
            pending_progress: VecDeque::new(),
        }
    }

    /// Takes the key and its claim, to record the outcome.
    pub(crate) fn take_keyed(&mut self) -> Option<KeyedRequest> {
        self.keyed.take()
    }

    /// Takes over the key from an earlier request that is known not to have
    /// run, and runs this request.
    pub(crate) fn take_over(&mut self, held: Claim) {
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::Idle;
    }

    /// Continues as an earlier request with the same key whose entry no longer
    /// handles it: queries the side process named in its claim.
    pub(crate) fn query_earlier_run(&mut self, held: Claim) {
        self.entry.unregister(self.job.request);
        self.job.request = RequestId::from_u128(held.request);
        let (sender, events) = async_channel::unbounded();
        self.entry.register(self.job.request, sender);
        self.events = events;
        // Higher than every attempt number that the other entry can have used.
        self.attempt_number = unix_s();
        let first = wire::Stage {
            side_address: held.side_address.to_string(),
            side_boot_id: held.side_boot_id,
            ..wire::Stage::default()
        };
        self.attempt = Some(Attempt {
            stages: Vec::new(),
            chain: vec![first],
            link: None,
            is_accepted: false,
            cost_tokens: 0,
            started: Instant::now(),
            first_output: None,
            first_position: 0,
            may_have_started_before: false,
        });
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::ConnectionLost;
    }

    /// Waits for the next progress of the request.
    pub(crate) async fn next(&mut self) -> Progress {
        loop {
            if let Some(progress) = self.pending_progress.pop_front() {
                return progress;
            }
            let is_open = !matches!(self.phase, Phase::Ended);
            if is_open && self.entry.shutdown.is_aborting() {
                self.abort();
                continue;
            }
            match self.phase {
                Phase::Idle => self.dispatch().await,
                Phase::InAttempt => self.handle_next_event().await,
                Phase::ConnectionLost => self.recover().await,
                Phase::Ended => {
                    let failure =
                        RequestFailure::failed("the request has ended");
                    return Progress::Failed(failure);
                }
            }
        }
    }

    fn fail(&mut self, failure: RequestFailure) {
        let failure = if self.job.is_idempotent {
            failure.with_default_retry_after_ms(self.entry.retry_after_ms())
        } else {
            failure.without_retry_after_ms()
        };
        self.phase = Phase::Ended;
        if let Some(attempt) = self.attempt.take() {
            self.record_attempt_outcome(
                &attempt,
                &RequestOutcome::Cancelled,
                None,
            );
        }
        let detail = format!("{} {}", failure.detail, failure.operator_detail);
        self.choices.record_outcome(Some(failure.outcome), detail.trim_end());
        self.pending_progress.push_back(Progress::Failed(failure));
    }

    /// Ends a request that cannot be retried: as failed if an attempt may have
    /// started, and otherwise as "not run" with the reason of the last refusal.
    fn fail_without_retry(&mut self, cause: Cause, detail: &str) {
        if self.may_have_started {
            let failure = RequestFailure::new(Outcome::Failed, cause, detail);
            let known =
                self.last_refusal.take().and_then(|r| r.retry_after_ms);
            self.fail(match known {
                Some(after_ms) => failure.with_retry_after_ms(after_ms),
                None => failure,
            });
            return;
        }
        let failure = self.last_refusal.take().unwrap_or_else(|| {
            let reason = match cause {
                Cause::Deadline => NotRunReason::TooLate,
                Cause::Request => NotRunReason::BadRequest,
                Cause::Backend => NotRunReason::NoChain,
            };
            let retry_after_ms = Some(self.entry.retry_after_ms());
            RequestFailure::not_run(reason, retry_after_ms, detail)
        });
        self.fail(failure);
    }

    fn remaining_ms(&self) -> u64 {
        let remaining =
            self.job.deadline.saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.entry.unregister(self.job.request);
        if matches!(self.phase, Phase::InAttempt | Phase::ConnectionLost) {
            self.cancel();
            if let Some(attempt) = &self.attempt {
                self.record_attempt_outcome(
                    attempt,
                    &RequestOutcome::Cancelled,
                    None,
                );
            }
        }
    }
}

fn unix_s() -> u32 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs() as u32)
}
