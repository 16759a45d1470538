//! The step queue and the iterations.
//!
//! The steps of all calls are queued together and run in iterations, in order
//! of priority. A step is recorded when its layers run; the results are sent
//! at the end of the iteration.

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

/// Record of a step whose layers ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// Request ID, 32 hex digits.
    pub request: String,
    /// Attempt of the request.
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

/// Counts of an engine since its start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct EngineStats {
    /// Iterations with at least one step.
    pub iterations: u64,
    /// Steps that ran.
    pub steps: u64,
    /// Positions that ran.
    pub positions: u64,
    /// Steps that were rejected.
    pub refused: u64,
    /// Sequences currently in memory.
    pub sequences: u64,
    /// Positions currently in memory, including cached prefixes.
    pub cache_used_tokens: u64,
}

/// Rows of one call, in the order of the call.
pub(super) type Steps = Vec<(SequenceId, Result<SequenceStep, SequenceError>)>;

/// The queue, the stage and their counters.
#[derive(Debug)]
pub(super) struct Scheduler {
    options: EngineOptions,
    faults: Arc<FaultSwitches>,
    record: Record<RunRecord>,
    stage: Mutex<Stage>,
    queue: Mutex<Queue>,
    notify: Sender<()>,
    notified: Receiver<()>,
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

/// Queued steps by priority.
#[derive(Debug, Default)]
struct Queue {
    steps: BTreeMap<u8, VecDeque<QueuedStep>>,
}

#[derive(Debug)]
struct QueuedStep {
    step: SequenceStep,
    layers: Range<u32>,
    row: usize,
    result_sender: Sender<RowResult>,
}

/// Index of a row and its result.
type RowResult = (usize, InferResult);

impl Queue {
    fn len(&self) -> usize {
        self.steps.values().map(VecDeque::len).sum()
    }

    fn push(&mut self, queued: QueuedStep) {
        let priority = queued.step.priority;
        self.steps.entry(priority).or_default().push_back(queued);
    }

    /// Removes at most `limit` steps, those of the highest priority first.
    fn pop_batch(&mut self, limit: usize) -> Vec<QueuedStep> {
        let mut batch = Vec::new();
        for steps in self.steps.values_mut().rev() {
            let count = steps.len().min(limit - batch.len());
            batch.extend(steps.drain(..count));
        }
        batch
    }

    /// Drops the queued steps of a sequence, with an error for their callers.
    fn cancel(&mut self, sequence: SequenceId) {
        for steps in self.steps.values_mut() {
            steps.retain(|queued| {
                let is_kept = queued.step.sequence != sequence;
                if !is_kept {
                    let message = "the sequence was released".to_owned();
                    queued.send_result(Err(SequenceError::Other(message)));
                }
                is_kept
            });
        }
    }
}

impl QueuedStep {
    fn send_result(&self, result: InferResult) {
        // The send fails if the caller has disconnected.
        let _ = self.result_sender.try_send((self.row, result));
    }
}

impl Scheduler {
    pub(super) fn new(
        options: EngineOptions,
        faults: Arc<FaultSwitches>,
    ) -> Scheduler {
        let stage = Stage::new(&options);
        let (notify, notified) = async_channel::bounded(1);
        Scheduler {
            options,
            faults,
            record: Record::new(),
            stage: Mutex::new(stage),
            queue: Mutex::default(),
            notify,
            notified,
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

    /// Runs the rows of a call. Returns none if the engine went down before
    /// all of them had run.
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
        let (result_sender, results) = async_channel::unbounded();
        let mut queue = self.queue();
        for (row, (_, step)) in rows.into_iter().enumerate() {
            let layers = layers.clone();
            let result_sender = result_sender.clone();
            match step {
                Ok(step) => {
                    queue.push(QueuedStep { step, layers, row, result_sender })
                }
                Err(e) => {
                    self.counters.refused.fetch_add(1, Ordering::Relaxed);
                    let _ = result_sender.try_send((row, Err(e)));
                }
            }
        }
        drop(queue);
        let _ = self.notify.try_send(());
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

    /// Runs iterations until cancelled.
    pub(super) async fn run(&self) {
        loop {
            let batch = self.queue().pop_batch(self.options.max_batch);
            if batch.is_empty() {
                let _ = self.notified.recv().await;
                continue;
            }
            self.run_iteration(batch).await;
            // Without a step time, the loop would never yield to the tasks
            // that serve calls.
            future::yield_now().await;
        }
    }

    async fn run_iteration(&self, batch: Vec<QueuedStep>) {
        self.running.store(batch.len() as u32, Ordering::Relaxed);
        self.counters.iterations.fetch_add(1, Ordering::Relaxed);
        let mut time = Duration::from_micros(self.options.step_us);
        let mut results = Vec::with_capacity(batch.len());
        for queued in &batch {
            // An engine that goes down drops the rest of the batch.
            if self.faults.is_down() {
                break;
            }
            let result = self.run_step(queued);
            time += self.token_time(&queued.step, &result);
            results.push(result);
        }
        if time > Duration::ZERO {
            Timer::after(time).await;
        }
        self.running.store(0, Ordering::Relaxed);
        for (queued, result) in batch.iter().zip(results) {
            queued.send_result(result);
        }
    }

    fn run_step(&self, queued: &QueuedStep) -> InferResult {
        let mut stage = self.stage();
        let loaded = stage.layers();
        let result = if loaded == queued.layers {
            stage.run(&queued.step)
        } else {
            Err(SequenceError::BadRequest(format!(
                "layers {:?} were requested, but {loaded:?} are loaded",
                queued.layers
            )))
        };
        match &result {
            Ok(output) => self.record_run(&queued.step, output.span, loaded),
            Err(_) => {
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }

    /// Counts and records a run. The caller holds the lock of the stage, so
    /// the record has the order of the runs.
    fn record_run(&self, step: &SequenceStep, span: u32, layers: Range<u32>) {
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
        self.faults.count_positions(span);
    }

    fn token_time(
        &self,
        step: &SequenceStep,
        result: &InferResult,
    ) -> Duration {
        let Ok(output) = result else { return Duration::ZERO };
        let count = u64::from(output.span - output.cached_tokens);
        match step.position {
            0 => time_at_rate(count, self.options.prompt_tokens_per_s),
            _ => time_at_rate(count, self.options.output_tokens_per_s),
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

/// Time to process tokens at a rate; zero for a rate of 0.
fn time_at_rate(tokens: u64, rate_per_s: u64) -> Duration {
    let nanos = (tokens * 1_000_000_000).checked_div(rate_per_s);
    Duration::from_nanos(nanos.unwrap_or(0))
}
