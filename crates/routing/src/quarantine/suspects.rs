//! What is known of requests under which servers crashed.

use std::collections::{BTreeMap, btree_map::Entry};

use crate::Fingerprint;

/// Crashes that send a request to quarantine.
pub const QUARANTINE_CRASHES: usize = 3;
/// Proof that is needed: a crash is one part, and one more in a trial where
/// no other request was on trial. So one of three crashes may be of what ran
/// beside; copies that ran at several servers which were lost together still
/// need a crash in a trial.
const QUARANTINE_PROOF: usize = 5;
/// How long the first quarantine lasts after the last crash.
pub const QUARANTINE_MS: u64 = 600_000;
/// Most doublings of that time, one for each crash after a quarantine.
const MAX_DOUBLINGS: usize = 2;
/// How long a suspect is remembered, and a request after its quarantine.
const MEMORY_MS: u64 = 600_000;
/// Most requests that are remembered.
pub const MAX_SUSPECTS: usize = 1_024;
/// Most crashes that are remembered of one.
const MAX_CRASHES: usize = 16;
/// News are repeated with each message for so long.
const NEWS_MS: u64 = 2_000;
/// Most requests that are told anew with one message.
const MAX_NEWS: usize = 16;
/// How often an entry that has just started, or was cut off, hears of each
/// older one in a second, and of how many of them at most.
const OLD_TOLD_PER_S: f64 = 3.0;
const MOST_OLD_PER_S: f64 = 80.0;

/// A crash of a server under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Crash {
    /// When it was first heard of.
    at_ms: u64,
    is_in_trial: bool,
    is_void: bool,
}

/// A crash as entries tell it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Short hash of the server's start.
    pub server: u32,
    /// How long ago it was.
    pub age_ms: u64,
    /// The request was on trial there.
    pub is_in_trial: bool,
    /// The request has since run without a crash, or an operator freed it.
    pub is_void: bool,
}

/// What entries tell of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under it.
    pub crashes: Vec<CrashReport>,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run anywhere.
    Free,
    /// It may run in a trial.
    Suspect {
        /// Crashes that count.
        crashes: usize,
    },
    /// It may not run.
    Quarantined {
        /// Crashes that count.
        crashes: usize,
        /// When the quarantine ends.
        until_ms: u64,
    },
}

impl Verdict {
    /// Crashes that count.
    pub fn crashes(self) -> usize {
        match self {
            Verdict::Free => 0,
            Verdict::Suspect { crashes }
            | Verdict::Quarantined { crashes, .. } => crashes,
        }
    }

    /// Time left of the quarantine; none where there is none.
    pub fn quarantine_left_ms(self, now_ms: u64) -> Option<u64> {
        match self {
            Verdict::Quarantined { until_ms, .. } => {
                Some(until_ms.saturating_sub(now_ms))
            }
            Verdict::Free | Verdict::Suspect { .. } => None,
        }
    }
}

/// Crashes of one request, by the short hash of the server's start.
#[derive(Clone, Debug, Default)]
struct Evidence {
    crashes: BTreeMap<u32, Crash>,
    changed_ms: u64,
}

impl Evidence {
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(|crash| !crash.is_void)
    }

    fn last_crash_ms(&self) -> u64 {
        let times = self.crashes.values().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    /// Servers that crashed while it was on trial there.
    fn trial_servers(&self) -> impl Iterator<Item = u32> {
        let crashes = self.crashes.iter();
        let in_trials = crashes.filter(|(_, c)| c.is_in_trial && !c.is_void);
        in_trials.map(|(server, _)| *server)
    }

    /// When the quarantine ends or ended, with so many crashes in trials alone;
    /// none if it never was in one.
    fn quarantined_until_ms(&self, trial_crashes: usize) -> Option<u64> {
        let count = self.counted().count();
        let is_proven = count >= QUARANTINE_CRASHES
            && trial_crashes > 0
            && count + trial_crashes >= QUARANTINE_PROOF;
        if !is_proven {
            return None;
        }
        let doublings = (count - QUARANTINE_CRASHES).min(MAX_DOUBLINGS);
        Some(self.last_crash_ms() + (QUARANTINE_MS << doublings))
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let until_ms = self.quarantined_until_ms(self.trial_servers().count());
        let from_ms = until_ms.unwrap_or(self.last_crash_ms());
        now_ms >= from_ms + MEMORY_MS
    }

    /// Takes a crash; true if something of it is new.
    fn take(&mut self, server: u32, crash: Crash) -> bool {
        match self.crashes.entry(server) {
            Entry::Vacant(vacant) => {
                vacant.insert(crash);
                while self.crashes.len() > MAX_CRASHES {
                    self.drop_oldest();
                }
                self.crashes.contains_key(&server)
            }
            Entry::Occupied(mut occupied) => {
                let known = occupied.get_mut();
                let old = *known;
                // What travelled longer seems to be later.
                known.at_ms = known.at_ms.min(crash.at_ms);
                known.is_in_trial |= crash.is_in_trial;
                known.is_void |= crash.is_void;
                old.is_in_trial != known.is_in_trial
                    || old.is_void != known.is_void
            }
        }
    }

    fn drop_oldest(&mut self) {
        let age = |(server, crash): (&u32, &Crash)| {
            (!crash.is_void, crash.at_ms, *server)
        };
        let oldest = self.crashes.iter().map(age).min();
        if let Some((_, _, server)) = oldest {
            self.crashes.remove(&server);
        }
    }

    fn news(&self, fingerprint: Fingerprint, now_ms: u64) -> SuspectReport {
        let news = |(server, crash): (&u32, &Crash)| CrashReport {
            server: *server,
            age_ms: now_ms.saturating_sub(crash.at_ms),
            is_in_trial: crash.is_in_trial,
            is_void: crash.is_void,
        };
        let crashes = self.crashes.iter().map(news).collect();
        SuspectReport { fingerprint, crashes }
    }
}

/// All requests under which servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    requests: BTreeMap<Fingerprint, Evidence>,
    /// Where telling older ones goes on.
    next_told: Option<Fingerprint>,
}

impl Suspects {
    /// None yet.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What may be done with a request.
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        let evidence = self.requests.get(&request);
        evidence.map_or(Verdict::Free, |e| self.verdict_of(request, e, now_ms))
    }

    fn verdict_of(
        &self,
        request: Fingerprint,
        evidence: &Evidence,
        now_ms: u64,
    ) -> Verdict {
        let crashes = evidence.counted().count();
        if crashes == 0 {
            return Verdict::Free;
        }
        let suspect = Verdict::Suspect { crashes };
        if crashes < QUARANTINE_CRASHES {
            return suspect;
        }
        let alone = evidence
            .trial_servers()
            .filter(|server| !self.is_other_on_trial(request, *server));
        match evidence.quarantined_until_ms(alone.count()) {
            Some(until_ms) if now_ms < until_ms => {
                Verdict::Quarantined { crashes, until_ms }
            }
            _ => suspect,
        }
    }

    /// Whether another request was on trial at a server that crashed: which
    /// of them did it is not known.
    fn is_other_on_trial(&self, request: Fingerprint, server: u32) -> bool {
        self.requests.iter().any(|(other, evidence)| {
            let crash = evidence.crashes.get(&server);
            *other != request && crash.is_some_and(|c| c.is_in_trial)
        })
    }

    /// A server crashed under a request; true if that is news.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        server: u32,
        is_in_trial: bool,
        now_ms: u64,
    ) -> bool {
        let crash = Crash { at_ms: now_ms, is_in_trial, is_void: false };
        self.take(request, [(server, crash)], now_ms)
    }

    /// A request has run without a crash, or an operator frees it: crashes
    /// that are known no longer count. True if that is news.
    pub fn clear(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        let Some(evidence) = self.requests.get_mut(&request) else {
            return false;
        };
        let mut is_news = false;
        for crash in evidence.crashes.values_mut() {
            is_news |= !std::mem::replace(&mut crash.is_void, true);
        }
        if is_news {
            evidence.changed_ms = now_ms;
        }
        is_news
    }

    /// Takes what another entry tells; true if something of it is news.
    pub fn apply_report(&mut self, news: &SuspectReport, now_ms: u64) -> bool {
        let crash = |told: &CrashReport| {
            let crash = Crash {
                at_ms: now_ms.saturating_sub(told.age_ms),
                is_in_trial: told.is_in_trial,
                is_void: told.is_void,
            };
            (told.server, crash)
        };
        let crashes = news.crashes.iter().map(crash);
        self.take(news.fingerprint, crashes, now_ms)
    }

    fn take(
        &mut self,
        request: Fingerprint,
        crashes: impl IntoIterator<Item = (u32, Crash)>,
        now_ms: u64,
    ) -> bool {
        let mut evidence = self.requests.remove(&request).unwrap_or_default();
        let mut is_news = false;
        for (server, crash) in crashes {
            is_news |= evidence.take(server, crash);
        }
        if evidence.is_expired(now_ms) {
            return false;
        }
        if is_news {
            evidence.changed_ms = now_ms;
        }
        self.requests.insert(request, evidence);
        if self.requests.len() > MAX_SUSPECTS {
            self.drop_one(now_ms);
        }
        is_news
    }

    /// Drops the one that matters least: free before suspect before
    /// quarantined, the oldest first.
    fn drop_one(&mut self, now_ms: u64) {
        let rank = |(request, evidence): (&Fingerprint, &Evidence)| {
            let rank = match self.verdict_of(*request, evidence, now_ms) {
                Verdict::Free => 0,
                Verdict::Suspect { .. } => 1,
                Verdict::Quarantined { .. } => 2,
            };
            (rank, evidence.last_crash_ms(), *request)
        };
        let least = self.requests.iter().map(rank).min();
        if let Some((_, _, request)) = least {
            self.requests.remove(&request);
        }
    }

    /// Forgets what has expired.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.requests.retain(|_, evidence| !evidence.is_expired(now_ms));
    }

    /// What is told of one request; none if nothing is known of it.
    pub fn report_of(
        &self,
        request: Fingerprint,
        now_ms: u64,
    ) -> Option<SuspectReport> {
        let evidence = self.requests.get(&request)?;
        Some(evidence.news(request, now_ms))
    }

    /// What is told with the next message, of which each entry hears so many a
    /// second: news, and some older ones in turn that still matter.
    pub fn next_reports(
        &mut self,
        now_ms: u64,
        messages_per_s: f64,
        rng: &mut fastrand::Rng,
    ) -> Vec<SuspectReport> {
        let is_new = |evidence: &Evidence| {
            now_ms.saturating_sub(evidence.changed_ms) < NEWS_MS
        };
        let new = self.requests.iter().filter(|(_, e)| is_new(e));
        let mut told: Vec<SuspectReport> =
            new.take(MAX_NEWS).map(|(r, e)| e.news(*r, now_ms)).collect();
        let from = self.next_told.unwrap_or(Fingerprint(0));
        let matters = |(_, evidence): &(&Fingerprint, &Evidence)| {
            !is_new(evidence) && evidence.counted().next().is_some()
        };
        let all = self.requests.iter().filter(matters).count();
        let per_s = (OLD_TOLD_PER_S * all as f64).min(MOST_OLD_PER_S);
        let share = per_s / messages_per_s.max(1.0);
        let count = share as usize + usize::from(rng.f64() < share.fract());
        if count == 0 {
            return told;
        }
        let in_turn = self.requests.range(from..).filter(matters);
        let mut old: Vec<_> = in_turn.take(count + 1).collect();
        let next = if old.len() > count { old.pop() } else { None };
        self.next_told = next.map(|(request, _)| *request);
        told.extend(old.into_iter().map(|(r, e)| e.news(*r, now_ms)));
        told
    }

    /// All that are remembered, for operators.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.keys().copied()
    }
}
