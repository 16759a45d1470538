//! Crashing requests among others, replayed on a virtual clock.
//!
//! The load is that of a recorded day: some requests crash each server that
//! begins them and come again twice a second, at any entry; servers are also
//! lost by themselves, several at a moment; all that ran on one that is lost
//! goes on at another, with what had begun there at the same time. Entries
//! tell each other with a delay and lose a part of that.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_routing::{
    Fingerprint, RunProgress, SuspectReport, Suspects, Trials, Verdict,
};
use rstest::rstest;

const ENTRIES: usize = 5;
const SERVERS: usize = 12;
const LENGTH_MS: u64 = 60_000;
/// Requests a second that crash nothing.
const HARMLESS_PER_S: f64 = 60.0;
const COMES_EVERY_MS: u64 = 450;
const READ_MS: u64 = 80;
const EVENT_MS: u64 = 35;
const RUN_MS: u64 = 3_000;
const DOWN_MS: u64 = 4_000;
const LOSSES_EVERY_MS: u64 = 6_000;
const LOST_AT_ONCE: usize = 3;
const DELAY_MS: u64 = 3;
const SETTLE_MS: u64 = 20;
const STATES_EVERY_MS: u64 = 200;
/// Share of messages that is lost.
const LOST_SHARE: f64 = 0.1;
const MOST_ATTEMPTS: u32 = 6;
/// Time within which all entries know of what happened.
const CONTACT_MS: u64 = 3_000;
/// Crashes that are allowed later than that after the third.
const MOST_LATE: usize = 3;
const SEEDS: u64 = 4;

/// How a fleet treats requests under which servers crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// As the product does.
    Trials,
    /// Three crashes of any kind quarantine, and nothing clears.
    Strikes,
}

#[derive(Clone, Debug)]
enum Message {
    News(SuspectReport),
    Trial(Fingerprint, Option<u32>, u64),
}

#[derive(Default)]
struct Entry {
    suspects: Suspects,
    trials: Trials,
}

struct Server {
    /// Short hash of its start.
    start: u32,
    up_at_ms: u64,
}

struct Attempt {
    request: Fingerprint,
    entry: usize,
    attempts: u32,
    server: usize,
    run: RunProgress,
    sent_ms: u64,
    /// Events until it has ended or crashes its server.
    crashes_at_ms: Option<u64>,
    is_in_trial: bool,
    has_lasted: bool,
}

/// A request that seeks a server.
struct Seeker {
    request: Fingerprint,
    entry: usize,
    attempts: u32,
    at_ms: u64,
    /// The server of a trial that was claimed.
    claimed: Option<usize>,
    has_lasted: bool,
}

struct Replay {
    policy: Policy,
    rng: fastrand::Rng,
    now_ms: u64,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    running: Vec<Attempt>,
    seekers: Vec<Seeker>,
    messages: Vec<(u64, usize, Message)>,
    /// When servers crashed under each request.
    crashes: BTreeMap<Fingerprint, Vec<u64>>,
    quarantined: BTreeSet<Fingerprint>,
    next_start: u32,
    harmless: u64,
}

/// Requests that crash servers have the lowest fingerprints.
fn is_crashing(request: Fingerprint) -> bool {
    request.0 < 100
}

impl Replay {
    fn new(policy: Policy, seed: u64) -> Replay {
        let server = |index| Server { start: index as u32, up_at_ms: 0 };
        Replay {
            policy,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 1_000_000,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            servers: (0..SERVERS).map(server).collect(),
            running: Vec::new(),
            seekers: Vec::new(),
            messages: Vec::new(),
            crashes: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            next_start: SERVERS as u32,
            harmless: 1_000,
        }
    }

    fn play(mut self, crashing: u64) -> Replay {
        for ms in 0..LENGTH_MS {
            self.now_ms += 1;
            self.deliver();
            self.come(ms, crashing);
            self.seek();
            self.run();
            if ms.is_multiple_of(LOSSES_EVERY_MS) {
                let all = 0..SERVERS;
                let lost = self.rng.choose_multiple(all, LOST_AT_ONCE);
                lost.into_iter().for_each(|server| self.lose(server));
            }
            if ms.is_multiple_of(STATES_EVERY_MS) {
                self.tell_states();
            }
        }
        self
    }

    fn come(&mut self, ms: u64, crashing: u64) {
        if self.rng.f64() < HARMLESS_PER_S / 1e3 {
            self.harmless += 1;
            self.ask(Fingerprint(self.harmless));
        }
        for number in 0..crashing {
            // Each one starts later than the one before.
            let began_ms = number * 1_000;
            if ms >= began_ms && (ms - began_ms).is_multiple_of(COMES_EVERY_MS)
            {
                self.ask(Fingerprint(number));
            }
        }
    }

    fn ask(&mut self, request: Fingerprint) {
        let entry = self.rng.usize(..ENTRIES);
        self.seekers.push(Seeker {
            request,
            entry,
            attempts: 0,
            at_ms: self.now_ms,
            claimed: None,
            has_lasted: false,
        });
    }

    fn verdict(&self, entry: usize, request: Fingerprint) -> Verdict {
        let verdict =
            self.entries[entry].suspects.verdict(request, self.now_ms);
        match (self.policy, verdict) {
            (Policy::Strikes, Verdict::Suspect { crashes }) if crashes < 3 => {
                Verdict::Free
            }
            (Policy::Strikes, Verdict::Suspect { crashes }) => {
                Verdict::Quarantined { crashes, until_ms: u64::MAX }
            }
            (_, verdict) => verdict,
        }
    }

    fn seek(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.seekers)
            .into_iter()
            .partition(|seeker: &Seeker| seeker.at_ms <= now_ms);
        self.seekers = later;
        for seeker in due {
            self.seek_one(seeker);
        }
    }

    fn seek_one(&mut self, mut seeker: Seeker) {
        let (entry, request) = (seeker.entry, seeker.request);
        let verdict = match seeker.has_lasted {
            true => Verdict::Free,
            false => self.verdict(entry, request),
        };
        match (verdict, seeker.claimed) {
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
                self.send_or_wait(seeker, server, false);
            }
            (Verdict::Suspect { .. }, Some(server)) => {
                let trials = &self.entries[entry].trials;
                let is_held =
                    trials.is_held_by(request, entry as u64, self.now_ms);
                let is_up = self.servers[server].up_at_ms <= self.now_ms;
                seeker.claimed = None;
                let server = (is_held && is_up).then_some(server);
                self.send_or_wait(seeker, server, true);
            }
            (Verdict::Suspect { .. }, None) => self.claim(seeker),
        }
    }

    fn claim(&mut self, mut seeker: Seeker) {
        let (entry, request, now_ms) =
            (seeker.entry, seeker.request, self.now_ms);
        let taken = self.entries[entry].trials.servers_on_trial(now_ms);
        let free = self.up(&taken);
        let server = self.rng.choice(free);
        let trials = &mut self.entries[entry].trials;
        let start = |server: usize| self.servers[server].start;
        let claimed = server.filter(|server| {
            trials.try_begin(request, start(*server), entry as u64, now_ms)
        });
        seeker.claimed = claimed;
        seeker.at_ms = now_ms + SETTLE_MS;
        if let Some(server) = claimed {
            let start = Some(self.servers[server].start);
            let trial = Message::Trial(request, start, entry as u64);
            // Told twice: a claim that is lost is not made up for.
            self.tell(entry, trial.clone());
            self.tell(entry, trial);
        }
        self.seekers.push(seeker);
    }

    fn send_or_wait(
        &mut self,
        mut seeker: Seeker,
        server: Option<usize>,
        is_in_trial: bool,
    ) {
        let Some(server) = server else {
            seeker.at_ms = self.now_ms + SETTLE_MS;
            return self.seekers.push(seeker);
        };
        self.running.push(Attempt {
            request: seeker.request,
            entry: seeker.entry,
            attempts: seeker.attempts + 1,
            server,
            run: RunProgress::new(),
            sent_ms: self.now_ms,
            crashes_at_ms: None,
            is_in_trial,
            has_lasted: seeker.has_lasted,
        });
    }

    fn up(&self, taken: &BTreeSet<u32>) -> Vec<usize> {
        let is_up = |server: &usize| {
            let server = &self.servers[*server];
            server.up_at_ms <= self.now_ms && !taken.contains(&server.start)
        };
        (0..SERVERS).filter(is_up).collect()
    }

    fn run(&mut self) {
        let now_ms = self.now_ms;
        let mut lost = Vec::new();
        let mut lasted = Vec::new();
        for attempt in &mut self.running {
            let age_ms = now_ms - attempt.sent_ms;
            if age_ms == READ_MS {
                attempt.run.record_start(now_ms);
                if is_crashing(attempt.request) {
                    let after_ms = self.rng.u64(20..150);
                    attempt.crashes_at_ms = Some(now_ms + after_ms);
                }
            }
            let is_crashing = attempt.crashes_at_ms.is_some();
            if age_ms > READ_MS
                && age_ms.is_multiple_of(EVENT_MS)
                && !is_crashing
            {
                attempt.run.record_event();
            }
            if attempt.crashes_at_ms == Some(now_ms) {
                lost.push((attempt.request, attempt.server));
            }
            if !attempt.has_lasted && attempt.run.has_survived(now_ms) {
                attempt.has_lasted = true;
                lasted.push((attempt.entry, attempt.request));
            }
        }
        for (entry, request) in lasted {
            self.note_lasted(entry, request);
        }
        for (request, server) in lost {
            if self.servers[server].up_at_ms <= now_ms {
                self.crashes.entry(request).or_default().push(now_ms);
                self.lose(server);
            }
        }
        self.running.retain(|a| now_ms - a.sent_ms < RUN_MS);
    }

    fn note_lasted(&mut self, entry: usize, request: Fingerprint) {
        self.end_trial(entry, request);
        let now_ms = self.now_ms;
        let suspects = &mut self.entries[entry].suspects;
        if self.policy == Policy::Trials && suspects.clear(request, now_ms) {
            self.tell_news(entry, request);
        }
    }

    fn lose(&mut self, server: usize) {
        let now_ms = self.now_ms;
        if self.servers[server].up_at_ms > now_ms {
            return;
        }
        let start = self.servers[server].start;
        self.servers[server] =
            Server { start: self.next_start, up_at_ms: now_ms + DOWN_MS };
        self.next_start += 1;
        let (cut, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt: &Attempt| attempt.server == server);
        self.running = rest;
        for attempt in cut {
            self.break_off(attempt, start);
        }
    }

    fn break_off(&mut self, attempt: Attempt, start: u32) {
        let (entry, request) = (attempt.entry, attempt.request);
        let now_ms = self.now_ms;
        if !attempt.has_lasted && attempt.run.may_have_crashed_server(now_ms) {
            let suspects = &mut self.entries[entry].suspects;
            let is_in_trial = attempt.is_in_trial;
            suspects.record_crash(request, start, is_in_trial, now_ms);
            self.tell_news(entry, request);
        }
        if attempt.is_in_trial {
            self.end_trial(entry, request);
        }
        if attempt.attempts < MOST_ATTEMPTS {
            self.seekers.push(Seeker {
                request,
                entry,
                attempts: attempt.attempts,
                at_ms: now_ms + SETTLE_MS,
                claimed: None,
                has_lasted: attempt.has_lasted,
            });
        }
    }

    fn end_trial(&mut self, entry: usize, request: Fingerprint) {
        self.entries[entry].trials.end(request, entry as u64);
        self.tell(entry, Message::Trial(request, None, entry as u64));
    }

    fn tell_news(&mut self, entry: usize, request: Fingerprint) {
        let suspects = &self.entries[entry].suspects;
        if let Some(news) = suspects.report_of(request, self.now_ms) {
            self.tell(entry, Message::News(news));
        }
    }

    fn tell_states(&mut self) {
        for entry in 0..ENTRIES {
            let now_ms = self.now_ms;
            let suspects = &mut self.entries[entry].suspects;
            let heard_per_s = (ENTRIES as f64 - 1.0) * 5.0;
            for news in
                suspects.next_reports(now_ms, heard_per_s, &mut self.rng)
            {
                self.tell(entry, Message::News(news));
            }
        }
    }

    fn tell(&mut self, from: usize, message: Message) {
        let at_ms = self.now_ms + DELAY_MS;
        for to in (0..ENTRIES).filter(|to| *to != from) {
            if self.rng.f64() >= LOST_SHARE {
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
                Message::News(news) => {
                    entry.suspects.apply_report(&news, now_ms);
                }
                Message::Trial(request, Some(start), holder) => {
                    entry.trials.apply_remote(request, start, holder, now_ms);
                }
                Message::Trial(request, None, holder) => {
                    entry.trials.end(request, holder);
                }
            }
        }
    }

    /// Fails if a request went on crashing servers beyond what is allowed.
    fn assert_stopped(&self, seed: u64) {
        for (request, crashes) in &self.crashes {
            let Some(third_ms) = crashes.get(2) else { continue };
            let is_late = |at_ms: &&u64| **at_ms > third_ms + CONTACT_MS;
            let late = crashes.iter().filter(is_late).count();
            assert!(
                late <= MOST_LATE,
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
fn a_few_crashing_requests_are_stopped_and_no_other(#[case] crashing: u64) {
    for seed in 0..SEEDS {
        let replay = Replay::new(Policy::Trials, seed).play(crashing);
        replay.assert_stopped(seed);
        assert_eq!(replay.harmless_quarantined(), 0, "seed {seed}");
    }
}

#[test]
fn one_more_crashing_request_a_second_is_stopped_each_time() {
    for seed in 0..SEEDS {
        let replay = Replay::new(Policy::Trials, seed).play(60);
        replay.assert_stopped(seed);
    }
}

#[test]
fn strikes_alone_quarantine_what_is_harmless() {
    let replays =
        (0..SEEDS).map(|seed| Replay::new(Policy::Strikes, seed).play(3));
    let harmless: usize = replays.map(|r| r.harmless_quarantined()).sum();
    assert!(harmless > 0);
}
