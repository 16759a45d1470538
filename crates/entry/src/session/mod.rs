//! One request over all its attempts.
//!
//! A session chooses a chain, sends the request to the first stage and hands
//! on what comes back, position by position. When an attempt breaks, it goes
//! on where it can be done without running anything twice that must not be:
//!
//! - "not run" frees it to try another chain, whatever the request;
//! - an idempotent request goes to another chain and resumes after the last
//!   position delivered;
//! - a non-idempotent one is never sent again after an ambiguous point: the
//!   session asks the side process what it knows until it answers or the
//!   time for that has passed.
//!
//! Nobody waits on an old connection, and a request that cannot go on ends
//! at once.

//!
//! | module | what it holds |
//! |---|---|
//! | `ending` | why a request has no whole answer |
//! | `dispatch` | choosing a chain and sending the request |
//! | `events` | what comes back, and how attempts end |
//! | `recover` | going on after a lost connection |

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

pub(crate) use crate::ending::{Cause, Ending};
use crate::{
    key_hold::KeyedRequest, recent::Choices, session_event::SessionEvent,
    shared::Shared, view::ServiceView,
};

/// What a request is, for all its attempts.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) account: String,
    pub(crate) priority: Priority,
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) work: JobWork,
}

/// What is asked for.
pub(crate) enum JobWork {
    /// Tokens from a model.
    Generate {
        model: String,
        request_json: Vec<u8>,
        max_tokens: u32,
        prompt_tokens_estimate: u32,
    },
    /// One call of a plain service.
    PlainCall(wire::PlainCall),
}

/// The next thing that happened to a request.
pub(crate) enum Progress {
    /// The next token.
    Token(wire::Token),
    /// The head of a plain answer.
    Head(wire::PlainHead),
    /// The next bytes of a plain answer.
    Data(Vec<u8>),
    /// The answer is whole.
    Whole(wire::Finished),
    /// It ended without a whole answer.
    Ended(Ending),
    /// Its key is held by an earlier request.
    Held(Box<Claim>),
}

/// The attempt that a session is at.
struct Attempt {
    stages: Vec<BackendIndex>,
    chain: Vec<wire::Stage>,
    link: Option<(Link, RequestGuard)>,
    is_accepted: bool,
    cost_tokens: u32,
    started: Instant,
    first_output: Option<Instant>,
    first_position: u32,
    /// Whether an earlier attempt may have begun.
    has_begun_before: bool,
}

enum Phase {
    /// No attempt is under way.
    Idle,
    /// An attempt is under way.
    Waiting,
    /// The connection to the first stage is lost.
    Lost,
    /// Nothing more will come.
    Over,
}

/// One request under way.
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
    /// Whether any attempt may have begun.
    may_have_begun: bool,
    avoid: Vec<BackendIndex>,
    last_refusal: Option<Ending>,
    tokens: Vec<u32>,
    next_position: u32,
    /// Position that the last attempt began at.
    tried_position: u32,
    /// Attempts since then that delivered nothing.
    fruitless_count: u32,
    ready: VecDeque<Progress>,
    choices: Choices,
}

impl Session {
    /// A session that has not been sent anywhere.
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
            choices: entry.recent.begin(&job),
            job,
            keyed,
            events,
            phase: Phase::Idle,
            attempt_number: 0,
            attempt_count: 0,
            attempt: None,
            may_have_begun: false,
            avoid: Vec::new(),
            last_refusal: None,
            tokens: Vec::new(),
            next_position: 0,
            tried_position: 0,
            fruitless_count: 0,
            ready: VecDeque::new(),
        }
    }

    /// The key and its claim, to note how the request ended.
    pub(crate) fn take_keyed(&mut self) -> Option<KeyedRequest> {
        self.keyed.take()
    }

    /// Goes on in place of an earlier request of the same key that surely
    /// did not run.
    pub(crate) fn take_over(&mut self, held: Claim) {
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::Idle;
    }

    /// Goes on as an earlier request of the same key whose entry has gone:
    /// asks the side process that its claim names.
    pub(crate) fn ask_for(&mut self, held: Claim) {
        self.entry.unregister(self.job.request);
        self.job.request = RequestId::from_u128(held.request);
        let (sender, events) = async_channel::unbounded();
        self.entry.register(self.job.request, sender);
        self.events = events;
        // Above every attempt that the other entry can have made.
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
            has_begun_before: false,
        });
        if let Some(keyed) = &mut self.keyed {
            keyed.replace_claim(held, self.job.request);
        }
        self.phase = Phase::Lost;
    }

    /// Waits for the next thing that happens.
    pub(crate) async fn next(&mut self) -> Progress {
        loop {
            if let Some(progress) = self.ready.pop_front() {
                return progress;
            }
            let is_open = !matches!(self.phase, Phase::Over);
            if is_open && self.entry.stop.is_cut() {
                self.cut();
                continue;
            }
            match self.phase {
                Phase::Idle => self.dispatch().await,
                Phase::Waiting => self.wait().await,
                Phase::Lost => self.recover().await,
                Phase::Over => {
                    let ending = Ending::failed("the request has ended");
                    return Progress::Ended(ending);
                }
            }
        }
    }

    fn end(&mut self, ending: Ending) {
        let ending = if self.job.is_idempotent {
            ending.worth_coming_back(self.entry.come_back_ms())
        } else {
            ending.without_coming_back()
        };
        self.phase = Phase::Over;
        self.attempt = None;
        let why = format!("{} {}", ending.detail, ending.note);
        self.choices.ended(Some(ending.outcome), why.trim_end());
        self.ready.push_back(Progress::Ended(ending));
    }

    /// Ends a request that cannot be tried again: "not run" if that is a
    /// fact, with the last refusal's reason.
    fn give_up(&mut self, cause: Cause, detail: &str) {
        if self.may_have_begun {
            let ending = Ending::new(Outcome::Failed, cause, detail);
            let known =
                self.last_refusal.take().and_then(|r| r.retry_after_ms);
            self.end(match known {
                Some(after_ms) => ending.retry_after_ms(after_ms),
                None => ending,
            });
            return;
        }
        let ending = self.last_refusal.take().unwrap_or_else(|| {
            let reason = match cause {
                Cause::Deadline => NotRunReason::TooLate,
                Cause::Request => NotRunReason::BadRequest,
                Cause::Backend => NotRunReason::NoChain,
            };
            let retry_after_ms = Some(self.entry.come_back_ms());
            Ending::not_run(reason, retry_after_ms, detail)
        });
        self.end(ending);
    }

    fn rest_ms(&self) -> u64 {
        let rest = self.job.deadline.saturating_duration_since(Instant::now());
        rest.as_millis() as u64
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.entry.unregister(self.job.request);
        if matches!(self.phase, Phase::Waiting | Phase::Lost) {
            self.cancel();
            if let Some(attempt) = &self.attempt {
                self.note_ended(attempt, &RequestOutcome::Cancelled, None);
            }
        }
    }
}

fn unix_s() -> u32 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs() as u32)
}
