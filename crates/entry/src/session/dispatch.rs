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

use super::{Attempt, Cause, Ending, JobWork, Phase, Progress, Session};
use crate::{key_hold::Hold, view::ServiceView};

/// Part of the time left that a side process is not given, so that its own
/// answer at the deadline comes before the caller's time is over.
const DEADLINE_MARGIN_MS: u64 = 20;

impl Session {
    /// Chooses a chain and sends the request to its first stage.
    pub(super) async fn dispatch(&mut self) {
        if self.rest_ms() <= DEADLINE_MARGIN_MS {
            self.give_up(Cause::Deadline, "the time was over");
            return;
        }
        if self.attempt_count > 0 && !self.may_try_again() {
            self.give_up(Cause::Backend, "no attempts are left");
            return;
        }
        let shape = self.shape();
        let stages = match self.choose(&shape) {
            Ok(stages) => stages,
            Err(detail) => {
                if !self.is_answered_by_claim().await {
                    self.give_up(Cause::Backend, &detail);
                }
                return;
            }
        };
        let Some((link, chain)) = self.connect(&stages).await else {
            return;
        };
        if !self.hold_claim(&chain[0]).await {
            return;
        }
        self.attempt_number += 1;
        self.attempt_count += 1;
        let run = self.run_message(&chain);
        let guard = link.track_request();
        if link.send(Body::Run(run)).is_err() {
            // A frame that the link did not take has reached nobody.
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
            has_begun_before: self.may_have_begun,
        });
        self.phase = Phase::Waiting;
    }

    /// Whether another attempt is allowed. One that goes on after the last
    /// attempt had delivered something is free: it takes the place that the
    /// broken one has left and comes nearer to its end. All others are
    /// limited, and paid from the service's budget, so that what fails or is
    /// refused at once is not multiplied.
    fn may_try_again(&mut self) -> bool {
        let has_progress = self.next_position > self.tried_position;
        self.tried_position = self.next_position;
        if has_progress {
            self.fruitless_count = 0;
            return true;
        }
        self.fruitless_count += 1;
        self.fruitless_count < self.entry.settings.max_attempts
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
            deadline_ms: self.rest_ms(),
            priority: self.job.priority,
            prefix: None,
        }
    }

    /// # Errors
    ///
    /// Why there is no chain; noted as the last refusal as well.
    fn choose(
        &mut self,
        shape: &RequestShape,
    ) -> Result<Vec<BackendIndex>, String> {
        let service = &self.job.service;
        let policy = self.entry.policy();
        let now_ms = self.entry.clock.now_ms();
        let (fleet, live) = (&service.fleet, &service.live);
        let need = ChainRequest::new(fleet, live, shape, &policy, now_ms)
            .avoid(&self.avoid)
            .entry_data_centre(service.data_centre);
        let choice = choose(&need, &mut fastrand::Rng::new());
        match choice {
            Ok(choice) => {
                self.choices.chosen(&choice, shape, &self.avoid);
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
                    Ending::not_run(reason, retry_after_ms, &detail)
                });
                Err(detail)
            }
        }
    }

    /// Whether the key of a request that cannot be sent is held already: a
    /// repeat needs no chain, and must not be told that it did not run when
    /// it did.
    async fn is_answered_by_claim(&mut self) -> bool {
        let Some(keyed) = &mut self.keyed else {
            return false;
        };
        match keyed.look_up().await {
            Hold::Mine => false,
            Hold::Ended(ending) => {
                self.end(ending);
                true
            }
            Hold::Held(claim) => {
                self.phase = Phase::Over;
                self.ready.push_back(Progress::Held(claim));
                true
            }
        }
    }

    /// The link to the first stage and the chain as it is sent.
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
                        Ending::not_run(
                            NotRunReason::NoChain,
                            Some(self.entry.come_back_ms()),
                            "no backend server can be reached now",
                        )
                        .note(&e.to_string()),
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

    /// Has the claim of a keyed request name the side process before
    /// anything is sent to it; false when the request has ended.
    async fn hold_claim(&mut self, first: &wire::Stage) -> bool {
        let Some(keyed) = &mut self.keyed else {
            return true;
        };
        match keyed.hold(first).await {
            Hold::Mine => true,
            Hold::Ended(ending) => {
                self.end(ending);
                false
            }
            Hold::Held(claim) => {
                self.phase = Phase::Over;
                self.ready.push_back(Progress::Held(claim));
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
        let deadline_ms = self.rest_ms().saturating_sub(DEADLINE_MARGIN_MS);
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
