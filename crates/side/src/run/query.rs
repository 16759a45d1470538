//! Queries of entries that lost a connection or took over from a failed entry.

use std::sync::Arc;

use chestnutreach_protocol::{
    Link, RequestId,
    wire::{self, frame::Body},
};
use chestnutreach_state::run_once;

use super::{Phase, Run};
use crate::node::Shared;

impl Shared {
    /// Responds with the state of a request. The querying entry may attach to
    /// the request to receive the remaining output.
    pub(crate) fn handle_query(
        self: &Arc<Self>,
        link: &Link,
        m: &wire::Query,
    ) {
        let Some(request) = m.request else {
            return;
        };
        let id = RequestId::from(request).as_u128();
        let is_on_backend = |run: &Arc<Run>| {
            m.backend.is_empty() || run.backend.name == m.backend
        };
        match self.find_run(id).filter(is_on_backend) {
            Some(run) => respond_to_query(&run, link, m),
            None => {
                let answer = self.query_ended(id, m);
                let _ = link.send(Body::QueryAnswer(answer));
            }
        }
    }

    fn query_ended(&self, id: u128, m: &wire::Query) -> wire::QueryAnswer {
        let now_ms = self.clock.now_ms();
        let ended = self.lock_ended().find(id);
        let mut answer = wire::QueryAnswer {
            request: m.request,
            attempt: m.attempt,
            ..wire::QueryAnswer::default()
        };
        let mut known = self.query_tables(id, m, now_ms);
        if let Some(run) = ended {
            let state = run.lock();
            state.fill_query_response(&run, m, &mut answer);
            if state.phase == Phase::Finished {
                known = run_once::RunState::Finished;
            }
        }
        answer.state = to_wire_state(known).into();
        answer
    }

    /// Queries the run-once table of the given backend server, or of all if
    /// none is given, and returns the most conclusive state.
    fn query_tables(
        &self,
        id: u128,
        m: &wire::Query,
        now_ms: u64,
    ) -> run_once::RunState {
        self.backends
            .values()
            .filter(|b| m.backend.is_empty() || b.name == m.backend)
            .map(|b| b.table().query(id, m.attempt, now_ms))
            .max_by_key(|state| match state {
                run_once::RunState::NeverSeen => 0,
                run_once::RunState::Refused => 1,
                run_once::RunState::Failed => 2,
                run_once::RunState::CannotTell => 3,
                run_once::RunState::Finished => 4,
                run_once::RunState::Admitted | run_once::RunState::Running => {
                    5
                }
            })
            // A backend server that this process does not know has run
            // nothing here.
            .unwrap_or(run_once::RunState::NeverSeen)
    }
}

/// Responds to a query about an active request, and attaches the querying
/// entry if the query asks for it.
fn respond_to_query(run: &Arc<Run>, link: &Link, m: &wire::Query) {
    let mut answer = wire::QueryAnswer {
        request: m.request,
        attempt: run.attempt,
        state: wire::RunState::Running.into(),
        ..wire::QueryAnswer::default()
    };
    // The response is sent while the lock is held, so that no later part of
    // the output can overtake the response.
    let mut state = run.lock();
    match state.phase {
        Phase::Finished => {
            answer.state = wire::RunState::Finished.into();
            state.fill_query_response(run, m, &mut answer);
        }
        Phase::Stopped => {
            let is_failed = state.failure.is_some();
            let known = if is_failed {
                wire::RunState::Failed
            } else {
                wire::RunState::Refused
            };
            answer.state = known.into();
            state.fill_query_response(run, m, &mut answer);
        }
        Phase::Queued | Phase::Reserving | Phase::Running => {
            answer.is_attached =
                m.is_attach && !state.is_attached_to_other(link);
            if answer.is_attached {
                state.entry = Some((link.clone(), link.track_request()));
                state.orphan_until_ms = None;
                answer.outputs = state.outputs_from(m.from_position);
            }
        }
    }
    let _ = link.send(Body::QueryAnswer(answer));
}

fn to_wire_state(state: run_once::RunState) -> wire::RunState {
    match state {
        run_once::RunState::NeverSeen => wire::RunState::NeverSeen,
        run_once::RunState::Refused => wire::RunState::Refused,
        run_once::RunState::Finished => wire::RunState::Finished,
        run_once::RunState::Failed => wire::RunState::Failed,
        run_once::RunState::CannotTell => wire::RunState::CannotTell,
        run_once::RunState::Admitted | run_once::RunState::Running => {
            wire::RunState::Running
        }
    }
}
