//! Chooses a backend server for a plain request.
//!
//! A request takes the least busy backend server. If all usable servers
//! announced a rate limit and the entry has no permit, requests queue for
//! permits, fairly between client accounts. A request that is unlikely to get
//! a permit by its deadline is refused at once.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_routing::{
    AnswerTimes, CapacityRequest, CapacityWait, CapacityWaits, PermitDemand,
    TurnRequest, hedging::is_outlier,
};
use futures_lite::FutureExt as _;

use super::PlainRequest;
use crate::{
    clock::now_ms,
    cluster::{engine::Engine, fleet::accepts_requests, permits},
    core::Core,
    request::{
        admit::AdmittedRequest,
        isolation::{RunPermission, Trial},
        queue::{QueueEntry, priority_of},
        response::{ErrorReason, cooldown_retry_after_ms},
        running_tokens::RunningTokens,
    },
};

/// Interval between searches for a backend server that accepts requests.
const SEARCH_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum wait for a backend server as a fraction of the route's target.
const MAX_WAIT_SHARE: f64 = 0.8;
/// One in so many requests may go to a server that is far slower than others.
const OUTLIER_REQUESTS: u32 = 64;
/// Tokens that a plain request counts for; all plain requests count the same.
const REQUEST_TOKENS: u64 = 1;

/// Selects the candidates among the backend servers of a service.
#[derive(Clone, Copy)]
struct Candidates<'a> {
    core: &'a Core,
    admitted: &'a AdmittedRequest,
    /// Incarnations of the backend servers that were tried.
    tried: &'a BTreeSet<String>,
    /// Whether servers that announced a rate limit count only with a permit.
    is_permit_needed: bool,
}

/// Result of a search.
enum SearchResult {
    Found(Arc<Engine>),
    /// All servers that accept requests announced a limit, and there is no
    /// permit.
    PermitNeeded,
    NotFound,
}

impl PlainRequest<'_> {
    /// The least busy backend server, after a wait if none accepts requests.
    /// For a suspect request the result includes a trial there.
    pub(super) async fn find_engine(
        &mut self,
    ) -> Option<(Arc<Engine>, Option<Trial>)> {
        let wait_ms = MAX_WAIT_SHARE * self.admitted.route.target_ms as f64;
        let until_ms =
            self.admitted.deadline_ms.min(now_ms() + wait_ms as u64);
        let candidates = Candidates {
            core: self.core,
            admitted: self.admitted,
            tried: &self.tried,
            is_permit_needed: true,
        };
        let choose = |excluded: &_| candidates.least_busy(excluded);
        match self.suspicion.await_permission(until_ms, choose).await {
            RunPermission::Unrestricted => {
                Some((self.wait_for_engine(until_ms).await?, None))
            }
            RunPermission::Trial(trial) => {
                let may_begin =
                    trial.engine.try_admit(self.permit_key, now_ms());
                may_begin.then(|| (trial.engine.clone(), Some(trial)))
            }
            RunPermission::Denied => None,
        }
    }

    /// The least busy backend server, waiting until `until_ms` if none accepts
    /// requests.
    async fn wait_for_engine(&mut self, until_ms: u64) -> Option<Arc<Engine>> {
        let mut queue_entry = None;
        let mut is_first_search = true;
        loop {
            match self.search(is_first_search).await {
                SearchResult::Found(engine) => {
                    self.record_running();
                    return Some(engine);
                }
                SearchResult::PermitNeeded if queue_entry.is_none() => {
                    queue_entry = Some(self.join_queue(until_ms)?);
                    self.wait_for_turn(queue_entry.as_ref()?, until_ms).await;
                }
                SearchResult::NotFound
                    if self.is_refused_for_cooldown(until_ms) =>
                {
                    return None;
                }
                SearchResult::PermitNeeded | SearchResult::NotFound => {}
            }
            is_first_search = false;
            if now_ms() >= until_ms {
                return None;
            }
            Timer::after(SEARCH_INTERVAL).await;
        }
    }

    /// Searches for a backend server that accepts requests, and takes its
    /// permit if one is needed.
    async fn search(&self, is_first_search: bool) -> SearchResult {
        let Some(engine) = self.candidates(false).least_busy_without_trial()
        else {
            return SearchResult::NotFound;
        };
        if engine.try_admit(self.permit_key, now_ms()) {
            return SearchResult::Found(engine);
        }
        let (id, demand) =
            (self.admitted.id_text(), self.permit_demand(false));
        if is_first_search
            && permits::await_permit(self.core, &engine, id, demand).await
            && engine.try_admit(self.permit_key, now_ms())
        {
            return SearchResult::Found(engine);
        }
        let other = self.candidates(true).least_busy_without_trial();
        match other {
            Some(other) if other.try_admit(self.permit_key, now_ms()) => {
                SearchResult::Found(other)
            }
            _ => {
                self.request_any_permit(&self.candidates(false));
                SearchResult::PermitNeeded
            }
        }
    }

    /// The least busy server that accepts requests and was not tried.
    pub(super) fn untried_engine(&self) -> Option<Arc<Engine>> {
        self.candidates(true).least_busy_without_trial()
    }

    fn candidates(&self, is_permit_needed: bool) -> Candidates<'_> {
        Candidates {
            core: self.core,
            admitted: self.admitted,
            tried: &self.tried,
            is_permit_needed,
        }
    }

    /// Whether all usable servers are in cooldown for longer than the request
    /// may wait.
    fn is_refused_for_cooldown(&mut self, until_ms: u64) -> bool {
        let now_ms = now_ms();
        let engines = self.core.fleet.of_service(&self.admitted.service.name);
        let is_fresh = |e: &&Arc<Engine>| !self.tried.contains(&e.incarnation);
        let engines = engines.all.iter().filter(is_fresh);
        let cooldown_left_ms =
            self.core.fleet.cooldown_left_ms(engines, now_ms);
        let max_wait_ms = until_ms.saturating_sub(now_ms);
        let retry_after_ms =
            cooldown_retry_after_ms(cooldown_left_ms, max_wait_ms);
        let refusal =
            retry_after_ms.map(|ms| (ErrorReason::ServersInCooldown, ms));
        self.refusal = refusal.or(self.refusal);
        refusal.is_some()
    }

    fn permit_demand(&self, is_waiting: bool) -> PermitDemand {
        let urgency = self.admitted.urgency;
        PermitDemand { request: self.permit_key, is_waiting, urgency }
    }

    /// Requests a permit at every server that accepts requests.
    fn request_any_permit(&self, candidates: &Candidates<'_>) {
        let now_ms = now_ms();
        for engine in candidates.usable(&BTreeSet::new()) {
            engine.notices.request_permit(self.permit_demand(true), now_ms);
        }
        self.core.permits.wake();
    }

    /// Joins the queue for permits; `None` if the request is unlikely to get
    /// one in time.
    fn join_queue(&mut self, until_ms: u64) -> Option<QueueEntry> {
        let service = &self.admitted.service.name;
        let account = self.admitted.account.as_deref().unwrap_or("");
        let queues = &self.core.path_queues;
        let ahead = queues.ahead(service, account, REQUEST_TOKENS);
        let now_ms = now_ms();
        let request = CapacityRequest {
            account,
            tokens: REQUEST_TOKENS,
            tokens_before: ahead.tokens,
            start_within_ms: until_ms.saturating_sub(now_ms),
            contended_for_ms: ahead.contended_for_ms,
        };
        let decide =
            |waits: &mut CapacityWaits| match waits.decide(&request, now_ms) {
                CapacityWait::UpTo(_) => None,
                CapacityWait::Refused(_) => {
                    let mut rng = fastrand::Rng::new();
                    Some(waits.retry_after_ms(now_ms, &mut rng))
                }
            };
        let retry_after_ms = self.core.capacity_waits.update(service, decide);
        self.refusal = retry_after_ms.map(|ms| (ErrorReason::NoCapacity, ms));
        if self.refusal.is_some() {
            return None;
        }
        let request = TurnRequest {
            account,
            priority: priority_of(self.admitted.urgency),
            tokens: REQUEST_TOKENS,
            start_by_ms: until_ms,
            wait_until_ms: until_ms,
        };
        queues.try_join(service, &request).ok()
    }

    async fn wait_for_turn(&self, queue_entry: &QueueEntry, until_ms: u64) {
        let late = async {
            let wait_ms = until_ms.saturating_sub(now_ms());
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        queue_entry.await_turn().or(late).await;
    }

    /// Records that this request requires capacity.
    pub(super) fn record_capacity_request(&self) {
        let account = self.admitted.account.as_deref().unwrap_or("");
        let ask = |waits: &mut CapacityWaits| {
            waits.record_request(account, REQUEST_TOKENS, now_ms())
        };
        self.core.capacity_waits.update(&self.admitted.service.name, ask);
    }

    fn record_running(&mut self) {
        let account = self.admitted.account.as_deref().unwrap_or("");
        let service = &self.admitted.service.name;
        let waits = &self.core.capacity_waits;
        self.running = Some(RunningTokens::begin(
            waits,
            service,
            account,
            REQUEST_TOKENS,
        ));
    }
}

impl Candidates<'_> {
    /// The least busy server without a trial, or else the least busy server.
    fn least_busy_without_trial(&self) -> Option<Arc<Engine>> {
        let trial_engines = self.core.suspects.trial_engines();
        let engine = self.least_busy(&trial_engines);
        engine.or_else(|| self.least_busy(&BTreeSet::new()))
    }

    /// The least busy server that is not in a set of short hashes.
    fn least_busy(&self, excluded: &BTreeSet<u32>) -> Option<Arc<Engine>> {
        let own = self.core.own_data_centre_index();
        let usable = self.usable(excluded);
        let least_ms = usable.iter().filter_map(|e| self.usual_ms(e)).min();
        let rank = |e: &Arc<Engine>| {
            let slots = u64::from(e.lock().row.slots.max(1));
            let load = e.first_count() * 100 / slots;
            let failures = e.lock().failures.min(3);
            (failures, self.goes_last(e, least_ms), load, e.data_centre != own)
        };
        usable.into_iter().min_by_key(rank)
    }

    /// What answers of a server to such requests usually take.
    fn usual_ms(&self, engine: &Engine) -> Option<u64> {
        engine.usual_answer_ms(&self.admitted.route.name)
    }

    /// Whether a server is far slower than the others. Few requests still go
    /// there, so that the entry sees when it is no longer.
    fn goes_last(&self, engine: &Engine, least_ms: Option<u64>) -> bool {
        let target_ms = self.admitted.route.target_ms;
        let route = &self.admitted.route.name;
        let min_usual_ms =
            engine.answer_times.read(route, AnswerTimes::min_usual_ms);
        let is_slow = min_usual_ms.flatten().zip(least_ms).is_some_and(
            |(min_usual_ms, least_ms)| {
                is_outlier(target_ms, min_usual_ms, least_ms)
            },
        );
        is_slow && fastrand::u32(..OUTLIER_REQUESTS) != 0
    }

    /// Servers that accept requests and were not tried.
    fn usable(&self, excluded: &BTreeSet<u32>) -> Vec<Arc<Engine>> {
        let now_ms = now_ms();
        let engines = self.core.fleet.of_service(&self.admitted.service.name);
        let is_usable = |e: &&Arc<Engine>| {
            !self.tried.contains(&e.incarnation)
                && !excluded.contains(&e.hash)
                && accepts_requests(&e.lock(), now_ms)
                && (!self.is_permit_needed || e.notices.may_send(now_ms))
        };
        engines.all.iter().filter(is_usable).cloned().collect()
    }
}
