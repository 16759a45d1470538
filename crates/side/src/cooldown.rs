//! Cooldowns that backend servers request.
//!
//! A server that refuses a call with status 503 and `Retry-After` gets neither
//! requests nor health checks for that time. All requests to the server pass
//! through this process, so this process reports the server as down until the
//! cooldown ends. Requests that wait for a slot are refused. A request that
//! has begun keeps its next step queued if the cooldown ends before the
//! deadline, and fails otherwise.

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

/// The end of a backend server's cooldown, and the steps deferred until then.
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

    /// Extends the cooldown. The latest end of all requested cooldowns
    /// applies.
    fn extend(&self, cooldown: Duration) {
        let end = Instant::now() + cooldown;
        let mut until = self.lock();
        *until = (*until).max(Some(end));
    }

    /// Remaining time of the cooldown; zero if there is none.
    pub(crate) fn remaining(&self) -> Duration {
        let until = *self.lock();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Waits until the cooldown is over, including extensions made during the
    /// wait.
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
    /// Queues the deferred steps again.
    pub(crate) fn resume_steps(&self) {
        let steps = std::mem::take(&mut *self.cooldown.lock_steps());
        for step in steps {
            self.steps.push(step);
        }
    }

    /// Records a cooldown that the server requested.
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
    /// Handles a refused call with a requested cooldown: the server counts as
    /// down, and waiting requests are refused.
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

    /// Refuses the requests that wait for a slot, so that they can be retried
    /// at another server.
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

    /// Defers the steps that an engine in cooldown did not run, or fails those
    /// that cannot wait. Deferred steps resume after a successful health
    /// check, so that many steps do not reach a server that requests another
    /// cooldown.
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
            // The server recovered before these steps were deferred.
            backend.resume_steps();
        }
    }
}

impl QueuedStep {
    /// Whether the step can wait for the end of a cooldown. A first step does
    /// not wait: nothing has run yet, so the request can start at another
    /// server. Steps of an idempotent request do not wait either, since the
    /// request can be retried at another server.
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
