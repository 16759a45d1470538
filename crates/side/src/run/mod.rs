//! Requests whose first stage runs here.
//!
//! This process keeps the state of the request: it reserves the other stages,
//! feeds each token back into the first stage, sends the tokens to the entry
//! and ends the request on every stage. Received frames and engine results
//! drive the state; no task waits per request.
//!
//! | module | contents |
//! |---|---|
//! | `admit` | from the run message of the entry to the first step |
//! | `tokens` | steps of the first stage and output tokens |
//! | `end` | the end of a request and the release of its resources |
//! | `query` | queries of entries that lost a connection |

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

/// Work that a request asks for.
pub(crate) enum Work {
    /// Token generation by a model.
    Generate(wire::Generate),
    /// A call of a plain service.
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
    /// The caller's request without its prompt; computed on first use.
    parameters_json: OnceLock<Vec<u8>>,
    is_ended: AtomicBool,
    state: Mutex<State>,
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits for a slot of its backend server.
    Queued,
    /// Holds a slot and waits for the reservations of the other stages.
    Reserving,
    /// The first step has been queued, or the call started.
    Running,
    /// Ended with a complete output.
    Finished,
    /// Ended early: failed if the run had begun, refused otherwise.
    Stopped,
}

pub(crate) struct State {
    pub(crate) phase: Phase,
    pub(crate) entry: Option<(Link, RequestGuard)>,
    /// When the request is cancelled unless an entry attaches to it.
    pub(crate) orphan_until_ms: Option<u64>,
    /// Links to the stages from index 1 on, in order.
    stages: Vec<(Link, RequestGuard)>,
    /// Index of the last stage that has confirmed its reservation.
    reserved: u32,
    /// Number of positions of the first step: prompt and delivered tokens.
    first_span: Option<u32>,
    prompt_tokens: u32,
    cached_tokens: u32,
    produced: u32,
    outputs: Vec<Output>,
    output_bytes: usize,
    finished: Option<wire::Finished>,
    failure: Option<FailureReason>,
}

impl Run {
    /// Whether the run has ended.
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

    /// Number of tokens delivered by earlier attempts.
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
    /// Sends a message to the attached entry, if any. A lost entry is handled
    /// when the close event of its link arrives.
    fn send_entry(&self, body: Body) {
        if let Some((link, _)) = &self.entry {
            let _ = link.send(body);
        }
    }

    /// Stores a part of the output and sends it to the entry.
    fn record_output(&mut self, output: Output, bytes: usize) {
        self.output_bytes += bytes;
        self.send_entry(Body::Output(output.clone()));
        self.outputs.push(output);
    }

    /// Parts of the output from `position` on.
    fn outputs_from(&self, position: u32) -> Vec<Output> {
        let from = self.outputs.partition_point(|o| o.position < position);
        self.outputs[from..].to_vec()
    }

    /// Fills in the output and the end of the request as far as known.
    fn fill_query_response(
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

    /// Whether an entry other than the querying one is attached.
    fn is_attached_to_other(&self, querying: &Link) -> bool {
        self.entry.as_ref().is_some_and(|(link, _)| {
            !link.is_closed() && link.peer().boot_id != querying.peer().boot_id
        })
    }

    /// Index of the stage that is connected over a link.
    pub(crate) fn stage_of(&self, link_id: u64) -> Option<usize> {
        let at = self.stages.iter().position(|(l, _)| l.id() == link_id)?;
        Some(at + 1)
    }
}
