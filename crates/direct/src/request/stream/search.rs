//! Searches a path for a stream, in turn with other waiting streams.
//!
//! A new request searches at once if no other request waits; otherwise it
//! joins the queue of its service. A request whose engines refused it, and a
//! stream that has begun, have had their search turn and search without
//! queueing.

use std::{collections::BTreeSet, time::Duration};

use async_io::Timer;
use chestnutreach_routing::{
    PermitDemand, TurnRequest, capacity_wait::MAX_WAIT_MS,
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use super::{FIRST_ATTEMPT, Stream};
use crate::{
    clock::now_ms,
    cluster::permits,
    request::{
        path::Path,
        queue::{QueueEntry, priority_of},
        response::cooldown_retry_after_ms,
        route::{
            PathQuery, first_engine_cooldown_left_ms,
            first_engines_without_permit,
        },
    },
};

/// Interval between checks of the retry limit.
const RETRY_LIMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between searches for a path.
const SEARCH_INTERVAL: Duration = Duration::from_millis(15);

/// Result of a path search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SearchResult {
    Found,
    /// There is a path, and the retry limit forbids another attempt.
    RetryDenied,
    NotFound,
}

impl Stream<'_> {
    /// Finds and reserves a path, with a wait for layers or capacity.
    pub(super) async fn acquire_path(&mut self) -> bool {
        if !self.can_change_first_engine() {
            return false;
        }
        let until_ms = self.search_until_ms();
        if self.cause != FIRST_ATTEMPT {
            return self.search_until(until_ms).await == SearchResult::Found;
        }
        if !self.is_admitted() {
            return false;
        }
        let queues = &self.core.path_queues;
        let is_idle = queues.is_idle(&self.admitted.service.name);
        if is_idle && self.try_acquire_path().await {
            return true;
        }
        if self.is_refused_for_cooldown(until_ms) {
            return false;
        }
        match self.allowed_wait_ms() {
            Some(wait_ms) => {
                self.search_in_turn(until_ms.min(now_ms() + wait_ms)).await
            }
            None => false,
        }
    }

    /// Until when a path is searched.
    pub(super) fn search_until_ms(&self) -> u64 {
        // A stream that has begun is not abandoned while its caller waits: any
        // engine that becomes available may provide a path, and after an abort
        // the caller's retry would search for the same path.
        match self.is_head_sent {
            true => self.admitted.deadline_ms,
            false => self.admitted.deadline_ms.min(now_ms() + MAX_WAIT_MS),
        }
    }

    /// Waits in the queue, then searches until `until_ms`.
    async fn search_in_turn(&mut self, until_ms: u64) -> bool {
        let joined_ms = now_ms();
        let Some(queue_entry) = self.join_queue(until_ms) else {
            self.log_path_awaited(joined_ms, "full");
            return false;
        };
        self.update_waiting_metric();
        let turn = async {
            queue_entry.await_turn().await;
            true
        };
        let late = async {
            let wait_ms = until_ms.saturating_sub(joined_ms);
            Timer::after(Duration::from_millis(wait_ms)).await;
            false
        };
        let has_turn = turn.or(late).await;
        let is_found = has_turn
            && self.search_until(until_ms).await == SearchResult::Found;
        drop(queue_entry);
        self.log_path_awaited(
            joined_ms,
            if is_found { "path" } else { "none" },
        );
        is_found
    }

    fn join_queue(&self, until_ms: u64) -> Option<QueueEntry> {
        let request = TurnRequest {
            account: self.admitted.account.as_deref().unwrap_or(""),
            priority: priority_of(self.admitted.urgency),
            tokens: self.tokens,
            start_by_ms: now_ms() + self.start_within_ms(),
            wait_until_ms: until_ms,
        };
        let queues = &self.core.path_queues;
        queues.try_join(&self.admitted.service.name, &request).ok()
    }

    /// Searches repeatedly until a path is found or `until_ms` has passed.
    pub(super) async fn search_until(
        &mut self,
        until_ms: u64,
    ) -> SearchResult {
        // A stream that has begun waits until the retry limit allows another
        // attempt rather than ending.
        let mut needs_retry = self.attempts.count() > 0;
        let mut was_denied = false;
        loop {
            if let Some(path) = self.path_with_permit().await {
                let service = &self.admitted.service.name;
                let is_denied =
                    needs_retry && !self.core.try_take_retry(service);
                if is_denied && !was_denied {
                    let id = self.admitted.id_text();
                    self.core.record_retry_denied(service, id);
                }
                was_denied = is_denied;
                needs_retry = is_denied;
                if !needs_retry && self.reserve_path(path) {
                    return SearchResult::Found;
                }
                if needs_retry && !self.is_head_sent {
                    return SearchResult::RetryDenied;
                }
            }
            if now_ms() >= until_ms || self.is_refused_for_cooldown(until_ms) {
                return SearchResult::NotFound;
            }
            let interval = if needs_retry {
                RETRY_LIMIT_INTERVAL
            } else {
                SEARCH_INTERVAL
            };
            Timer::after(interval).await;
        }
    }

    /// Whether all engines that could be first are in cooldown for longer than
    /// the stream may wait.
    fn is_refused_for_cooldown(&mut self, until_ms: u64) -> bool {
        let query = self.path_query(false);
        let cooldown_left_ms =
            first_engine_cooldown_left_ms(self.core, &query);
        let max_wait_ms = until_ms.saturating_sub(query.now_ms);
        let retry_after_ms =
            cooldown_retry_after_ms(cooldown_left_ms, max_wait_ms);
        self.cooldown_retry_after_ms = retry_after_ms;
        retry_after_ms.is_some()
    }

    /// Searches once and reserves the path; false if there is none.
    async fn try_acquire_path(&mut self) -> bool {
        match self.path_with_permit().await {
            Some(path) => self.reserve_path(path),
            None => false,
        }
    }

    /// Reserves a path; false if the first engine accepts no request any more,
    /// because of a cooldown or because another request took the permit.
    fn reserve_path(&mut self, path: Path) -> bool {
        if !path.first_engine().try_admit(self.permit_key, now_ms()) {
            return false;
        }
        self.reservations = path.reserve(self.tokens);
        self.path = path;
        self.record_running();
        true
    }

    /// Releases the reservations of the current path.
    pub(super) fn release_path(&mut self) {
        self.reservations.clear();
        self.running = None;
    }

    /// The best path now. If its first engine announced a rate limit, the
    /// stream waits briefly for a permit once, then tries other first engines.
    async fn path_with_permit(&mut self) -> Option<Path> {
        let path = self.search_path(false)?;
        let first = path.first_engine();
        if first.notices.may_send(now_ms()) {
            return Some(path);
        }
        let is_first_search =
            !std::mem::replace(&mut self.has_awaited_permit, true);
        let demand = self.permit_demand(false);
        let id = self.admitted.id_text();
        if is_first_search
            && permits::await_permit(self.core, first, id, demand).await
        {
            return Some(path);
        }
        let other = self.search_path(true);
        if other.is_none() {
            self.request_any_permit();
        }
        other
    }

    fn permit_demand(&self, is_waiting: bool) -> PermitDemand {
        let urgency = self.admitted.urgency;
        PermitDemand { request: self.permit_key, is_waiting, urgency }
    }

    /// Requests a permit at every engine that could be first with a permit.
    fn request_any_permit(&self) {
        let now_ms = now_ms();
        for engine in
            first_engines_without_permit(self.core, &self.path_query(true))
        {
            engine.notices.request_permit(self.permit_demand(true), now_ms);
        }
        self.core.permits.wake();
    }

    fn search_path(&mut self, is_permit_needed: bool) -> Option<Path> {
        self.excluded_first = match self.trial {
            Some(_) => BTreeSet::new(),
            None => self.core.suspects.trial_engines(),
        };
        let query = self.path_query(is_permit_needed);
        if self.cause == "refused"
            && !self.path.stages.is_empty()
            && (!is_permit_needed
                || self.path.first_engine().notices.may_send(query.now_ms))
            && !self.path.first_engine().lock().is_in_cooldown(query.now_ms)
            && !self.excluded.contains(&self.path.first_engine().incarnation)
            && !self.path.first_engine().is_suspect()
            && let Some(path) = self.core.fleet.detour(&query, &self.path)
        {
            return Some(path);
        }
        self.core.fleet.search_path(&query)
    }

    pub(super) fn path_query(&self, is_permit_needed: bool) -> PathQuery<'_> {
        PathQuery {
            service: &self.admitted.service.name,
            model: self.model,
            data_centre: self.core.own_data_centre_index(),
            tokens: self.tokens,
            excluded: &self.excluded,
            now_ms: now_ms(),
            is_circuit_checked: true,
            is_permit_needed,
            interconnect_utilisation: self
                .core
                .interconnect
                .utilisation(&self.core.peers, self.model.interconnect_mbps),
            entries_without_report: self.core.entries_without_report(),
            excluded_first: &self.excluded_first,
            only_first: self.trial.as_ref().map(|trial| &trial.engine),
        }
    }

    /// Records the interconnect traffic of a prefill over additional hops.
    pub(super) fn record_interconnect_traffic(&self, hops: usize) {
        let bytes_per_hop = self.tokens as f64 * self.model.activation_bytes;
        let bytes = hops as f64 * bytes_per_hop;
        let core = self.core;
        core.interconnect.record(
            &core.peers,
            self.model.interconnect_mbps,
            bytes,
        );
    }

    /// Updates the metric of waiting requests.
    pub(super) fn update_waiting_metric(&self) {
        let service = &self.admitted.service.name;
        let waiting = self.core.path_queues.waiting_count(service);
        let metrics = self.core.metrics.service(service);
        metrics.requests_waiting.set(waiting as i64);
    }

    fn log_path_awaited(&self, joined_ms: u64, result: &str) {
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
