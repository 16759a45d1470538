//! Rest that a backend server asks for.
//!
//! A server that turns a call away with 503 and `Retry-After` wants nothing
//! for that time, neither work nor health checks. This process is the only
//! way to it, so to entries it is down until then. What waits for it is
//! decided anew; a request that has begun here waits with its next step if
//! the rest ends within its time, and fails else.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_engine::EngineError;
use chestnutreach_protocol::wire::RefusalReason;
use chestnutreach_telemetry::{Event, emit};

use crate::{
    backend::Backend,
    node::Shared,
    slot_queue::Waiting,
    steps::{Owner, QueuedStep},
};

/// Until when a backend server is at rest, and what waits for it.
#[derive(Default)]
pub(crate) struct Cooldown {
    until: Mutex<Option<Instant>>,
    steps: Mutex<Vec<QueuedStep>>,
}

impl Cooldown {
    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.until.lock().expect("no holder panics")
    }

    fn lock_steps(&self) -> MutexGuard<'_, Vec<QueuedStep>> {
        self.steps.lock().expect("no holder panics")
    }

    /// Takes that it asks for rest; of several, the latest end counts.
    fn extend(&self, cooldown: Duration) {
        let end = Instant::now() + cooldown;
        let mut until = self.lock();
        *until = (*until).max(Some(end));
    }

    /// Time until it is over.
    pub(crate) fn remaining(&self) -> Duration {
        let until = *self.lock();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Waits until it is over, also where it is made longer meanwhile.
    pub(crate) async fn wait_until_over(&self) {
        loop {
            let remaining = self.remaining();
            if remaining == Duration::ZERO {
                return;
            }
            Timer::after(remaining).await;
        }
    }
}

impl Backend {
    /// Has the steps go on that waited for the end of a rest.
    pub(crate) fn resume_steps(&self) {
        let steps = std::mem::take(&mut *self.cooldown.lock_steps());
        for step in steps {
            self.steps.push(step);
        }
    }

    /// Takes that it asks for rest.
    pub(crate) fn record_cooldown(&self, cooldown: Duration) {
        self.cooldown.extend(cooldown);
        emit(
            Event::RestAsked,
            &[
                ("backend", &self.name),
                ("rest_ms", &cooldown.as_millis()),
                ("left_ms", &self.cooldown.remaining().as_millis()),
            ],
        );
    }
}

impl Shared {
    /// Takes that a backend server turned work away and asks for rest.
    pub(crate) fn enter_cooldown(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        cooldown: Duration,
    ) {
        backend.record_cooldown(cooldown);
        self.mark_down(backend);
        let remaining_ms = backend.cooldown.remaining().as_millis() as u64;
        self.refuse_waiting(backend, remaining_ms);
    }

    /// Refuses what waits for a place; it may have one elsewhere.
    fn refuse_waiting(self: &Arc<Self>, backend: &Backend, remaining_ms: u64) {
        let reason = RefusalReason::BackendDown;
        for waiting in backend.slots.remove_all() {
            match waiting {
                Waiting::Run(run) => {
                    self.refuse(&run, reason, "", remaining_ms)
                }
                Waiting::Reservation(reservation) => {
                    self.refuse_reservation(
                        &reservation,
                        reason,
                        &backend.name,
                        remaining_ms,
                    );
                }
            }
        }
    }

    /// Decides anew about steps that an engine at rest did not run. Those
    /// that wait go on once it answers a health check, so that many do not
    /// meet a server that asks for rest again.
    pub(crate) fn defer_steps(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        steps: Vec<QueuedStep>,
        error: &EngineError,
    ) {
        self.mark_down(backend);
        let remaining_ms = backend.cooldown.remaining().as_millis() as u64;
        let end_ms = self.clock.now_ms() + remaining_ms;
        let (waiting, lost): (Vec<_>, Vec<_>) =
            steps.into_iter().partition(|step| step.can_wait_until(end_ms));
        for step in lost {
            self.fail_step(&step.owner, step.is_first, error);
        }
        backend.cooldown.lock_steps().extend(waiting);
        if backend.is_healthy() {
            // It was back before these were there.
            backend.resume_steps();
        }
    }
}

impl QueuedStep {
    /// Whether it waits for the end of a rest. The first step of a request
    /// does not: nothing of it has run, so it may begin elsewhere. Nor do
    /// those of an idempotent one, which goes on elsewhere.
    fn can_wait_until(&self, end_ms: u64) -> bool {
        match &self.owner {
            Owner::Run(run) => {
                !self.is_first
                    && !run.is_idempotent
                    && end_ms < run.deadline_at_ms
            }
            Owner::Reservation(reservation) => {
                end_ms < reservation.deadline_at_ms
            }
        }
    }
}
