//! Dispatch of link events and received frames.

use std::sync::Arc;

use chestnutreach_protocol::{
    CloseReason, Link, LinkEvent, RequestId,
    wire::{FailureReason, Role, frame::Body},
};
use chestnutreach_telemetry::{Event, emit};

use crate::{node::Shared, reservation::Reservation, run::Run};

impl Shared {
    /// Handles an event of any link.
    pub(crate) fn handle_link_event(self: &Arc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::Opened(link) => self.link_opened(&link),
            LinkEvent::Frame(link, body) => self.handle_frame(&link, body),
            LinkEvent::Closed(link, reason) => {
                self.link_closed(&link, reason);
            }
        }
    }

    fn handle_frame(self: &Arc<Self>, link: &Link, body: Body) {
        match body {
            Body::Run(m) => self.handle_run(link, m),
            Body::Reserve(m) => self.handle_reserve(link, m),
            Body::Reserved(m) => self.handle_reserved(&m),
            Body::Refused(m) => self.handle_stage_refused(link, &m),
            Body::Step(m) => self.handle_step(m),
            Body::StepResult(m) => self.handle_step_result(m),
            Body::StepFailed(m) => self.handle_step_failed(&m),
            Body::Cancel(m) => self.handle_cancel(&m),
            Body::Release(m) => {
                let id =
                    m.request.map_or(0, |id| RequestId::from(id).as_u128());
                self.release_reservations(id, m.attempt);
            }
            Body::Query(m) => self.handle_query(link, &m),
            Body::Heartbeat(m) => {
                self.peer_reports.record_generation(m.generation)
            }
            Body::Status(m) => {
                self.peer_reports.record_generation(m.generation)
            }
            // The link has handled these already, or they are meant for an
            // entry.
            Body::Hello(_)
            | Body::HelloRefused(_)
            | Body::Accepted(_)
            | Body::Output(_)
            | Body::Finished(_)
            | Body::Failed(_)
            | Body::QueryAnswer(_) => {}
        }
    }

    fn link_opened(&self, link: &Link) {
        match link.peer().role() {
            // The status contains the number of entries, so all entries get
            // the new status.
            Role::Entry => self.send_status(),
            _ => drop(link.send(self.status())),
        }
        self.peer_reports.record_hello(link.peer());
        emit(Event::LinkOpened, &[("peer_vm", &link.peer().vm)]);
    }

    fn link_closed(self: &Arc<Self>, link: &Link, reason: CloseReason) {
        if link.peer().role() == Role::Entry {
            self.send_status();
        }
        emit(
            Event::LinkLost,
            &[("peer_vm", &link.peer().vm), ("cause", &format!("{reason:?}"))],
        );
        let reservations: Vec<Arc<Reservation>> =
            self.lock_reservations().values().cloned().collect();
        for reservation in reservations {
            if reservation.is_requested_over(link) {
                self.release_reservation(&reservation);
            } else if reservation.forwards_over(link) {
                self.next_stage_lost(&reservation);
            }
        }
        let runs: Vec<Arc<Run>> = self.lock_runs().values().cloned().collect();
        for run in runs {
            self.handle_lost_link(&run, link);
        }
    }

    fn handle_lost_link(self: &Arc<Self>, run: &Arc<Run>, link: &Link) {
        let lost_stage = {
            let mut state = run.lock();
            let is_entry = state
                .entry
                .as_ref()
                .is_some_and(|(entry, _)| entry.id() == link.id());
            if is_entry {
                state.entry = None;
                let limit_ms = self.settings.orphan_limit_ms;
                let until_ms = self.clock.now_ms() + limit_ms;
                state.orphan_until_ms = Some(until_ms);
            }
            state.stage_of(link.id())
        };
        if let Some(index) = lost_stage {
            let backend = run.chain[index].backend.clone();
            let detail = "the connection to the stage was lost";
            self.stop(run, FailureReason::StageLost, &backend, detail);
        }
    }
}
