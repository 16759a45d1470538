//! What comes with time: deadlines, requests without an entry, load reports.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_protocol::{
    Link,
    wire::{FailureReason, RefusalReason, Role},
};

use crate::{
    gate::Waiting,
    node::Shared,
    run::{Phase, Run},
    seat::Seat,
};

/// Time between two looks; a deadline may pass by this much.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time past its deadline after which a place is freed unasked.
const SEAT_GRACE_MS: u64 = 1_000;
/// Looks between two load reports.
const LOAD_EVERY: u32 = 10;
/// Looks between two reports on links that carry requests. Their frames keep
/// the other end from asking for a heartbeat, which would have the loads.
const TELL_EVERY: u32 = 50;

impl Shared {
    /// Looks at all requests again and again.
    pub(crate) async fn sweep(self: Arc<Self>) {
        let mut count: u32 = 0;
        loop {
            Timer::after(INTERVAL).await;
            let now_ms = self.clock.now_ms();
            self.expire_queues(now_ms);
            self.expire_runs(now_ms);
            self.expire_seats(now_ms);
            self.lock_ended().expire(now_ms);
            count = count.wrapping_add(1);
            if count.is_multiple_of(LOAD_EVERY) {
                self.links().set_loads(self.loads());
                self.note_gauges();
            }
            if count.is_multiple_of(TELL_EVERY) {
                self.tell_entries();
            }
        }
    }

    /// Tells the loads to entries that have requests here.
    fn tell_entries(&self) {
        let open = self.links().open();
        let is_told = |link: &&Link| {
            link.has_requests() && link.peer().role() == Role::Entry
        };
        let status = self.status();
        for link in open.iter().filter(is_told) {
            let _ = link.send(status.clone());
        }
    }

    fn expire_queues(self: &Arc<Self>, now_ms: u64) {
        for backend in self.backends.values() {
            for waiting in backend.gate.expire(now_ms) {
                match waiting {
                    Waiting::Run(run) => {
                        let reason = RefusalReason::TooLate;
                        let retry_after_ms = backend.gate.retry_after_ms();
                        self.refuse(&run, reason, "", retry_after_ms);
                    }
                    Waiting::Seat(seat) => self.refuse_full(&seat),
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

    /// Refuses later stages that waited too long, and frees places past their
    /// deadline: the first stage has ended the request by then, and its
    /// release may have been lost.
    fn expire_seats(self: &Arc<Self>, now_ms: u64) {
        let seats: Vec<Arc<Seat>> =
            self.lock_seats().values().cloned().collect();
        for seat in seats {
            if now_ms >= seat.deadline_at_ms + SEAT_GRACE_MS {
                self.release_seat(&seat);
            } else if now_ms >= seat.wait_until_ms && seat.is_waiting() {
                self.refuse_full(&seat);
            }
        }
    }

    /// Whether nobody has asked for a request in time. One that is kept runs
    /// on once it has begun: its answer will be asked for by its key.
    fn is_orphan(&self, run: &Run, now_ms: u64) -> bool {
        let state = run.lock();
        let is_past = state.orphan_until_ms.is_some_and(|t| now_ms >= t);
        is_past && !(run.is_kept && state.phase == Phase::Running)
    }
}
