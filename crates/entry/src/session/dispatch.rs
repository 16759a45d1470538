//! Choosing a chain and sending the request to its first stage.

use std::time::Instant;

use chestnutreach_protocol::{
    Link,
    wire::{self, frame::Body},
};
use chestnutreach_routing::{
    BackendIndex, ChainRequest, NoChainReason, Presence, Priority,
    RequestShape, choose,
};
use chestnutreach_state::NotRunReason;

use super::{
    Attempt, Cause, JobWork, Phase, Progress, RequestFailure, Session,
};
use crate::{key_claim::AcquireResult, view::ServiceView};

/// Subtracted from the deadline that a side process gets, so that its response
/// at that deadline arrives before the deadline of the caller.
const DEADLINE_MARGIN_MS: u64 = 20;

impl Session {
    /// Chooses a chain and sends the request to its first stage.
    pub(super) async fn dispatch(&mut self) {
        if self.remaining_ms() <= DEADLINE_MARGIN_MS {
            self.fail_without_retry(Cause::Deadline, "the time was over");
            return;
        }
        if self.attempt_count > 0 && !self.may_retry() {
            self.fail_without_retry(Cause::Backend, "no attempts are left");
            return;
        }
        let shape = self.shape();
        let stages = match self.choose(&shape) {
            Ok(stages) => stages,
            Err(detail) => {
                if !self.is_answered_by_claim().await {
                    self.fail_without_retry(Cause::Backend, &detail);
                }
                return;
            }
        };
        let Some((link, chain)) = self.connect(&stages).await else {
            return;
        };
        if !self.acquire_claim(&chain[0]).await {
            return;
        }
        self.attempt_number += 1;
        self.attempt_count += 1;
        let run = self.run_message(&chain);
        let guard = link.track_request();
        if link.send(Body::Run(run)).is_err() {
            // The link did not accept the frame, so nothing was sent.
            self.avoid.push(stages[0]);
            return;
        }
        let cost_tokens = shape.prompt_tokens + shape.output_tokens;
        let now_ms = self.entry.clock.now_ms();
        for stage in &stages {
            let live = &self.job.service.live;
            live.record_dispatch(*stage, cost_tokens, now_ms);
        }
        self.attempt = Some(Attempt {
            stages,
            chain,
            link: Some((link, guard)),
            is_accepted: false,
            cost_tokens,
            started: Instant::now(),
            first_output: None,
            first_position: self.next_position,
            may_have_started_before: self.may_have_started,
        });
        self.phase = Phase::InAttempt;
    }

    /// Whether another attempt is allowed. An attempt is free if the previous
    /// attempt delivered output: it uses the slot that the failed attempt
    /// released, and the request makes progress. All other retries are limited
    /// in number and use the service's retry budget, so that immediate
    /// failures and refusals do not multiply the load.
    fn may_retry(&mut self) -> bool {
        let has_progress = self.next_position > self.attempt_start_position;
        self.attempt_start_position = self.next_position;
        if has_progress {
            self.attempts_without_progress = 0;
            return true;
        }
        self.attempts_without_progress += 1;
        self.attempts_without_progress < self.entry.settings.max_attempts
            && self.job.service.budget.try_take()
    }

    fn shape(&self) -> RequestShape {
        let delivered = self.tokens.len() as u32;
        let (prompt_tokens, output_tokens) = match &self.job.work {
            JobWork::Generate {
                max_tokens, prompt_tokens_estimate, ..
            } => (
                prompt_tokens_estimate + delivered,
                max_tokens.saturating_sub(delivered),
            ),
            JobWork::PlainCall(_) => (0, 0),
        };
        RequestShape {
            prompt_tokens,
            output_tokens,
            deadline_ms: self.remaining_ms(),
            priority: self.job.priority,
            prefix: None,
        }
    }

    /// Chooses a chain and records the choice.
    ///
    /// # Errors
    ///
    /// Returns why there is no chain. The reason also becomes the last refusal,
    /// if there is none yet.
    fn choose(
        &mut self,
        shape: &RequestShape,
    ) -> Result<Vec<BackendIndex>, String> {
        let service = &self.job.service;
        let policy = self.entry.policy();
        let now_ms = self.entry.clock.now_ms();
        let (fleet, live) = (&service.fleet, &service.live);
        let chain_request =
            ChainRequest::new(fleet, live, shape, &policy, now_ms)
                .avoid(&self.avoid)
                .entry_data_centre(service.data_centre);
        let choice = choose(&chain_request, &mut fastrand::Rng::new());
        match choice {
            Ok(choice) => {
                self.choices.record_choice(&choice, shape, &self.avoid);
                Ok(choice.stages)
            }
            Err(no_chain) => {
                let reason = match no_chain.reason {
                    NoChainReason::TooLate { .. } => NotRunReason::TooLate,
                    _ => NotRunReason::NoChain,
                };
                let retry_after_ms = Some(no_chain.retry_after_ms);
                let detail = no_chain.to_string();
                self.last_refusal.get_or_insert_with(|| {
                    RequestFailure::not_run(reason, retry_after_ms, &detail)
                });
                Err(detail)
            }
        }
    }

    /// Whether an earlier request holds the key of a request that cannot be
    /// sent. A repeated request needs no chain, and "not run" would be wrong
    /// if the earlier request did run.
    async fn is_answered_by_claim(&mut self) -> bool {
        let Some(keyed) = &mut self.keyed else {
            return false;
        };
        match keyed.look_up().await {
            AcquireResult::Available => false,
            AcquireResult::Failed(failure) => {
                self.fail(failure);
                true
            }
            AcquireResult::HeldByOther(claim) => {
                self.phase = Phase::Ended;
                self.pending_progress.push_back(Progress::KeyHeld(claim));
                true
            }
        }
    }

    /// Connects to the first stage and returns the link and the chain in wire
    /// format; `None` if the first stage cannot be reached.
    async fn connect(
        &mut self,
        stages: &[BackendIndex],
    ) -> Option<(Link, Vec<wire::Stage>)> {
        let service = self.job.service.clone();
        let first = stages[0];
        let address = service.sides[first.0 as usize];
        let links = self.entry.links();
        let link = match links.existing(address) {
            Some(link) => link,
            None => match links.connect(address).await {
                Ok(link) => link,
                Err(e) => {
                    service.live.set_presence(first, Presence::Absent);
                    self.avoid.push(first);
                    self.last_refusal = Some(
                        RequestFailure::not_run(
                            NotRunReason::NoChain,
                            Some(self.entry.retry_after_ms()),
                            "no backend server can be reached now",
                        )
                        .with_operator_detail(&e.to_string()),
                    );
                    return None;
                }
            },
        };
        let mut chain: Vec<wire::Stage> =
            stages.iter().map(|s| to_stage(&service, *s)).collect();
        chain[0].side_boot_id = link.peer().boot_id;
        Some((link, chain))
    }

    /// Makes the claim of a keyed request name the side process before
    /// anything is sent there. Returns false if the request must not be sent.
    async fn acquire_claim(&mut self, first: &wire::Stage) -> bool {
        let Some(keyed) = &mut self.keyed else {
            return true;
        };
        match keyed.acquire(first).await {
            AcquireResult::Available => true,
            AcquireResult::Failed(failure) => {
                self.fail(failure);
                false
            }
            AcquireResult::HeldByOther(claim) => {
                self.phase = Phase::Ended;
                self.pending_progress.push_back(Progress::KeyHeld(claim));
                false
            }
        }
    }

    fn run_message(&self, chain: &[wire::Stage]) -> wire::Run {
        let work = match &self.job.work {
            JobWork::Generate {
                model,
                request_json,
                max_tokens,
                prompt_tokens_estimate,
            } => wire::run::Work::Generate(wire::Generate {
                model: model.clone(),
                request_json: request_json.clone(),
                max_tokens: *max_tokens,
                delivered_tokens: self.tokens.clone(),
                prompt_tokens_estimate: *prompt_tokens_estimate,
            }),
            JobWork::PlainCall(call) => {
                wire::run::Work::PlainCall(call.clone())
            }
        };
        let deadline_ms =
            self.remaining_ms().saturating_sub(DEADLINE_MARGIN_MS);
        wire::Run {
            request: Some(self.job.request.into()),
            attempt: self.attempt_number,
            service: self.job.service.name.clone(),
            account: self.job.account.clone(),
            priority: to_wire_priority(self.job.priority).into(),
            is_idempotent: self.job.is_idempotent,
            is_kept: self.keyed.is_some(),
            deadline_ms: deadline_ms.min(u32::MAX.into()) as u32,
            generation: self.entry.view.load().generation,
            chain: chain.to_vec(),
            work: Some(work),
        }
    }
}

fn to_stage(service: &ServiceView, index: BackendIndex) -> wire::Stage {
    let spec = service.fleet.spec(index);
    wire::Stage {
        backend: spec.name.clone(),
        side_address: service.sides[index.0 as usize].to_string(),
        first_layer: spec.first_layer,
        end_layer: spec.end_layer,
        side_boot_id: 0,
    }
}

fn to_wire_priority(priority: Priority) -> wire::Priority {
    match priority {
        Priority::Low => wire::Priority::Low,
        Priority::Normal => wire::Priority::Normal,
        Priority::High => wire::Priority::High,
    }
}
