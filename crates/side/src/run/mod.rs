//! A request whose first stage is here.
//!
//! This process keeps the request's step state: it reserves the other
//! stages, feeds each token back into the first stage, hands the tokens to
//! the entry, and ends the request on every stage. It is moved on by frames
//! and engine answers, never by a task that waits.
//!
//! | module | what it holds |
//! |---|---|
//! | `admit` | from the entry's frame to the first step |
//! | `tokens` | steps and the tokens that come of them |
//! | `end` | the ends of a request, and what they free |
//! | `query` | questions of entries that lost a connection |

mod admit;
mod end;
mod query;
mod tokens;

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock,
    atomic::{AtomicBool, Ordering},
};

use chestnutreach_engine::SequenceId;
use chestnutreach_protocol::{
    Link, RequestId,
    link::RequestGuard,
    wire::{self, FailureReason, Output, Stage, frame::Body},
};
use chestnutreach_routing::RequestShape;

use crate::backend::Backend;

/// What is to be done.
pub(crate) enum Work {
    /// Tokens from a model.
    Generate(wire::Generate),
    /// One call of a plain service.
    PlainCall(wire::PlainCall),
}

/// One attempt of a request at its first stage.
pub(crate) struct Run {
    pub(crate) id: u128,
    pub(crate) attempt: u32,
    pub(crate) service: String,
    pub(crate) account: String,
    pub(crate) is_idempotent: bool,
    pub(crate) is_kept: bool,
    pub(crate) deadline_at_ms: u64,
    pub(crate) generation: u64,
    pub(crate) chain: Vec<Stage>,
    pub(crate) work: Work,
    pub(crate) shape: RequestShape,
    pub(crate) cost_tokens: u64,
    pub(crate) backend: Arc<Backend>,
    /// The caller's request without its prompt, once it is asked for.
    parameters_json: OnceLock<Vec<u8>>,
    is_ended: AtomicBool,
    state: Mutex<State>,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits for a place on its backend server.
    Queued,
    /// Holds its place, waits for the other stages.
    Reserving,
    /// Has begun.
    Running,
    /// Ran to its end.
    Finished,
    /// Ended early; failed if it had begun.
    Stopped,
}

pub(crate) struct State {
    pub(crate) phase: Phase,
    pub(crate) entry: Option<(Link, RequestGuard)>,
    /// When the request is given up unless an entry asks for it.
    pub(crate) orphan_until_ms: Option<u64>,
    /// Links to stages 1.. in order.
    stages: Vec<(Link, RequestGuard)>,
    /// Last stage that holds its reservation.
    reserved: u32,
    /// Positions of the first step: prompt and delivered tokens.
    first_span: Option<u32>,
    prompt_tokens: u32,
    cached_tokens: u32,
    produced: u32,
    outputs: Vec<Output>,
    answer_bytes: usize,
    finished: Option<wire::Finished>,
    failure: Option<FailureReason>,
}

impl Run {
    /// Whether nothing more will be done for it.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Acquire)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    pub(crate) fn wire_id(&self) -> Option<wire::RequestId> {
        Some(RequestId::from_u128(self.id).into())
    }

    fn sequence(&self) -> SequenceId {
        SequenceId { request: self.id, attempt: self.attempt }
    }

    /// Tokens the caller had before this attempt.
    fn delivered(&self) -> u32 {
        match &self.work {
            Work::Generate(g) => g.delivered_tokens.len() as u32,
            Work::PlainCall(_) => 0,
        }
    }

    fn max_tokens(&self) -> u32 {
        match &self.work {
            Work::Generate(g) => g.max_tokens,
            Work::PlainCall(_) => 0,
        }
    }
}

impl State {
    /// Sends to the entry if one is there; a lost entry is noticed by its
    /// link's close.
    fn send_entry(&self, body: Body) {
        if let Some((link, _)) = &self.entry {
            let _ = link.send(body);
        }
    }

    /// Keeps a part of the answer and sends it on.
    fn output(&mut self, output: Output, bytes: usize) {
        self.answer_bytes += bytes;
        self.send_entry(Body::Output(output.clone()));
        self.outputs.push(output);
    }

    /// Parts of the answer from a position on.
    fn outputs_from(&self, position: u32) -> Vec<Output> {
        let from = self.outputs.partition_point(|o| o.position < position);
        self.outputs[from..].to_vec()
    }

    /// Fills in what there is of the answer.
    fn fill_answer(
        &self,
        run: &Run,
        m: &wire::Query,
        answer: &mut wire::QueryAnswer,
    ) {
        answer.attempt = run.attempt;
        answer.outputs = self.outputs_from(m.from_position);
        answer.finished = self.finished.clone();
        answer.failure = self.failure.unwrap_or_default().into();
    }

    /// Whether another entry than the asker still takes the answer.
    fn is_taken_by_another(&self, asker: &Link) -> bool {
        self.entry.as_ref().is_some_and(|(link, _)| {
            !link.is_closed() && link.peer().boot_id != asker.peer().boot_id
        })
    }

    /// Index of the stage that a link leads to.
    pub(crate) fn stage_of(&self, link_id: u64) -> Option<usize> {
        let at = self.stages.iter().position(|(l, _)| l.id() == link_id)?;
        Some(at + 1)
    }
}
