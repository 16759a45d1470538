//! Counts of repeated requests as the platform's rules count them.
//!
//! Three rules limit what entries send again: the repeats at a service in a
//! window, the servers that run one attempt of a caller, and the time that
//! servers are given. All count at callers and servers, over all entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    backend_servers::{Arrival, RunStart},
    caller::{Attempt, Outcome, RequestKind},
    report::Report,
    site::{MAX_ATTEMPTS, RETRY_RATIO, RETRY_WINDOW},
};

/// Requests that may run on more servers than their route allows.
const MAX_EXCESS_RUNS: usize = 3;
/// Time by which a server's deadline may end late.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Number of requests with too long a deadline that is always allowed.
const MAX_LONG_DEADLINES: usize = 20;
/// Share of the counted requests that may have too long a deadline.
const MAX_LONG_DEADLINE_SHARE: f64 = 0.2;

/// The window in which a service got most repeats, relative to its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryWindowCount {
    /// End of the window.
    pub ends_at: Instant,
    /// Arrivals beyond the first of each request.
    pub retries: usize,
    /// Limit on these.
    pub limit: f64,
}

impl RetryWindowCount {
    /// Repeats beyond the limit; negative below it.
    pub fn excess(&self) -> f64 {
        self.retries as f64 - self.limit
    }
}

/// Requests with too long a deadline.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeadlineCounts {
    /// Arrivals with a deadline that is missing or ends too late.
    pub too_long: usize,
    /// These, and all that were sent once more late.
    pub counted: usize,
}

impl DeadlineCounts {
    /// Whether the rule is violated.
    pub fn is_violation(&self) -> bool {
        let share = self.too_long as f64 / self.counted.max(1) as f64;
        self.too_long > MAX_LONG_DEADLINES && share > MAX_LONG_DEADLINE_SHARE
    }
}

impl Report {
    /// Violations of the three rules, with a number of free repeats.
    pub fn retry_violations(&self, slack: f64) -> Vec<String> {
        let mut violations = Vec::new();
        for is_model in [true, false] {
            let worst = self.worst_retry_window(is_model, slack);
            let Some(worst) = worst.filter(|w| w.excess() > 0.0) else {
                continue;
            };
            violations.push(format!(
                "{} repeats in a window, {:.0} allowed (engines: {is_model})",
                worst.retries, worst.limit
            ));
        }
        let excess = self.requests_on_excess_servers();
        if excess.len() > MAX_EXCESS_RUNS {
            violations.push(format!(
                "{} requests ran on more than {MAX_ATTEMPTS} servers: \
                 {excess:?}",
                excess.len()
            ));
        }
        let deadlines = self.deadline_counts();
        if deadlines.is_violation() {
            violations.push(format!("{deadlines:?}"));
        }
        violations
    }

    /// How close the requests came to each of the three rules.
    pub fn retry_summary(&self, slack: f64) -> String {
        let window = |is_model| {
            let worst = self.worst_retry_window(is_model, slack);
            worst.map_or("none".to_owned(), |worst| {
                let end = worst.ends_at.saturating_duration_since(self.start);
                format!(
                    "{} of {:.0} at {:.1} s",
                    worst.retries,
                    worst.limit,
                    end.as_secs_f64()
                )
            })
        };
        let deadlines = self.deadline_counts();
        format!(
            "repeats in the worst window: engines {}, plain servers {}\n\
             requests on more than {MAX_ATTEMPTS} servers: {}\n\
             deadlines too long: {} of {} counted\n",
            window(true),
            window(false),
            self.requests_on_excess_servers().len(),
            deadlines.too_long,
            deadlines.counted
        )
    }

    /// The worst window at the engines, or at the plain service; `None`
    /// without repeats.
    pub fn worst_retry_window(
        &self,
        is_model: bool,
        slack: f64,
    ) -> Option<RetryWindowCount> {
        let is_counted = |o: &&Outcome| o.kind.is_stream() == is_model;
        let outcomes = self.outcomes.iter().filter(is_counted);
        let attempts: Vec<&Attempt> =
            outcomes.flat_map(|outcome| &outcome.attempts).collect();
        let mut sent: Vec<Instant> =
            attempts.iter().map(|attempt| attempt.sent_at).collect();
        sent.sort();
        let ids: BTreeSet<&str> =
            attempts.iter().map(|attempt| attempt.id.as_str()).collect();
        let retries = self.retries_of(&ids);
        let count = |end: &Instant| {
            let of_window = |times: &[Instant], before: Duration| {
                let end = *end - before;
                let from = times.partition_point(|t| *t + RETRY_WINDOW <= end);
                let until = times.partition_point(|t| *t <= end);
                until.saturating_sub(from)
            };
            let requests = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW]
                .map(|before| of_window(&sent, before));
            let most = requests.into_iter().max().unwrap_or(0);
            RetryWindowCount {
                ends_at: *end,
                retries: of_window(&retries, Duration::ZERO),
                limit: slack + RETRY_RATIO * most as f64,
            }
        };
        let counts = retries.iter().map(count);
        counts.max_by(|a, b| a.excess().total_cmp(&b.excess()))
    }

    /// Times of the arrivals of these requests beyond the first of each, in
    /// order.
    fn retries_of(&self, ids: &BTreeSet<&str>) -> Vec<Instant> {
        let mut arrived = BTreeSet::new();
        let log = self.observations.arrival_log.iter();
        let of_ids = log.filter(|a| ids.contains(a.request.as_str()));
        let retries = of_ids.filter(|a| !arrived.insert(a.request.as_str()));
        retries.map(|arrival| arrival.at).collect()
    }

    /// Ids of the attempts that ran on more servers than their route allows,
    /// without the servers that ended until the last of these runs began.
    pub fn requests_on_excess_servers(&self) -> Vec<&str> {
        let mut runs: BTreeMap<&str, Vec<&RunStart>> = BTreeMap::new();
        for run in &self.observations.run_log {
            runs.entry(&run.request).or_default().push(run);
        }
        let ends = &self.observations.server_ends;
        let is_excess = |runs: &[&RunStart]| {
            let last = runs.iter().map(|run| run.at).max();
            let has_ended = |run: &&&RunStart| {
                let ended_at = ends.get(&run.server);
                ended_at.is_some_and(|ended_at| Some(*ended_at) <= last)
            };
            let running = runs.iter().filter(|run| !has_ended(run));
            let servers: BTreeSet<&str> =
                running.map(|run| run.server.as_str()).collect();
            servers.len() > MAX_ATTEMPTS as usize
        };
        let excess = runs.into_iter().filter(|(_, runs)| is_excess(runs));
        excess.map(|(request, _)| request).collect()
    }

    /// Counts of the deadlines that plain requests gave their servers.
    pub fn deadline_counts(&self) -> DeadlineCounts {
        let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &self.observations.arrival_log {
            arrivals.entry(&arrival.request).or_default().push(arrival);
        }
        let is_plain = |o: &&Outcome| {
            matches!(o.kind, RequestKind::Idempotent | RequestKind::Once)
        };
        let outcomes = self.outcomes.iter().filter(is_plain);
        let mut counts = DeadlineCounts::default();
        for attempt in outcomes.flat_map(|outcome| &outcome.attempts) {
            let of_attempt = arrivals.get(attempt.id.as_str());
            for arrival in of_attempt.into_iter().flatten() {
                let first = of_attempt.map_or(*arrival, |all| all[0]);
                let is_late = arrival.at > first.at + DEADLINE_SLACK;
                let is_too_long = is_too_long(attempt, first, arrival);
                counts.too_long += usize::from(is_too_long);
                counts.counted += usize::from(is_late || is_too_long);
            }
        }
        counts
    }
}

/// Whether a server was given more time than the caller had left.
fn is_too_long(attempt: &Attempt, first: &Arrival, arrival: &Arrival) -> bool {
    let Some(deadline) = arrival.deadline else { return true };
    if deadline > attempt.deadline + DEADLINE_SLACK {
        return true;
    }
    let is_repeat_late = arrival.at > first.at + DEADLINE_SLACK;
    let end = arrival.at + deadline;
    let first_end = first.at + first.deadline.unwrap_or_default();
    let caller_end = attempt.sent_at + attempt.deadline;
    is_repeat_late
        && end > first_end + DEADLINE_SLACK
        && end > caller_end + DEADLINE_SLACK
}
