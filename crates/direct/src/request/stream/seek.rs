//! Finding a path, in turn where others wait for one too.
//!
//! A request that comes looks at once if nobody waits; else it takes a place
//! in the queue of its service. One whose engines refused it, and a stream
//! that has begun, had their turn and look beside the queue.

use std::{collections::BTreeSet, time::Duration};

use async_io::Timer;
use chestnutreach_routing::{
    PermitDemand, TurnRequest, capacity_wait::MAX_WAIT_MS,
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use super::{FIRST, Stream};
use crate::{
    clock::now_ms,
    cluster::permits,
    request::{
        path::Path,
        queue::{Place, priority_of},
        response::cooldown_retry_after_ms,
        route::{PathNeed, first_ready_in_ms, limited_firsts},
    },
};

/// Pause before asking the shared bound again.
const RETRY_AGAIN: Duration = Duration::from_millis(100);
/// Pause before looking again for a path.
const SEEK_AGAIN: Duration = Duration::from_millis(15);

/// What came of looking for a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Look {
    Found,
    /// There is one, and the shared bound has nothing left.
    Denied,
    None,
}

impl Stream<'_> {
    /// Finds a path, waiting a moment for layers or room.
    pub(super) async fn seek_path(&mut self) -> bool {
        if !self.can_move() {
            return false;
        }
        let until_ms = self.seek_until_ms();
        if self.cause != FIRST {
            return self.look_until(until_ms).await == Look::Found;
        }
        let queues = &self.core.path_queues;
        let is_idle = queues.is_idle(&self.admitted.service.name);
        if is_idle && self.take_path().await {
            return true;
        }
        if self.is_refused_for_rest(until_ms) {
            return false;
        }
        match self.may_wait_ms() {
            Some(wait_ms) => {
                self.wait_in_turn(until_ms.min(now_ms() + wait_ms)).await
            }
            None => false,
        }
    }

    /// Until when a path is sought.
    pub(super) fn seek_until_ms(&self) -> u64 {
        // A stream that has begun is not given up while its client waits: a
        // path may come with any engine that is back, and a cut would only
        // have the client look for the same.
        match self.is_head_sent {
            true => self.admitted.deadline_ms,
            false => self.admitted.deadline_ms.min(now_ms() + MAX_WAIT_MS),
        }
    }

    /// Waits in the queue, then looks for as long as there is time.
    async fn wait_in_turn(&mut self, until_ms: u64) -> bool {
        let joined_ms = now_ms();
        let Some(place) = self.take_place(until_ms) else {
            self.note_awaited(joined_ms, "full");
            return false;
        };
        self.note_waiting();
        let turn = async {
            place.turn().await;
            true
        };
        let late = async {
            let wait_ms = until_ms.saturating_sub(joined_ms);
            Timer::after(Duration::from_millis(wait_ms)).await;
            false
        };
        let has_turn = turn.or(late).await;
        let is_found =
            has_turn && self.look_until(until_ms).await == Look::Found;
        drop(place);
        self.note_awaited(joined_ms, if is_found { "path" } else { "none" });
        is_found
    }

    fn take_place(&self, until_ms: u64) -> Option<Place> {
        let need = TurnRequest {
            account: self.admitted.account.as_deref().unwrap_or(""),
            priority: priority_of(self.admitted.urgency),
            tokens: self.tokens,
            start_by_ms: now_ms() + self.in_time_ms(),
            wait_until_ms: until_ms,
        };
        let queues = &self.core.path_queues;
        queues.try_join(&self.admitted.service.name, &need).ok()
    }

    /// Looks for a path until one is there.
    pub(super) async fn look_until(&mut self, until_ms: u64) -> Look {
        // A stream that has begun waits for the shared bound to leave room,
        // rather than break off.
        let mut needs_retry = self.attempts.count() > 0;
        let mut was_denied = false;
        loop {
            if let Some(path) = self.path_soon().await {
                let service = &self.admitted.service.name;
                let is_denied =
                    needs_retry && !self.core.try_take_retry(service);
                if is_denied && !was_denied {
                    let id = self.admitted.id_text();
                    self.core.record_retry_denied(service, id);
                }
                was_denied = is_denied;
                needs_retry = is_denied;
                if !needs_retry && self.use_path(path) {
                    return Look::Found;
                }
                if needs_retry && !self.is_head_sent {
                    return Look::Denied;
                }
            }
            if now_ms() >= until_ms || self.is_refused_for_rest(until_ms) {
                return Look::None;
            }
            let pause = if needs_retry { RETRY_AGAIN } else { SEEK_AGAIN };
            Timer::after(pause).await;
        }
    }

    /// Whether all engines that could be first are at rest beyond a time.
    fn is_refused_for_rest(&mut self, until_ms: u64) -> bool {
        let need = self.need(false);
        let ready_in_ms = first_ready_in_ms(self.core, &need);
        let may_wait_ms = until_ms.saturating_sub(need.now_ms);
        let retry_after_ms = cooldown_retry_after_ms(ready_in_ms, may_wait_ms);
        self.cooldown_retry_after_ms = retry_after_ms;
        retry_after_ms.is_some()
    }

    /// Takes the path that is there now; false if there is none.
    async fn take_path(&mut self) -> bool {
        match self.path_soon().await {
            Some(path) => self.use_path(path),
            None => false,
        }
    }

    /// Uses a path; false if its first engine no longer takes a request: it is
    /// at rest, or another one took the permit.
    fn use_path(&mut self, path: Path) -> bool {
        if !path.first().try_admit(self.key, now_ms()) {
            return false;
        }
        self.reservations = path.reserve(self.tokens);
        self.path = path;
        self.note_running();
        true
    }

    /// Gives up a path that was not used.
    pub(super) fn release_path(&mut self) {
        self.reservations.clear();
        self.running = None;
    }

    /// The path that is there now. Where its first engine named a limit, a
    /// permit may come in a moment; else another engine is first.
    async fn path_soon(&mut self) -> Option<Path> {
        let path = self.path_now(false)?;
        let first = path.first();
        if first.notices.may_send(now_ms()) {
            return Some(path);
        }
        let is_first_look = !std::mem::replace(&mut self.has_passed, true);
        let want = self.want(false);
        let id = self.admitted.id_text();
        if is_first_look
            && permits::await_permit(self.core, first, id, want).await
        {
            return Some(path);
        }
        let other = self.path_now(true);
        if other.is_none() {
            self.want_any();
        }
        other
    }

    fn want(&self, is_waiting: bool) -> PermitDemand {
        let urgency = self.admitted.urgency;
        PermitDemand { request: self.key, is_waiting, urgency }
    }

    /// Asks for a permit of any engine that could be first with one.
    fn want_any(&self) {
        let now_ms = now_ms();
        for engine in limited_firsts(self.core, &self.need(true)) {
            engine.notices.request_permit(self.want(true), now_ms);
        }
        self.core.permits.wake();
    }

    fn path_now(&mut self, is_permit_needed: bool) -> Option<Path> {
        self.not_first = match self.trial {
            Some(_) => BTreeSet::new(),
            None => self.core.suspects.trial_engines(),
        };
        let need = self.need(is_permit_needed);
        if self.cause == "refused"
            && !self.path.stages.is_empty()
            && (!is_permit_needed
                || self.path.first().notices.may_send(need.now_ms))
            && !self.path.first().lock().is_in_cooldown(need.now_ms)
            && !self.without.contains(&self.path.first().incarnation)
            && !self.path.first().is_suspect()
            && let Some(path) = self.core.fleet.detour(&need, &self.path)
        {
            return Some(path);
        }
        self.core.fleet.path(&need)
    }

    pub(super) fn need(&self, is_permit_needed: bool) -> PathNeed<'_> {
        PathNeed {
            service: &self.admitted.service.name,
            model: self.model,
            data_centre: self.core.own_data_centre_index(),
            tokens: self.tokens,
            without: &self.without,
            now_ms: now_ms(),
            is_choosy: true,
            is_permit_needed,
            crossing_use: self
                .core
                .interconnect
                .utilisation(&self.core.peers, self.model.pipe_mbps),
            entries_without_report: self.core.entries_without_report(),
            not_first: &self.not_first,
            only_first: self.trial.as_ref().map(|trial| &trial.engine),
        }
    }

    /// Counts what reading a prompt over new crossings sends.
    pub(super) fn note_crossing(&self, crossings: usize) {
        let each = self.tokens as f64 * self.model.activation_bytes;
        let bytes = crossings as f64 * each;
        let core = self.core;
        core.interconnect.record(&core.peers, self.model.pipe_mbps, bytes);
    }

    /// Shows how many wait.
    pub(super) fn note_waiting(&self) {
        let service = &self.admitted.service.name;
        let waiting = self.core.path_queues.waiting_count(service);
        let metrics = self.core.metrics.service(service);
        metrics.requests_waiting.set(waiting as i64);
    }

    fn note_awaited(&self, joined_ms: u64, result: &str) {
        let service = &self.admitted.service.name;
        emit(
            Event::PathAwaited,
            &[
                ("request", &self.admitted.id_text()),
                ("account", &self.admitted.account.as_deref().unwrap_or("")),
                ("tokens", &self.tokens),
                ("urgency", &self.admitted.urgency),
                ("waiting", &self.core.path_queues.waiting_count(service)),
                ("waited_ms", &(now_ms() - joined_ms)),
                ("result", &result),
            ],
        );
    }
}
