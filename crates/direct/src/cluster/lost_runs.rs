//! Whether a backend server crashed under runs whose connections it ended.
//!
//! The kernel ends all connections of a process that exits, but a process may
//! also end one and go on. A port that refuses connections proves an exit. A
//! port that accepts proves nothing: another process may hold it open, or the
//! server may be back already. The server is therefore asked which process
//! runs. As long as it does not answer, it counts as crashed; the answer of
//! the same process withdraws that.
//!
//! One task for each server decides on all runs that it ended at a time.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        engine::{Engine, FailureEvidence},
        probe,
        process_word::{self, ProcessWord},
        suspects::{self, FailedRun},
    },
    core::Core,
};

/// Time for an answer; network delays are below 2 ms, and a report needs no
/// slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The same at a server that has not answered before.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a server is asked that does not answer.
const MAX_UNANSWERED_MS: u64 = 12_000;
/// Ages of a lost run until which the port is looked at again, and the pauses
/// before that. A port may be closed some time after the connections.
const PAUSES_MS: [(u64, u64); 3] = [(8, 8), (28, 20), (200, 200)];
/// Age of a lost run at which a port that accepts counts as that of the same
/// process, if the server can't tell.
const MAX_OPEN_MS: u64 = 228;
/// Age at which a request no longer waits for a decision that is unclear.
const MAX_WAIT_MS: u64 = 28;
/// Pause between two questions to a server that does not answer, and between
/// two looks at its row.
const LONG_PAUSE_MS: u64 = 400;
/// How long the row of a server may take to tell of a later process.
const MAX_UNPROVEN_MS: u64 = 6_000;
/// Back-off of a server that does not answer; doubles with each time.
const UNANSWERED_BACKOFF_MS: u64 = 500;

/// Runs whose connections a server ended, until it is known why.
#[derive(Debug)]
pub(crate) struct LostRuns {
    state: Mutex<State>,
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct State {
    /// Runs that the task has not taken yet.
    pending: Vec<LostRun>,
    has_task: bool,
}

impl Default for LostRuns {
    fn default() -> LostRuns {
        let wake = async_channel::bounded(1);
        LostRuns { state: Mutex::default(), wake }
    }
}

impl LostRuns {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Adds a run; returns whether a task must be started.
    fn add(&self, run: LostRun) -> bool {
        let mut state = self.lock();
        state.pending.push(run);
        // If the channel is full, a signal is already pending.
        let _ = self.wake.0.try_send(());
        !std::mem::replace(&mut state.has_task, true)
    }

    /// Takes the pending runs. Without any, and if the task has no others, the
    /// task ends.
    fn take_or_end(&self, is_idle: bool) -> Option<Vec<LostRun>> {
        let mut state = self.lock();
        let pending = std::mem::take(&mut state.pending);
        let ends = is_idle && pending.is_empty();
        state.has_task = !ends;
        (!ends).then_some(pending)
    }

    /// Waits for a time, or until a run is added.
    async fn pause(&self, duration: Duration) {
        let added = async {
            // This never fails: `self` owns the sender.
            let _ = self.wake.1.recv().await;
        };
        let pause_ends = async {
            Timer::after(duration).await;
        };
        added.or(pause_ends).await;
    }
}

/// A run whose connection its server ended.
#[derive(Debug)]
struct LostRun {
    run: FailedRun,
    lost_ms: u64,
    /// Receives what is known first, and closes once all is decided.
    finding: Sender<Finding>,
}

/// What a request whose run was lost learns of its server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Finding {
    /// The process has exited, or does not answer.
    Crashed,
    /// Nothing shows that the process has exited.
    Runs,
    /// A process with its id runs, which may be a later one: its row will
    /// tell.
    Unproven,
}

impl LostRun {
    fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.lost_ms)
    }

    fn tell(&self, finding: Finding) {
        // Only the first finding is awaited, and not by all requests.
        let _ = self.finding.try_send(finding);
    }
}

/// What is concluded from the end of a run's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Conclusion {
    /// The process has exited.
    Crashed,
    /// The process does not answer, and counts as crashed until it does.
    Unanswered,
    /// The process has answered after all.
    Withdrawn,
    /// The process runs.
    Runs,
    /// The server may have exited as planned.
    Leaving,
}

impl Conclusion {
    fn as_str(self) -> &'static str {
        match self {
            Conclusion::Crashed => "crashed",
            Conclusion::Unanswered => "unanswered",
            Conclusion::Withdrawn => "withdrawn",
            Conclusion::Runs => "runs",
            Conclusion::Leaving => "leaving",
        }
    }
}

/// Reports a run whose connection its server ended. Returns a channel that
/// receives what is known soon, and closes once all is decided.
pub(crate) fn report(core: &Arc<Core>, run: FailedRun) -> Receiver<Finding> {
    let (finding, receiver) = async_channel::bounded(1);
    let engine = run.engine.clone();
    let lost = LostRun { run, lost_ms: now_ms(), finding };
    if engine.lost_runs.add(lost) {
        let judge = Judge {
            core: core.clone(),
            engine,
            open: Vec::new(),
            running: Vec::new(),
            unproven: Vec::new(),
            unanswered: Vec::new(),
        };
        core.executor.spawn(judge.run()).detach();
    }
    receiver
}

/// Decides on the runs that one server ended.
struct Judge {
    core: Arc<Core>,
    engine: Arc<Engine>,
    /// Nothing is known yet.
    open: Vec<LostRun>,
    /// The process seems to run; the port may still be closed.
    running: Vec<LostRun>,
    /// A process with the id of the server runs, which may be a later one.
    unproven: Vec<LostRun>,
    /// Counted as crashed, because the server does not answer.
    unanswered: Vec<LostRun>,
}

impl Judge {
    async fn run(mut self) {
        loop {
            let is_idle = self.next_pause_ms().is_none();
            let Some(pending) = self.engine.lost_runs.take_or_end(is_idle)
            else {
                return;
            };
            self.open.extend(pending);
            self.decide().await;
            self.end_old_waits();
            if let Some(pause_ms) = self.next_pause_ms() {
                let pause = Duration::from_millis(pause_ms);
                self.engine.lost_runs.pause(pause).await;
            }
        }
    }

    /// Time until the next look at the server; `None` if all is decided.
    fn next_pause_ms(&self) -> Option<u64> {
        let youngest = self.open.iter().chain(&self.running);
        let youngest_ms = youngest.map(LostRun::age_ms).min();
        let pause_ms = youngest_ms.map(|age_ms| {
            let pause = PAUSES_MS.iter().find(|(until, _)| age_ms < *until);
            pause.map_or(0, |(_, pause_ms)| *pause_ms)
        });
        let is_waiting =
            !self.unanswered.is_empty() || !self.unproven.is_empty();
        pause_ms.or(is_waiting.then_some(LONG_PAUSE_MS))
    }

    async fn decide(&mut self) {
        let needs_look = !(self.open.is_empty()
            && self.running.is_empty()
            && self.unanswered.is_empty());
        let is_removed = self.engine.lock().is_removed;
        if needs_look && !is_removed && !self.has_exit_evidence() {
            // What the probe shows is recorded in the state of the engine.
            let _ = probe::look(&self.core, &self.engine, now_ms()).await;
        }
        if self.engine.lock().leaving_since_ms.is_some() {
            return self.conclude_all(Conclusion::Leaving, "");
        }
        if self.has_exit_evidence() {
            let evidence = self.exit_evidence();
            return self.conclude_all(Conclusion::Crashed, evidence);
        }
        if self.engine.lock().is_removed {
            return;
        }
        if !self.open.is_empty() || !self.unanswered.is_empty() {
            self.ask().await;
        }
    }

    async fn ask(&mut self) {
        let timeout = match self.open.is_empty() {
            true => LATE_ANSWER_TIMEOUT,
            false => ANSWER_TIMEOUT,
        };
        match process_word::ask(&self.core, &self.engine, timeout).await {
            ProcessWord::Same => self.record_answer(),
            ProcessWord::SameId => self.record_same_id(),
            ProcessWord::Later => {
                self.conclude_all(Conclusion::Crashed, "another start");
            }
            ProcessWord::Unclear => {}
            ProcessWord::Unanswered => self.record_no_answer(),
        }
    }

    /// Records that the process runs that ran before.
    fn record_answer(&mut self) {
        for lost in std::mem::take(&mut self.unanswered) {
            self.conclude(&lost, Conclusion::Withdrawn, "an answer");
        }
        for lost in std::mem::take(&mut self.open) {
            lost.tell(Finding::Runs);
            self.running.push(lost);
        }
        let mut state = self.engine.lock();
        state.backoff_until_ms = 0;
    }

    /// Records an answer that may be that of a later process: its row tells.
    fn record_same_id(&mut self) {
        self.unanswered.clear();
        for lost in std::mem::take(&mut self.open) {
            lost.tell(Finding::Unproven);
            self.unproven.push(lost);
        }
        self.engine.lock().backoff_until_ms = 0;
    }

    fn record_no_answer(&mut self) {
        // New requests would wait for the same process.
        self.engine.lock().back_off(now_ms(), UNANSWERED_BACKOFF_MS);
        for lost in std::mem::take(&mut self.open) {
            self.conclude(&lost, Conclusion::Unanswered, "no answer");
            self.unanswered.push(lost);
        }
    }

    fn has_exit_evidence(&self) -> bool {
        let state = self.engine.lock();
        let is_refused = state
            .suspicion
            .is_some_and(|s| s.evidence == FailureEvidence::Refused);
        state.is_replaced || is_refused
    }

    fn exit_evidence(&self) -> &'static str {
        match self.engine.lock().is_replaced {
            true => "a later row",
            false => FailureEvidence::Refused.as_str(),
        }
    }

    /// Ends the waits that have become too long.
    fn end_old_waits(&mut self) {
        let waiting = self.open.iter();
        waiting
            .filter(|lost| lost.age_ms() >= MAX_WAIT_MS)
            .for_each(|lost| lost.tell(Finding::Runs));
        let is_old = |lost: &mut LostRun| lost.age_ms() >= MAX_OPEN_MS;
        let old = self.open.extract_if(.., is_old);
        let mut old: Vec<LostRun> = old.collect();
        old.extend(self.running.extract_if(.., is_old));
        for lost in old {
            self.conclude(&lost, Conclusion::Runs, "");
        }
        let is_old = |lost: &mut LostRun| lost.age_ms() >= MAX_UNPROVEN_MS;
        let old: Vec<LostRun> = self.unproven.extract_if(.., is_old).collect();
        for lost in old {
            self.conclude(&lost, Conclusion::Runs, "its id");
        }
        self.unanswered.retain(|lost| lost.age_ms() < MAX_UNANSWERED_MS);
    }

    fn conclude_all(&mut self, conclusion: Conclusion, evidence: &str) {
        // These are counted already.
        self.unanswered.clear();
        let mut decided = std::mem::take(&mut self.open);
        decided.append(&mut self.running);
        decided.append(&mut self.unproven);
        for lost in decided {
            self.conclude(&lost, conclusion, evidence);
        }
    }

    fn conclude(
        &self,
        lost: &LostRun,
        conclusion: Conclusion,
        evidence: &str,
    ) {
        log_lost_run(&lost.run, lost.lost_ms, conclusion.as_str(), evidence);
        let (core, run) = (&self.core, &lost.run);
        match conclusion {
            Conclusion::Crashed | Conclusion::Unanswered => {
                suspects::record_crash(core, run);
                lost.tell(Finding::Crashed);
            }
            Conclusion::Withdrawn => suspects::withdraw_crash(core, run),
            Conclusion::Runs | Conclusion::Leaving => {
                lost.tell(Finding::Runs);
            }
        }
    }
}

/// Logs a run whose connection was lost at a time, and what was concluded.
pub(crate) fn log_lost_run(
    run: &FailedRun,
    lost_ms: u64,
    conclusion: &str,
    evidence: &str,
) {
    let begun_ms = run.progress.age_ms(lost_ms);
    let begun_ms = begun_ms.map_or_else(String::new, |ms| ms.to_string());
    emit(
        Event::RunLost,
        &[
            ("request", &run.request),
            ("fingerprint", &run.keys.request()),
            ("parts", &run.parts),
            ("suspicion", &run.suspicion.as_str()),
            ("backend", &run.engine.id),
            ("begun_ms", &begun_ms),
            ("attempt_events", &run.progress.events()),
            ("is_in_trial", &run.is_in_trial),
            ("conclusion", &conclusion),
            ("evidence", &evidence),
            ("checked_ms", &now_ms().saturating_sub(lost_ms)),
        ],
    );
}
