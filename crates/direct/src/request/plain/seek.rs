//! Finding a backend server, in turn where all that serve named a limit.
//!
//! Usually a request takes the least busy one. Where each of them needs a
//! permit, requests wait for permits in turn, fairly between client accounts,
//! and what will hardly get one in its time is refused at once.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_routing::{
    CapacityRequest, CapacityWait, CapacityWaits, PermitDemand, TurnRequest,
};
use futures_lite::FutureExt as _;

use super::Run;
use crate::{
    clock::now_ms,
    cluster::{engine::Engine, fleet::accepts_requests, permits},
    core::Core,
    request::{
        admit::AdmittedRequest,
        isolation::{Trial, Turn},
        queue::{Place, priority_of},
        response::{ErrorReason, cooldown_retry_after_ms},
        running_tokens::RunningTokens,
    },
};

/// Pause before looking again for a backend server that takes work.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Share of the route's target that a request waits for one.
const WAIT_SHARE: f64 = 0.8;
/// What a request counts as in its queue: one like any other.
const TOKENS: u64 = 1;

/// Which backend servers are looked at.
#[derive(Clone, Copy)]
struct Look<'a> {
    core: &'a Core,
    admitted: &'a AdmittedRequest,
    /// Those that were tried, by incarnation.
    tried: &'a BTreeSet<String>,
    /// Whether those that named a limit need a permit now.
    is_permit_needed: bool,
}

/// What came of a look.
enum Looked {
    Found(Arc<Engine>),
    /// All that take work named a limit, and there is no permit.
    Limited,
    None,
}

impl Run<'_> {
    /// The least busy backend server, waiting a moment if none takes work;
    /// with a trial there for a suspect.
    pub(super) async fn seek_engine(
        &mut self,
    ) -> Option<(Arc<Engine>, Option<Trial>)> {
        let wait_ms = WAIT_SHARE * self.admitted.route.target_ms as f64;
        let until_ms =
            self.admitted.deadline_ms.min(now_ms() + wait_ms as u64);
        let look = Look {
            core: self.core,
            admitted: self.admitted,
            tried: &self.tried,
            is_permit_needed: true,
        };
        let choose = |outside: &_| look.least_busy(outside);
        match self.suspicion.turn(until_ms, choose).await {
            Turn::Free => Some((self.wait_for_engine(until_ms).await?, None)),
            Turn::Trial(trial) => {
                let may_begin = trial.engine.try_admit(self.key, now_ms());
                may_begin.then(|| (trial.engine.clone(), Some(trial)))
            }
            Turn::None => None,
        }
    }

    /// The least busy backend server, waiting until then if none takes work.
    async fn wait_for_engine(&mut self, until_ms: u64) -> Option<Arc<Engine>> {
        let mut place = None;
        let mut is_first_look = true;
        loop {
            match self.look(is_first_look).await {
                Looked::Found(engine) => {
                    self.note_running();
                    return Some(engine);
                }
                Looked::Limited if place.is_none() => {
                    place = Some(self.take_place(until_ms)?);
                    self.wait_for_turn(place.as_ref()?, until_ms).await;
                }
                Looked::None if self.is_refused_for_rest(until_ms) => {
                    return None;
                }
                Looked::Limited | Looked::None => {}
            }
            is_first_look = false;
            if now_ms() >= until_ms {
                return None;
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }

    /// Takes a backend server that takes work, and its permit.
    async fn look(&self, is_first_look: bool) -> Looked {
        let look = |is_permit_needed| Look {
            core: self.core,
            admitted: self.admitted,
            tried: &self.tried,
            is_permit_needed,
        };
        let Some(engine) = look(false).apart_from_trials() else {
            return Looked::None;
        };
        if engine.try_admit(self.key, now_ms()) {
            return Looked::Found(engine);
        }
        let (id, want) = (self.admitted.id_text(), self.want(false));
        if is_first_look
            && permits::await_permit(self.core, &engine, id, want).await
            && engine.try_admit(self.key, now_ms())
        {
            return Looked::Found(engine);
        }
        let other = look(true).apart_from_trials();
        match other {
            Some(other) if other.try_admit(self.key, now_ms()) => {
                Looked::Found(other)
            }
            _ => {
                self.want_any(&look(false));
                Looked::Limited
            }
        }
    }

    /// Whether all that could take it are at rest beyond a time.
    fn is_refused_for_rest(&mut self, until_ms: u64) -> bool {
        let now_ms = now_ms();
        let engines = self.core.fleet.of_service(&self.admitted.service.name);
        let is_fresh = |e: &&Arc<Engine>| !self.tried.contains(&e.incarnation);
        let engines = engines.all.iter().filter(is_fresh);
        let ready_in_ms = self.core.fleet.cooldown_left_ms(engines, now_ms);
        let may_wait_ms = until_ms.saturating_sub(now_ms);
        let retry_after_ms = cooldown_retry_after_ms(ready_in_ms, may_wait_ms);
        let refusal =
            retry_after_ms.map(|ms| (ErrorReason::ServersInCooldown, ms));
        self.refusal = refusal.or(self.refusal);
        refusal.is_some()
    }

    fn want(&self, is_waiting: bool) -> PermitDemand {
        let urgency = self.admitted.urgency;
        PermitDemand { request: self.key, is_waiting, urgency }
    }

    /// Asks for a permit of any that takes work.
    fn want_any(&self, look: &Look<'_>) {
        let now_ms = now_ms();
        for engine in look.takers(&BTreeSet::new()) {
            engine.notices.request_permit(self.want(true), now_ms);
        }
        self.core.permits.wake();
    }

    /// Takes a place among those that wait for permits; none where it would
    /// hardly get one in time.
    fn take_place(&mut self, until_ms: u64) -> Option<Place> {
        let service = &self.admitted.service.name;
        let account = self.admitted.account.as_deref().unwrap_or("");
        let queues = &self.core.path_queues;
        let before = queues.before(service, account, TOKENS);
        let now_ms = now_ms();
        let need = CapacityRequest {
            account,
            tokens: TOKENS,
            tokens_before: before.tokens,
            start_within_ms: until_ms.saturating_sub(now_ms),
            contended_for_ms: before.busy_for_ms,
        };
        let decide =
            |waits: &mut CapacityWaits| match waits.decide(&need, now_ms) {
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
        let need = TurnRequest {
            account,
            priority: priority_of(self.admitted.urgency),
            tokens: TOKENS,
            start_by_ms: until_ms,
            wait_until_ms: until_ms,
        };
        queues.try_join(service, &need).ok()
    }

    async fn wait_for_turn(&self, place: &Place, until_ms: u64) {
        let late = async {
            let wait_ms = until_ms.saturating_sub(now_ms());
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        place.turn().or(late).await;
    }

    /// Counts that it asks for a backend server.
    pub(super) fn note_asked(&self) {
        let account = self.admitted.account.as_deref().unwrap_or("");
        let ask = |waits: &mut CapacityWaits| {
            waits.record_request(account, TOKENS, now_ms())
        };
        self.core.capacity_waits.update(&self.admitted.service.name, ask);
    }

    fn note_running(&mut self) {
        let account = self.admitted.account.as_deref().unwrap_or("");
        let service = &self.admitted.service.name;
        let waits = &self.core.capacity_waits;
        self.running =
            Some(RunningTokens::begin(waits, service, account, TOKENS));
    }
}

impl Look<'_> {
    /// The least busy that runs no trial, or any if there is none.
    fn apart_from_trials(&self) -> Option<Arc<Engine>> {
        let on_trial = self.core.suspects.trial_engines();
        let engine = self.least_busy(&on_trial);
        engine.or_else(|| self.least_busy(&BTreeSet::new()))
    }

    /// The least busy outside of a set of short hashes.
    fn least_busy(&self, outside: &BTreeSet<u32>) -> Option<Arc<Engine>> {
        let own = self.core.own_data_centre_index();
        let rank = |e: &Arc<Engine>| {
            let slots = u64::from(e.lock().row.slots.max(1));
            let load = e.first_count() * 100 / slots;
            (e.lock().failures.min(3), load, e.data_centre != own)
        };
        self.takers(outside).into_iter().min_by_key(rank)
    }

    /// Those that take work and were not tried.
    fn takers(&self, outside: &BTreeSet<u32>) -> Vec<Arc<Engine>> {
        let now_ms = now_ms();
        let engines = self.core.fleet.of_service(&self.admitted.service.name);
        let takes = |e: &&Arc<Engine>| {
            !self.tried.contains(&e.incarnation)
                && !outside.contains(&e.hash)
                && accepts_requests(&e.lock(), now_ms)
                && (!self.is_permit_needed || e.notices.may_send(now_ms))
        };
        engines.all.iter().filter(takes).cloned().collect()
    }
}
