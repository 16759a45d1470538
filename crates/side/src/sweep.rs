//! Periodic work: deadlines, orphaned requests and load reports.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_protocol::{
    Link,
    wire::{FailureReason, RefusalReason, Role},
};

use crate::{
    node::Shared,
    reservation::Reservation,
    run::{Phase, Run},
    slot_queue::Waiting,
};

/// Interval of the sweeps; deadlines are enforced at most this much late.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time past its deadline after which a reservation is released without a
/// message from its first stage.
const RESERVATION_GRACE_MS: u64 = 1_000;
/// Sweeps per load report.
const SWEEPS_PER_LOAD_REPORT: u32 = 10;
/// Sweeps per status message on links with active requests. Frames on such
/// links keep the peer from requesting heartbeats, which contain the loads.
const SWEEPS_PER_STATUS: u32 = 50;

impl Shared {
    /// Runs the sweeps; never returns.
    pub(crate) async fn sweep(self: Arc<Self>) {
        let mut count: u32 = 0;
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let now_ms = self.clock.now_ms();
            self.expire_queues(now_ms);
            self.expire_runs(now_ms);
            self.expire_reservations(now_ms);
            self.lock_ended().expire(now_ms);
            count = count.wrapping_add(1);
            if count.is_multiple_of(SWEEPS_PER_LOAD_REPORT) {
                self.links().set_loads(self.loads());
                self.update_gauges();
            }
            if count.is_multiple_of(SWEEPS_PER_STATUS) {
                self.send_status_to_busy_entries();
            }
        }
    }

    /// Sends the loads to entries that have requests here.
    fn send_status_to_busy_entries(&self) {
        let open = self.links().open();
        let is_busy_entry = |link: &&Link| {
            link.has_requests() && link.peer().role() == Role::Entry
        };
        let status = self.status();
        for link in open.iter().filter(is_busy_entry) {
            let _ = link.send(status.clone());
        }
    }

    fn expire_queues(self: &Arc<Self>, now_ms: u64) {
        for backend in self.backends.values() {
            for waiting in backend.slots.remove_expired(now_ms) {
                match waiting {
                    Waiting::Run(run) => {
                        let reason = RefusalReason::TooLate;
                        let retry_after_ms = backend.slots.retry_after_ms();
                        self.refuse(&run, reason, "", retry_after_ms);
                    }
                    Waiting::Reservation(reservation) => {
                        self.refuse_full(&reservation)
                    }
                }
            }
        }
    }

    fn expire_runs(self: &Arc<Self>, now_ms: u64) {
        let runs: Vec<Arc<Run>> = self.lock_runs().values().cloned().collect();
        for run in runs {
            if now_ms >= run.deadline_at_ms {
                let detail = "the deadline has passed";
                self.stop(&run, FailureReason::Deadline, "", detail);
            } else if self.is_orphan(&run, now_ms) {
                let detail = "its entry has gone";
                self.stop(&run, FailureReason::Cancelled, "", detail);
            }
        }
    }

    /// Refuses reservations that waited too long for a slot, and releases
    /// reservations past their deadline: the first stage has ended the request
    /// by then, and its release message may have been lost.
    fn expire_reservations(self: &Arc<Self>, now_ms: u64) {
        let reservations: Vec<Arc<Reservation>> =
            self.lock_reservations().values().cloned().collect();
        for reservation in reservations {
            if now_ms >= reservation.deadline_at_ms + RESERVATION_GRACE_MS {
                self.release_reservation(&reservation);
            } else if now_ms >= reservation.wait_until_ms
                && reservation.is_waiting()
            {
                self.refuse_full(&reservation);
            }
        }
    }

    /// Whether no entry has attached to a request before the orphan limit. A
    /// kept request continues once it has begun: a later query fetches its
    /// output by key.
    fn is_orphan(&self, run: &Run, now_ms: u64) -> bool {
        let state = run.lock();
        let is_past = state.orphan_until_ms.is_some_and(|t| now_ms >= t);
        is_past && !(run.is_kept && state.phase == Phase::Running)
    }
}
