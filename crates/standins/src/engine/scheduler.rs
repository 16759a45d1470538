//! The queue and the iterations.
//!
//! Steps of all calls wait in one queue and are run in iterations, the most
//! urgent first when more wait than an iteration takes. A step is recorded
//! when its layers are run; the answers are sent at the iteration's end.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use chestnutreach_engine::{
    EngineLoad, SequenceError, SequenceId, SequenceStep, wire::InferResult,
};
use futures_lite::future;
use serde::{Deserialize, Serialize};

use super::{options::EngineOptions, stage::Stage};
use crate::{faults::FaultSwitches, record::Record};

/// A step whose layers were run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// The request, 32 hex digits.
    pub request: String,
    /// The attempt at it.
    pub attempt: u32,
    /// First position covered.
    pub position: u32,
    /// Positions covered.
    pub span: u32,
    /// First layer run.
    pub first_layer: u32,
    /// Layer after the last one run.
    pub end_layer: u32,
}

/// What an engine has done since it started.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct EngineStats {
    /// Iterations with at least one step.
    pub iterations: u64,
    /// Steps that were run.
    pub steps: u64,
    /// Positions that were run.
    pub positions: u64,
    /// Steps that were refused.
    pub refused: u64,
    /// Sequences in memory now.
    pub sequences: u64,
    /// Positions in memory now.
    pub cache_used_tokens: u64,
}

/// Rows of one call, in its order.
pub(super) type Steps = Vec<(SequenceId, Result<SequenceStep, SequenceError>)>;

/// The queue, the stage and their counters.
#[derive(Debug)]
pub(super) struct Scheduler {
    options: EngineOptions,
    switches: Arc<FaultSwitches>,
    record: Record<RunRecord>,
    stage: Mutex<Stage>,
    queue: Mutex<Queue>,
    wake: Sender<()>,
    woken: Receiver<()>,
    running: AtomicU32,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Counters {
    iterations: AtomicU64,
    steps: AtomicU64,
    positions: AtomicU64,
    refused: AtomicU64,
}

/// Steps that wait, by priority.
#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeMap<u8, VecDeque<Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    step: SequenceStep,
    layers: Range<u32>,
    row: usize,
    answer: Sender<RowResult>,
}

/// What came of the row with this index.
type RowResult = (usize, InferResult);

impl Queue {
    fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    fn push(&mut self, waiting: Waiting) {
        let priority = waiting.step.priority;
        self.waiting.entry(priority).or_default().push_back(waiting);
    }

    /// At most `limit` steps, the most urgent first.
    fn take(&mut self, limit: usize) -> Vec<Waiting> {
        let mut batch = Vec::new();
        for steps in self.waiting.values_mut().rev() {
            let count = steps.len().min(limit - batch.len());
            batch.extend(steps.drain(..count));
        }
        batch
    }

    /// Drops the steps of a sequence.
    fn cancel(&mut self, sequence: SequenceId) {
        for steps in self.waiting.values_mut() {
            steps.retain(|waiting| {
                let is_kept = waiting.step.sequence != sequence;
                if !is_kept {
                    let why = "the sequence was released".to_owned();
                    waiting.finish(Err(SequenceError::Other(why)));
                }
                is_kept
            });
        }
    }
}

impl Waiting {
    fn finish(&self, result: InferResult) {
        // A call that is gone needs no answer.
        let _ = self.answer.try_send((self.row, result));
    }
}

impl Scheduler {
    pub(super) fn new(
        options: EngineOptions,
        switches: Arc<FaultSwitches>,
    ) -> Scheduler {
        let stage = Stage::new(&options);
        let (wake, woken) = async_channel::bounded(1);
        Scheduler {
            options,
            switches,
            record: Record::new(),
            stage: Mutex::new(stage),
            queue: Mutex::default(),
            wake,
            woken,
            running: AtomicU32::new(0),
            counters: Counters::default(),
        }
    }

    pub(super) fn record(&self) -> &Record<RunRecord> {
        &self.record
    }

    pub(super) fn stage(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().expect("no holder panics")
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder panics")
    }

    /// Runs the rows of a call; nothing when the engine went down before it
    /// had run them all.
    pub(super) async fn infer(
        &self,
        layers: Range<u32>,
        rows: Steps,
    ) -> Option<Vec<(SequenceId, InferResult)>> {
        let count = rows.len();
        let ids: Vec<SequenceId> = rows.iter().map(|(id, _)| *id).collect();
        let results = self.submit(layers, rows);
        let mut by_row = BTreeMap::new();
        while by_row.len() < count {
            let (row, result) = results.recv().await.ok()?;
            by_row.insert(row, result);
        }
        Some(ids.into_iter().zip(by_row.into_values()).collect())
    }

    fn submit(&self, layers: Range<u32>, rows: Steps) -> Receiver<RowResult> {
        let (answer, results) = async_channel::unbounded();
        let mut queue = self.queue();
        for (row, (_, step)) in rows.into_iter().enumerate() {
            let layers = layers.clone();
            let answer = answer.clone();
            match step {
                Ok(step) => queue.push(Waiting { step, layers, row, answer }),
                Err(e) => {
                    self.counters.refused.fetch_add(1, Ordering::Relaxed);
                    let _ = answer.try_send((row, Err(e)));
                }
            }
        }
        drop(queue);
        let _ = self.wake.try_send(());
        results
    }

    /// Forgets sequences and drops their waiting steps; how many were known.
    pub(super) fn release(&self, sequences: &[SequenceId]) -> usize {
        let mut queue = self.queue();
        sequences.iter().for_each(|id| queue.cancel(*id));
        drop(queue);
        let mut stage = self.stage();
        sequences.iter().filter(|id| stage.release(**id)).count()
    }

    /// Runs iterations for ever.
    pub(super) async fn run(&self) {
        loop {
            let batch = self.queue().take(self.options.max_batch);
            if batch.is_empty() {
                let _ = self.woken.recv().await;
                continue;
            }
            self.run_iteration(batch).await;
            // Without a step time the loop would never let calls in.
            future::yield_now().await;
        }
    }

    async fn run_iteration(&self, batch: Vec<Waiting>) {
        self.running.store(batch.len() as u32, Ordering::Relaxed);
        self.counters.iterations.fetch_add(1, Ordering::Relaxed);
        let mut time = Duration::from_micros(self.options.step_us);
        let mut results = Vec::with_capacity(batch.len());
        for waiting in &batch {
            // An engine that went down drops the rest of its batch.
            if self.switches.is_down() {
                break;
            }
            let result = self.run_step(waiting);
            time += self.cost(&waiting.step, &result);
            results.push(result);
        }
        if time > Duration::ZERO {
            Timer::after(time).await;
        }
        self.running.store(0, Ordering::Relaxed);
        for (waiting, result) in batch.iter().zip(results) {
            waiting.finish(result);
        }
    }

    fn run_step(&self, waiting: &Waiting) -> InferResult {
        let mut stage = self.stage();
        let held = stage.layers();
        let result = if held == waiting.layers {
            stage.run(&waiting.step)
        } else {
            Err(SequenceError::BadRequest(format!(
                "layers {:?} were asked for, {held:?} are held",
                waiting.layers
            )))
        };
        match &result {
            Ok(output) => self.count_run(&waiting.step, output.span, held),
            Err(_) => {
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }

    /// Counts and records a run; called under the stage's lock, so that the
    /// record has the order of the runs.
    fn count_run(&self, step: &SequenceStep, span: u32, layers: Range<u32>) {
        self.record.push(RunRecord {
            request: format!("{:032x}", step.sequence.request),
            attempt: step.sequence.attempt,
            position: step.position,
            span,
            first_layer: layers.start,
            end_layer: layers.end,
        });
        self.counters.steps.fetch_add(1, Ordering::Relaxed);
        self.counters.positions.fetch_add(span.into(), Ordering::Relaxed);
        self.switches.count_positions(span);
    }

    fn cost(&self, step: &SequenceStep, result: &InferResult) -> Duration {
        let Ok(output) = result else { return Duration::ZERO };
        let count = u64::from(output.span - output.cached_tokens);
        match step.position {
            0 => time_of(count, self.options.prompt_tokens_per_s),
            _ => time_of(count, self.options.output_tokens_per_s),
        }
    }

    pub(super) fn load(&self) -> EngineLoad {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        EngineLoad {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.queue().len() as u32,
            cache_used_tokens: self.stage().used_tokens(),
            cache_tokens: self.options.cache_tokens,
            as_of_unix_ms: now.unwrap_or_default().as_millis() as u64,
        }
    }

    pub(super) fn stats(&self) -> EngineStats {
        let stage = self.stage();
        let Counters { iterations, steps, positions, refused } =
            &self.counters;
        EngineStats {
            iterations: iterations.load(Ordering::Relaxed),
            steps: steps.load(Ordering::Relaxed),
            positions: positions.load(Ordering::Relaxed),
            refused: refused.load(Ordering::Relaxed),
            sequences: stage.sequence_count() as u64,
            cache_used_tokens: stage.used_tokens(),
        }
    }
}

/// Time of tokens at a rate; a rate of 0 takes no time.
fn time_of(tokens: u64, rate_per_s: u64) -> Duration {
    let nanos = (tokens * 1_000_000_000).checked_div(rate_per_s);
    Duration::from_nanos(nanos.unwrap_or(0))
}
