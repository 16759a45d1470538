//! A simulated backend server: the real slot queue of its side process and
//! a modelled engine.

use chestnutreach_routing::{
    Fleet, LoadReport,
    fleet::BackendIndex,
    slot_queue::{ServerCapacity, SlotQueue},
};

use crate::{
    deployment::Account,
    engine::{Engine, FinishedPrompt},
    events::RequestIndex,
};

/// Default of `queue-limit-tokens` of the side process.
const QUEUE_LIMIT_TOKENS: u64 = 200_000;
const US_PER_MS: f64 = 1_000.0;

/// A queued request and the stage that the server has in its chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Waiter {
    pub(crate) request: RequestIndex,
    pub(crate) stage: usize,
}

/// A simulated backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) slot_queue: SlotQueue<Waiter>,
    pub(crate) engine: Engine,
    pub(crate) rng: fastrand::Rng,
}

impl Server {
    pub(crate) fn new(
        fleet: &Fleet,
        index: BackendIndex,
        accounts: &[Account],
        seed: u64,
    ) -> Server {
        let spec = fleet.spec(index);
        let layers = f64::from(spec.end_layer - spec.first_layer);
        let share = layers / f64::from(fleet.layer_count());
        let mut slot_queue = SlotQueue::new(QUEUE_LIMIT_TOKENS);
        slot_queue.set_capacity(ServerCapacity {
            max_running: spec.max_running,
            prompt_tokens_per_s: f64::from(spec.prompt_tokens_per_s) / share,
            output_tokens_per_s: f64::from(spec.output_tokens_per_s) / share,
        });
        for account in accounts {
            slot_queue.set_weight(&account.name, account.weight);
        }
        Server {
            slot_queue,
            engine: Engine::new(spec, fleet.layer_count()),
            rng: fastrand::Rng::with_seed(seed ^ u64::from(index.0)),
        }
    }

    /// Updates the learned speed after an iteration, as the side process
    /// does after its calls.
    pub(crate) fn record_iteration(
        &mut self,
        batch: usize,
        duration_us: u64,
        prompts: &[FinishedPrompt],
    ) {
        if batch > 0 {
            self.slot_queue
                .learn_step(batch as u32, duration_us as f64 / US_PER_MS);
        }
        for prompt in prompts {
            let ms = prompt.duration_us as f64 / US_PER_MS;
            let tokens = u64::from(prompt.tokens);
            self.slot_queue.learn_prompt(prompt.tokens, tokens, ms);
        }
    }

    pub(crate) fn report(&self) -> LoadReport {
        let load = self.slot_queue.load();
        LoadReport {
            running: load.running,
            queued: load.queued,
            pending_tokens: load.pending_tokens,
            prompt_tokens_per_s: load.prompt_tokens_per_s,
            output_tokens_per_s: load.output_tokens_per_s,
            cache_used_permille: 0,
            is_healthy: true,
            queue_wait_ms: load.queue_wait_ms.min(u32::MAX.into()) as u32,
        }
    }
}
