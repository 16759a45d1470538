//! Record of requests under which servers crashed.

use std::collections::{BTreeMap, btree_map::Entry};

use crate::Fingerprint;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Score needed for a quarantine: each crash scores 1, or 2 if it happened in
/// a trial while no other request was on trial there. So one of three crashes
/// may be due to another request; copies that ran on several servers that
/// failed together still need a crash in a trial.
const QUARANTINE_SCORE: usize = 5;
/// Length of the first quarantine, from the last crash.
pub const QUARANTINE_MS: u64 = 600_000;
/// Limit on doublings of that time, one for each crash after a quarantine.
const MAX_DOUBLINGS: usize = 2;
/// How long a suspect is kept, and a request after its quarantine.
const RETENTION_MS: u64 = 600_000;
/// Limit on requests that are kept.
pub const MAX_SUSPECTS: usize = 1_024;
/// Limit on crashes that are kept for one request.
const MAX_CRASHES: usize = 16;
/// How long a change is repeated with each message.
const REPORT_CHANGES_FOR_MS: u64 = 2_000;
/// Limit on changed requests in one message.
const MAX_CHANGED_PER_MESSAGE: usize = 16;
/// Reports per second that each entry receives about an unchanged request, so
/// that entries that have just started or were partitioned learn of the
/// request, and the limit for all unchanged requests together.
const REPEATS_PER_S: f64 = 3.0;
const MAX_REPEATS_PER_S: f64 = 80.0;

/// A crash of a server during a run of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Crash {
    /// Earliest known time of the crash.
    at_ms: u64,
    is_in_trial: bool,
    is_void: bool,
}

/// A crash as reported between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Short hash of the server's incarnation.
    pub server: u32,
    /// Time since the crash.
    pub age_ms: u64,
    /// Whether the request was on trial there.
    pub is_in_trial: bool,
    /// Whether the request has since survived a run, or an operator cleared
    /// it.
    pub is_void: bool,
}

/// What entries report of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Servers that crashed under the request.
    pub crashes: Vec<CrashReport>,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may run anywhere.
    Free,
    /// The request may only run in a trial.
    Suspect {
        /// Crashes that count.
        crashes: usize,
    },
    /// The request may not run.
    Quarantined {
        /// Crashes that count.
        crashes: usize,
        /// When the quarantine ends.
        until_ms: u64,
    },
}

impl Verdict {
    /// Number of crashes that count.
    pub fn crashes(self) -> usize {
        match self {
            Verdict::Free => 0,
            Verdict::Suspect { crashes }
            | Verdict::Quarantined { crashes, .. } => crashes,
        }
    }

    /// Remaining time of the quarantine, if there is one.
    pub fn quarantine_left_ms(self, now_ms: u64) -> Option<u64> {
        match self {
            Verdict::Quarantined { until_ms, .. } => {
                Some(until_ms.saturating_sub(now_ms))
            }
            Verdict::Free | Verdict::Suspect { .. } => None,
        }
    }
}

/// Crashes of one request, by short hash of the server's incarnation.
#[derive(Clone, Debug, Default)]
struct CrashRecord {
    crashes: BTreeMap<u32, Crash>,
    changed_ms: u64,
}

impl CrashRecord {
    fn valid_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(|crash| !crash.is_void)
    }

    fn last_crash_ms(&self) -> u64 {
        let times = self.crashes.values().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    /// Servers that crashed while the request was on trial there.
    fn trial_servers(&self) -> impl Iterator<Item = u32> {
        let crashes = self.crashes.iter();
        let in_trials = crashes.filter(|(_, c)| c.is_in_trial && !c.is_void);
        in_trials.map(|(server, _)| *server)
    }

    /// When the quarantine ends or ended, where `trial_crashes` happened in
    /// trials of this request alone; `None` without a quarantine.
    fn quarantined_until_ms(&self, trial_crashes: usize) -> Option<u64> {
        let count = self.valid_crashes().count();
        let is_quarantined = count >= QUARANTINE_CRASHES
            && trial_crashes > 0
            && count + trial_crashes >= QUARANTINE_SCORE;
        if !is_quarantined {
            return None;
        }
        let doublings = (count - QUARANTINE_CRASHES).min(MAX_DOUBLINGS);
        Some(self.last_crash_ms() + (QUARANTINE_MS << doublings))
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let until_ms = self.quarantined_until_ms(self.trial_servers().count());
        let retained_from_ms = until_ms.unwrap_or(self.last_crash_ms());
        now_ms >= retained_from_ms + RETENTION_MS
    }

    /// Applies a crash; true if anything changed.
    fn apply(&mut self, server: u32, crash: Crash) -> bool {
        match self.crashes.entry(server) {
            Entry::Vacant(vacant) => {
                vacant.insert(crash);
                while self.crashes.len() > MAX_CRASHES {
                    self.evict_oldest();
                }
                self.crashes.contains_key(&server)
            }
            Entry::Occupied(mut occupied) => {
                let known = occupied.get_mut();
                let old = *known;
                // A report that travelled for longer seems to be about a
                // later crash.
                known.at_ms = known.at_ms.min(crash.at_ms);
                known.is_in_trial |= crash.is_in_trial;
                known.is_void |= crash.is_void;
                old.is_in_trial != known.is_in_trial
                    || old.is_void != known.is_void
            }
        }
    }

    fn evict_oldest(&mut self) {
        let age = |(server, crash): (&u32, &Crash)| {
            (!crash.is_void, crash.at_ms, *server)
        };
        let oldest = self.crashes.iter().map(age).min();
        if let Some((_, _, server)) = oldest {
            self.crashes.remove(&server);
        }
    }

    fn report(&self, fingerprint: Fingerprint, now_ms: u64) -> SuspectReport {
        let crash_report = |(server, crash): (&u32, &Crash)| CrashReport {
            server: *server,
            age_ms: now_ms.saturating_sub(crash.at_ms),
            is_in_trial: crash.is_in_trial,
            is_void: crash.is_void,
        };
        let crashes = self.crashes.iter().map(crash_report).collect();
        SuspectReport { fingerprint, crashes }
    }
}

/// All requests under which servers crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    requests: BTreeMap<Fingerprint, CrashRecord>,
    /// The next unchanged request to report.
    next_repeated: Option<Fingerprint>,
}

impl Suspects {
    /// Starts without requests.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Number of requests that are kept.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How a request may be run.
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        let record = self.requests.get(&request);
        record.map_or(Verdict::Free, |r| self.verdict_of(request, r, now_ms))
    }

    fn verdict_of(
        &self,
        request: Fingerprint,
        record: &CrashRecord,
        now_ms: u64,
    ) -> Verdict {
        let crashes = record.valid_crashes().count();
        if crashes == 0 {
            return Verdict::Free;
        }
        let suspect = Verdict::Suspect { crashes };
        if crashes < QUARANTINE_CRASHES {
            return suspect;
        }
        let sole_trial_crashes = record
            .trial_servers()
            .filter(|server| !self.is_other_on_trial(request, *server));
        match record.quarantined_until_ms(sole_trial_crashes.count()) {
            Some(until_ms) if now_ms < until_ms => {
                Verdict::Quarantined { crashes, until_ms }
            }
            _ => suspect,
        }
    }

    /// Whether another request was on trial at a server that crashed, in which
    /// case either may have caused the crash.
    fn is_other_on_trial(&self, request: Fingerprint, server: u32) -> bool {
        self.requests.iter().any(|(other, record)| {
            let crash = record.crashes.get(&server);
            *other != request && crash.is_some_and(|c| c.is_in_trial)
        })
    }

    /// Records that a server crashed under a request; true if anything
    /// changed.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        server: u32,
        is_in_trial: bool,
        now_ms: u64,
    ) -> bool {
        let crash = Crash { at_ms: now_ms, is_in_trial, is_void: false };
        self.apply(request, [(server, crash)], now_ms)
    }

    /// Voids the known crashes of a request that has survived a run or was
    /// cleared by an operator; true if that is a change.
    pub fn clear(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.requests.get_mut(&request) else {
            return false;
        };
        let mut is_changed = false;
        for crash in record.crashes.values_mut() {
            is_changed |= !std::mem::replace(&mut crash.is_void, true);
        }
        if is_changed {
            record.changed_ms = now_ms;
        }
        is_changed
    }

    /// Applies the report of another entry; true if anything changed.
    pub fn apply_report(
        &mut self,
        report: &SuspectReport,
        now_ms: u64,
    ) -> bool {
        let crash = |reported: &CrashReport| {
            let crash = Crash {
                at_ms: now_ms.saturating_sub(reported.age_ms),
                is_in_trial: reported.is_in_trial,
                is_void: reported.is_void,
            };
            (reported.server, crash)
        };
        let crashes = report.crashes.iter().map(crash);
        self.apply(report.fingerprint, crashes, now_ms)
    }

    fn apply(
        &mut self,
        request: Fingerprint,
        crashes: impl IntoIterator<Item = (u32, Crash)>,
        now_ms: u64,
    ) -> bool {
        let mut record = self.requests.remove(&request).unwrap_or_default();
        let mut is_changed = false;
        for (server, crash) in crashes {
            is_changed |= record.apply(server, crash);
        }
        if record.is_expired(now_ms) {
            return false;
        }
        if is_changed {
            record.changed_ms = now_ms;
        }
        self.requests.insert(request, record);
        if self.requests.len() > MAX_SUSPECTS {
            self.evict_one(now_ms);
        }
        is_changed
    }

    /// Evicts the least relevant request: free before suspect before
    /// quarantined, and the oldest first.
    fn evict_one(&mut self, now_ms: u64) {
        let rank = |(request, record): (&Fingerprint, &CrashRecord)| {
            let rank = match self.verdict_of(*request, record, now_ms) {
                Verdict::Free => 0,
                Verdict::Suspect { .. } => 1,
                Verdict::Quarantined { .. } => 2,
            };
            (rank, record.last_crash_ms(), *request)
        };
        let least = self.requests.iter().map(rank).min();
        if let Some((_, _, request)) = least {
            self.requests.remove(&request);
        }
    }

    /// Removes expired requests.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.requests.retain(|_, record| !record.is_expired(now_ms));
    }

    /// The report of one request, if the request is kept.
    pub fn report_of(
        &self,
        request: Fingerprint,
        now_ms: u64,
    ) -> Option<SuspectReport> {
        let record = self.requests.get(&request)?;
        Some(record.report(request, now_ms))
    }

    /// Reports for the next message: all recent changes, and some unchanged
    /// requests in turn. Each entry receives `messages_per_s` such messages.
    pub fn next_reports(
        &mut self,
        now_ms: u64,
        messages_per_s: f64,
        rng: &mut fastrand::Rng,
    ) -> Vec<SuspectReport> {
        let has_changed = |record: &CrashRecord| {
            now_ms.saturating_sub(record.changed_ms) < REPORT_CHANGES_FOR_MS
        };
        let changed =
            self.requests.iter().filter(|(_, record)| has_changed(record));
        let mut reports: Vec<SuspectReport> = changed
            .take(MAX_CHANGED_PER_MESSAGE)
            .map(|(id, record)| record.report(*id, now_ms))
            .collect();
        let from = self.next_repeated.unwrap_or(Fingerprint(0));
        let needs_repeat = |(_, record): &(&Fingerprint, &CrashRecord)| {
            !has_changed(record) && record.valid_crashes().next().is_some()
        };
        let repeated = self.requests.iter().filter(needs_repeat).count();
        let per_s = (REPEATS_PER_S * repeated as f64).min(MAX_REPEATS_PER_S);
        let share = per_s / messages_per_s.max(1.0);
        let count = share as usize + usize::from(rng.f64() < share.fract());
        if count == 0 {
            return reports;
        }
        let repeatable = self.requests.range(from..).filter(needs_repeat);
        let mut unchanged: Vec<_> = repeatable.take(count + 1).collect();
        let next =
            if unchanged.len() > count { unchanged.pop() } else { None };
        self.next_repeated = next.map(|(request, _)| *request);
        reports.extend(
            unchanged
                .into_iter()
                .map(|(id, record)| record.report(*id, now_ms)),
        );
        reports
    }

    /// All requests that are kept, for operators.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.keys().copied()
    }
}
