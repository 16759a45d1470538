//! Simulates crashing requests among harmless ones on a virtual clock.
//!
//! The load follows a recorded day. Some requests crash each server that
//! starts them and are repeated about twice per second at any entry. Servers
//! also fail by themselves, several at a time. All requests on a failed server
//! continue at another one, including those that had just begun. Entries
//! report to each other with a delay, and some messages are lost.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_routing::{
    Fingerprint, RunProgress, SuspectReport, Suspects, Trials, Verdict,
};
use rstest::rstest;

const ENTRIES: usize = 5;
const SERVERS: usize = 12;
const LENGTH_MS: u64 = 60_000;
/// Harmless requests per second.
const HARMLESS_PER_S: f64 = 60.0;
const REPEAT_INTERVAL_MS: u64 = 450;
const PREFILL_MS: u64 = 80;
const EVENT_INTERVAL_MS: u64 = 35;
const RUN_MS: u64 = 3_000;
const DOWN_MS: u64 = 4_000;
const FAILURE_INTERVAL_MS: u64 = 6_000;
const FAILURES_AT_ONCE: usize = 3;
const DELAY_MS: u64 = 3;
const SETTLE_MS: u64 = 20;
const STATE_INTERVAL_MS: u64 = 200;
/// Share of messages that are lost.
const MESSAGE_LOSS: f64 = 0.1;
const MAX_ATTEMPTS: u32 = 6;
/// Time within which all entries learn of a crash.
const CONVERGENCE_MS: u64 = 3_000;
/// Crashes allowed after that time has passed since the third crash.
const MAX_LATE_CRASHES: usize = 3;
const SEEDS: u64 = 4;

/// How a fleet treats requests under which servers crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Trials, as in the product.
    Trials,
    /// Three crashes of any kind quarantine a request, and nothing clears it.
    CrashCount,
}

#[derive(Clone, Debug)]
enum Message {
    Report(SuspectReport),
    Trial(Fingerprint, Option<u32>, u64),
}

#[derive(Default)]
struct Entry {
    suspects: Suspects,
    trials: Trials,
}

struct Server {
    /// Short hash of the server's incarnation.
    incarnation: u32,
    up_at_ms: u64,
}

struct Attempt {
    request: Fingerprint,
    entry: usize,
    attempts: u32,
    server: usize,
    run: RunProgress,
    sent_ms: u64,
    /// Time at which the request crashes its server, once it has started.
    crashes_at_ms: Option<u64>,
    is_in_trial: bool,
    has_survived: bool,
}

/// A request that waits for a server.
struct PendingRequest {
    request: Fingerprint,
    entry: usize,
    attempts: u32,
    at_ms: u64,
    /// The server of a trial that this entry has begun.
    trial_server: Option<usize>,
    has_survived: bool,
}

struct Simulation {
    policy: Policy,
    rng: fastrand::Rng,
    now_ms: u64,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    running: Vec<Attempt>,
    pending: Vec<PendingRequest>,
    messages: Vec<(u64, usize, Message)>,
    /// Times of crashes under each request.
    crashes: BTreeMap<Fingerprint, Vec<u64>>,
    quarantined: BTreeSet<Fingerprint>,
    next_incarnation: u32,
    harmless: u64,
}

/// Requests that crash servers have the lowest fingerprints.
fn is_crashing(request: Fingerprint) -> bool {
    request.0 < 100
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Simulation {
        let server = |index| Server { incarnation: index as u32, up_at_ms: 0 };
        Simulation {
            policy,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 1_000_000,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            servers: (0..SERVERS).map(server).collect(),
            running: Vec::new(),
            pending: Vec::new(),
            messages: Vec::new(),
            crashes: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            next_incarnation: SERVERS as u32,
            harmless: 1_000,
        }
    }

    fn simulate(mut self, crashing: u64) -> Simulation {
        for ms in 0..LENGTH_MS {
            self.now_ms += 1;
            self.deliver();
            self.arrive(ms, crashing);
            self.dispatch();
            self.run();
            if ms.is_multiple_of(FAILURE_INTERVAL_MS) {
                let all = 0..SERVERS;
                let lost = self.rng.choose_multiple(all, FAILURES_AT_ONCE);
                lost.into_iter().for_each(|server| self.fail_server(server));
            }
            if ms.is_multiple_of(STATE_INTERVAL_MS) {
                self.send_states();
            }
        }
        self
    }

    fn arrive(&mut self, ms: u64, crashing: u64) {
        if self.rng.f64() < HARMLESS_PER_S / 1e3 {
            self.harmless += 1;
            self.submit(Fingerprint(self.harmless));
        }
        for number in 0..crashing {
            // Each crashing request starts a second after the previous one.
            let first_ms = number * 1_000;
            if ms >= first_ms
                && (ms - first_ms).is_multiple_of(REPEAT_INTERVAL_MS)
            {
                self.submit(Fingerprint(number));
            }
        }
    }

    fn submit(&mut self, request: Fingerprint) {
        let entry = self.rng.usize(..ENTRIES);
        self.pending.push(PendingRequest {
            request,
            entry,
            attempts: 0,
            at_ms: self.now_ms,
            trial_server: None,
            has_survived: false,
        });
    }

    fn verdict(&self, entry: usize, request: Fingerprint) -> Verdict {
        let verdict =
            self.entries[entry].suspects.verdict(request, self.now_ms);
        match (self.policy, verdict) {
            (Policy::CrashCount, Verdict::Suspect { crashes })
                if crashes < 3 =>
            {
                Verdict::Free
            }
            (Policy::CrashCount, Verdict::Suspect { crashes }) => {
                Verdict::Quarantined { crashes, until_ms: u64::MAX }
            }
            (_, verdict) => verdict,
        }
    }

    fn dispatch(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|waiting: &PendingRequest| waiting.at_ms <= now_ms);
        self.pending = later;
        for waiting in due {
            self.dispatch_one(waiting);
        }
    }

    fn dispatch_one(&mut self, mut waiting: PendingRequest) {
        let (entry, request) = (waiting.entry, waiting.request);
        let verdict = match waiting.has_survived {
            true => Verdict::Free,
            false => self.verdict(entry, request),
        };
        match (verdict, waiting.trial_server) {
            (Verdict::Quarantined { .. }, _) => {
                self.quarantined.insert(request);
            }
            (Verdict::Free, _) => {
                let trials = &self.entries[entry].trials;
                let mut up = self.up(&trials.servers_on_trial(self.now_ms));
                if up.is_empty() {
                    up = self.up(&BTreeSet::new());
                }
                let server = self.rng.choice(up);
                self.send_or_wait(waiting, server, false);
            }
            (Verdict::Suspect { .. }, Some(server)) => {
                let trials = &self.entries[entry].trials;
                let is_held =
                    trials.is_held_by(request, entry as u64, self.now_ms);
                let is_up = self.servers[server].up_at_ms <= self.now_ms;
                waiting.trial_server = None;
                let server = (is_held && is_up).then_some(server);
                self.send_or_wait(waiting, server, true);
            }
            (Verdict::Suspect { .. }, None) => self.begin_trial(waiting),
        }
    }

    fn begin_trial(&mut self, mut waiting: PendingRequest) {
        let (entry, request, now_ms) =
            (waiting.entry, waiting.request, self.now_ms);
        let taken = self.entries[entry].trials.servers_on_trial(now_ms);
        let free = self.up(&taken);
        let server = self.rng.choice(free);
        let trials = &mut self.entries[entry].trials;
        let incarnation = |server: usize| self.servers[server].incarnation;
        let trial_server = server.filter(|server| {
            trials.try_begin(
                request,
                incarnation(*server),
                entry as u64,
                now_ms,
            )
        });
        waiting.trial_server = trial_server;
        waiting.at_ms = now_ms + SETTLE_MS;
        if let Some(server) = trial_server {
            let incarnation = Some(self.servers[server].incarnation);
            let trial = Message::Trial(request, incarnation, entry as u64);
            // Sent twice, because a lost announcement is not repeated.
            self.send_to_others(entry, trial.clone());
            self.send_to_others(entry, trial);
        }
        self.pending.push(waiting);
    }

    fn send_or_wait(
        &mut self,
        mut waiting: PendingRequest,
        server: Option<usize>,
        is_in_trial: bool,
    ) {
        let Some(server) = server else {
            waiting.at_ms = self.now_ms + SETTLE_MS;
            return self.pending.push(waiting);
        };
        self.running.push(Attempt {
            request: waiting.request,
            entry: waiting.entry,
            attempts: waiting.attempts + 1,
            server,
            run: RunProgress::new(),
            sent_ms: self.now_ms,
            crashes_at_ms: None,
            is_in_trial,
            has_survived: waiting.has_survived,
        });
    }

    fn up(&self, taken: &BTreeSet<u32>) -> Vec<usize> {
        let is_up = |server: &usize| {
            let server = &self.servers[*server];
            server.up_at_ms <= self.now_ms
                && !taken.contains(&server.incarnation)
        };
        (0..SERVERS).filter(is_up).collect()
    }

    fn run(&mut self) {
        let now_ms = self.now_ms;
        let mut lost = Vec::new();
        let mut survived = Vec::new();
        for attempt in &mut self.running {
            let age_ms = now_ms - attempt.sent_ms;
            if age_ms == PREFILL_MS {
                attempt.run.record_start(now_ms);
                if is_crashing(attempt.request) {
                    let after_ms = self.rng.u64(20..150);
                    attempt.crashes_at_ms = Some(now_ms + after_ms);
                }
            }
            let is_crashing = attempt.crashes_at_ms.is_some();
            if age_ms > PREFILL_MS
                && age_ms.is_multiple_of(EVENT_INTERVAL_MS)
                && !is_crashing
            {
                attempt.run.record_event();
            }
            if attempt.crashes_at_ms == Some(now_ms) {
                lost.push((attempt.request, attempt.server));
            }
            if !attempt.has_survived && attempt.run.has_survived(now_ms) {
                attempt.has_survived = true;
                survived.push((attempt.entry, attempt.request));
            }
        }
        for (entry, request) in survived {
            self.record_survived(entry, request);
        }
        for (request, server) in lost {
            if self.servers[server].up_at_ms <= now_ms {
                self.crashes.entry(request).or_default().push(now_ms);
                self.fail_server(server);
            }
        }
        self.running.retain(|a| now_ms - a.sent_ms < RUN_MS);
    }

    fn record_survived(&mut self, entry: usize, request: Fingerprint) {
        self.end_trial(entry, request);
        let now_ms = self.now_ms;
        let suspects = &mut self.entries[entry].suspects;
        if self.policy == Policy::Trials && suspects.clear(request, now_ms) {
            self.report_suspect(entry, request);
        }
    }

    fn fail_server(&mut self, server: usize) {
        let now_ms = self.now_ms;
        if self.servers[server].up_at_ms > now_ms {
            return;
        }
        let incarnation = self.servers[server].incarnation;
        self.servers[server] = Server {
            incarnation: self.next_incarnation,
            up_at_ms: now_ms + DOWN_MS,
        };
        self.next_incarnation += 1;
        let (aborted, remaining) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.server == server);
        self.running = remaining;
        for attempt in aborted {
            self.abort(attempt, incarnation);
        }
    }

    fn abort(&mut self, attempt: Attempt, incarnation: u32) {
        let (entry, request) = (attempt.entry, attempt.request);
        let now_ms = self.now_ms;
        if !attempt.has_survived && attempt.run.may_have_crashed_server(now_ms)
        {
            let suspects = &mut self.entries[entry].suspects;
            let is_in_trial = attempt.is_in_trial;
            suspects.record_crash(request, incarnation, is_in_trial, now_ms);
            self.report_suspect(entry, request);
        }
        if attempt.is_in_trial {
            self.end_trial(entry, request);
        }
        if attempt.attempts < MAX_ATTEMPTS {
            self.pending.push(PendingRequest {
                request,
                entry,
                attempts: attempt.attempts,
                at_ms: now_ms + SETTLE_MS,
                trial_server: None,
                has_survived: attempt.has_survived,
            });
        }
    }

    fn end_trial(&mut self, entry: usize, request: Fingerprint) {
        self.entries[entry].trials.end(request, entry as u64);
        self.send_to_others(
            entry,
            Message::Trial(request, None, entry as u64),
        );
    }

    fn report_suspect(&mut self, entry: usize, request: Fingerprint) {
        let suspects = &self.entries[entry].suspects;
        if let Some(report) = suspects.report_of(request, self.now_ms) {
            self.send_to_others(entry, Message::Report(report));
        }
    }

    fn send_states(&mut self) {
        for entry in 0..ENTRIES {
            let now_ms = self.now_ms;
            let suspects = &mut self.entries[entry].suspects;
            let messages_per_s = (ENTRIES as f64 - 1.0) * 5.0;
            for report in
                suspects.next_reports(now_ms, messages_per_s, &mut self.rng)
            {
                self.send_to_others(entry, Message::Report(report));
            }
        }
    }

    fn send_to_others(&mut self, from: usize, message: Message) {
        let at_ms = self.now_ms + DELAY_MS;
        for to in (0..ENTRIES).filter(|to| *to != from) {
            if self.rng.f64() >= MESSAGE_LOSS {
                self.messages.push((at_ms, to, message.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.0 <= now_ms);
        self.messages = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, to, message) in due {
            let entry = &mut self.entries[to];
            match message {
                Message::Report(report) => {
                    entry.suspects.apply_report(&report, now_ms);
                }
                Message::Trial(request, Some(incarnation), holder) => {
                    entry.trials.apply_remote(
                        request,
                        incarnation,
                        holder,
                        now_ms,
                    );
                }
                Message::Trial(request, None, holder) => {
                    entry.trials.end(request, holder);
                }
            }
        }
    }

    /// Fails if a request crashed more servers than allowed.
    fn assert_crashes_stopped(&self, seed: u64) {
        for (request, crashes) in &self.crashes {
            let Some(third_ms) = crashes.get(2) else { continue };
            let is_late = |at_ms: &&u64| **at_ms > third_ms + CONVERGENCE_MS;
            let late = crashes.iter().filter(is_late).count();
            assert!(
                late <= MAX_LATE_CRASHES,
                "seed {seed}: {request} crashed servers at {crashes:?}"
            );
        }
    }

    fn harmless_quarantined(&self) -> usize {
        let all = self.quarantined.iter();
        all.filter(|request| !is_crashing(**request)).count()
    }
}

#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::three(3)]
fn a_few_crashing_requests_are_quarantined_and_no_harmless_one(
    #[case] crashing: u64,
) {
    for seed in 0..SEEDS {
        let simulation =
            Simulation::new(Policy::Trials, seed).simulate(crashing);
        simulation.assert_crashes_stopped(seed);
        assert_eq!(simulation.harmless_quarantined(), 0, "seed {seed}");
    }
}

#[test]
fn a_new_crashing_request_each_second_is_stopped_every_time() {
    for seed in 0..SEEDS {
        let simulation = Simulation::new(Policy::Trials, seed).simulate(60);
        simulation.assert_crashes_stopped(seed);
    }
}

#[test]
fn counting_crashes_alone_quarantines_harmless_requests() {
    let simulations = (0..SEEDS)
        .map(|seed| Simulation::new(Policy::CrashCount, seed).simulate(3));
    let harmless: usize = simulations.map(|r| r.harmless_quarantined()).sum();
    assert!(harmless > 0);
}
